// Attributes failures of tasks: to a worker when tasks fail there that finish
// on other workers, or to a task when it fails on several healthy workers.
#ifndef CAROBMAST_PLACEMENT_INTERNAL_FAILURES_H_
#define CAROBMAST_PLACEMENT_INTERNAL_FAILURES_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/internal/ledger.h"

namespace carobmast::placement {

struct FailureTrackerOptions {
  Duration first_quarantine = Duration::zero();
  Duration max_quarantine = Duration::zero();
};

enum class QuarantineDecision {
  kUnchanged,
  kQuarantine,  // start no tasks there
  kCleared,     // a task finished on probation: use the worker as before
};

class FailureTracker {
 public:
  explicit FailureTracker(FailureTrackerOptions options) : options_(options) {}

  // Records the outcome of a task that ended by itself. `may_quarantine` is
  // false when the worker, or too large a part of its pool, is quarantined
  // already; it doesn't protect workers on probation.
  QuarantineDecision OnEnd(WorkerId worker, NameId type,
                           const std::string& task, bool failed,
                           bool on_probation, bool may_quarantine,
                           MonotonicTime now);
  // Workers whose quarantine ended since the last call. The caller puts them on
  // probation.
  std::vector<WorkerId> TakeExpiredQuarantines(MonotonicTime now);
  void ForgetWorker(WorkerId worker);

  // Workers on which the task failed since it last finished; null for none.
  const std::set<WorkerId>* FailedOn(const std::string& task) const;
  void ForgetTask(const std::string& task) { failed_workers_.erase(task); }

 private:
  // Outcome of a type's latest task on one worker.
  struct PeerOutcome {
    WorkerId worker = kNoId;
    bool failed = false;
  };
  struct WorkerEvidence {
    // Logarithm of the likelihood ratio of the outcomes for a bad worker
    // against a good one. Kept at zero or above, so that past successes don't
    // delay the detection.
    double score = 0;
    Duration next_quarantine = Duration::zero();
  };

  // Share of the other workers on which the latest task of the type failed,
  // with a prior and clamped.
  double PeerFailureRate(NameId type, WorkerId excluded) const;
  void RecordOutcome(NameId type, WorkerId worker, bool failed);
  QuarantineDecision Quarantine(WorkerId worker, MonotonicTime now);

  FailureTrackerOptions options_;
  // By type, for a bounded number of workers, oldest first.
  std::unordered_map<NameId, std::vector<PeerOutcome>> peer_outcomes_;
  std::unordered_map<WorkerId, WorkerEvidence> evidence_;
  std::set<std::pair<MonotonicTime, WorkerId>> quarantined_until_;
  std::unordered_map<std::string, std::set<WorkerId>> failed_workers_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_INTERNAL_FAILURES_H_
