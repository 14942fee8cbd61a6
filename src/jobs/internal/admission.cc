#include "jobs/admission.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace carobmast::jobs {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinRetryAfter{1000};
// After this time few callers still want their result.
constexpr milliseconds kMaxRetryAfter{4000};
// The last part of the retry delay is spread over this time.
constexpr milliseconds kRetrySpread{1000};
// Time after which a job counts half in the recent numbers.
constexpr std::chrono::duration<double> kHalfLife{2};
// Fewer worthless jobs than this, weighted by age, are no overload.
constexpr double kMinWorthless = 5;
constexpr double kRejectedWeight = 0.5;
// Fewer late jobs than this, weighted by age, and a lower share of those that
// were taken, are no shortage of room.
constexpr double kMinLate = 2;
constexpr double kMinLateShare = 0.1;
// A standing job needs more room than a short one, and that comes free slowly.
constexpr milliseconds kShortageRetryAfter{2000};

milliseconds SpreadOf(const std::string& id) {
  const std::size_t range = static_cast<std::size_t>(kRetrySpread.count());
  return milliseconds(
      static_cast<std::int64_t>(std::hash<std::string>()(id) % range));
}

}  // namespace

milliseconds RetryAfterShortage(const std::string& id) {
  return kShortageRetryAfter + SpreadOf(id);
}

void QueueAdmission::Decay(MonotonicTime now) {
  const std::chrono::duration<double> age = now - decayed_at_;
  decayed_at_ = now;
  const double factor = std::exp2(-age / kHalfLife);
  begun_ *= factor;
  worthless_ *= factor;
  rejected_ *= factor;
  taken_ *= factor;
  late_ *= factor;
}

void QueueAdmission::OnTaken(MonotonicTime now) {
  Decay(now);
  ++taken_;
}

void QueueAdmission::OnLate(MonotonicTime now) {
  Decay(now);
  ++late_;
}

bool QueueAdmission::IsShortOfRoom(MonotonicTime now) {
  Decay(now);
  return late_ >= kMinLate && late_ >= kMinLateShare * taken_;
}

void QueueAdmission::OnBegun(MonotonicTime now) {
  Decay(now);
  ++begun_;
}

void QueueAdmission::OnWorthless(MonotonicTime now) {
  Decay(now);
  ++worthless_;
}

bool QueueAdmission::IsInExcess(MonotonicTime now) {
  Decay(now);
  if (worthless_ < kMinWorthless) {
    owed_rejections_ = 0;
    return false;
  }
  // Jobs turned away count as excess too, in part: in full they would keep up a
  // rejection that is no longer needed.
  const double excess = worthless_ + kRejectedWeight * rejected_;
  owed_rejections_ += excess / (begun_ + excess);
  if (owed_rejections_ < 1) return false;
  --owed_rejections_;
  ++rejected_;
  return true;
}

std::optional<milliseconds> QueueAdmission::RetryAfterIfRejected(
    const AdmissionInput& input, MonotonicTime now) {
  const Duration without_room = input.without_room.value_or(Duration::zero());
  const bool rejected =
      without_room > kUsefulObjectives * input.objective || IsInExcess(now);
  if (!rejected) return std::nullopt;
  return std::clamp(std::chrono::duration_cast<milliseconds>(without_room),
                    kMinRetryAfter, kMaxRetryAfter) +
         SpreadOf(input.id);
}

}  // namespace carobmast::jobs
