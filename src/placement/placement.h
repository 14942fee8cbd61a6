// Chooses workers for tasks, and remedies against running batch tasks that slow
// down services. Sans-I/O and deterministic: the same calls give the same
// answers.
//
// The caller reports all starts, ends and measurements. A choice takes effect
// only with Commit. Each decision examines a bounded number of workers.
#ifndef CAROBMAST_PLACEMENT_PLACEMENT_H_
#define CAROBMAST_PLACEMENT_PLACEMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "placement/types/placement_types.h"

namespace carobmast::placement {

class Placement {
 public:
  explicit Placement(PlacementOptions options);
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  // Registers a worker, or updates the capacity of a registered one. No task
  // starts there before SetUsable.
  void AddWorker(const WorkerSpec& spec);
  // Removes the worker and all tasks committed there.
  void RemoveWorker(const std::string& worker);
  // Whether tasks may start on the worker. The caller passes true for workers
  // that are reachable, owned by it and not about to leave.
  void SetUsable(const std::string& worker, bool usable);

  // Limits the sum of what a team's tasks reserve. Teams without a quota are
  // not limited.
  void SetQuota(const std::string& team, const contracts::Resources& quota);
  void RemoveQuota(const std::string& team);
  // Whether batch leaves a reserve for the services' peak load; see
  // PlacementOptions::guard_share.
  void SetGuards(const std::string& pool, bool guards);

  // Chooses a worker for a task, or tells why none can take it now.
  Choice Choose(const TaskRequest& request, MonotonicTime now);
  // Reserves the resources of the task on the chosen worker. Returns false, and
  // changes nothing, when the worker is gone or lacks free capacity, or when
  // the attempt is committed already. The caller sends a throttle other than
  // 1000 to the worker.
  bool Commit(const Choice& choice, const TaskRequest& request,
              MonotonicTime now);
  // Records a task that already runs on the worker, even beyond its capacity.
  void Adopt(const std::string& worker, const TaskRequest& request,
             MonotonicTime now);
  // Frees the resources of an attempt. The caller must be certain that it no
  // longer runs.
  void End(const contracts::AttemptId& id, TaskEnd end, MonotonicTime now);
  // Drops the failure and eviction history of a task that won't run again.
  void Forget(const std::string& task);
  // Clears the failures of a task held with kFailsEverywhere, so that it is
  // tried again.
  void ReleaseHeld(const std::string& task);

  // Updates the interference model from a report, and returns remedies for that
  // worker, which the caller must carry out. Throttles count as applied at
  // once; a moved or stopped task keeps its resources until End.
  std::vector<Remedy> OnReport(const contracts::WorkerReport& report,
                               MonotonicTime now);
  // Tasks of lower priority to stop so that `request` fits on one worker, which
  // the caller must carry out; empty when quotas, the eviction budget or the
  // priorities don't allow it. Their resources are free only after End.
  std::vector<Remedy> Preempt(const TaskRequest& request, MonotonicTime now);

  // State for operators and tests.
  bool IsQuarantined(const std::string& worker) const;
  contracts::Resources Committed(const std::string& worker) const;
  contracts::Resources TeamCommitted(const std::string& team) const;
  // Predicted slowdown of the worker's most affected service; 1 means none.
  double PredictedSlowdown(const std::string& worker) const;
  const PlacementCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_PLACEMENT_H_
