// A simulated worker that checks fencing tokens and leases, and a history of
// what workers ran, which is checked against the invariants of jobs.
#ifndef CAROBMAST_JOBS_TESTS_FUZZ_WORKER_H_
#define CAROBMAST_JOBS_TESTS_FUZZ_WORKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "contracts/task_workers.h"

namespace carobmast::jobs {

// Runs of all workers, whichever owner ordered them.
class RunHistory {
 public:
  void OnStart(const contracts::TaskKey& task, const std::string& worker);
  void OnLost(const contracts::TaskKey& task);
  void OnEnd(const contracts::TaskKey& task, contracts::EndKind kind);
  // An end that was acknowledged and whose lease has not expired since it: an
  // owner may count runs under an expired lease as lost.
  void OnAcknowledged(const contracts::EndedTask& end);

  std::uint32_t Failures(const std::string& job) const;
  bool IsRunning(const std::string& job) const;
  // The number of tasks of the first step, by job; the second step depends on
  // them.
  std::map<std::string, std::uint32_t> first_step_tasks;
  std::uint32_t max_attempts = 0;
  // Jobs whose callers were told that they have not run.
  std::set<std::string> withdrawn;
  std::vector<std::string> violations;

 private:
  std::map<contracts::TaskKey, std::string> running_;
  // Tasks that finished, and those of them whose end was acknowledged.
  std::set<contracts::TaskKey> finished_;
  std::set<contracts::TaskKey> acknowledged_;
  // The number of failures by task, and of acknowledged failures.
  std::map<contracts::TaskKey, std::uint32_t> failures_;
  std::map<contracts::TaskKey, std::uint32_t> acknowledged_failures_;
};

class FuzzWorker {
 public:
  FuzzWorker(std::string id, RunHistory& history,
             contracts::Incarnation born_ms = 1);

  // Advances the worker's clock: tasks progress and leases expire.
  void AdvanceTime(std::chrono::milliseconds time);
  // Loses all state and begins a new incarnation. Its clock says nothing of
  // that of the former one.
  void Crash();
  // Like Crash; the clock of the new incarnation shows `clock`.
  void Crash(contracts::Incarnation born_ms, contracts::WorkerClock clock);
  // Like Crash; the new incarnation has another ID.
  void Replace(const std::string& id, contracts::Incarnation born_ms,
               contracts::WorkerClock clock);

  contracts::OrderAnswer Start(const contracts::StartOrder& order);
  contracts::OrderAnswer Stop(const contracts::StopOrder& order);
  // Confirms a stop that is not carried out.
  contracts::OrderAnswer ConfirmStop(const contracts::StopOrder& order);
  contracts::HoldAnswer Hold(const contracts::HoldOrder& order);

  const std::string& id() const { return id_; }
  contracts::Incarnation born_ms() const { return born_ms_; }
  // Whether an order for this incarnation reaches the present one over a
  // connection that belongs to one process.
  bool Receives(contracts::Incarnation incarnation) const {
    return incarnation == 0 || incarnation == born_ms_;
  }

 private:
  using RunId = std::pair<contracts::TaskKey, std::uint32_t>;

  contracts::OrderAnswer Answer(contracts::OrderOutcome outcome) const;
  void Extend(contracts::WorkerClock lease_end);
  void Acknowledge(std::uint64_t number);
  std::vector<contracts::RunningTask> ListRunning() const;
  void EndRun(const RunId& run_name, contracts::EndKind kind);

  std::string id_;
  RunHistory& history_;
  contracts::Incarnation born_ms_;
  contracts::WorkerClock clock_;
  contracts::FencingToken token_ = 0;
  contracts::WorkerClock lease_end_{0};
  // The time left of a run, and whether it then fails.
  struct Work {
    std::chrono::milliseconds left{0};
    bool fails = false;
  };
  std::map<RunId, Work> runs_;
  // By task: the highest attempt that is over; it and earlier ones are not
  // started.
  std::map<contracts::TaskKey, std::uint32_t> over_;
  std::vector<contracts::EndedTask> ends_;
  std::uint64_t last_end_ = 0;
  // Ends up to this number precede the last expiry of the lease.
  std::uint64_t lapsed_end_ = 0;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_TESTS_FUZZ_WORKER_H_
