#include "placement/internal/failures.h"

#include <algorithm>
#include <cmath>

namespace carobmast::placement {

namespace {

// How often tasks fail on a bad worker.
constexpr double kBadRate = 0.9;
constexpr double kLeastGoodRate = 0.05;
constexpr double kMostGoodRate = 0.85;
// The rate assumed for a type that no other worker has run, with the weight of
// one worker.
constexpr double kPriorRate = 0.1;
// Logarithm of 1000: the odds at which a worker is quarantined.
constexpr double kQuarantineScore = 6.9;
// On probation one failure that most peers do not have is enough.
constexpr double kProbationRate = 0.5;
constexpr std::size_t kPeersPerType = 16;
constexpr std::size_t kMaxFailingTasks = 50000;

}  // namespace

double Failures::FailureRate(NameId type, WorkerId besides) const {
  double failed = kPriorRate;
  double all = 1;
  const std::unordered_map<NameId, std::vector<Peer>>::const_iterator found =
      peers_.find(type);
  if (found != peers_.end()) {
    for (const Peer& peer : found->second) {
      if (peer.worker == besides) continue;
      failed += peer.failed ? 1 : 0;
      all += 1;
    }
  }
  return std::clamp(failed / all, kLeastGoodRate, kMostGoodRate);
}

void Failures::NotePeer(NameId type, WorkerId worker, bool failed) {
  std::vector<Peer>& peers = peers_[type];
  std::erase_if(peers,
                [worker](const Peer& peer) { return peer.worker == worker; });
  if (peers.size() >= kPeersPerType) peers.erase(peers.begin());
  peers.push_back({.worker = worker, .failed = failed});
}

WorkerVerdict Failures::Quarantine(WorkerId worker, MonotonicTime now) {
  WorkerEvidence& evidence = evidence_[worker];
  evidence.next_quarantine =
      std::clamp(evidence.next_quarantine * 2, options_.first_quarantine,
                 options_.max_quarantine);
  evidence.score = 0;
  quarantined_until_.emplace(now + evidence.next_quarantine, worker);
  return WorkerVerdict::kQuarantine;
}

WorkerVerdict Failures::OnEnd(WorkerId worker, NameId type,
                              const std::string& task, bool failed,
                              bool on_probation, bool may_quarantine,
                              MonotonicTime now) {
  const double rate = FailureRate(type, worker);
  NotePeer(type, worker, failed);
  if (!failed) {
    tasks_.erase(task);
  } else if (tasks_.size() < kMaxFailingTasks || tasks_.contains(task)) {
    tasks_[task].insert(worker);
  }
  if (on_probation && !failed) {
    evidence_.erase(worker);
    return WorkerVerdict::kCleared;
  }
  if (on_probation && rate < kProbationRate) return Quarantine(worker, now);
  WorkerEvidence& evidence = evidence_[worker];
  const double change = failed ? std::log(kBadRate / rate)
                               : std::log((1 - kBadRate) / (1 - rate));
  evidence.score = std::max(0.0, evidence.score + change);
  if (evidence.score < kQuarantineScore || !may_quarantine) {
    return WorkerVerdict::kUnchanged;
  }
  return Quarantine(worker, now);
}

std::vector<WorkerId> Failures::TakeReleased(MonotonicTime now) {
  std::vector<WorkerId> released;
  while (!quarantined_until_.empty() &&
         quarantined_until_.begin()->first <= now) {
    released.push_back(quarantined_until_.begin()->second);
    quarantined_until_.erase(quarantined_until_.begin());
  }
  return released;
}

void Failures::ForgetWorker(WorkerId worker) {
  evidence_.erase(worker);
  std::erase_if(quarantined_until_,
                [worker](const std::pair<MonotonicTime, WorkerId>& entry) {
                  return entry.second == worker;
                });
}

const std::set<WorkerId>* Failures::FailedOn(const std::string& task) const {
  const std::unordered_map<std::string, std::set<WorkerId>>::const_iterator
      found = tasks_.find(task);
  return found == tasks_.end() ? nullptr : &found->second;
}

}  // namespace carobmast::placement
