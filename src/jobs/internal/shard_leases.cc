// How long this owner may extend leases, and how long those of its predecessors
// last.
#include <algorithm>
#include <utility>

#include "jobs/internal/shard_impl.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWitnessInterval{1000};
// An owner that was not confirmed for this long asks the witnesses more often.
// Appends confirm it many times a second while the store answers.
constexpr milliseconds kUnconfirmedAfter{500};
// Nodes answer several times a second. One that has not for this long is not
// chosen as a witness.
constexpr milliseconds kNodeSilentAfter{1500};
// A worker's clock runs at this fraction of the owner's rate at least.
constexpr double kMinClockRate = 0.98;
// Time after the end of a lease by which the worker has ended all runs under
// it.
constexpr milliseconds kLeaseEndMargin{100};
// A start is not sent when the owner was confirmed longer ago: a worker that
// has restarted under its ID would count the lease from the arrival of the
// order, whatever the owner's permission.
constexpr milliseconds kMaxStartDelay{1000};
// A worker that answers again sooner goes on without a pause of its leases.
constexpr milliseconds kRecordLeaseWaitAfter{1000};
// Workers beyond this size are not recorded: a next owner waits for the longest
// lease on them.
constexpr std::size_t kMaxLeaseWaitsBytes = std::size_t{64} * 1024;
// Of an entry of the record, besides the worker's ID.
constexpr std::size_t kLeaseWaitBytes = 10;
// As kMaxLeaseWaitsBytes and kLeaseWaitBytes, of the record of incarnations.
constexpr std::size_t kMaxIncarnationsBytes = std::size_t{64} * 1024;
constexpr std::size_t kIncarnationBytes = 12;

// An order that is neither lost nor held up arrives within this time.
constexpr milliseconds kUsualOrderDelay{500};
// How far the wall clocks of a worker and a node differ at most.
constexpr milliseconds kWallClockMargin{30000};

Duration OnSlowestClock(milliseconds lease) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(Duration(lease).count()) / kMinClockRate));
}

}  // namespace

void ShardCore::Impl::OnWitnessAnswered(const WorkerState& worker,
                                        MonotonicTime sent_at) {
  const Witness witness{.id = worker.id, .incarnation = worker.born_ms};
  if (!witnesses.OnAnswered(witness, sent_at) &&
      !witnesses.Contains(worker.id)) {
    return;
  }
  // Without the time of its start, the worker's incarnation is not known.
  if (witness.incarnation != 0) witnesses.OnReplaced(worker.id, witness);
  ConfirmByWitnesses();
  CheckFormerOwners();
}

void ShardCore::Impl::OnNodeAnswered(const WitnessCandidate& node,
                                     MonotonicTime asked_at) {
  NodeAnswer& answer = node_answers[node.witness.id];
  if (asked_at < answer.asked_at || asked_at > now.steady) return;
  answer = {.node = node, .asked_at = asked_at};
  if (!restored) return;
  if (!node_witnesses.OnAnswered(node.witness, asked_at) &&
      !node_witnesses.Contains(node.witness.id)) {
    return;
  }
  // Before, a former owner may have chosen an incarnation that began since.
  if (asked_at > restored_at) {
    node_witnesses.OnReplaced(node.witness.id, node.witness);
  }
  ConfirmByWitnesses();
  CheckFormerOwners();
}

void ShardCore::Impl::RestoreNodeAnswers() {
  node_witnesses.OnAnswered(options.node, now.steady);
  node_witnesses.OnReplaced(options.node.id, options.node);
  for (const auto& [name, answer] : node_answers) {
    node_witnesses.OnAnswered(answer.node.witness, answer.asked_at);
  }
  CheckFormerOwners();
}

void ShardCore::Impl::ConfirmByWitnesses() {
  const std::optional<MonotonicTime> by_workers =
      witnesses.AnsweredByMajority();
  if (!by_workers.has_value()) return;
  if (node_witnesses.IsEmpty()) {
    Confirm(*by_workers);
    return;
  }
  node_witnesses.OnAnswered(options.node, now.steady);
  const std::optional<MonotonicTime> by_nodes =
      node_witnesses.AnsweredByMajority();
  if (by_nodes.has_value()) Confirm(std::min(*by_workers, *by_nodes));
}

