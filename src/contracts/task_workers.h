// Interface to workers that run tasks under leases and check fencing tokens.
#ifndef CAROBMAST_CONTRACTS_TASK_WORKERS_H_
#define CAROBMAST_CONTRACTS_TASK_WORKERS_H_

#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "contracts/types/worker.h"
#include "framework/base/intrusive.h"
#include "framework/base/time.h"
#include "framework/net/http_client.h"

namespace carobmast::contracts {

// Time since the start of a worker, on the worker's own clock.
using WorkerClock = std::chrono::milliseconds;

// Identifies a task of a job.
struct TaskKey {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

struct WorkerTarget {
  std::string id;
  net::Address address;
};

// Each order is meant for its incarnation. Another one that is known to answer
// does not receive it (kNotSent); one that is not known may carry it out.
struct StartOrder {
  Incarnation incarnation = 0;
  TaskKey task;
  std::uint32_t attempt = 0;
  // Description of the work, passed on unchanged from the caller.
  std::string spec;
  WorkerClock lease_end{0};
  FencingToken token = 0;
  // Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  // Ticket issued by the advice service, if the queue requires one.
  std::string ticket;
};

struct StopOrder {
  Incarnation incarnation = 0;
  TaskKey task;
  std::uint32_t attempt = 0;
  FencingToken token = 0;
};

// Sets the speed of a running task.
struct PaceOrder {
  Incarnation incarnation = 0;
  TaskKey task;
  std::uint32_t attempt = 0;
  // Percentage of full speed, 0 to 100.
  std::uint32_t percent = 100;
  FencingToken token = 0;
};

// Renews the leases of all tasks on the worker and requests the list of running
// and ended tasks.
struct HoldOrder {
  // 0 for an order without a lease and acknowledgement.
  Incarnation incarnation = 0;
  std::optional<WorkerClock> lease_end;
  FencingToken token = 0;
  // The worker may discard the ended tasks up to this EndedTask::number.
  std::uint64_t acknowledged_end = 0;
  // The worker answers as soon as another task ends, or after this time at the
  // latest.
  std::chrono::milliseconds wait{0};
};

enum class OrderOutcome {
  kDone,
  kFenced,            // the worker has accepted a higher token
  kSuperseded,        // this attempt or a later one ended on this worker
  kLeaseOver,         // the order arrived after the end of its own lease
  kNoRoom,            // the worker has no room for the task
  kBadTicket,         // the worker rejected the ticket
  kUnhealthy,         // the worker is unhealthy; the order had no effect
  kInvalid,           // the worker doesn't understand the order
  kOtherIncarnation,  // a worker of another ID answers at this address
  kNotSent,           // the worker has not received the order
  kUnknown,           // no answer: the order may take effect now or later
};

struct OrderAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  std::optional<WorkerClock> clock;
  std::string error;
};

// A task that the worker is running.
struct RunningTask {
  TaskKey task;
  std::uint32_t attempt = 0;
  std::string checkpoint;
  // Progress, 0 to 100. A standing task has 100 once it is working.
  std::uint32_t percent = 0;
  // Measured over the last half second: for a standing task with a latency
  // target, the tail latency in milliseconds; for any other task, the processor
  // usage in thousandths of a processor.
  std::uint32_t measured = 0;
};

// Why a task ended.
enum class EndKind {
  kFinished,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangBroken,      // another member of its gang ended
  kGangIncomplete,  // the other members of its gang did not start in time
};

struct EndedTask {
  // Sequence number, starting at 1 whenever the worker restarts.
  std::uint64_t number = 0;
  TaskKey task;
  std::uint32_t attempt = 0;
  EndKind kind = EndKind::kStopped;
  std::string checkpoint;
};

struct HoldAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  std::optional<WorkerClock> clock;
  Incarnation born_ms = 0;
  std::vector<RunningTask> running;
  // In the order of their numbers, from the first that is not acknowledged.
  std::vector<EndedTask> ended;
  // More tasks may have ended than `ended` contains.
  bool more_ended = false;
  std::string error;
};

class TaskWorkers : public RefCounted<TaskWorkers> {
 public:
  virtual ~TaskWorkers() = default;
  // Each function sends one order and reports failures in the outcome.
  virtual boost::asio::awaitable<OrderAnswer> Start(WorkerTarget worker,
                                                    StartOrder order,
                                                    Duration timeout) = 0;
  virtual boost::asio::awaitable<OrderAnswer> Stop(WorkerTarget worker,
                                                   StopOrder order,
                                                   Duration timeout) = 0;
  virtual boost::asio::awaitable<OrderAnswer> Pace(WorkerTarget worker,
                                                   PaceOrder order,
                                                   Duration timeout) = 0;
  virtual boost::asio::awaitable<HoldAnswer> Hold(WorkerTarget worker,
                                                  HoldOrder order,
                                                  Duration timeout) = 0;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_TASK_WORKERS_H_
