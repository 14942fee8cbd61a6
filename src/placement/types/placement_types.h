// Plain data of placement.
#ifndef CAROBMAST_PLACEMENT_TYPES_PLACEMENT_TYPES_H_
#define CAROBMAST_PLACEMENT_TYPES_PLACEMENT_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/types/objects.h"
#include "contracts/types/worker.h"
#include "framework/base/time.h"

namespace carobmast::placement {

struct WorkerSpec {
  std::string name;
  std::string pool;
  std::string zone;
  std::string rack;
  contracts::Resources capacity;
};

// One task that is to run or runs. `type` is the name of the configured object
// that it belongs to: what is learned is learned for the type.
struct TaskRequest {
  contracts::AttemptId id;
  std::string type;
  contracts::TaskKind kind = contracts::TaskKind::kBatch;
  std::string team;
  config::Priority priority = config::Priority::kNormal;
  std::string pool;
  contracts::Resources need;
  bool checkpoints = false;
  // Expected to run much longer than most; see PendingQueue::IsLong.
  bool is_long = false;
};

// Why a task can't start now.
enum class HoldReason {
  kNone,
  kNoSuchPool,       // never, unless the pool gets workers
  kTooLarge,         // never, unless the pool gets larger workers
  kNoFreeCapacity,   // until tasks end
  kQuota,            // until the team's tasks end or its quota grows
  kInterference,     // until a worker is free of services it would slow down
  kLongShare,        // until long tasks end: room is kept for short ones
  kFailsEverywhere,  // until an operator releases it
};

struct Choice {
  // Empty when held.
  std::string worker;
  // Thousandths of its processors that the task may use at first.
  std::uint32_t throttle = 1000;
  HoldReason hold = HoldReason::kNone;
  // For operators; empty when a worker was found.
  std::string reason;
};

// How an attempt ended.
enum class TaskEnd { kFinished, kFailed, kStopped };

enum class RemedyKind {
  kThrottle,  // limit the task to `throttle` thousandths of its processors
  kMove,      // stop it with a checkpoint; it resumes elsewhere
  kStop,      // stop it; it starts anew elsewhere
};

// What to do with a running task for the sake of others.
struct Remedy {
  RemedyKind kind = RemedyKind::kThrottle;
  std::string worker;
  contracts::AttemptId id;
  std::uint32_t throttle = 1000;
  std::string reason;
};

struct PlacementOptions {
  // Workers looked at for one decision, from each index.
  std::size_t max_candidates = 24;
  // Batch starts, and throttles are loosened, where each service's predicted
  // slowdown stays below this.
  double max_slowdown = 1.12;
  // Remedies begin above the first, and aim at the second.
  double remedy_slowdown = 1.16;
  double target_slowdown = 1.12;
  // How late reports describe the worker.
  Duration report_lag = std::chrono::seconds(10);
  // Least time between two remedies on one worker.
  Duration min_remedy_interval = std::chrono::seconds(20);
  // A remedy is loosened after the worker was well for this long.
  Duration loosen_after = std::chrono::seconds(15);
  // A task with checkpoints that is throttled below this for this long is moved
  // away, if others wait for its room.
  std::uint32_t starved_throttle = 300;
  Duration starved_after = std::chrono::seconds(60);
  // Evictions allowed for each started batch task, and the most that can be
  // saved up.
  double evictions_per_start = 0.04;
  double max_saved_evictions = 5;
  // An evicted task is not evicted again more often than this.
  std::uint32_t max_evictions_per_task = 2;
  // With guards, services are assumed to be at least at this share of the
  // highest load seen.
  double guard_share = 0.4;
  // Share of the room left by services that long batch tasks may hold while
  // short ones are about.
  double long_share = 0.92;
  Duration short_task_window = std::chrono::minutes(10);
  // Quarantine.
  Duration first_quarantine = std::chrono::minutes(1);
  Duration max_quarantine = std::chrono::hours(1);
  double max_quarantined_share = 0.25;
  // Distinct workers on which a task must fail before it is held.
  std::size_t max_failed_workers = 3;
};

struct PlacementCounters {
  std::uint64_t starts = 0;
  std::uint64_t throttles = 0;
  std::uint64_t moves = 0;
  std::uint64_t stops = 0;
  std::uint64_t evictions_refused = 0;
  std::uint64_t quarantines = 0;
  std::uint64_t tasks_held = 0;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_TYPES_PLACEMENT_TYPES_H_
