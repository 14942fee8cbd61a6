// Time types used in every signature.
#ifndef CAROBMAST_FRAMEWORK_BASE_TIME_H_
#define CAROBMAST_FRAMEWORK_BASE_TIME_H_

#include <chrono>

namespace carobmast {

// Monotonic time: leases, deadlines and timeouts are measured with it alone.
using MonotonicClock = std::chrono::steady_clock;
using MonotonicTime = MonotonicClock::time_point;
// Nanoseconds; converts implicitly from every coarser std::chrono duration.
using Duration = std::chrono::nanoseconds;

// Wall-clock time in milliseconds: for people and log records, never for
// leases.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_TIME_H_
