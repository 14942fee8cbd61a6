// Ownership of cells: claims, members, and the fencing of each worker.
#include <algorithm>
#include <utility>

#include "work/internal/rendezvous.h"
#include "work/internal/scheduler_impl.h"

namespace carobmast::work {
namespace {

// Maximum number of workers in a cell.
constexpr std::size_t kMaxMembers = 64;

// Total size of the task ids and checkpoints in one relinquish record.
constexpr std::size_t kMaxCheckpointBytes = std::size_t{512} * 1024;

// Delay before a cell that this process relinquished and won back may be
// relinquished for balance again; doubles each time.
constexpr std::chrono::minutes kMinRebalanceBackoff{1};
constexpr std::chrono::hours kMaxRebalanceBackoff{1};

// How long an owner that didn't reach a cell lets other schedulers claim it
// first.
constexpr std::chrono::minutes kAvoidUnreachedCell{2};

std::string CellOf(const contracts::Vm& vm) { return vm.zone + "/" + vm.rack; }

}  // namespace

bool SchedulerCore::Impl::Owned(const TrackedCell& cell) const {
  return cell.state == CellState::kFencing ||
         cell.state == CellState::kServing ||
         cell.state == CellState::kSuspended;
}

TrackedCell* SchedulerCore::Impl::FindOwned(const std::string& cell) {
  const auto found = cells_.find(cell);
  if (found == cells_.end() || !Owned(found->second)) return nullptr;
  return &found->second;
}

std::size_t SchedulerCore::Impl::ServingCells() const {
  return static_cast<std::size_t>(
      std::count_if(cells_.begin(), cells_.end(), [](const auto& entry) {
        return entry.second.state == CellState::kServing;
      }));
}

void SchedulerCore::Impl::SyncCells(MonotonicTime now,
                                    const FoldChanges& changes) {
  if (!changes.reset) {
    for (const std::string& cell : changes.cells) SyncCell(now, cell);
    return;
  }
  std::set<std::string> names;
  for (const auto& [name, cell] : cells_) names.insert(name);
  for (const auto& [name, cell] : fold_.cells()) names.insert(name);
  for (const std::string& name : names) SyncCell(now, name);
}

void SchedulerCore::Impl::SyncCell(MonotonicTime now, const std::string& name) {
  const FoldedCell* folded = fold_.FindCell(name);
  TrackedCell& cell = cells_[name];
  cell.cell = name;
  if (folded != nullptr) cell.zone = folded->zone;
  const contracts::FencingToken token = folded == nullptr ? 0 : folded->token;
  if (cell.claim_in_flight.has_value() && *cell.claim_in_flight != token) {
    cell.claim_in_flight.reset();
  }
  const bool is_owner = folded != nullptr && folded->owner == options_.name;
  if (is_owner && (!Owned(cell) || cell.token != token)) {
    cell.token = token;
    cell.claimed_at = now;
    cell.wants_new_token = false;
    cell.membership_in_flight.clear();
    OnClaimWon(now, cell);
    Fire(now, cell, CellEvent::kClaimWon);
    ++counters_.claims;
  } else if (!is_owner && (Owned(cell) || !cell.claim_in_flight.has_value())) {
    if (Owned(cell)) ++counters_.cells_lost;
    if (folded != nullptr && !folded->owner.empty()) cell.released = false;
    Fire(now, cell, CellEvent::kLost);
  }
  if (!Owned(cell)) return;
  SyncMembers(now, cell);
  CheckResolved(now, cell);
}

void SchedulerCore::Impl::ConsiderClaims(MonotonicTime now) {
  if (!LogHealthy(now)) return;
  for (auto& [name, cell] : cells_) ConsiderClaim(now, cell);
}

void SchedulerCore::Impl::ConsiderClaim(MonotonicTime now, TrackedCell& cell) {
  if (cell.claim_in_flight.has_value()) return;
  const FoldedCell* folded = fold_.FindCell(cell.cell);
  if (Owned(cell)) {
    if (cell.wants_new_token) SendClaim(now, cell);
    return;
  }
  const bool has_owner = folded != nullptr && !folded->owner.empty() &&
                         monitor_.Alive(folded->owner, now);
  if (has_owner) {
    cell.free_since.reset();
    return;
  }
  if (!cell.free_since.has_value()) cell.free_since = now;
  const std::optional<MonotonicTime> due =
      ClaimDue(now, cell, *cell.free_since);
  if (due.has_value() && now >= *due) SendClaim(now, cell);
}

std::optional<MonotonicTime> SchedulerCore::Impl::ClaimDue(
    MonotonicTime now, const TrackedCell& cell,
    MonotonicTime free_since) const {
  std::vector<std::string> alive = monitor_.AliveIn({cell.zone}, now);
  MonotonicTime due = free_since;
  if (cell.zone != options_.zone) {
    if (!alive.empty()) return std::nullopt;
    alive = monitor_.AliveIn({}, now);
    due += options_.orphan_after;
  }
  std::size_t rank = RendezvousRank(cell.cell, options_.name, alive);
  if (now < cell.avoid_until) rank += alive.size();
  return due + rank * options_.claim_rank_delay;
}

void SchedulerCore::Impl::SendClaim(MonotonicTime now, TrackedCell& cell) {
  const FoldedCell* folded = fold_.FindCell(cell.cell);
  const contracts::FencingToken previous =
      folded == nullptr ? 0 : folded->token;
  queue_.Add(ClaimRecord{.cell = cell.cell,
                         .zone = cell.zone,
                         .scheduler = options_.name,
                         .previous = previous});
  cell.claim_in_flight = previous;
  cell.free_since.reset();
  Fire(now, cell, CellEvent::kClaimSent);
}

// Whether the cell has an unreachable worker whose leases have yet to expire.
// Only the owner that fenced that worker can tell when they have, so the cell
// must not change its owner before.
bool SchedulerCore::Impl::AwaitsLeaseExpiry(const TrackedCell& cell) const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [&cell](const auto& entry) {
                       const WorkerSession& session = entry.second;
                       return session.cell == cell.cell &&
                              session.contact == Contact::kUnreachable &&
                              !session.tasks.empty();
                     });
}

