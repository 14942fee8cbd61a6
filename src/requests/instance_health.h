// Health of one instance, derived from its answers: how slow it is compared to
// its peers, how many concurrent requests it serves well, and whether it is
// ejected, that is, gets no requests for some time.
#ifndef CAROBMAST_REQUESTS_INSTANCE_HEALTH_H_
#define CAROBMAST_REQUESTS_INSTANCE_HEALTH_H_

#include <cstdint>

#include "framework/base/time.h"

namespace carobmast::requests {

struct HealthOptions {
  // Consecutive failures after which an instance is ejected.
  std::uint32_t failures_to_eject = 3;
  // Length of the first ejection. Each further one is twice as long.
  Duration first_ejection = std::chrono::milliseconds(500);
  Duration max_ejection = std::chrono::seconds(20);
  // Weight of the newest answer in the moving average of the slowness.
  double newest_weight = 0.1;
  // An instance is slow if its latency is more than this many times the usual
  // latency.
  double slow_above = 1.8;
  // Below this slowness an instance regains its withheld slots one by one.
  double recovered_below = 1.4;
  // Upper limit of the slowness of a single answer.
  double max_slowness = 4;
  // Number of answers between two changes of the limit.
  std::uint32_t answers_per_step = 8;
};

class InstanceHealth {
 public:
  explicit InstanceHealth(HealthOptions options = {}) : options_(options) {}

  // Records an answer that took `latency`, where `expected` is the usual
  // latency of the operation, or zero if it is not known. The instance has
  // `slots`.
  void OnAnswer(Duration latency, Duration expected, std::uint32_t slots);
  // Records a failed connection, a truncated answer, a timeout, or an answer
  // with status 5xx.
  void OnFailure(MonotonicTime now);

  bool IsEjected(MonotonicTime now) const { return now < ejected_until_; }
  MonotonicTime ejected_until() const { return ejected_until_; }
  // Whether it was ejected and has not answered since. After the ejection it
  // gets one request at a time.
  bool on_probation() const { return on_probation_; }
  bool is_slow() const { return slowness_ > options_.slow_above; }
  // Moving average of the latency divided by the usual latency; 1 for an
  // ordinary instance.
  double slowness() const { return slowness_; }
  std::uint32_t failures() const { return failures_; }
  // Concurrent requests that the instance serves well, at most `slots`.
  std::uint32_t Limit(std::uint32_t slots) const;

 private:
  HealthOptions options_;
  std::uint32_t failures_ = 0;
  std::uint32_t ejections_ = 0;
  MonotonicTime ejected_until_{};
  bool on_probation_ = false;
  double slowness_ = 1;
  // Slots withheld because the instance is slow when all are used.
  std::uint32_t withheld_slots_ = 0;
  std::uint32_t answers_since_step_ = 0;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_INSTANCE_HEALTH_H_