void ShardCore::Impl::OnIncarnationReplaced(WorkerState& worker,
                                            MonotonicTime sent_at) {
  // Another worker may have answered at an address that this one has left.
  if (worker.address_since > sent_at) return;
  witnesses.OnReplaced(worker.id, std::nullopt);
  CheckFormerOwners();
  std::vector<RunKey> over;
  for (Run& run : worker.runs) {
    // A later order may have reached an incarnation that began since then.
    if (run.state == RunState::kPlanned || run.ordered_at > sent_at) continue;
    over.push_back(KeyOfRun(run));
  }
  if (!over.empty()) LogLostRuns(worker, over.size(), "replaced");
  for (const RunKey& run_key : over) {
    Run* run = FindRun(worker, run_key.first, run_key.second);
    if (run != nullptr) EndRun(*run, RunEnd::kLost, "");
  }
}

void ShardCore::Impl::CheckFormerOwners() {
  if (former_owners_stopped_at.has_value()) return;
  if (witnesses.HaveLeftFormerOwners()) {
    OnFormerOwnersStopped("workers");
  } else if (options.former_owners_need_nodes &&
             node_witnesses.HaveLeftFormerOwners()) {
    OnFormerOwnersStopped("nodes");
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

bool ShardCore::Impl::IsNewborn(contracts::Incarnation incarnation) const {
  if (incarnation == 0) return false;
  const WallTime born{milliseconds(incarnation)};
  return now.wall - born <
         options.max_order_delay + options.longest_lease + kWallClockMargin;
}

bool ShardCore::Impl::MayHaveForeignLease(
    const WorkerState& worker, contracts::Incarnation incarnation) const {
  if (!IsNewborn(incarnation)) return false;
  if (restarted_ids.contains(worker.id)) return true;
  if (!options.has_former_owners) return false;
  const Duration longest = options.max_order_delay +
                           OnSlowestClock(options.longest_lease) +
                           kLeaseEndMargin;
  if (former_owners_stopped_at.has_value() &&
      now.steady - *former_owners_stopped_at > longest) {
    return false;
  }
  const auto known = restored_incarnations.find(worker.id);
  return known == restored_incarnations.end() || known->second != incarnation;
}

std::map<std::string, contracts::Incarnation>
ShardCore::Impl::FollowedIncarnations() const {
  std::map<std::string, contracts::Incarnation> followed;
  std::size_t bytes = 0;
  for (const auto& [id, worker] : workers) {
    if (!worker->listed || !worker->contact_at.has_value() ||
        worker->restart_suspected ||
        worker->entry.incarnation != worker->born_ms ||
        !IsNewborn(worker->born_ms) ||
        MayHaveForeignLease(*worker, worker->born_ms)) {
      continue;
    }
    bytes += id.size() + kIncarnationBytes;
    if (bytes > kMaxIncarnationsBytes) break;
    followed.emplace(id, worker->born_ms);
  }
  return followed;
}

bool ShardCore::Impl::NeedsToStoreIncarnations() const {
  const bool some_restarted =
      std::any_of(stored_incarnations.begin(), stored_incarnations.end(),
                  [this](const auto& stored) {
                    return restarted_ids.contains(stored.first);
                  });
  if (some_restarted) return true;
  const std::map<std::string, contracts::Incarnation> followed =
      FollowedIncarnations();
  return std::any_of(followed.begin(), followed.end(),
                     [this](const auto& each) {
                       const auto stored = stored_incarnations.find(each.first);
                       return stored == stored_incarnations.end() ||
                              stored->second != each.second;
                     });
}

bool ShardCore::Impl::RestoreIncarnations(const std::string& bytes) {
  proto::FollowedIncarnations record;
  if (!record.ParseFromString(bytes)) return false;
  for (const proto::FollowedIncarnations::Worker& worker : record.workers()) {
    restored_incarnations[worker.id()] = worker.incarnation();
  }
  stored_incarnations = restored_incarnations;
  return true;
}

std::string ShardCore::Impl::TakeIncarnations() {
  stored_incarnations = FollowedIncarnations();
  proto::FollowedIncarnations record;
  for (const auto& [id, incarnation] : stored_incarnations) {
    proto::FollowedIncarnations::Worker& worker = *record.add_workers();
    worker.set_id(id);
    worker.set_incarnation(incarnation);
  }
  return record.SerializeAsString();
}

void ShardCore::Impl::OnRestarted(WorkerState& worker) {
  restarted_ids.insert(worker.id);
  worker.foreign_leases_until = worker.leased_at + options.max_order_delay +
                                OnSlowestClock(options.longest_lease) +
                                kLeaseEndMargin;
  worker.is_fenced =
      !RaiseToken(worker, options.token_count, "worker restarted");
}

void ShardCore::Impl::OnFenced(WorkerState& worker) {
  worker.is_fenced = true;
  worker.foreign_leases_until = std::min(
      worker.foreign_leases_until,
      now.steady + OnSlowestClock(options.longest_lease) + kLeaseEndMargin);
}

Duration ShardCore::Impl::LeaseWait(const WorkerState& worker) const {
  if (worker.clock.has_value()) {
    const MonotonicTime own_leases_until =
        worker.clock_at +
        OnSlowestClock(worker.lease_end + kLeaseEndMargin - *worker.clock);
    return std::max(own_leases_until, worker.foreign_leases_until) - now.steady;
  }
  const MonotonicTime last_order = former_owners_stopped_at.value_or(
      restored_at + options.former_owner_timeout);
  const Duration wait =
      last_order +
      OnSlowestClock(MayHaveForeignLease(worker, worker.entry.incarnation)
                         ? options.longest_lease
                         : options.max_lease) +
      kLeaseEndMargin - now.steady;
  const auto stored = restored_lease_waits.find(worker.id);
  if (stored == restored_lease_waits.end()) return wait;
  return std::min(wait, restored_at + stored->second - now.steady);
}

Duration ShardCore::Impl::RunWait(const Run& run) const {
  const WorkerState& worker = *run.worker;
  const Duration lease_wait = LeaseWait(worker);
  if (!run.IsStartInDoubt() || run.ordered_at == MonotonicTime()) {
    return lease_wait;
  }
  const bool has_restarted = worker.entry.incarnation > worker.born_ms;
  // Nothing shows a restart, and a standing task must not be away for long.
  if (!has_restarted && run.task->step->spec->standing) return lease_wait;
  const milliseconds delay =
      has_restarted ? options.max_order_delay : kUsualOrderDelay;
  // A later order may extend the lease with which the start was carried out.
  return std::max(lease_wait, std::max(run.ordered_at, worker.leased_at) +
                                  delay +
                                  OnSlowestClock(options.longest_lease) +
                                  kLeaseEndMargin - now.steady);
}

bool ShardCore::Impl::RestoreLeaseWaits(const std::string& bytes) {
  proto::LeaseWaits record;
  if (!record.ParseFromString(bytes)) return false;
  for (const proto::LeaseWaits::Worker& worker : record.workers()) {
    stored_lease_waits.insert(worker.id());
    // An owner of an earlier version may have granted leases since.
    if (!options.former_owners_need_nodes) continue;
    restored_lease_waits[worker.id()] = milliseconds(worker.remaining_ms());
  }
  store_lease_waits = !stored_lease_waits.empty();
  return true;
}

std::optional<MonotonicTime> ShardCore::Impl::UnansweredSince(
    const WorkerState& worker) const {
  if (worker.contact_at.has_value()) return worker.silent_since;
  return std::max(worker.known_since, restored_at);
}

bool ShardCore::Impl::IsLeaseWaitRecorded(const WorkerState& worker) const {
  if (worker.runs.empty()) return false;
  const std::optional<MonotonicTime> since = UnansweredSince(worker);
  if (!since.has_value()) return false;
  const bool is_restored = !worker.contact_at.has_value() &&
                           restored_lease_waits.contains(worker.id);
  return is_restored || now.steady - *since > kRecordLeaseWaitAfter;
}

Duration ShardCore::Impl::LongestWait(const WorkerState& worker) const {
  Duration longest = LeaseWait(worker);
  for (const Run& run : worker.runs) longest = std::max(longest, RunWait(run));
  return longest;
}

std::string ShardCore::Impl::TakeLeaseWaits() {
  std::set<std::string> taken;
  proto::LeaseWaits record;
  std::size_t bytes = 0;
  for (const auto& [id, worker] : workers) {
    if (!IsLeaseWaitRecorded(*worker)) continue;
    bytes += id.size() + kLeaseWaitBytes;
    if (bytes > kMaxLeaseWaitsBytes) break;
    proto::LeaseWaits::Worker& entry = *record.add_workers();
    entry.set_id(id);
    entry.set_remaining_ms(static_cast<std::uint32_t>(
        std::max(std::chrono::ceil<milliseconds>(LongestWait(*worker)),
                 milliseconds(0))
            .count()));
    taken.insert(id);
  }
  storing_lease_waits = std::move(taken);
  return record.SerializeAsString();
}

bool ShardCore::Impl::MayGrantLease(const WorkerState& worker) const {
  return !stored_lease_waits.contains(worker.id) &&
         !(storing_lease_waits.has_value() &&
           storing_lease_waits->contains(worker.id));
}

bool ShardCore::Impl::HasLeaseRecords() const {
  return store_witnesses || store_node_witnesses || store_lease_waits ||
         store_incarnations;
}

void ShardCore::Impl::AddLeaseRecords(Batch& batch) {
  if (std::exchange(store_witnesses, false)) {
    witnesses.OnStoring();
    batch.records.push_back({kWitnessesKey, witnesses.Encode()});
  }
  if (std::exchange(store_node_witnesses, false)) {
    node_witnesses.OnStoring();
    batch.records.push_back({kNodeWitnessesKey, node_witnesses.Encode()});
  }
  if (std::exchange(store_lease_waits, false)) {
    batch.records.push_back({kLeaseWaitsKey, TakeLeaseWaits()});
  }
  if (std::exchange(store_incarnations, false)) {
    batch.records.push_back({kIncarnationsKey, TakeIncarnations()});
  }
}

void ShardCore::Impl::OnLeaseRecordsStored() {
  witnesses.OnStored();
  node_witnesses.OnStored();
  if (!storing_lease_waits.has_value()) return;
  stored_lease_waits = std::move(*storing_lease_waits);
  storing_lease_waits.reset();
  RequestSchedule();
}

bool ShardCore::Impl::IsUnconfirmed() const {
  return now.steady - confirmed_at > kUnconfirmedAfter;
}

bool ShardCore::Impl::MayStart() const {
  return now.steady - confirmed_at <= kMaxStartDelay;
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
    const auto worker = workers.find(witness.id);
    return worker != workers.end() && MayWitness(*worker->second) &&
           worker->second->born_ms == witness.incarnation;
  });
  if (!needed) return;
  std::vector<WitnessCandidate> usable;
  for (const auto& [id, worker] : workers) {
    if (!MayWitness(*worker)) continue;
    usable.push_back(
        {{.id = id, .incarnation = worker->born_ms}, worker->entry.zone});
  }
  if (witnesses.Propose(usable)) store_witnesses = true;
}

