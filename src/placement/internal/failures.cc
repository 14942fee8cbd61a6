#include "placement/internal/failures.h"

#include <algorithm>
#include <cmath>

namespace carobmast::placement {

namespace {

// Rate at which tasks are assumed to fail on a bad worker.
constexpr double kBadWorkerFailureRate = 0.9;
// Bounds of the rate expected on a good worker. Below kBadWorkerFailureRate, so
// that a failure always counts against the worker.
constexpr double kMinPeerFailureRate = 0.05;
constexpr double kMaxPeerFailureRate = 0.85;
// Failure rate assumed for a type that no other worker has run; it counts as
// much as one worker.
constexpr double kPriorFailureRate = 0.1;
// A worker is quarantined at odds of 1000 to 1; this is the logarithm.
constexpr double kQuarantineScore = 6.9;
// On probation one failure of a type that fails on less than this share of the
// other workers renews the quarantine.
constexpr double kProbationPeerRate = 0.5;
constexpr std::size_t kMaxPeersPerType = 16;
// Bounds memory; failures of further tasks are not tracked by task.
constexpr std::size_t kMaxTrackedTasks = 50000;

}  // namespace

double FailureTracker::PeerFailureRate(NameId type, WorkerId excluded) const {
  double failed = kPriorFailureRate;
  double all = 1;
  const std::unordered_map<NameId, std::vector<PeerOutcome>>::const_iterator
      found = peer_outcomes_.find(type);
  if (found != peer_outcomes_.end()) {
    for (const PeerOutcome& peer : found->second) {
      if (peer.worker == excluded) continue;
      failed += peer.failed ? 1 : 0;
      all += 1;
    }
  }
  return std::clamp(failed / all, kMinPeerFailureRate, kMaxPeerFailureRate);
}

void FailureTracker::RecordOutcome(NameId type, WorkerId worker, bool failed) {
  std::vector<PeerOutcome>& peers = peer_outcomes_[type];
  std::erase_if(peers, [worker](const PeerOutcome& peer) {
    return peer.worker == worker;
  });
  if (peers.size() >= kMaxPeersPerType) peers.erase(peers.begin());
  peers.push_back({.worker = worker, .failed = failed});
}

QuarantineDecision FailureTracker::Quarantine(WorkerId worker,
                                              MonotonicTime now) {
  WorkerEvidence& evidence = evidence_[worker];
  evidence.next_quarantine =
      std::clamp(evidence.next_quarantine * 2, options_.first_quarantine,
                 options_.max_quarantine);
  evidence.score = 0;
  quarantined_until_.emplace(now + evidence.next_quarantine, worker);
  return QuarantineDecision::kQuarantine;
}

QuarantineDecision FailureTracker::OnEnd(WorkerId worker, NameId type,
                                         const std::string& task, bool failed,
                                         bool on_probation, bool may_quarantine,
                                         MonotonicTime now) {
  const double rate = PeerFailureRate(type, worker);
  RecordOutcome(type, worker, failed);
  if (!failed) {
    failed_workers_.erase(task);
  } else if (failed_workers_.size() < kMaxTrackedTasks ||
             failed_workers_.contains(task)) {
    failed_workers_[task].insert(worker);
  }
  if (on_probation && !failed) {
    evidence_.erase(worker);
    return QuarantineDecision::kCleared;
  }
  if (on_probation && rate < kProbationPeerRate) return Quarantine(worker, now);
  WorkerEvidence& evidence = evidence_[worker];
  const double change =
      failed ? std::log(kBadWorkerFailureRate / rate)
             : std::log((1 - kBadWorkerFailureRate) / (1 - rate));
  evidence.score = std::max(0.0, evidence.score + change);
  if (evidence.score < kQuarantineScore || !may_quarantine) {
    return QuarantineDecision::kUnchanged;
  }
  return Quarantine(worker, now);
}

std::vector<WorkerId> FailureTracker::TakeExpiredQuarantines(
    MonotonicTime now) {
  std::vector<WorkerId> released;
  while (!quarantined_until_.empty() &&
         quarantined_until_.begin()->first <= now) {
    released.push_back(quarantined_until_.begin()->second);
    quarantined_until_.erase(quarantined_until_.begin());
  }
  return released;
}

void FailureTracker::ForgetWorker(WorkerId worker) {
  evidence_.erase(worker);
  std::erase_if(quarantined_until_,
                [worker](const std::pair<MonotonicTime, WorkerId>& entry) {
                  return entry.second == worker;
                });
}

const std::set<WorkerId>* FailureTracker::FailedOn(
    const std::string& task) const {
  const std::unordered_map<std::string, std::set<WorkerId>>::const_iterator
      found = failed_workers_.find(task);
  return found == failed_workers_.end() ? nullptr : &found->second;
}

}  // namespace carobmast::placement
