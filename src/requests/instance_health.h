// Judges one instance by its answers: how slow it is against its peers, how
// many requests it serves well at once, and whether it has to be left out.
#ifndef CAROBMAST_REQUESTS_INSTANCE_HEALTH_H_
#define CAROBMAST_REQUESTS_INSTANCE_HEALTH_H_

#include <cstdint>

#include "framework/base/time.h"

namespace carobmast::requests {

struct HealthOptions {
  // Failures in a row before an instance is ejected.
  std::uint32_t failures_to_eject = 3;
  // The first ejection lasts this long; each further one twice as long.
  Duration first_ejection = std::chrono::milliseconds(500);
  Duration max_ejection = std::chrono::seconds(20);
  // Weight of the newest answer in the average slowness.
  double newest_weight = 0.1;
  // Above this many times the usual latency an instance counts as slow.
  double slow_above_ratio = 1.8;
  // Below this an instance gets its slots back one by one.
  double recovered_below = 1.4;
  // The slowness of one answer counts at most this.
  double max_slowness = 4;
  // Answers between two steps of the limit.
  std::uint32_t answers_per_step = 8;
};

class InstanceHealth {
 public:
  explicit InstanceHealth(HealthOptions options = {}) : options_(options) {}

  // An answer that took `latency` where `expected` is usual for the operation.
  // The instance has `slots`.
  void OnAnswer(Duration latency, Duration expected, std::uint32_t slots);
  // A failed connection, a cut answer, a timeout, or an answer with status 5xx.
  void OnFailure(MonotonicTime now);

  bool IsEjected(MonotonicTime now) const { return now < ejected_until_; }
  MonotonicTime ejected_until() const { return ejected_until_; }
  // Ended its ejection and has not answered since: it gets one request at once.
  bool on_probation() const { return on_probation_; }
  bool is_slow() const { return slowness_ > options_.slow_above_ratio; }
  // Average of latency over the usual latency; 1 for an ordinary instance.
  double slowness() const { return slowness_; }
  std::uint32_t failures() const { return failures_; }
  // Requests at once that the instance serves well, at most `slots`.
  std::uint32_t Limit(std::uint32_t slots) const;

 private:
  HealthOptions options_;
  std::uint32_t failures_ = 0;
  std::uint32_t ejections_ = 0;
  MonotonicTime ejected_until_{};
  bool on_probation_ = false;
  double slowness_ = 1;
  // Slots that are held back because the instance is slow when it is full.
  std::uint32_t withheld_slots_ = 0;
  std::uint32_t answers_since_step_ = 0;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_INSTANCE_HEALTH_H_
