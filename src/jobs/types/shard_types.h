// Options, hooks and answers of a shard's owner.
#ifndef CAROBMAST_JOBS_TYPES_SHARD_TYPES_H_
#define CAROBMAST_JOBS_TYPES_SHARD_TYPES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "contracts/advice_service.h"
#include "contracts/keyed_log.h"
#include "contracts/task_workers.h"
#include "framework/telemetry/log.h"
#include "jobs/types/job.h"

namespace carobmast::jobs {

// One reading of both clocks. `steady` also counts the time that the VM was
// suspended.
struct ShardTime {
  MonotonicTime steady;
  WallTime wall;
};

struct ShardOptions {
  contracts::FencingToken token = 1;
  // The longest lease that workers grant.
  std::chrono::milliseconds max_lease{6000};
  // How long an earlier owner may have gone on renewing leases unseen.
  std::chrono::milliseconds former_owner_timeout{10000};
  // Over jobs stay known at least this long.
  std::chrono::milliseconds keep_ended{120000};
  // Time of an unanswered order until it is repeated.
  std::chrono::milliseconds order_retry_interval{50};
  // A worker that has not answered for this long gets no new tasks.
  std::chrono::milliseconds silence_timeout{700};
  // No start goes out on a view of the registry older than this. Below the time
  // for which operators let a leaving worker get starts (2 s at least), by what
  // an order may take to arrive.
  std::chrono::milliseconds max_registry_age{1600};
  // Starts that may be without an answer at once; more wait. A thousand at once
  // would keep a small owner from hearing of workers that leave.
  std::size_t max_starts_in_flight = 64;
  // Most bytes of one batch's records.
  std::size_t max_batch_bytes = std::size_t{1024} * 1024;
  // How many times as long a task takes away from the rack of its data.
  double far_factor = 1;
};

// What the owner wants done. None may call back into the core.
struct ShardHooks {
  std::function<void(const contracts::WorkerTarget&,
                     const contracts::StartOrder&)>
      start;
  std::function<void(const contracts::WorkerTarget&,
                     const contracts::StopOrder&)>
      stop;
  std::function<void(const contracts::WorkerTarget&,
                     const contracts::PaceOrder&)>
      pace;
  // Empty where there is no advice service.
  std::function<void(const contracts::AdviceCall&)> advise;
  // The worker has seen a higher token: another node owns the shard.
  std::function<void(const std::string& worker)> fenced;
  // There is something for TakeBatch.
  std::function<void()> changed;
  // The worker should be held at once rather than at its next time.
  std::function<void(const std::string& worker)> hold_now;
  // One line for each decision about a job or a worker.
  std::function<void(const std::string& event,
                     const std::vector<telemetry::Field>& fields)>
      decided;
};

enum class SubmitOutcome {
  kNewJob,    // accepted once the change is stored
  kKnownJob,  // the ID was taken before; accepted once the change is stored
  kNoQueue,
};

struct SubmitAnswer {
  SubmitOutcome outcome = SubmitOutcome::kNoQueue;
  std::uint64_t change = 0;
};

struct CancelAnswer {
  bool known = false;
  std::uint64_t change = 0;
};

// Records to be appended together. `number` counts from 1.
struct Batch {
  std::uint64_t number = 0;
  std::vector<contracts::KeyedRecord> records;
};

struct HoldPlan {
  contracts::HoldOrder order;
  std::chrono::milliseconds pause{0};
};

struct ShardCounters {
  std::uint64_t accepted = 0;
  std::uint64_t starts = 0;
  std::uint64_t starts_repeated = 0;
  std::uint64_t starts_refused = 0;
  std::uint64_t stops = 0;
  std::uint64_t paces = 0;
  std::uint64_t ends_finished = 0;
  std::uint64_t ends_failed = 0;
  std::uint64_t ends_stopped = 0;
  std::uint64_t runs_lost = 0;
  std::uint64_t copies = 0;
  std::uint64_t quarantines = 0;
  // Standing tasks stopped to run beside others like them.
  std::uint64_t moves = 0;
  std::uint64_t jobs_completed = 0;
  std::uint64_t jobs_failed = 0;
  std::uint64_t jobs_cancelled = 0;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_TYPES_SHARD_TYPES_H_
