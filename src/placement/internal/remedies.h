// Which remedy a worker gets whose services are slowed down, one step at a
// time: throttle, checkpoint and move, stop; and when to loosen it again.
#ifndef CAROBMAST_PLACEMENT_INTERNAL_REMEDIES_H_
#define CAROBMAST_PLACEMENT_INTERNAL_REMEDIES_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "placement/internal/slowdown.h"

namespace carobmast::placement {

// The bound on evictions, over all tasks and for each.
class EvictionBudget {
 public:
  explicit EvictionBudget(const PlacementOptions& options)
      : per_start_(options.evictions_per_start),
        max_saved_(options.max_saved_evictions),
        max_per_task_(options.max_evictions_per_task) {}

  void OnBatchStart();
  // Whether the task may be evicted now. `urgent` may use the budget ahead.
  bool Allows(const std::string& task, bool urgent) const;
  void Take(const std::string& task);
  void Forget(const std::string& task) { evicted_.erase(task); }

 private:
  double per_start_;
  double max_saved_;
  std::uint32_t max_per_task_;
  double saved_ = 1;
  std::unordered_map<std::string, std::uint32_t> evicted_;
};

class Remedies {
 public:
  Remedies(const PlacementOptions& options, const SlowdownPredictor& predictor,
           const InterferenceModel& model, EvictionBudget& budget,
           PlacementCounters& counters)
      : options_(options),
        predictor_(predictor),
        model_(model),
        budget_(budget),
        counters_(counters) {}

  // Looks at one worker after its report.
  std::optional<Remedy> Next(WorkerId id, WorkerEntry& worker, bool guards,
                             MonotonicTime now);
  void ForgetWorker(WorkerId id) { states_.erase(id); }

 private:
  struct State {
    MonotonicTime last_remedy;
    MonotonicTime well_since;
    bool had_remedy = false;
    bool is_well = false;
  };

  double WorstSlowdown(const WorkerEntry& worker, bool guards) const;
  std::optional<Remedy> Tighten(WorkerEntry& worker, bool guards);
  std::optional<Remedy> Loosen(WorkerEntry& worker, bool guards);
  std::optional<Remedy> Evict(WorkerEntry& worker, TaskEntry& culprit);
  static Remedy Throttle(const WorkerEntry& worker, TaskEntry& task,
                         std::uint32_t throttle, const char* reason);

  const PlacementOptions& options_;
  const SlowdownPredictor& predictor_;
  const InterferenceModel& model_;
  EvictionBudget& budget_;
  PlacementCounters& counters_;
  std::unordered_map<WorkerId, State> states_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_INTERNAL_REMEDIES_H_
