// Placement of tasks that no cell holds: the choice of a worker, and the take
// record that assigns the task to the worker's cell.
#include <algorithm>
#include <bit>
#include <utility>

#include "work/internal/rendezvous.h"
#include "work/internal/scheduler_impl.h"

namespace carobmast::work {
namespace {

constexpr std::chrono::seconds kFirstFailureDelay{1};
constexpr std::uint32_t kMaxFailureShift = 6;

Duration FailureDelay(std::uint32_t failures) {
  if (failures == 0) return Duration::zero();
  return kFirstFailureDelay * (1U << std::min(failures - 1, kMaxFailureShift));
}

}  // namespace

Duration SchedulerCore::Impl::TakeDelay(MonotonicTime now,
                                        const std::string& id,
                                        const TaskSpec& spec) const {
  const std::size_t rank = RendezvousRank(
      id, options_.name, monitor_.AliveIn(catalog_.ZonesOf(spec.pool), now));
  return std::bit_width(rank) * options_.take_rank_delay;
}

void SchedulerCore::Impl::SyncPending(MonotonicTime now,
                                      const std::string& id) {
  const FoldedTask* folded = fold_.FindTask(id);
  const FoldedJob* job = fold_.JobOf(id);
  const TaskSpec* spec = catalog_.Find(id, fold_);
  const bool free = folded == nullptr || folded->stage == TaskStage::kPending;
  const bool wanted = spec != nullptr && catalog_.Wanted(id, fold_);
  const bool may_run = job == nullptr || fold_.DependenciesMet(*job);
  if (!free || !wanted || !may_run) {
    pending_.Remove(id);
    return;
  }
  if (planned_takes_.contains(id)) return;
  const contracts::Offset order = job == nullptr ? 0 : job->offset;
  const std::uint32_t failures = folded == nullptr ? 0 : folded->failures;
  pending_.Add(id, *spec, order,
               now + TakeDelay(now, id, *spec) + FailureDelay(failures));
}

void SchedulerCore::Impl::PlacePending(MonotonicTime now) {
  // Tasks whose planned take was dropped since the last tick.
  for (const std::string& id : std::exchange(dropped_takes_, {})) {
    SyncPending(now, id);
  }
  pending_.Offer(now, options_.max_starts_per_tick,
                 [&](const std::string& id) { return Place(now, id); });
}

bool SchedulerCore::Impl::Place(MonotonicTime now, const std::string& id) {
  if (!LogHealthy(now)) return false;
  const TaskSpec* spec = catalog_.Find(id, fold_);
  if (spec == nullptr) return false;
  const std::optional<std::string> worker =
      hooks_.pick_worker({.task = id, .spec = *spec}, table_, now);
  if (!worker.has_value()) return false;
  const WorkerSession* session = FindSession(*worker);
  TrackedCell* cell = session == nullptr ? nullptr : FindOwned(session->cell);
  if (cell == nullptr || cell->state == CellState::kSuspended) return false;
  const contracts::AttemptId planned{.task = id, .attempt = 0};
  if (!table_.Reserve(*worker, planned, spec->resources)) return false;
  planned_takes_[id] = {
      .cell = cell->cell, .token = cell->token, .worker = *worker};
  queue_.AddTake(cell->cell, cell->token, id);
  return true;
}

void SchedulerCore::Impl::DropTake(const std::string& id) {
  const auto plan = planned_takes_.find(id);
  if (plan == planned_takes_.end()) return;
  const LocalTask* local = FindLocalTask(id);
  const bool used =
      local != nullptr && local->planned_worker == plan->second.worker;
  if (!used) {
    table_.Release(plan->second.worker, {.task = id, .attempt = 0});
    ++counters_.takes_lost;
  }
  planned_takes_.erase(plan);
  dropped_takes_.insert(id);
}

}  // namespace carobmast::work
