// Plain data of a worker's agent: reports, commands and their outcomes.
#ifndef CAROBMAST_CONTRACTS_TYPES_WORKER_H_
#define CAROBMAST_CONTRACTS_TYPES_WORKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "framework/base/units.h"

namespace carobmast::contracts {

// Monotonic per cell; issued by the log as the offset of the claim.
using FencingToken = std::uint64_t;

// What a task needs or a worker has. Processors in thousandths of one.
struct Resources {
  std::uint64_t milli_cpus = 0;
  ByteCount memory;
  std::uint32_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

// The names of one execution: no two executions share both.
struct AttemptId {
  std::string task;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

enum class TaskState {
  kRunning,
  kFinished,      // ended by itself with success
  kFailed,        // ended by itself with an error
  kStopped,       // ended by a stop command; may carry a checkpoint
  kLeaseExpired,  // ended by the worker because its lease ran out
};

// One task as its worker reports it. Ended tasks are reported until forgotten.
struct TaskReport {
  AttemptId id;
  TaskState state = TaskState::kRunning;
  Resources reserved;
  // Measured use, which lags; equals zero before the first measurement.
  Resources used;
  // Opaque to all but the task; empty when there is none.
  std::string checkpoint;
  // Where a service's instance listens, "ip:port"; empty for other tasks.
  std::string endpoint;
  // Why it failed; empty otherwise.
  std::string reason;
  // Latency of the service's answers as the worker measured it, which lags.
  Duration latency_p99 = Duration::zero();
};

// Everything a worker says about itself.
struct WorkerReport {
  std::string worker;
  Resources capacity;
  // The highest token that the worker has accepted.
  FencingToken token = 0;
  std::vector<TaskReport> tasks;
};

// How a command to a worker ended.
enum class CommandOutcome {
  kDone,     // took effect; the report is valid
  kStale,    // refused: the worker has seen a higher token, given in the report
  kNoRoom,   // a start was refused: resources are taken
  kRefused,  // refused for the reason given; it did not take effect
  kNotSent,  // the worker could not be reached: it did not take effect
  kUnknown,  // the answer was lost: it may have taken effect
};

enum class WorkerVerb {
  kFence,     // accept `token`, answer the report; changes no task
  kStart,     // start `id` under a lease
  kRenew,     // set the leases of all running tasks to `lease` from now
  kStop,      // end `id`, with a checkpoint if asked
  kThrottle,  // limit `id` to `throttle` thousandths of its processors
  kForget,    // drop the ended task `id` from the report
};

// What a started task is.
enum class TaskKind { kService, kBatch, kStanding };

struct WorkerCommand {
  WorkerVerb verb = WorkerVerb::kFence;
  std::string worker;
  std::string address;
  FencingToken token = 0;
  // Start, stop, throttle, forget.
  AttemptId id;
  // Start and renew: how long the worker may run the tasks without a renewal.
  Duration lease = Duration::zero();
  // Start.
  TaskKind kind = TaskKind::kBatch;
  Resources resources;
  // Names the program to run, as the configuration gives it.
  std::string program;
  std::string checkpoint;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // Stop.
  bool take_checkpoint = false;
  // Throttle, in thousandths.
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
