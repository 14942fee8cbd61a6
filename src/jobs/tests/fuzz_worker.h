// A worker that checks tokens and leases, and a record of what workers ran,
// judged against the promises.
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

// What all workers did, whoever ordered it.
class RunRecord {
 public:
  void OnStart(const contracts::TaskKey& task, const std::string& worker);
  void OnLost(const contracts::TaskKey& task);
  void OnEnd(const contracts::TaskKey& task, contracts::EndKind kind);
  // An end that the worker was told to forget, under a lease that did not lapse
  // since: an owner may take what ran under a lapsed lease for lost.
  void OnAcknowledged(const contracts::EndedTask& end);

  std::uint32_t Failures(const std::string& job) const;
  bool IsRunning(const std::string& job) const;
  // Tasks of the first step, by job: the second step depends on them.
  std::map<std::string, std::uint32_t> first_step_tasks;
  std::uint32_t max_attempts = 0;
  std::vector<std::string> violations;

 private:
  std::map<contracts::TaskKey, std::string> running_;
  // Ended with success, and those of them that were acknowledged.
  std::set<contracts::TaskKey> finished_;
  std::set<contracts::TaskKey> acknowledged_;
  // The same of failures.
  std::map<contracts::TaskKey, std::uint32_t> failures_;
  std::map<contracts::TaskKey, std::uint32_t> acknowledged_failures_;
};

class FuzzWorker {
 public:
  FuzzWorker(std::string id, RunRecord& record);

  // Time passes on the worker: work goes on, leases run out.
  void Pass(std::chrono::milliseconds time);
  // Everything here is lost, and the next life knows nothing of it.
  void Crash();

  contracts::OrderAnswer Start(const contracts::StartOrder& order);
  contracts::OrderAnswer Stop(const contracts::StopOrder& order);
  contracts::HoldAnswer Hold(const contracts::HoldOrder& order);

  const std::string& id() const { return id_; }
  // Counts its lives. Orders on their way end with the life that they are for,
  // as their connections do.
  std::int64_t life() const { return born_ms_; }

 private:
  using Name = std::pair<contracts::TaskKey, std::uint32_t>;

  contracts::OrderAnswer Answer(contracts::OrderOutcome outcome) const;
  void Extend(contracts::WorkerClock lease_end);
  void Acknowledge(std::uint64_t number);
  std::vector<contracts::RunningTask> ListRunning() const;
  void End(const Name& name, contracts::EndKind kind);

  std::string id_;
  RunRecord& record_;
  contracts::WorkerClock clock_{0};
  std::int64_t born_ms_ = 1;
  contracts::FencingToken token_ = 0;
  contracts::WorkerClock lease_end_{0};
  // The time left of each run, and whether it fails then.
  struct Work {
    std::chrono::milliseconds left{0};
    bool fails = false;
  };
  std::map<Name, Work> runs_;
  // By task: attempts up to this one do nothing any more.
  std::map<contracts::TaskKey, std::uint32_t> over_;
  std::vector<contracts::EndedTask> ends_;
  std::uint64_t last_end_ = 0;
  // Ends up to this number came before the lease lapsed.
  std::uint64_t lapsed_end_ = 0;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_TESTS_FUZZ_WORKER_H_
