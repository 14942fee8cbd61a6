// A worker's agent in memory: capacity, fencing, leases, idempotent commands,
// checkpoints and faults. Sans-I/O: the caller passes the time of the worker's
// own clock.
//
// The program of a task is "NAME" or "NAME:DURATION". A batch task of program
// "render:2s" finishes after two seconds of work; without a duration it takes
// the worker's default. A name that begins with "fail" ends in failure instead.
// Services and standing tasks run until they are stopped. A checkpoint reads
// "done:DURATION".
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
  // No command gets through and none is answered; the clock goes on.
  bool paused = false;
  // Every command is refused, without effect.
  bool refusing = false;
  // Every task that is started fails soon after.
  bool failing = false;
  // So many of the next commands take effect and get the outcome unknown.
  std::uint32_t lost_answers = 0;
  // So many of the next commands take no effect and get the outcome unknown.
  std::uint32_t lost_requests = 0;
};

// One period in which an attempt ran on the worker; for oracles.
struct Execution {
  contracts::AttemptId id;
  contracts::TaskKind kind = contracts::TaskKind::kBatch;
  contracts::Resources reserved;
  MonotonicTime from;
  // Empty while it runs.
  std::optional<MonotonicTime> to;
  // How it ended.
  contracts::TaskState state = contracts::TaskState::kRunning;
};

struct FakeWorkerOptions {
  std::string name;
  contracts::Resources capacity;
  // How long a batch task runs whose program gives no duration.
  Duration default_run = std::chrono::seconds(2);
  // A batch task writes a checkpoint each time it has done so much more.
  Duration checkpoint_interval = std::chrono::milliseconds(500);
  // How long after its start a task's measured use shows.
  Duration usage_lag = std::chrono::seconds(2);
  // Measured use in thousandths of what was reserved.
  std::uint32_t use_thousandths = 1000;
  // Tasks that are kept in the report, ended ones included.
  std::size_t max_tasks = 4096;
  // Opens the endpoint of a service's instance and returns "ip:port"; empty for
  // none. May throw Error, which refuses the start.
  std::function<std::string(const contracts::WorkerCommand&)> open_endpoint;
  // Closes it; `graceful` lets requests in flight end.
  std::function<void(const contracts::AttemptId&, bool graceful)>
      close_endpoint;
  // The 99th percentile of an instance's latency; empty for zero.
  std::function<Duration(const contracts::AttemptId&)> measure_latency;
};

class FakeWorker {
 public:
  explicit FakeWorker(FakeWorkerOptions options);

  // Carries out one command. A paused worker gives the outcome unknown, without
  // effect.
  contracts::CommandAnswer Handle(const contracts::WorkerCommand& command,
                                  MonotonicTime now);
  // Ends the tasks that finished, failed or lost their lease up to `now`, each
  // at its exact time.
  void Advance(MonotonicTime now);
  // The VM is lost: its tasks end at `now`, tokens and reports are forgotten.
  void Reboot(MonotonicTime now);

  // Valid after Advance(now).
  contracts::WorkerReport Report(MonotonicTime now) const;
  const std::vector<Execution>& executions() const { return executions_; }
  const FakeWorkerOptions& options() const { return options_; }
  WorkerFaults& faults() { return faults_; }

 private:
  struct Task {
    contracts::TaskReport report;
    contracts::TaskKind kind = contracts::TaskKind::kBatch;
    MonotonicTime started;
    MonotonicTime lease_until;
    // Work of a batch task: `done` at the time `since`, `total` in all.
    Duration work_total = Duration::zero();
    Duration work_done = Duration::zero();
    MonotonicTime work_measured_at;
    std::uint32_t throttle = 1000;
    bool will_fail = false;
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
  bool HasCapacityFor(const contracts::Resources& requested) const;
  std::string CheckpointOf(const Task& task, MonotonicTime now,
                           Duration interval) const;
  static Duration WorkDoneAt(const Task& task, MonotonicTime now);
  // When the task ends by itself; the greatest time when it never does.
  static MonotonicTime CompletionTime(const Task& task);

  FakeWorkerOptions options_;
  WorkerFaults faults_;
  contracts::FencingToken token_ = 0;
  std::map<contracts::AttemptId, Task> tasks_;
  // The highest attempt of a task that was forgotten: never started again.
  std::map<std::string, std::uint32_t> blocked_attempts_;
  std::vector<Execution> executions_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_FAKE_WORKER_H_
