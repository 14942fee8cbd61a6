#include "jobs/load_estimate.h"

#include <algorithm>

namespace carobmast::jobs {

namespace {

// Variance of the level before the first report: users' loads vary by a factor
// of two to three.
constexpr double kInitialLevelVariance = 0.15;
// Variance of the trend before the first report, per second squared: the same
// variation within 10 s.
constexpr double kInitialTrendVariance = 0.1;
// Increase of the variance of the trend per second, from the same variation.
constexpr double kTrendVariancePerSecond = 0.05;
// Maximum time in seconds over which the trend is extrapolated.
constexpr double kMaxTrendSeconds = 1.0;

}  // namespace

void LoadEstimate::Init(double mean, MonotonicTime now) {
  initialized_ = true;
  at_ = now;
  level_ = mean;
  trend_ = 0;
  level_variance_ = kInitialLevelVariance;
  covariance_ = 0;
  trend_variance_ = kInitialTrendVariance;
}

double LoadEstimate::SecondsTo(MonotonicTime time) const {
  const double seconds = std::chrono::duration<double>(time - at_).count();
  return std::clamp(seconds, 0.0, kMaxTrendSeconds);
}

LoadEstimate::Level LoadEstimate::LevelAt(MonotonicTime time) const {
  const double dt = SecondsTo(time);
  return {.mean = level_ + dt * trend_,
          .variance = level_variance_ + 2 * dt * covariance_ +
                      dt * dt * trend_variance_ +
                      kTrendVariancePerSecond * dt * dt * dt / 3};
}

void LoadEstimate::Update(MonotonicTime now, double error, double noise) {
  const double dt = SecondsTo(now);
  const Level level = LevelAt(now);
  const double covariance = covariance_ + dt * trend_variance_ +
                            kTrendVariancePerSecond * dt * dt / 2;
  const double trend_variance = trend_variance_ + kTrendVariancePerSecond * dt;
  const double sum = level.variance + noise;
  const double level_gain = level.variance / sum;
  const double trend_gain = covariance / sum;
  at_ = std::max(at_, now);
  level_ = level.mean + level_gain * error;
  trend_ += trend_gain * error;
  level_variance_ = level.variance * (1 - level_gain);
  covariance_ = covariance * (1 - level_gain);
  trend_variance_ = trend_variance - trend_gain * covariance;
}

}  // namespace carobmast::jobs
