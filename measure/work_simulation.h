// Simulates workers, services and batch tasks in virtual time under a placement
// policy.
#ifndef CAROBMAST_MEASURE_WORK_SIMULATION_H_
#define CAROBMAST_MEASURE_WORK_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "measure/work_workload.h"
#include "placement/placement.h"

namespace carobmast::measure {

// The hooks of a placement policy; each may be empty.
struct WorkPolicy {
  std::string name;
  std::function<void(const placement::WorkerSpec&)> add_worker;
  // Queues a task that has arrived; `offer` starts it later.
  std::function<void(const placement::TaskRequest&, Duration declared,
                     MonotonicTime now)>
      push;
  // Calls `start` for each queued task that can run now. Called once a second.
  std::function<void(MonotonicTime now, const std::function<void(
                                            const placement::TaskRequest&,
                                            const placement::Choice&)>& start)>
      offer;
  std::function<void(const placement::TaskRequest&, placement::TaskEnd,
                     Duration run_time, MonotonicTime now)>
      end;
  std::function<std::vector<placement::Remedy>(const contracts::WorkerReport&,
                                               MonotonicTime now)>
      report;
};

struct WorkOutcome {
  std::string policy;
  Duration service_p99 = Duration::zero();
  Duration peak_p99 = Duration::zero();
  // Fraction of the answers within the deadline while the load is near its
  // peak.
  double peak_within_deadline = 0;
  std::uint64_t batch_arrived = 0;
  std::uint64_t batch_done = 0;
  double batch_core_hours = 0;
  // Upper bound: the lesser of what the tasks demand and what services leave
  // free.
  double attainable_core_hours = 0;
  std::uint64_t evictions = 0;
  std::uint64_t throttles = 0;
  std::uint64_t failures = 0;
  Duration short_wait_mean = Duration::zero();
  Duration short_wait_p99 = Duration::zero();
  Duration long_wait_mean = Duration::zero();
  // Number of starts that committed more than the worker's capacity.
  std::uint64_t overcommitted = 0;
};

// Runs the workload under the policy. The same seed gives every policy the same
// tasks and the same measurement errors in reports.
WorkOutcome Simulate(const WorkWorkload& workload, const WorkPolicy& policy,
                     std::uint64_t seed);

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_WORK_SIMULATION_H_
