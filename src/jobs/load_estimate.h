// Estimates the level of log(latency / target) that the users' load causes on
// the tasks of a standing step, and its trend. A Kalman filter over reports
// that are noisy and arrive at irregular times.
#ifndef CAROBMAST_JOBS_LOAD_ESTIMATE_H_
#define CAROBMAST_JOBS_LOAD_ESTIMATE_H_

#include "framework/base/time.h"

namespace carobmast::jobs {

class LoadEstimate {
 public:
  struct Level {
    double mean = 0;
    double variance = 0;
  };

  // Starts the estimate at `mean`, before the first report. Must be called
  // before LevelAt and Update.
  void Init(double mean, MonotonicTime now);
  bool initialized() const { return initialized_; }
  // The predicted level. The trend is extrapolated for at most one second after
  // the last report.
  Level LevelAt(MonotonicTime time) const;
  // Processes a report that lies `error` above LevelAt(now). `noise` is the
  // variance of the report itself.
  void Update(MonotonicTime now, double error, double noise);

 private:
  // Seconds from the last report to `time`, limited to the time for which the
  // trend is extrapolated.
  double SecondsTo(MonotonicTime time) const;

  bool initialized_ = false;
  // Time of the last report.
  MonotonicTime at_;
  double level_ = 0;
  // Change of the level per second.
  double trend_ = 0;
  // The covariance of level and trend.
  double level_variance_ = 0;
  double covariance_ = 0;
  double trend_variance_ = 0;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_LOAD_ESTIMATE_H_