void SchedulerCore::Impl::Rebalance(MonotonicTime now) {
  if (now < next_rebalance_ || !LogHealthy(now)) return;
  next_rebalance_ = now + options_.rebalance_every;
  for (auto& [name, cell] : cells_) {
    if (cell.state != CellState::kServing || now < cell.pinned_until) continue;
    const std::vector<std::string> alive = monitor_.AliveIn({cell.zone}, now);
    const bool ranked_first = RendezvousRank(name, options_.name, alive) == 0;
    const bool foreign = cell.zone != options_.zone && !alive.empty();
    if (ranked_first && !foreign) continue;
    if (AwaitsLeaseExpiry(cell)) continue;
    // The cell can't be relinquished while commands to its workers are in
    // flight.
    const bool busy = std::any_of(
        commands_.begin(), commands_.end(), [&](const auto& command) {
          const auto session = sessions_.find(command.second.worker);
          return session != sessions_.end() && session->second.cell == name;
        });
    if (busy) {
      next_rebalance_ = now;
      continue;
    }
    Relinquish(now, cell);
    return;
  }
}

std::vector<KnownCheckpoint> SchedulerCore::Impl::CheckpointsOf(
    const TrackedCell& cell) const {
  std::vector<KnownCheckpoint> checkpoints;
  std::size_t bytes = 0;
  for (const auto& [id, task] : local_tasks_) {
    if (task.cell != cell.cell || task.checkpoint.empty()) continue;
    bytes += id.size() + task.checkpoint.size();
    if (bytes > kMaxCheckpointBytes) break;
    checkpoints.push_back({.task = id, .checkpoint = task.checkpoint});
  }
  return checkpoints;
}

void SchedulerCore::Impl::Relinquish(MonotonicTime now, TrackedCell& cell) {
  queue_.Add(RelinquishRecord{.cell = cell.cell,
                              .token = cell.token,
                              .checkpoints = CheckpointsOf(cell)});
  cell.released = true;
  // Suspends the cell: nothing is started any more, until the relinquish record
  // is read back.
  Fire(now, cell, CellEvent::kStale);
}

