// In-memory agent of a worker: capacity, fencing, leases, idempotent commands,
// checkpoints and fault injection. Does no I/O: the caller passes the time of
// the worker's clock, which must not go backwards from call to call.
//
// The program of a task is "NAME" or "NAME:DURATION". A batch task with the
// program "render:2s" finishes after two seconds of work; without a duration it
// takes the worker's default. A task whose program begins with "fail", of any
// kind, fails at that time instead. Other services and standing tasks run until
// they are stopped or lose their lease. A checkpoint has the form
// "done:DURATION", where the duration is the work done so far.
#ifndef CAROBMAST_STANDIN_FAKE_WORKER_H_
#define CAROBMAST_STANDIN_FAKE_WORKER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "contracts/types/worker.h"
#include "framework/base/time.h"

namespace carobmast::standin {

struct WorkerFaults {
  // Commands have no effect and return the outcome unknown; time goes on, so
  // that tasks end and leases expire.
  bool paused = false;
  // Every command is refused, without effect.
  bool refusing = false;
  // Every task that is started fails 10 ms later.
  bool failing = false;
  // Number of upcoming commands that take effect and return the outcome
  // unknown.
  std::uint32_t lost_answers = 0;
  // Number of upcoming commands that have no effect and return the outcome
  // unknown.
  std::uint32_t lost_requests = 0;
};

// One period in which an attempt ran on the worker. Tests check the scheduler's
// view against these records.
struct Execution {
  contracts::AttemptId id;
  contracts::TaskKind kind = contracts::TaskKind::kBatch;
  contracts::Resources reserved;
  MonotonicTime from;
  // Empty while the attempt runs.
  std::optional<MonotonicTime> to;
  // Final state; kRunning until then.
  contracts::TaskState state = contracts::TaskState::kRunning;
};

struct FakeWorkerOptions {
  std::string name;
  contracts::Resources capacity;
  // Work of a task whose program gives no duration.
  Duration default_run = std::chrono::seconds(2);
  // Work of a batch task between two checkpoints.
  Duration checkpoint_interval = std::chrono::milliseconds(500);
  // Time from the start of a task until its report contains measured usage.
  Duration usage_lag = std::chrono::seconds(2);
  // Measured CPU and memory usage, in thousandths of the reservation.
  std::uint32_t use_thousandths = 1000;
  // Maximum number of tasks in the report, including ended ones; a start beyond
  // it is refused.
  std::size_t max_tasks = 4096;
  // Opens the endpoint of a service instance and returns "ip:port"; without
  // this function services have no endpoint. If it throws Error, the start is
  // refused.
  std::function<std::string(const contracts::WorkerCommand&)> open_endpoint;
  // Closes the endpoint; `graceful` lets requests in flight finish.
  std::function<void(const contracts::AttemptId&, bool graceful)>
      close_endpoint;
  // Returns the 99th percentile of an instance's latency; reported as zero
  // without this function.
  std::function<Duration(const contracts::AttemptId&)> measure_latency;
};

class FakeWorker {
 public:
  explicit FakeWorker(FakeWorkerOptions options);

  // Carries out one command. Refuses tokens below the highest one seen
  // (kStale). A paused worker returns the outcome unknown, without effect.
  contracts::CommandAnswer Handle(const contracts::WorkerCommand& command,
                                  MonotonicTime now);
  // Ends the tasks that finished, failed or lost their lease by `now`. Each end
  // is recorded with its exact time, not with `now`.
  void Advance(MonotonicTime now);
  // Simulates the loss of the VM: running tasks fail at `now`; the fencing
  // token, the task reports and the blocked attempts are lost. executions()
  // stays.
  void Reboot(MonotonicTime now);

  // Call Advance(now) first; otherwise tasks that have ended by `now` are
  // reported as running.
  contracts::WorkerReport Report(MonotonicTime now) const;
  // All executions in order of their start.
  const std::vector<Execution>& executions() const { return executions_; }
  const FakeWorkerOptions& options() const { return options_; }
  // Faults to inject; changes apply from the next call.
  WorkerFaults& faults() { return faults_; }

 private:
  struct Task {
    contracts::TaskReport report;
    contracts::TaskKind kind = contracts::TaskKind::kBatch;
    MonotonicTime started;
    MonotonicTime lease_until;
    // Work of the task, in run time at full speed: in total, and done up to the
    // time `work_measured_at`.
    Duration work_total = Duration::zero();
    Duration work_done = Duration::zero();
    MonotonicTime work_measured_at;
    // Speed in thousandths of full speed.
    std::uint32_t throttle = 1000;
    bool will_fail = false;
    // Index in executions_.
    std::size_t execution_index = 0;
  };

  contracts::CommandAnswer Apply(const contracts::WorkerCommand& command,
                                 MonotonicTime now);
  contracts::CommandAnswer Start(const contracts::WorkerCommand& command,
                                 MonotonicTime now);
  contracts::CommandAnswer Renew(const contracts::WorkerCommand& command,
                                 MonotonicTime now);
  contracts::CommandAnswer Stop(const contracts::WorkerCommand& command,
                                MonotonicTime now);
  contracts::CommandAnswer Throttle(const contracts::WorkerCommand& command,
                                    MonotonicTime now);
  contracts::CommandAnswer Forget(const contracts::WorkerCommand& command,
                                  MonotonicTime now);
  contracts::CommandAnswer MakeAnswer(contracts::CommandOutcome outcome,
                                      MonotonicTime now,
                                      std::string error) const;

  Task MakeTask(const contracts::WorkerCommand& command,
                MonotonicTime now) const;
  void EndTask(Task& task, contracts::TaskState state, MonotonicTime at);
  // Whether the request fits beside the reservations of the running tasks.
  bool HasCapacityFor(const contracts::Resources& requested) const;
  // The latest checkpoint at `now` if one is written per `interval` of work.
  std::string CheckpointOf(const Task& task, MonotonicTime now,
                           Duration interval) const;
  static Duration WorkDoneAt(const Task& task, MonotonicTime now);
  // When the task finishes or fails by itself; MonotonicTime::max() if never.
  static MonotonicTime CompletionTime(const Task& task);

  FakeWorkerOptions options_;
  WorkerFaults faults_;
  contracts::FencingToken token_ = 0;
  std::map<contracts::AttemptId, Task> tasks_;
  // By task, the highest attempt that was forgotten, or stopped before it was
  // started. This attempt and lower ones are never started.
  std::map<std::string, std::uint32_t> blocked_attempts_;
  std::vector<Execution> executions_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_FAKE_WORKER_H_
