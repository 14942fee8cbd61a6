// Simulated worker on virtual time, for tests and measurements. Follows the
// contract of contracts/worker_service.h and records what it executed.
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
  // Speed of its clock relative to true time.
  double clock_rate = 1.0;
  // Whether it refuses starts that exceed its capacity. If not, only the
  // scheduler's reservations keep it within its capacity.
  bool checks_capacity = false;
  // Whether it refuses commands with a lower token than it has seen.
  bool checks_tokens = true;
  // How long a task takes to stop.
  Duration stop_time = std::chrono::seconds(2);
  // Whether running batch tasks report their progress as a checkpoint.
  bool reports_checkpoints = false;
  // Whether every task fails immediately after its start.
  bool fails_everything = false;
};

// One attempt. Programs: "run DURATION" ends by itself after that much work,
// "fail" fails at once, anything else runs until it is stopped.
struct FakeExecution {
  contracts::TaskState state = contracts::TaskState::kRunning;
  contracts::TaskKind kind = contracts::TaskKind::kBatch;
  contracts::Resources resources;
  std::string program;
  // In true time.
  MonotonicTime started_at;
  MonotonicTime lease_until;
  MonotonicTime ends_at = MonotonicTime::max();
  // When it will have stopped, once a stop was received.
  MonotonicTime stops_at = MonotonicTime::max();
  bool take_checkpoint = false;
  // Work done by earlier attempts, from the checkpoint.
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
  // Ends the executions that finished, stopped or lost their lease by `now`.
  void Settle(MonotonicTime now);
  // Resumes after the VM was paused from `from` to `to`: work is delayed by the
  // pause, leases are not.
  void Resume(MonotonicTime from, MonotonicTime to);

  // All executions that were not forgotten.
  const std::map<contracts::AttemptId, FakeExecution>& executions() const {
    return executions_;
  }
  // Number of executions that finished, by task; includes forgotten ones.
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