void SchedulerCore::Impl::OnClaimWon(MonotonicTime now, TrackedCell& cell) {
  cell.unreached_since.reset();
  if (cell.released) {
    cell.rebalance_backoff = std::clamp<Duration>(
        cell.rebalance_backoff * 2, kMinRebalanceBackoff, kMaxRebalanceBackoff);
  } else {
    cell.rebalance_backoff = Duration::zero();
  }
  cell.released = false;
  cell.pinned_until = now + cell.rebalance_backoff;
}

void SchedulerCore::Impl::RelinquishUnreached(MonotonicTime now) {
  if (!LogHealthy(now)) return;
  for (auto& [name, cell] : cells_) {
    const bool active =
        cell.state == CellState::kFencing || cell.state == CellState::kServing;
    if (active) RelinquishUnreached(now, cell);
  }
}

void SchedulerCore::Impl::RelinquishUnreached(MonotonicTime now,
                                              TrackedCell& cell) {
  std::size_t present = 0;
  std::size_t reached = 0;
  std::size_t unfenced = 0;
  const FoldedCell* folded = fold_.FindCell(cell.cell);
  for (const auto& [name, member] : folded->members) {
    const WorkerSession* session = FindSession(name);
    if (session == nullptr || session->absent_since.has_value()) continue;
    ++present;
    if (session->contact == Contact::kFenced) ++reached;
    if (session->contact == Contact::kUnfenced) ++unfenced;
  }
  // Workers that were fenced and became unreachable later are no reason to
  // relinquish: only this owner knows when their leases expire.
  const bool reaches = reached > 0 && unfenced * 2 < present;
  // There must be another scheduler that can take over the cell.
  const bool alone = monitor_.AliveIn({cell.zone}, now).size() < 2;
  if (reaches || present == 0 || now < cell.avoid_until || alone) {
    cell.unreached_since.reset();
    return;
  }
  if (!cell.unreached_since.has_value()) cell.unreached_since = now;
  if (now - *cell.unreached_since < options_.unreached_limit) return;

  cell.avoid_until = now + kAvoidUnreachedCell;
  Relinquish(now, cell);
}

void SchedulerCore::Impl::AdoptMembers(MonotonicTime now, TrackedCell& cell) {
  const FoldedCell* folded = fold_.FindCell(cell.cell);
  for (const auto& [name, member] : folded->members) {
    AddSession(now, cell, member);
    sessions_[name].at_claim = member.added_at < cell.token;
  }
  for (const std::string& id : folded->tasks) {
    AddLocalTask(now, cell, id, *fold_.FindTask(id));
  }
}

void SchedulerCore::Impl::DropMembers(TrackedCell& cell) {
  for (const std::string& id : std::set(cell.tasks)) EraseLocalTask(id);
  std::vector<std::string> plans;
  for (const auto& [id, plan] : planned_takes_) {
    if (plan.cell == cell.cell) plans.push_back(id);
  }
  for (const std::string& id : plans) DropTake(id);
  for (auto at = sessions_.begin(); at != sessions_.end();) {
    if (at->second.cell != cell.cell) {
      ++at;
      continue;
    }
    ClearStrays(at->second);
    table_.Remove(at->first);
    at = sessions_.erase(at);
  }
}

void SchedulerCore::Impl::AddSession(MonotonicTime now, TrackedCell& cell,
                                     const CellMember& member) {
  WorkerSession& session = sessions_[member.worker];
  session.worker = member.worker;
  session.cell = cell.cell;
  session.address = member.address;
  session.pool = member.pool;
  session.added_at = member.added_at;
  session.token = std::max(cell.token, member.added_at);
  session.next_control = now;
  table_.Add(member.worker, cell.cell, member.pool);
  ApplyVm(now, session);
}

void SchedulerCore::Impl::RemoveSession(MonotonicTime now,
                                        const std::string& worker) {
  const auto found = sessions_.find(worker);
  if (found == sessions_.end()) return;
  MarkTasksLost(now, found->second, "worker left the cell");
  ClearStrays(found->second);
  sessions_.erase(found);
  table_.Remove(worker);
}

