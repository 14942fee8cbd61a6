#include "node/lease_clock.h"

#include <time.h>

namespace carobmast::node {

namespace {

Duration ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

MonotonicTime LeaseNow() { return MonotonicTime(ReadClock(CLOCK_BOOTTIME)); }

jobs::ShardTime ShardNow() {
  static const Duration offset =
      ReadClock(CLOCK_REALTIME) - ReadClock(CLOCK_BOOTTIME);
  const MonotonicTime steady = LeaseNow();
  return {
      .steady = steady,
      .wall = WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
          steady.time_since_epoch() + offset))};
}

}  // namespace carobmast::node
