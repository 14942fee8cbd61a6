// Follows how the load of a standing step's own users moves the latency of its
// tasks: a level of log(latency / target) with a trend, filtered from reports
// that carry noise and come at any time.
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

  // Before the first report the level is about `mean`.
  void Init(double mean, MonotonicTime now);
  bool initialized() const { return initialized_; }
  // The level at a time, which may lie a little ahead of the last report.
  Level LevelAt(MonotonicTime time) const;
  // One report that differs from the level at `now` by `error`, which has the
  // variance of the level and `noise`.
  void Update(MonotonicTime now, double error, double noise);

 private:
  // Seconds since the last report, no more than a trend is good for.
  double SecondsTo(MonotonicTime time) const;

  bool initialized_ = false;
  MonotonicTime at_;
  double level_ = 0;
  // Per second.
  double trend_ = 0;
  // The covariance of level and trend.
  double level_variance_ = 0;
  double covariance_ = 0;
  double trend_variance_ = 0;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_LOAD_ESTIMATE_H_
