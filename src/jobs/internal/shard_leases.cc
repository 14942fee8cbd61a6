// How long this owner may extend leases, and how long those of its predecessors
// last.
#include <algorithm>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWitnessInterval{1000};
// An owner that was not confirmed for this long asks the witnesses more often.
// Appends confirm it many times a second while the store answers.
constexpr milliseconds kUnconfirmedAfter{500};

}  // namespace

void ShardCore::Impl::OnWitnessAnswered(const WorkerState& worker,
                                        MonotonicTime sent_at) {
  const Witness witness{.worker = worker.id, .born_ms = worker.born_ms};
  witnesses.OnAnswered(witness, sent_at);
  // Without the time of its start, the worker's incarnation is not known.
  if (witness.born_ms != 0) {
    witnesses.OnReplaced(worker.id, witness, sent_at);
  }
  const std::optional<MonotonicTime> answered_at =
      witnesses.AnsweredByMajority();
  if (answered_at.has_value()) Confirm(*answered_at);
  CheckFormerOwners();
}

void ShardCore::Impl::OnIncarnationReplaced(WorkerState& worker,
                                            MonotonicTime sent_at) {
  // Another worker may have answered at an address that this one has left.
  if (worker.address_since > sent_at) return;
  witnesses.OnReplaced(worker.id, std::nullopt, sent_at);
  CheckFormerOwners();
  std::vector<RunKey> over;
  for (Run& run : worker.runs) {
    // A later order may have reached an incarnation that began since then.
    if (run.state == RunState::kPlanned || run.ordered_at > sent_at) continue;
    over.push_back(KeyOfRun(run));
  }
  for (const RunKey& run_key : over) {
    Run* run = FindRun(worker, run_key.first, run_key.second);
    if (run != nullptr) EndRun(*run, RunEnd::kLost, "");
  }
}

void ShardCore::Impl::CheckFormerOwners() {
  if (former_owners_stopped_at.has_value()) return;
  if (witnesses.HaveLeftFormerOwners()) {
    OnFormerOwnersStopped("witnesses");
  } else if (now.steady > restored_at + options.former_owner_timeout) {
    OnFormerOwnersStopped("timeout");
  }
}

void ShardCore::Impl::OnFormerOwnersStopped(const std::string& reason) {
  if (former_owners_stopped_at.has_value()) return;
  former_owners_stopped_at = now.steady;
  // Known before the shard is restored when there are no former owners.
  const Duration after = restored_at == MonotonicTime()
                             ? Duration::zero()
                             : now.steady - restored_at;
  hooks.decided("former owners stopped", {{"after", after}, {"by", reason}});
}

void ShardCore::Impl::Confirm(MonotonicTime at) {
  confirmed_at = std::max(confirmed_at, at);
}

bool ShardCore::Impl::HaveFormerOwnersStopped() const {
  return former_owners_stopped_at.has_value();
}

bool ShardCore::Impl::IsUnconfirmed() const {
  return now.steady - confirmed_at > kUnconfirmedAfter;
}

MonotonicTime ShardCore::Impl::LeaseStart() const {
  return std::min(now.steady, confirmed_at);
}

bool ShardCore::Impl::MayWitness(const WorkerState& worker) {
  return !IsLeaving(worker) && worker.contact_at.has_value() &&
         !worker.silent_since.has_value();
}

void ShardCore::Impl::ProposeWitnesses() {
  const bool needed = witnesses.NeedsProposal([this](const Witness& witness) {
    const auto worker = workers.find(witness.worker);
    return worker != workers.end() && MayWitness(*worker->second) &&
           worker->second->born_ms == witness.born_ms;
  });
  if (!needed) return;
  std::vector<WitnessCandidate> usable;
  for (const auto& [id, worker] : workers) {
    if (!MayWitness(*worker)) continue;
    usable.push_back(
        {{.worker = id, .born_ms = worker->born_ms}, worker->entry.zone});
  }
  if (witnesses.Propose(usable)) store_witnesses = true;
}

void ShardCore::Impl::UpdateWitnesses() {
  CheckFormerOwners();
  if (now.steady - witnesses_updated_at < kWitnessInterval) return;
  witnesses_updated_at = now.steady;
  // Without other changes to store, this record confirms the owner.
  if (IsUnconfirmed() && !workers.empty()) store_witnesses = true;
  if (HaveFormerOwnersStopped()) ProposeWitnesses();
  if (store_witnesses && hooks.changed) hooks.changed();
}

}  // namespace carobmast::jobs
