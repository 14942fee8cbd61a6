// Chooses workers for tasks, and what to do with running tasks that slow down
// services. Sans-I/O and deterministic: the same calls give the same answers.
//
// The caller tells everything that happens; a choice takes effect only with
// Commit. No decision looks at more than a bounded number of workers.
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

  // Workers. A worker that is added again gets the new capacity.
  void AddWorker(const WorkerSpec& spec);
  // Forgets the worker with all that is committed there.
  void RemoveWorker(const std::string& worker);
  // Whether new tasks may start there: reachable, owned, not leaving.
  void SetUsable(const std::string& worker, bool usable);

  // Configuration. Teams without a quota are not limited.
  void SetQuota(const std::string& team, const contracts::Resources& quota);
  void RemoveQuota(const std::string& team);
  void SetGuards(const std::string& pool, bool guards);

  // The worker for a task, or why there is none now.
  Choice Choose(const TaskRequest& request, MonotonicTime now);
  // Takes room for the task; false when there is not enough or the attempt is
  // known already. The caller sends the worker the throttle, if it is not 1000.
  bool Commit(const Choice& choice, const TaskRequest& request,
              MonotonicTime now);
  // Records a task that runs already, even beyond the capacity.
  void Adopt(const std::string& worker, const TaskRequest& request,
             MonotonicTime now);
  // The attempt has certainly ended: its room is free.
  void End(const contracts::AttemptId& id, TaskEnd end, MonotonicTime now);
  // The task will not run again: forgets what is known of it.
  void Forget(const std::string& task);
  // Lets a task that failed everywhere be tried again.
  void ReleaseHeld(const std::string& task);

  // Learns from a report, and returns remedies on that worker. They count as
  // taken; a move or a stop ends with End.
  std::vector<Remedy> OnReport(const contracts::WorkerReport& report,
                               MonotonicTime now);
  // Tasks of lower priority to stop so that `request` fits on one worker; empty
  // when there is no way within the limits.
  std::vector<Remedy> Preempt(const TaskRequest& request, MonotonicTime now);

  // For operators and tests.
  bool IsQuarantined(const std::string& worker) const;
  contracts::Resources Committed(const std::string& worker) const;
  contracts::Resources TeamCommitted(const std::string& team) const;
  // The predicted slowdown of the services on a worker; 1 for none.
  double PredictedSlowdown(const std::string& worker) const;
  const PlacementCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_PLACEMENT_H_
