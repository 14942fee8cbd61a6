// Chooses remedies for workers whose services are slowed down, in escalating
// steps: throttle batch tasks, then move one with a checkpoint or stop it. Also
// loosens throttles once the services have recovered.
#ifndef CAROBMAST_PLACEMENT_INTERNAL_REMEDIES_H_
#define CAROBMAST_PLACEMENT_INTERNAL_REMEDIES_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "placement/internal/slowdown.h"

namespace carobmast::placement {

// Token bucket that bounds evictions relative to batch starts, with a limit for
// each task.
class EvictionBudget {
 public:
  explicit EvictionBudget(const PlacementOptions& options)
      : per_start_(options.evictions_per_start),
        max_balance_(options.max_saved_evictions),
        max_per_task_(options.max_evictions_per_task) {}

  void OnBatchStart();
  // Whether the task may be evicted now. Urgent evictions may overdraw the
  // budget.
  bool Allows(const std::string& task, bool urgent) const;
  void Spend(const std::string& task);
  void Forget(const std::string& task) { evictions_.erase(task); }

 private:
  double per_start_;
  double max_balance_;
  std::uint32_t max_per_task_;
  // Evictions available; negative when overdrawn.
  double balance_ = 1;
  std::unordered_map<std::string, std::uint32_t> evictions_;
};

// Holds references to all constructor arguments, which must outlive it.
class RemedyPlanner {
 public:
  RemedyPlanner(const PlacementOptions& options,
                const SlowdownPredictor& predictor,
                const InterferenceModel& model, EvictionBudget& budget,
                PlacementCounters& counters)
      : options_(options),
        predictor_(predictor),
        model_(model),
        budget_(budget),
        counters_(counters) {}

  // Called after each report of a worker. Updates the throttles of its tasks
  // and marks evicted ones; the returned remedies must be carried out.
  std::vector<Remedy> NextRemedies(WorkerId id, WorkerEntry& worker,
                                   bool guards, bool capacity_wanted,
                                   MonotonicTime now);
  void ForgetWorker(WorkerId id) { states_.erase(id); }

 private:
  struct State {
    MonotonicTime last_remedy;
    MonotonicTime healthy_since;
    MonotonicTime slowed_since;
    bool had_remedy = false;
    bool is_healthy = false;
    bool is_slowed = false;
  };
  // Logarithm of the largest slowdown of a service on the worker: the
  // prediction plus the smoothed residual of the measurements.
  double WorstObservedLogSlowdown(const WorkerEntry& worker, bool guards) const;
  static void UpdateState(State& state, bool is_slowed, bool is_healthy,
                          MonotonicTime now);
  // Lowers throttles until the largest slowdown is at most exp(`target`) or no
  // antagonist is left. Throttles the task that disturbs most per processor
  // first, so that batch loses as little as possible.
  void ThrottleToTarget(WorkerEntry& worker, double target, bool guards) const;
  std::vector<Remedy> Tighten(WorkerEntry& worker, bool guards);
  std::vector<Remedy> Loosen(WorkerEntry& worker, bool guards);
  void UpdateStarved(WorkerEntry& worker, MonotonicTime now) const;
  // Moves one task that has been starved for PlacementOptions::starved_after.
  std::vector<Remedy> MoveStarved(WorkerEntry& worker, MonotonicTime now);
  std::vector<Remedy> Evict(const WorkerEntry& worker, TaskEntry* task,
                            const char* reason);
  // The batch task with the largest contribution to a service's slowdown per
  // processor that it uses, among those throttled to more than
  // `above_throttle`; null for none.
  TaskEntry* FindAntagonist(const WorkerEntry& worker, bool guards,
                            std::uint32_t above_throttle) const;
  // Remedies for the tasks whose throttle differs from `before`.
  std::vector<Remedy> ThrottleRemedies(WorkerEntry& worker,
                                       const std::vector<std::uint16_t>& before,
                                       const char* reason);

  const PlacementOptions& options_;
  const SlowdownPredictor& predictor_;
  const InterferenceModel& model_;
  EvictionBudget& budget_;
  PlacementCounters& counters_;
  std::unordered_map<WorkerId, State> states_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_INTERNAL_REMEDIES_H_
