// The time types used in all interfaces.
#ifndef CAROBMAST_FRAMEWORK_BASE_TIME_H_
#define CAROBMAST_FRAMEWORK_BASE_TIME_H_

#include <chrono>

namespace carobmast {

// Monotonic time. Leases, deadlines and timeouts must use only this clock.
using MonotonicClock = std::chrono::steady_clock;
using MonotonicTime = MonotonicClock::time_point;
// Nanoseconds; converts implicitly from every coarser std::chrono duration.
using Duration = std::chrono::nanoseconds;

// Wall-clock time in milliseconds, for display and for log records. Never use
// it for leases, because it can jump.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_TIME_H_
