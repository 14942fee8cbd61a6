// A worker for tests and measurements on virtual time: follows the contract of
// platform/worker_service.h and remembers what it executed.
#ifndef CAROBMAST_WORK_FAKES_FAKE_WORKER_H_
#define CAROBMAST_WORK_FAKES_FAKE_WORKER_H_

#include <map>
#include <string>
#include <vector>

#include "contracts/types/worker.h"
#include "framework/base/time.h"

namespace carobmast::work {

struct FakeWorkerOptions {
  std::string name;
  std::string zone;
  std::string rack;
  std::string pool;
  contracts::Resources capacity;
  // Speed of its clock against true time.
  double clock_rate = 1.0;
  // Whether it refuses what doesn't fit. Without, the scheduler's ledger alone
  // keeps it within its capacity.
  bool checks_capacity = false;
  // Whether it refuses commands with a lower token than it has seen.
  bool checks_tokens = true;
  // How long a task takes to stop.
  Duration stop_time = std::chrono::seconds(2);
  // Running batch tasks report how far they are as their checkpoint.
  bool reports_checkpoints = false;
  // Starts fail at once.
  bool fails_everything = false;
};

// One execution. Programs: "run DURATION" ends by itself after that much work,
// "fail" fails at once, anything else runs until it is stopped.
struct FakeExecution {
  contracts::TaskState state = contracts::TaskState::kRunning;
  contracts::TaskKind kind = contracts::TaskKind::kBatch;
  contracts::Resources resources;
  std::string program;
  // True times.
  MonotonicTime started_at;
  MonotonicTime lease_until;
  MonotonicTime ends_at = MonotonicTime::max();
  // When it will have stopped, once it was asked to.
  MonotonicTime stops_at = MonotonicTime::max();
  bool take_checkpoint = false;
  // Work done before this attempt, from its checkpoint.
  Duration done_before = Duration::zero();
  std::string checkpoint;
};

class FakeWorker {
 public:
  explicit FakeWorker(FakeWorkerOptions options);

  const FakeWorkerOptions& options() const { return options_; }
  std::string address() const { return "fake:" + options_.name; }

  // Executes one command at true time `now`.
  contracts::CommandAnswer Execute(MonotonicTime now,
                                   const contracts::WorkerCommand& command);
  // Ends what has ended by itself or lost its lease by `now`.
  void Settle(MonotonicTime now);
  // The VM stood still from `from` to `to`.
  void Resume(MonotonicTime from, MonotonicTime to);

  // All executions that it remembers.
  const std::map<contracts::AttemptId, FakeExecution>& executions() const {
    return executions_;
  }
  // Executions that ran to their end, by task; survives forgetting.
  const std::map<std::string, int>& completed() const { return completed_; }
  contracts::Resources Committed() const;
  std::uint64_t starts() const { return starts_; }
  void set_fails_everything(bool fails) { options_.fails_everything = fails; }

 private:
  contracts::CommandAnswer Answer(contracts::CommandOutcome outcome) const;
  contracts::WorkerReport Report() const;
  contracts::CommandAnswer Start(MonotonicTime now,
                                 const contracts::WorkerCommand& command);
  void Stop(MonotonicTime now, const contracts::WorkerCommand& command);
  static void FinishStop(FakeExecution& execution);
  MonotonicTime LeaseEnd(MonotonicTime now, Duration lease) const;

  FakeWorkerOptions options_;
  contracts::FencingToken token_ = 0;
  std::map<contracts::AttemptId, FakeExecution> executions_;
  std::map<std::string, int> completed_;
  std::uint64_t starts_ = 0;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_FAKES_FAKE_WORKER_H_
