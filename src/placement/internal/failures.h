// Evidence from failed tasks: against a worker when tasks that others finish
// fail there, against a task when it fails on several good workers.
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
  kQuarantine,  // start nothing there
  kCleared,     // probation was passed
};

class FailureTracker {
 public:
  explicit FailureTracker(FailureTrackerOptions options) : options_(options) {}

  // A task ended by itself. `may_quarantine` is false when too many workers
  // are quarantined already.
  QuarantineDecision OnEnd(WorkerId worker, NameId type,
                           const std::string& task, bool failed,
                           bool on_probation, bool may_quarantine,
                           MonotonicTime now);
  // Workers whose quarantine is over; each is named once and then on probation.
  std::vector<WorkerId> TakeExpiredQuarantines(MonotonicTime now);
  void ForgetWorker(WorkerId worker);

  // Workers on which the task failed; null for none.
  const std::set<WorkerId>* FailedOn(const std::string& task) const;
  void ForgetTask(const std::string& task) { failed_workers_.erase(task); }

 private:
  struct PeerOutcome {
    WorkerId worker = kNoId;
    bool failed = false;
  };
  struct WorkerEvidence {
    // Logarithm of the likelihood that the worker is bad against good, never
    // below zero.
    double score = 0;
    Duration next_quarantine = Duration::zero();
  };

  // The share of other workers on which the type failed last.
  double PeerFailureRate(NameId type, WorkerId excluded) const;
  void RecordOutcome(NameId type, WorkerId worker, bool failed);
  QuarantineDecision Quarantine(WorkerId worker, MonotonicTime now);

  FailureTrackerOptions options_;
  // The latest outcome on each of a few workers, by type.
  std::unordered_map<NameId, std::vector<PeerOutcome>> peer_outcomes_;
  std::unordered_map<WorkerId, WorkerEvidence> evidence_;
  std::set<std::pair<MonotonicTime, WorkerId>> quarantined_until_;
  std::unordered_map<std::string, std::set<WorkerId>> failed_workers_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_INTERNAL_FAILURES_H_
