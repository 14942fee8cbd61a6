// Data types of the placement module.
#ifndef CAROBMAST_PLACEMENT_TYPES_PLACEMENT_TYPES_H_
#define CAROBMAST_PLACEMENT_TYPES_PLACEMENT_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/types/objects.h"
#include "contracts/types/worker.h"
#include "framework/base/time.h"

namespace carobmast::placement {

// A worker as it is registered. Rack names are unique within a zone only.
struct WorkerSpec {
  std::string name;
  std::string pool;
  std::string zone;
  std::string rack;
  contracts::Resources capacity;
};

// A waiting or running task. `type` is the name of the configured object that
// the task belongs to; interference, failures and run times are tracked by
// type.
struct TaskRequest {
  contracts::AttemptId id;
  std::string type;
  contracts::TaskKind kind = contracts::TaskKind::kBatch;
  std::string team;
  config::Priority priority = config::Priority::kNormal;
  std::string pool;
  contracts::Resources need;
  bool checkpoints = false;
  // The type's expected run time is long; see PendingQueue::IsLong.
  bool is_long = false;
};

// Why a task can't start now, and until when.
enum class HoldReason {
  kNone,
  kNoSuchPool,       // until the pool gets workers
  kTooLarge,         // until the pool gets larger workers
  kNoFreeCapacity,   // until tasks end or workers are added
  kQuota,            // until the team's tasks end or its quota grows
  kInterference,     // until it fits where it slows no service down too much
  kLongShare,        // until long tasks end: the rest is for short tasks
  kFailsEverywhere,  // until an operator releases it
};

// The worker chosen for a task, or why the task is held.
struct Choice {
  // Empty when held.
  std::string worker;
  // Initial limit, in thousandths of the processors that the task reserves.
  std::uint32_t throttle = 1000;
  HoldReason hold = HoldReason::kNone;
  // For operators; empty when a worker was found.
  std::string reason;
};

// How an attempt ended.
enum class TaskEnd {
  kFinished,  // by itself, with success
  kFailed,    // by itself, with an error
  kStopped    // by a stop or a move: counts for or against no worker
};

enum class RemedyKind {
  kThrottle,  // limit it to `throttle` thousandths of its processors
  kMove,      // stop it with a checkpoint; it resumes elsewhere
  kStop,      // stop it without one; it restarts from the beginning elsewhere
};

// An action on a running batch task that protects services or makes room for a
// task of higher priority.
struct Remedy {
  RemedyKind kind = RemedyKind::kThrottle;
  std::string worker;
  contracts::AttemptId id;
  // Set for kThrottle only.
  std::uint32_t throttle = 1000;
  // For operators.
  std::string reason;
};

// Slowdowns are factors on a service's latency; 1 means none.
struct PlacementOptions {
  // Workers examined from each index in one decision.
  std::size_t max_candidates = 24;
  // Batch tasks start, and throttles are loosened, only where the predicted
  // slowdown of each service stays below this. One task of each type may run
  // regardless.
  double max_slowdown = 1.12;
  // Remedies start when a service is slowed down by more than remedy_slowdown,
  // and throttle batch tasks until none is by more than target_slowdown.
  double remedy_slowdown = 1.16;
  double target_slowdown = 1.12;
  // Age of the measurements in a worker's report.
  Duration report_lag = std::chrono::seconds(10);
  // Minimum time between two rounds of remedies on one worker.
  Duration min_remedy_interval = std::chrono::seconds(20);
  // Throttles are loosened after all services of the worker stayed below
  // target_slowdown for this long.
  Duration loosen_after = std::chrono::seconds(15);
  // A task with checkpoints that stays throttled below starved_throttle
  // (thousandths) for starved_after is moved if tasks wait for capacity.
  std::uint32_t starved_throttle = 300;
  Duration starved_after = std::chrono::seconds(60);
  // Evictions earned by each started batch task, and the most that can
  // accumulate. Preemption may overdraw by the same number.
  double evictions_per_start = 0.04;
  double max_saved_evictions = 5;
  // Evictions of one task, over all its attempts.
  std::uint32_t max_evictions_per_task = 2;
  // In pools with guards, services are assumed to run at no less than this
  // share of their peak load, so that batch doesn't fill the reserve at
  // off-peak times.
  double guard_share = 0.4;
  // Share of the processors not reserved by services that long batch tasks may
  // hold. It applies while a short task was seen within short_task_window.
  double long_share = 0.92;
  Duration short_task_window = std::chrono::minutes(10);
  // Quarantine of workers that fail tasks. It doubles from the first to the
  // maximum each time it is renewed, until a task finishes on probation. No
  // quarantine starts beyond this share of a pool's workers, or one worker;
  // renewals on probation are exempt.
  Duration first_quarantine = std::chrono::minutes(1);
  Duration max_quarantine = std::chrono::hours(1);
  double max_quarantined_share = 0.25;
  // A task that failed on this many healthy workers, or on all of a smaller
  // pool, is held until an operator releases it.
  std::size_t max_failed_workers = 3;
};

struct PlacementCounters {
  std::uint64_t starts = 0;
  std::uint64_t throttles = 0;
  std::uint64_t moves = 0;
  std::uint64_t stops = 0;
  std::uint64_t evictions_refused = 0;
  std::uint64_t quarantines = 0;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_TYPES_PLACEMENT_TYPES_H_