void ShardCore::Impl::ProposeNodeWitnesses() {
  const auto may_witness = [this](const NodeAnswer& answer) {
    return now.steady - answer.asked_at < kNodeSilentAfter;
  };
  const bool needed = node_witnesses.NeedsProposal(
      [this, &may_witness](const Witness& witness) {
        const auto answer = node_answers.find(witness.id);
        return answer != node_answers.end() && may_witness(answer->second) &&
               answer->second.node.witness == witness;
      });
  if (!needed) return;
  std::vector<WitnessCandidate> usable;
  for (const auto& [name, answer] : node_answers) {
    if (may_witness(answer)) usable.push_back(answer.node);
  }
  // In a set of odd size the least share of the others is a majority.
  if (usable.size() % 2 == 0) usable.push_back({.witness = options.node});
  if (node_witnesses.Propose(usable)) store_node_witnesses = true;
}

void ShardCore::Impl::UpdateWitnesses() {
  CheckFormerOwners();
  if (now.steady - witnesses_updated_at < kWitnessInterval) return;
  witnesses_updated_at = now.steady;
  // Without other changes to store, this record confirms the owner.
  if (now.steady - store_confirmed_at > kUnconfirmedAfter) {
    store_witnesses = true;
  }
  if (former_owners_stopped_at.has_value()) {
    ProposeWitnesses();
    ProposeNodeWitnesses();
  }
  const bool has_lease_waits = std::any_of(
      workers.begin(), workers.end(),
      [this](const auto& entry) { return IsLeaseWaitRecorded(*entry.second); });
  if (has_lease_waits || !stored_lease_waits.empty()) store_lease_waits = true;
  if (NeedsToStoreIncarnations()) store_incarnations = true;
  if (HasLeaseRecords() && hooks.changed) hooks.changed();
}

}  // namespace carobmast::jobs
