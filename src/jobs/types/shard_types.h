// Options, hooks and result types of ShardCore.
#ifndef CAROBMAST_JOBS_TYPES_SHARD_TYPES_H_
#define CAROBMAST_JOBS_TYPES_SHARD_TYPES_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "contracts/advice_service.h"
#include "contracts/keyed_log.h"
#include "contracts/task_workers.h"
#include "framework/telemetry/log.h"
#include "jobs/lease_witnesses.h"
#include "jobs/types/job.h"

namespace carobmast::jobs {

// A reading of both clocks. `steady` must include the time for which the VM was
// suspended.
struct ShardTime {
  MonotonicTime steady;
  WallTime wall;
};

struct ShardOptions {
  // The first fencing token of this owner, and how many it may use from there
  // on; those of a successor are higher.
  contracts::FencingToken token = 1;
  std::uint32_t token_count = 1;
  // A time at which no later owner had written to the stream; the start of the
  // owner when empty.
  std::optional<MonotonicTime> confirmed_at;
  // The node of this owner; it stands by its own owner.
  Witness node;
  // Whether the shard had an owner before.
  bool has_former_owners = true;
  // Whether no former owner extends leases without being confirmed by nodes.
  bool former_owners_need_nodes = false;
  // Longest lease that this owner asks for.
  std::chrono::milliseconds max_lease{6000};
  // Longest lease that workers grant. An order for a former incarnation of a
  // worker asks for one, since the clocks of incarnations are unrelated.
  std::chrono::milliseconds longest_lease{6000};
  // Longest time after which an order without an answer is still carried out.
  std::chrono::milliseconds max_order_delay{12000};
  // Maximum time for which a former owner may keep renewing leases without
  // noticing that it was replaced.
  std::chrono::milliseconds former_owner_timeout{10000};
  // Minimum time for which ended jobs stay known.
  std::chrono::milliseconds keep_ended{120000};
  // Delay before an order without an answer is repeated.
  std::chrono::milliseconds order_retry_interval{50};
  // Maximum time that a worker takes to end a run once it has confirmed a stop.
  std::chrono::milliseconds stop_time{500};
  // A worker that has not answered for this long gets no new tasks.
  std::chrono::milliseconds silence_timeout{700};
  // No start is sent when the view of the registry is older than this. The
  // value must be lower than the time for which operators accept that a leaving
  // worker still gets starts (at least 2 s), by the time that an order may take
  // to arrive.
  std::chrono::milliseconds max_registry_age{1600};
  // Maximum number of starts in flight; further starts are queued. A thousand
  // at once would keep a small owner from processing registry updates about
  // workers that leave.
  std::size_t max_starts_in_flight = 64;
  // Size at which a batch takes no further job; the last job may exceed it.
  std::size_t max_batch_bytes = std::size_t{1024} * 1024;
  // Larger progress of a job is stored in blocks.
  std::size_t max_undivided_bytes = std::size_t{32} * 1024;
  // Factor by which a task takes longer outside the rack of its data.
  double far_factor = 1;
};

// Actions that the core requests. A hook must not call back into the core.
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
  // The worker has seen a higher fencing token: another node owns the shard.
  std::function<void(const std::string& worker)> fenced;
  // TakeBatch has new changes.
  std::function<void()> changed;
  // The worker should get its next hold at once, not at its planned time.
  std::function<void(const std::string& worker)> hold_now;
  // Logs a decision about a job or a worker.
  std::function<void(const std::string& event,
                     const std::vector<telemetry::Field>& fields)>
      decided;
};

enum class SubmitOutcome {
  kNewJob,    // accepted once the change is stored
  kKnownJob,  // the ID was taken before; accepted once the change is stored
  kNoQueue,
  kNoRoom,  // turned away; see SubmitAnswer::retry_after
};

struct SubmitAnswer {
  SubmitOutcome outcome = SubmitOutcome::kNoQueue;
  // The change that must be stored before the caller is answered.
  std::uint64_t change = 0;
  // Only for kNoRoom.
  std::chrono::milliseconds retry_after{0};
};

enum class CancelOutcome {
  kCancelled,   // or ended before; in force once the change is stored
  kUnknownJob,  // no such job; one that is submitted later does not run, once
                // the change is stored
  kNoRoom,      // nothing was done, as too many unknown IDs were cancelled
};

struct CancelAnswer {
  CancelOutcome outcome = CancelOutcome::kNoRoom;
  // The change that must be stored before the caller is answered.
  std::uint64_t change = 0;
};

// Records to be appended together. Batches are numbered from 1.
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
  // Jobs turned away for want of room.
  std::uint64_t rejected = 0;
  std::uint64_t starts = 0;
  std::uint64_t starts_repeated = 0;
  std::uint64_t starts_refused = 0;
  std::uint64_t stops = 0;
  std::uint64_t paces = 0;
  std::uint64_t ends_finished = 0;
  std::uint64_t ends_failed = 0;
  std::uint64_t ends_stopped = 0;
  std::uint64_t runs_lost = 0;
  // Ends of runs that were given up before, and gaps in the numbers of listed
  // ends: the worker has forgotten ends that this owner has not seen.
  std::uint64_t ends_unknown = 0;
  std::uint64_t end_gaps = 0;
  // Answers to orders with a clock that the incarnation which they were meant
  // for can't have shown.
  std::uint64_t clock_mismatches = 0;
  // Reports of workers whose latencies were evaluated.
  std::uint64_t latency_updates = 0;
  std::uint64_t copies = 0;
  std::uint64_t quarantines = 0;
  // Standing tasks stopped in order to be moved to a better worker.
  std::uint64_t moves = 0;
  std::uint64_t jobs_completed = 0;
  std::uint64_t jobs_failed = 0;
  std::uint64_t jobs_cancelled = 0;
};

// Standing tasks that no worker in contact runs, as of the last summary.
struct StandingWaits {
  std::uint64_t count = 0;
  Duration longest{0};
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_TYPES_SHARD_TYPES_H_
