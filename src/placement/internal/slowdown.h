// Predicts the slowdown of services on a worker from what runs there.
#ifndef CAROBMAST_PLACEMENT_INTERNAL_SLOWDOWN_H_
#define CAROBMAST_PLACEMENT_INTERNAL_SLOWDOWN_H_

#include "placement/internal/interference.h"
#include "placement/internal/ledger.h"

namespace carobmast::placement {

class SlowdownPredictor {
 public:
  SlowdownPredictor(const InterferenceModel& model, double guard_share)
      : model_(model), guard_share_(guard_share) {}

  // Shares of the worker's processors that others than `except` use.
  CpuShares CpuSharesOn(const WorkerEntry& worker,
                        const TaskEntry* except) const;
  // The share of the worker that a task uses at a throttle.
  static double CpuShareOf(const WorkerEntry& worker,
                           const contracts::Resources& need,
                           std::uint32_t throttle);

  // Logarithms of slowdowns, with the guards of the pool.
  // Of one instance by all others on its worker:
  double InstanceLogSlowdown(const WorkerEntry& worker,
                             const TaskEntry& instance, bool guards) const;
  // Of the worst instance on the worker, with `type` at `share` added:
  double WorstLogSlowdown(const WorkerEntry& worker, NameId type, double share,
                          bool guards) const;
  // What one task adds to the worst instance that it affects:
  double LogContribution(const WorkerEntry& worker, const TaskEntry& task,
                         bool guards) const;

 private:
  double UtilizationOf(const TaskEntry& instance, bool guards) const;

  const InterferenceModel& model_;
  double guard_share_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_INTERNAL_SLOWDOWN_H_
