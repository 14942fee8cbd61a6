// Predicts the slowdown of services on a worker from the tasks that run there.
#ifndef CAROBMAST_PLACEMENT_INTERNAL_SLOWDOWN_H_
#define CAROBMAST_PLACEMENT_INTERNAL_SLOWDOWN_H_

#include "placement/internal/interference.h"
#include "placement/internal/ledger.h"

namespace carobmast::placement {

class SlowdownPredictor {
 public:
  SlowdownPredictor(const InterferenceModel& model, double guard_share)
      : model_(model), guard_share_(guard_share) {}

  // Shares of the worker's processors used by all tasks but `except`, at their
  // current throttles.
  CpuShares CpuSharesOn(const WorkerEntry& worker,
                        const TaskEntry* except) const;
  // Share (0 to 1) of the worker's processors that a task which reserves `need`
  // uses at most at `throttle` (thousandths).
  static double CpuShareOf(const WorkerEntry& worker,
                           const contracts::Resources& need,
                           std::uint32_t throttle);

  // The following return logarithms of slowdowns. With `guards`, instances are
  // assumed to run at no less than a share of their service's peak utilization.

  // Slowdown of one instance by all other tasks on its worker.
  double InstanceLogSlowdown(const WorkerEntry& worker,
                             const TaskEntry& instance, bool guards) const;
  // Slowdown of the worker's most affected instance if a task of `type` that
  // uses `share` of the processors were added; none is added for kNoId.
  double WorstLogSlowdown(const WorkerEntry& worker, NameId type, double share,
                          bool guards) const;
  // Largest slowdown of an instance that is due to one task.
  double LogContribution(const WorkerEntry& worker, const TaskEntry& task,
                         bool guards) const;

 private:
  double UtilizationOf(const TaskEntry& instance, bool guards) const;

  const InterferenceModel& model_;
  double guard_share_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_INTERNAL_SLOWDOWN_H_
