// A small fake of workers, services and batch tasks on virtual time, and the
// policies that it is run with.
#ifndef CAROBMAST_MEASURE_WORK_SIMULATION_H_
#define CAROBMAST_MEASURE_WORK_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "measure/work_workload.h"
#include "placement/placement.h"

namespace carobmast::measure {

// What a policy decides; every hook may be empty.
struct WorkPolicy {
  std::string name;
  std::function<void(const placement::WorkerSpec&)> add_worker;
  // A task arrived; it waits until `offer` starts it.
  std::function<void(const placement::TaskRequest&, Duration declared,
                     MonotonicTime now)>
      push;
  // Starts what can start, by calling `start` for each; called every second.
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
  Duration crest_p99 = Duration::zero();
  // Share of the answers within the deadline while the load is at its highest.
  double crest_quality = 0;
  std::uint64_t batch_arrived = 0;
  std::uint64_t batch_done = 0;
  double batch_core_hours = 0;
  // What the arrived tasks and the room left by services allow.
  double allowed_core_hours = 0;
  std::uint64_t evictions = 0;
  std::uint64_t throttles = 0;
  std::uint64_t failures = 0;
  std::uint64_t quarantines = 0;
  Duration short_wait_mean = Duration::zero();
  Duration short_wait_p99 = Duration::zero();
  Duration long_wait_mean = Duration::zero();
  // Moments at which a worker was committed beyond its capacity.
  std::uint64_t overcommitted = 0;
};

// Runs the workload under the policy; the same seed draws the same tasks and
// the same errors of reports for every policy.
WorkOutcome Simulate(const WorkWorkload& workload, const WorkPolicy& policy,
                     std::uint64_t seed);

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_WORK_SIMULATION_H_
