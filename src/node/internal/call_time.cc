#include "node/call_time.h"

#include <algorithm>

namespace carobmast::node {

using std::chrono::duration_cast;
using std::chrono::microseconds;

void SetTimeLeft(jobs::proto::JobCall& call, Duration time_left,
                 std::optional<MonotonicTime> owner_now) {
  call.set_time_left_us(static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, duration_cast<microseconds>(time_left).count())));
  call.clear_deadline_us();
  if (!owner_now.has_value()) return;
  const MonotonicTime deadline = *owner_now + time_left;
  call.set_deadline_us(
      duration_cast<microseconds>(deadline.time_since_epoch()).count());
}

Duration TimeLeft(const jobs::proto::JobCall& call, MonotonicTime now,
                  Duration fallback) {
  if (call.time_left_us() == 0 && call.deadline_us() == 0) return fallback;
  const Duration at_sending = microseconds(call.time_left_us());
  if (call.deadline_us() == 0) return at_sending;
  // The clock of an owner whose VM was restarted begins anew: a deadline on the
  // former one may be far away.
  return std::min(
      at_sending,
      Duration(MonotonicTime(microseconds(call.deadline_us())) - now));
}

}  // namespace carobmast::node
