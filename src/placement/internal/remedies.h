// Which remedy a worker gets whose services are slowed down, one step at a
// time: throttle, checkpoint and move, stop; and when to loosen it again.
#ifndef CAROBMAST_PLACEMENT_INTERNAL_REMEDIES_H_
#define CAROBMAST_PLACEMENT_INTERNAL_REMEDIES_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "placement/internal/slowdown.h"

namespace carobmast::placement {

// The bound on evictions, over all tasks and for each.
class EvictionBudget {
 public:
  explicit EvictionBudget(const PlacementOptions& options)
      : per_start_(options.evictions_per_start),
        max_balance_(options.max_saved_evictions),
        max_per_task_(options.max_evictions_per_task) {}

  void OnBatchStart();
  // Whether the task may be evicted now. `urgent` may use the budget ahead.
  bool Allows(const std::string& task, bool urgent) const;
  void Spend(const std::string& task);
  void Forget(const std::string& task) { evictions_per_task_.erase(task); }

 private:
  double per_start_;
  double max_balance_;
  std::uint32_t max_per_task_;
  double balance_ = 1;
  std::unordered_map<std::string, std::uint32_t> evictions_per_task_;
};

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

  // Looks at one worker after its report.
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
  // The worst logarithm of a slowdown on the worker: predicted, plus what the
  // model did not explain so far.
  double WorstObservedLogSlowdown(const WorkerEntry& worker, bool guards) const;
  static void UpdateState(State& state, bool is_slowed, bool is_healthy,
                          MonotonicTime now);
  // Sets the throttles with which the worst slowdown is at most `target`, at
  // the least cost to batch. Does not act yet.
  void ThrottleToTarget(WorkerEntry& worker, double target, bool guards) const;
  std::vector<Remedy> Tighten(WorkerEntry& worker, bool guards);
  std::vector<Remedy> Loosen(WorkerEntry& worker, bool guards);
  void UpdateStarved(WorkerEntry& worker, MonotonicTime now) const;
  // Moves a task away that gets nearly no processor time.
  std::vector<Remedy> MoveStarved(WorkerEntry& worker, MonotonicTime now);
  std::vector<Remedy> Evict(const WorkerEntry& worker, TaskEntry* task,
                            const char* reason);
  // The batch task that disturbs most for each processor that it uses.
  TaskEntry* FindAntagonist(const WorkerEntry& worker, bool guards,
                            std::uint32_t min_throttle) const;
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