void SchedulerCore::Impl::SyncMembers(MonotonicTime now, TrackedCell& cell) {
  const FoldedCell* folded = fold_.FindCell(cell.cell);
  std::vector<std::string> removed;
  for (const auto& [name, session] : sessions_) {
    if (session.cell == cell.cell && !folded->members.contains(name)) {
      removed.push_back(name);
    }
  }
  for (const std::string& name : removed) {
    RemoveSession(now, name);
    cell.membership_in_flight.erase(name);
  }
  for (const auto& [name, member] : folded->members) {
    const auto found = sessions_.find(name);
    const bool re_added =
        found != sessions_.end() && found->second.added_at < member.added_at;
    if (re_added) RemoveSession(now, name);
    if (!sessions_.contains(name)) {
      AddSession(now, cell, member);
      cell.membership_in_flight.erase(name);
    }
  }
  ProposeMembers(cell);
}

void SchedulerCore::Impl::ProposeMembers(TrackedCell& cell) {
  if (cell.state == CellState::kSuspended) return;
  MembersRecord record{.cell = cell.cell, .token = cell.token};
  std::size_t members = 0;
  for (const auto& [name, session] : sessions_) {
    if (session.cell != cell.cell) continue;
    ++members;
    if (session.contact == Contact::kGone &&
        cell.membership_in_flight.insert(name).second) {
      record.remove.push_back({.worker = name, .added_at = session.added_at});
    }
  }
  for (const auto& [name, vm] : vms_) {
    if (CellOf(vm) != cell.cell || vm.state == contracts::VmState::kLeaving) {
      continue;
    }
    if (sessions_.contains(name) || members >= kMaxMembers) continue;
    if (!cell.membership_in_flight.insert(name).second) continue;
    record.add.push_back(
        {.worker = name, .address = vm.address, .pool = vm.pool});
    ++members;
  }
  if (!record.add.empty() || !record.remove.empty()) queue_.Add(record);
}

void SchedulerCore::Impl::OnVmList(MonotonicTime now,
                                   const contracts::VmListAnswer& list) {
  // Ignores a list that is no newer than the last one.
  if (vms_known_ && list.as_of <= vms_as_of_) return;
  vms_known_ = true;
  vms_as_of_ = list.as_of;
  vms_.clear();
  for (const contracts::Vm& vm : list.vms) {
    if (vm.role != contracts::VmRole::kWorker) continue;
    vms_[vm.name] = vm;
    TrackedCell& cell = cells_[CellOf(vm)];
    cell.cell = CellOf(vm);
    cell.zone = vm.zone;
  }
  for (auto& [name, session] : sessions_) ApplyVm(now, session);
  for (auto& [name, cell] : cells_) {
    if (Owned(cell)) ProposeMembers(cell);
  }
}

void SchedulerCore::Impl::ApplyVm(MonotonicTime now, WorkerSession& session) {
  if (!vms_known_) return;
  const auto vm = vms_.find(session.worker);
  if (vm == vms_.end()) {
    if (!session.absent_since.has_value()) session.absent_since = now;
  } else {
    session.absent_since.reset();
    session.leaving = vm->second.state == contracts::VmState::kLeaving ||
                      drained_.contains(session.worker);
    session.address = vm->second.address;
  }
  UpdateUsable(now, session);
  if (!session.leaving) return;
  for (const LocalTask& task : session.tasks) tasks_to_advance_.insert(task.id);
}

void SchedulerCore::Impl::UpdateUsable(MonotonicTime now,
                                       WorkerSession& session) {
  const bool usable = session.contact == Contact::kFenced && !session.leaving &&
                      !session.absent_since.has_value() &&
                      now >= session.refused_until &&
                      now >= session.set_aside_until;
  table_.SetUsable(session.worker, usable);
}

void SchedulerCore::Impl::LoseContact(MonotonicTime now,
                                      WorkerSession& session) {
  if (session.contact == Contact::kFenced) {
    session.contact = Contact::kUnreachable;
  }
  session.next_control = now + options_.probe_every;
  UpdateUsable(now, session);
}

void SchedulerCore::Impl::ContactWorkers(MonotonicTime now) {
  std::vector<std::string> names;
  names.reserve(sessions_.size());
  for (const auto& [name, session] : sessions_) names.push_back(name);
  for (const std::string& name : names) {
    const auto found = sessions_.find(name);
    if (found != sessions_.end()) ContactWorker(now, found->second);
  }
}

