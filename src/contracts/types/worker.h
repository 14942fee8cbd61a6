// Data types of a worker's agent: reports, commands and their outcomes.
#ifndef CAROBMAST_CONTRACTS_TYPES_WORKER_H_
#define CAROBMAST_CONTRACTS_TYPES_WORKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "framework/base/units.h"

namespace carobmast::contracts {

// Increases with every claim of a cell: it is the log offset of the claim
// record.
using FencingToken = std::uint64_t;

// The time of birth of one incarnation of a worker in milliseconds since the
// Unix epoch; 0 where it is not known, or where an order may be carried out by
// any. A worker that restarts may keep its ID.
using Incarnation = std::int64_t;

// Resources that a task needs or a worker offers. `milli_cpus` is in
// thousandths of a processor.
struct Resources {
  std::uint64_t milli_cpus = 0;
  ByteCount memory;
  std::uint32_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

// Identifies one execution of a task: no two executions have the same task and
// attempt.
struct AttemptId {
  std::string task;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

enum class TaskState {
  kRunning,
  kFinished,      // exited with success
  kFailed,        // exited with an error
  kStopped,       // ended by a stop command; may have a checkpoint
  kLeaseExpired,  // ended by the worker because the lease expired
};

// One task as its worker reports it. A task that has ended stays in the report
// until a kForget command removes it.
struct TaskReport {
  AttemptId id;
  TaskState state = TaskState::kRunning;
  Resources reserved;
  // Measured usage, delayed; zero before the first measurement.
  Resources used;
  // Opaque data that only the task interprets; empty if there is none.
  std::string checkpoint;
  // "ip:port" on which a service instance listens; empty for other tasks.
  std::string endpoint;
  // Why the task failed; empty if it did not.
  std::string reason;
  // 99th percentile of the service's response time as measured by the worker,
  // delayed.
  Duration latency_p99 = Duration::zero();
};

// State of a worker as reported by its agent.
struct WorkerReport {
  std::string worker;
  Resources capacity;
  // The highest fencing token that the worker has accepted.
  FencingToken token = 0;
  std::vector<TaskReport> tasks;
};

// Result of a command to a worker.
enum class CommandOutcome {
  kDone,     // the command took effect; the report is valid
  kStale,    // refused: the worker has accepted the higher token in the report
  kNoRoom,   // start refused: not enough free resources
  kRefused,  // refused for the reason in `error`; it had no effect
  kNotSent,  // the worker could not be reached; it had no effect
  kUnknown,  // the answer was lost; it may have taken effect
};

enum class WorkerVerb {
  kFence,     // accept `token` and return the report; affects no task
  kStart,     // start `id` with a lease
  kRenew,     // set the leases of all running tasks to end after `lease`
  kStop,      // end `id`, with a checkpoint if `take_checkpoint` is set
  kThrottle,  // limit `id` to `throttle` thousandths of its processors
  kForget,    // remove the ended task `id` from the report
};

// Kinds of tasks that a worker can start.
enum class TaskKind { kService, kBatch, kStanding };

// A command to a worker. The comments name the verbs that use a field; fields
// that a verb does not use are ignored.
struct WorkerCommand {
  WorkerVerb verb = WorkerVerb::kFence;
  std::string worker;
  std::string address;
  FencingToken token = 0;
  // kStart, kStop, kThrottle and kForget: the execution concerned.
  AttemptId id;
  // kStart and kRenew: how long the worker may run the tasks without a renewal.
  Duration lease = Duration::zero();
  // kStart: all fields from here to `connections`.
  TaskKind kind = TaskKind::kBatch;
  Resources resources;
  // Name of the program to run, as written in the configuration.
  std::string program;
  std::string checkpoint;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // kStop.
  bool take_checkpoint = false;
  // kThrottle: share of the task's processors, in thousandths.
  std::uint32_t throttle = 1000;
  Duration timeout = std::chrono::seconds(2);
};

struct CommandAnswer {
  CommandOutcome outcome = CommandOutcome::kUnknown;
  WorkerReport report;
  std::string error;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_TYPES_WORKER_H_
