#include "requests/instance_health.h"

#include <algorithm>

namespace carobmast::requests {

namespace {

// Maximum number of times that the length of ejections doubles.
constexpr std::uint32_t kMaxDoublings = 10;

}  // namespace

void InstanceHealth::OnAnswer(Duration latency, Duration expected,
                              std::uint32_t slots) {
  failures_ = 0;
  if (on_probation_) {
    on_probation_ = false;
    slowness_ = 1;
  }
  if (expected <= Duration::zero()) return;
  const double ratio = static_cast<double>(latency.count()) /
                       static_cast<double>(expected.count());
  slowness_ += options_.newest_weight *
               (std::min(ratio, options_.max_slowness) - slowness_);
  if (++answers_since_step_ < options_.answers_per_step) return;
  answers_since_step_ = 0;
  if (is_slow()) {
    withheld_slots_ = std::min(withheld_slots_ + 1, slots - 1);
  } else if (slowness_ < options_.recovered_below && withheld_slots_ > 0) {
    --withheld_slots_;
    if (withheld_slots_ == 0) ejections_ = 0;
  }
}

void InstanceHealth::OnFailure(MonotonicTime now) {
  ++failures_;
  const bool eject = on_probation_ || failures_ >= options_.failures_to_eject;
  if (!eject || IsEjected(now)) return;
  const Duration length =
      options_.first_ejection * (1U << std::min(ejections_, kMaxDoublings));
  ejected_until_ = now + std::min(length, options_.max_ejection);
  ++ejections_;
  on_probation_ = true;
}

std::uint32_t InstanceHealth::Limit(std::uint32_t slots) const {
  if (on_probation_) return 1;
  return slots > withheld_slots_ ? slots - withheld_slots_ : 1;
}

}  // namespace carobmast::requests