bool SchedulerCore::Impl::MayFence(MonotonicTime now,
                                   const TrackedCell& cell) const {
  if (options_.fencing == FencingMode::kTokens) return true;
  // Before that, a start sent by the previous owner may still arrive. The first
  // claim of a cell has no previous owner.
  const FoldedCell* folded = fold_.FindCell(cell.cell);
  if (folded != nullptr && folded->claims == 1) return true;
  const double drift_factor =
      (1.0 + options_.clock_drift) / (1.0 - options_.clock_drift);
  const Duration owner =
      std::chrono::duration_cast<Duration>(options_.owner_lease * drift_factor);
  return now > cell.claimed_at + owner + options_.max_command_delay;
}

void SchedulerCore::Impl::ContactWorker(MonotonicTime now,
                                        WorkerSession& session) {
  TrackedCell* cell = FindOwned(session.cell);
  if (cell == nullptr || session.contact == Contact::kGone) return;
  UpdateUsable(now, session);
  // A suspended cell still renews its fenced workers: renewals start nothing,
  // so they can't conflict with another owner.
  const bool suspended = cell->state == CellState::kSuspended;
  if (suspended && session.contact != Contact::kFenced) return;
  CheckGone(now, session);
  if (session.contact == Contact::kGone) return;
  if (session.control_in_flight || now < session.next_control) return;
  contracts::WorkerCommand command;
  // A worker that may not be fenced yet is renewed nevertheless: there may be
  // no other scheduler left that keeps its tasks alive.
  const bool too_early =
      session.contact == Contact::kUnfenced && !MayFence(now, *cell);
  if (session.contact == Contact::kFenced || too_early) {
    command.verb = contracts::WorkerVerb::kRenew;
    command.lease = options_.lease;
  } else {
    command.verb = contracts::WorkerVerb::kFence;
  }
  session.control_in_flight = true;
  Send(now, session, command);
}

void SchedulerCore::Impl::CheckGone(MonotonicTime now, WorkerSession& session) {
  if (session.contact == Contact::kFenced) return;
  if (!session.absent_since.has_value()) return;
  if (now - *session.absent_since < options_.gone_after) return;
  session.contact = Contact::kGone;
  ++counters_.workers_gone;
  UpdateUsable(now, session);
  MarkTasksLost(now, session, "worker is gone");
  ClearStrays(session);
  TrackedCell* cell = FindOwned(session.cell);
  if (cell == nullptr) return;
  ProposeMembers(*cell);
  CheckResolved(now, *cell);
}

void SchedulerCore::Impl::CheckLeases(MonotonicTime now,
                                      MonotonicTime read_started) {
  if (options_.fencing == FencingMode::kLeases) return;
  for (auto& [name, session] : sessions_) {
    if (session.contact != Contact::kUnreachable || session.tasks.empty()) {
      continue;
    }
    const Duration possible_extension =
        session.uncertain_renewals * LeaseWithDrift();
    // A read of the log that started after the last lease ended shows that no
    // other owner could renew it in between.
    if (read_started <= session.leases_end_by + possible_extension) continue;
    if (FindOwned(session.cell) == nullptr) continue;
    const bool may_start_late = std::any_of(
        session.tasks.begin(), session.tasks.end(), [](const LocalTask& task) {
          return task.start_uncertain || task.start_in_flight;
        });
    if (may_start_late) continue;
    ++counters_.leases_expired;
    MarkTasksLost(now, session,
                  "lease expired on a worker that does not answer");
  }
}

bool SchedulerCore::Impl::Resolved(const TrackedCell& cell) const {
  return std::none_of(sessions_.begin(), sessions_.end(),
                      [&cell](const auto& entry) {
                        const WorkerSession& session = entry.second;
                        return session.cell == cell.cell && session.at_claim &&
                               session.contact == Contact::kUnfenced;
                      });
}

void SchedulerCore::Impl::CheckResolved(MonotonicTime now, TrackedCell& cell) {
  if (cell.state != CellState::kFencing || !Resolved(cell)) return;
  cell.avoid_until = {};
  Fire(now, cell, CellEvent::kResolved);
}

bool SchedulerCore::Impl::OwnerLeaseValid(MonotonicTime now) const {
  return options_.fencing == FencingMode::kTokens || now < owner_lease_until_;
}

}  // namespace carobmast::work
