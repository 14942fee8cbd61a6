// Contract with workers that run tasks under leases and check fencing tokens.
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

// Time on a worker's own clock since it started.
using WorkerClock = std::chrono::milliseconds;

// Names a task of a job.
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

struct StartOrder {
  TaskKey task;
  std::uint32_t attempt = 0;
  // What the task does, as the caller gave it.
  std::string spec;
  WorkerClock lease_end{0};
  FencingToken token = 0;
  // Empty to start from the beginning.
  std::string checkpoint;
  // Of the advice service, where the queue asks for one.
  std::string ticket;
};

struct StopOrder {
  TaskKey task;
  std::uint32_t attempt = 0;
  FencingToken token = 0;
};

struct PaceOrder {
  TaskKey task;
  std::uint32_t attempt = 0;
  // Share of its speed at which the task works, 0 to 100.
  std::uint32_t percent = 100;
  FencingToken token = 0;
};

// Renews the lease of all that runs on the worker and asks what that is.
struct HoldOrder {
  std::optional<WorkerClock> lease_end;
  FencingToken token = 0;
  // The worker forgets ends up to this number.
  std::uint64_t acknowledged_end = 0;
  // The worker answers at the next end, at the latest after this.
  std::chrono::milliseconds wait{0};
};

enum class OrderOutcome {
  kDone,
  kFenced,      // a higher token was seen
  kSuperseded,  // this or a later attempt was there already and is over
  kLeaseOver,   // the order came after the lease that it carries
  kNoRoom,
  kBadTicket,
  kUnhealthy,         // refused without doing anything
  kInvalid,           // the worker doesn't understand the order
  kOtherIncarnation,  // another worker answers at this address
  kNotSent,           // no byte of the order left
  kUnknown,           // no answer: it may be carried out, also later
};

struct OrderAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  std::optional<WorkerClock> clock;
  std::string error;
};

struct RunningTask {
  TaskKey task;
  std::uint32_t attempt = 0;
  std::string checkpoint;
  // 0 to 100; of a standing task: 100 once it is at work.
  std::uint32_t percent = 0;
  // Over the last half second: of a standing task with a latency target the
  // tail latency in milliseconds, of any other the thousandths of a processor
  // in use.
  std::uint32_t measured = 0;
};

enum class EndKind {
  kFinished,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangBroken,      // another member of its gang ended
  kGangIncomplete,  // the other members of its gang did not come in time
};

struct EndedTask {
  // Counts the ends of one life of the worker, from 1.
  std::uint64_t number = 0;
  TaskKey task;
  std::uint32_t attempt = 0;
  EndKind kind = EndKind::kStopped;
  std::string checkpoint;
};

struct HoldAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  std::optional<WorkerClock> clock;
  // Wall time of the start of this life of the worker; 0 when it wasn't told.
  std::int64_t born_ms = 0;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  std::string error;
};

class TaskWorkers : public RefCounted<TaskWorkers> {
 public:
  virtual ~TaskWorkers() = default;
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
