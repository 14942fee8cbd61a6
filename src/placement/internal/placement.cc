#include "placement/placement.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

#include "placement/internal/failures.h"
#include "placement/internal/interference.h"
#include "placement/internal/ledger.h"
#include "placement/internal/remedies.h"
#include "placement/internal/slowdown.h"

namespace carobmast::placement {

using contracts::Resources;
using contracts::TaskKind;

namespace {

// Throttles are in thousandths of the reserved processors.
constexpr std::uint32_t kFullThrottle = 1000;
// Throttles tried for a start, in order.
constexpr std::uint32_t kStartThrottles[] = {1000, 750, 500};
// Tasks count as waiting for capacity this long after one was held for lack of
// it.
constexpr Duration kCapacityWantedFor = std::chrono::seconds(10);
// Logarithms of slowdowns are compared in steps of this.
constexpr double kLogSlowdownStep = 0.01;

Choice HeldChoice(HoldReason hold, std::string reason) {
  return {.hold = hold, .reason = std::move(reason)};
}

}  // namespace

class Placement::Impl {
 public:
  explicit Impl(PlacementOptions placement_options)
      : options_(placement_options),
        model_(options_.report_lag),
        failures_({.first_quarantine = options_.first_quarantine,
                   .max_quarantine = options_.max_quarantine}),
        predictor_(model_, options_.guard_share),
        budget_(options_),
        remedy_planner_(options_, predictor_, model_, budget_, counters_) {}

  Choice Choose(const TaskRequest& request, MonotonicTime now);
  bool Commit(const Choice& choice, const TaskRequest& request,
              MonotonicTime now);
  void End(const contracts::AttemptId& id, TaskEnd end, MonotonicTime now);
  std::vector<Remedy> OnReport(const contracts::WorkerReport& report,
                               MonotonicTime now);
  std::vector<Remedy> Preempt(const TaskRequest& request, MonotonicTime now);
  void RemoveWorker(const std::string& worker);
  void ReleaseExpiredQuarantines(MonotonicTime now);
  void EndQuarantine(WorkerId id);

  Ledger& ledger() { return ledger_; }
  const PlacementCounters& counters() const { return counters_; }
  std::map<std::string, Resources>& quotas() { return quotas_; }
  FailureTracker& failures() { return failures_; }
  EvictionBudget& budget() { return budget_; }
  double Slowdown(const WorkerEntry& worker) {
    return std::exp(predictor_.WorstLogSlowdown(
        worker, kNoId, 0, ledger_.pool(worker.pool).guards));
  }
  void LearnFromReport(const WorkerEntry& worker,
                       const contracts::TaskReport& report, MonotonicTime now);

 private:
  struct Candidate {
    WorkerId worker = kNoId;
    std::uint32_t throttle = kFullThrottle;
    // Compared lexicographically; smaller is better. Batch: step of the
    // throttle, 0, 0, rounded slowdown, free processors. Others: instances on
    // the worker, in the rack and in the zone, rounded slowdown, fewer free
    // processors.
    std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, double,
               std::uint64_t>
        score;
  };

  std::optional<Choice> CheckLimits(const TaskRequest& request, PoolEntry& pool,
                                    MonotonicTime now);
  // Whether the task would fit an empty worker of the pool.
  bool FitsAnyWorker(const PoolEntry& pool, const Resources& need) const;
  bool FailsEverywhere(const TaskRequest& request, const PoolEntry& pool);
  bool ExceedsQuota(const TaskRequest& request);
  bool ExceedsLongShare(const TaskRequest& request, const PoolEntry& pool,
                        MonotonicTime now) const;

  // A bounded number of workers with enough free capacity.
  std::vector<WorkerId> ListCandidates(PoolEntry& pool, const Resources& need,
                                       bool prefer_full);
  void AddFrom(const PoolEntry::Index& index, std::uint64_t min_free,
               bool fullest_first, std::vector<WorkerId>& candidates) const;
  void AddRoundRobin(PoolEntry& pool, std::vector<WorkerId>& candidates) const;
  // None when the task would slow a service down too much even at the lowest
  // throttle.
  std::optional<Candidate> ScoreBatch(WorkerId id, const TaskRequest& request,
                                      NameId type, bool guards) const;
  Choice ChooseLeastSlowdown(const std::vector<WorkerId>& candidates,
                             const TaskRequest& request, NameId type,
                             bool guards) const;
  // For services and standing tasks.
  Candidate ScoreForSpreading(WorkerId id, const TaskRequest& request,
                              NameId type, bool guards) const;
  std::vector<TaskEntry*> SelectVictims(const WorkerEntry& worker,
                                        const TaskRequest& request) const;

  PlacementOptions options_;
  PlacementCounters counters_;
  Ledger ledger_;
  InterferenceModel model_;
  FailureTracker failures_;
  SlowdownPredictor predictor_;
  EvictionBudget budget_;
  RemedyPlanner remedy_planner_;
  std::map<std::string, Resources> quotas_;
};

bool Placement::Impl::FitsAnyWorker(const PoolEntry& pool,
                                    const Resources& need) const {
  return std::any_of(
      pool.worker_shapes.begin(), pool.worker_shapes.end(),
      [&need](const std::pair<
              const std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>,
              std::uint32_t>& shape) {
        return need.milli_cpus <= std::get<0>(shape.first) &&
               need.memory.bytes <= std::get<1>(shape.first) &&
               need.accelerators <= std::get<2>(shape.first);
      });
}

bool Placement::Impl::FailsEverywhere(const TaskRequest& request,
                                      const PoolEntry& pool) {
  const std::set<WorkerId>* failed_on = failures_.FailedOn(request.id.task);
  if (failed_on == nullptr) return false;
  std::size_t good_workers = 0;
  for (const WorkerId id : *failed_on) {
    const WorkerEntry& worker = ledger_.worker(id);
    if (worker.registered && !worker.quarantined && !worker.probation) {
      ++good_workers;
    }
  }
  return good_workers >=
         std::min<std::size_t>(options_.max_failed_workers, pool.workers);
}

bool Placement::Impl::ExceedsQuota(const TaskRequest& request) {
  const std::map<std::string, Resources>::const_iterator quota =
      quotas_.find(request.team);
  if (quota == quotas_.end()) return false;
  const NameId team = ledger_.AddTeam(request.team);
  return !Fits(Sum(ledger_.team_committed(team), request.need), quota->second);
}

bool Placement::Impl::ExceedsLongShare(const TaskRequest& request,
                                       const PoolEntry& pool,
                                       MonotonicTime now) const {
  if (!request.is_long || request.kind != TaskKind::kBatch) return false;
  if (!pool.has_seen_short_task ||
      now - pool.last_short_task > options_.short_task_window) {
    return false;
  }
  const std::uint64_t left = pool.capacity_cpus > pool.service_cpus
                                 ? pool.capacity_cpus - pool.service_cpus
                                 : 0;
  return static_cast<double>(pool.long_cpus + request.need.milli_cpus) >
         options_.long_share * static_cast<double>(left);
}

std::optional<Choice> Placement::Impl::CheckLimits(const TaskRequest& request,
                                                   PoolEntry& pool,
                                                   MonotonicTime now) {
  if (!FitsAnyWorker(pool, request.need)) {
    return HeldChoice(
        HoldReason::kTooLarge,
        "needs more than any worker of pool " + request.pool + " has");
  }
  if (FailsEverywhere(request, pool)) {
    return HeldChoice(
        HoldReason::kFailsEverywhere,
        "failed on " +
            std::to_string(failures_.FailedOn(request.id.task)->size()) +
            " workers");
  }
  if (ExceedsQuota(request)) {
    return HeldChoice(HoldReason::kQuota,
                      "team " + request.team + " is at its quota");
  }
  if (ExceedsLongShare(request, pool, now)) {
    return HeldChoice(HoldReason::kLongShare,
                      "long tasks hold their share of pool " + request.pool);
  }
  return std::nullopt;
}

void Placement::Impl::AddFrom(const PoolEntry::Index& index,
                              std::uint64_t min_free, bool fullest_first,
                              std::vector<WorkerId>& candidates) const {
  std::size_t left = options_.max_candidates;
  if (fullest_first) {
    for (PoolEntry::Index::const_iterator entry =
             index.lower_bound({min_free, 0});
         entry != index.end() && left > 0; ++entry, --left) {
      candidates.push_back(entry->second);
    }
    return;
  }
  for (PoolEntry::Index::const_reverse_iterator entry = index.rbegin();
       entry != index.rend() && entry->first >= min_free && left > 0;
       ++entry, --left) {
    candidates.push_back(entry->second);
  }
}

// Adds the next workers in round-robin order, so that each one is considered
// sooner or later, whatever its place in the indexes.
void Placement::Impl::AddRoundRobin(PoolEntry& pool,
                                    std::vector<WorkerId>& candidates) const {
  const std::size_t count =
      std::min(options_.max_candidates, pool.members.size());
  for (std::size_t i = 0; i < count; ++i) {
    pool.cursor = (pool.cursor + 1) % pool.members.size();
    const WorkerId id = pool.members[pool.cursor];
    if (ledger_.worker(id).indexed) candidates.push_back(id);
  }
}

std::vector<WorkerId> Placement::Impl::ListCandidates(PoolEntry& pool,
                                                      const Resources& need,
                                                      bool prefer_full) {
  std::vector<WorkerId> candidates;
  if (need.accelerators > 0) {
    AddFrom(pool.by_accelerators, need.accelerators, true, candidates);
  } else {
    if (prefer_full) AddFrom(pool.by_cpus, need.milli_cpus, true, candidates);
    AddFrom(pool.by_cpus, need.milli_cpus, false, candidates);
    AddFrom(pool.by_memory, need.memory.bytes, false, candidates);
  }
  AddRoundRobin(pool, candidates);
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()),
                   candidates.end());
  std::erase_if(candidates, [&](WorkerId id) {
    return !Fits(need, ledger_.worker(id).Free());
  });
  return candidates;
}

std::optional<Placement::Impl::Candidate> Placement::Impl::ScoreBatch(
    WorkerId id, const TaskRequest& request, NameId type, bool guards) const {
  const WorkerEntry& worker = ledger_.worker(id);
  const double limit = std::log(options_.max_slowdown);
  const double before = predictor_.WorstLogSlowdown(worker, kNoId, 0, guards);
  std::uint32_t step = 0;
  for (const std::uint32_t throttle : kStartThrottles) {
    const double share =
        SlowdownPredictor::CpuShareOf(worker, request.need, throttle);
    const double after =
        predictor_.WorstLogSlowdown(worker, type, share, guards);
    const double added = after - before;
    if (after <= limit || added < kLogSlowdownStep * kLogSlowdownStep) {
      // Tasks that slow services down go where the slowdown is lowest; others
      // are packed onto the fullest worker.
      const double rounded =
          added < kLogSlowdownStep ? 0 : std::floor(after / kLogSlowdownStep);
      return Candidate{
          .worker = id,
          .throttle = throttle,
          .score = {step, 0, 0, rounded, worker.Free().milli_cpus}};
    }
    ++step;
  }
  return std::nullopt;
}

Placement::Impl::Candidate Placement::Impl::ScoreForSpreading(
    WorkerId id, const TaskRequest& request, NameId type, bool guards) const {
  const WorkerEntry& worker = ledger_.worker(id);
  std::uint32_t same_type = 0;
  double log_slowdown = 0;
  for (const TaskEntry* task : worker.tasks) {
    if (task->type == type) ++same_type;
    log_slowdown += model_.PredictLogSlowdown(
        type, task->type,
        SlowdownPredictor::CpuShareOf(worker, task->need, task->throttle), 1);
  }
  const double share =
      SlowdownPredictor::CpuShareOf(worker, request.need, kFullThrottle);
  log_slowdown += predictor_.WorstLogSlowdown(worker, type, share, guards);
  return {.worker = id,
          .score = {same_type, ledger_.CountInRack(type, worker.rack),
                    ledger_.CountInZone(type, worker.zone),
                    std::floor(log_slowdown / kLogSlowdownStep),
                    ~worker.Free().milli_cpus}};
}

Choice Placement::Impl::ChooseLeastSlowdown(
    const std::vector<WorkerId>& candidates, const TaskRequest& request,
    NameId type, bool guards) const {
  constexpr std::uint32_t kMinStartThrottle = 250;
  WorkerId best = candidates.front();
  double lowest = 0;
  for (const WorkerId id : candidates) {
    const WorkerEntry& worker = ledger_.worker(id);
    const double share =
        SlowdownPredictor::CpuShareOf(worker, request.need, kMinStartThrottle);
    const double log_slowdown =
        predictor_.WorstLogSlowdown(worker, type, share, guards);
    if (id != candidates.front() && log_slowdown >= lowest) continue;
    best = id;
    lowest = log_slowdown;
  }
  return {.worker = ledger_.worker(best).name, .throttle = kMinStartThrottle};
}

Choice Placement::Impl::Choose(const TaskRequest& request, MonotonicTime now) {
  ReleaseExpiredQuarantines(now);
  PoolEntry* pool = ledger_.FindPool(request.pool);
  if (pool == nullptr || pool->workers == 0) {
    return HeldChoice(HoldReason::kNoSuchPool,
                      "pool " + request.pool + " has no workers");
  }
  if (request.kind == TaskKind::kBatch && !request.is_long) {
    pool->last_short_task = now;
    pool->has_seen_short_task = true;
  }
  const std::optional<Choice> limit = CheckLimits(request, *pool, now);
  if (limit.has_value()) return *limit;

  const bool is_batch = request.kind == TaskKind::kBatch;
  const NameId type = ledger_.types().Add(request.type);
  const std::set<WorkerId>* failed_on = failures_.FailedOn(request.id.task);
  const std::vector<WorkerId> candidates =
      ListCandidates(*pool, request.need, is_batch);
  std::optional<Candidate> best;
  for (const WorkerId id : candidates) {
    if (failed_on != nullptr && failed_on->contains(id)) continue;
    const std::optional<Candidate> candidate =
        is_batch ? ScoreBatch(id, request, type, pool->guards)
                 : ScoreForSpreading(id, request, type, pool->guards);
    if (!candidate.has_value()) continue;
    if (!best.has_value() || candidate->score < best->score) best = candidate;
  }
  if (best.has_value()) {
    return {.worker = ledger_.worker(best->worker).name,
            .throttle = best->throttle};
  }
  if (is_batch && !candidates.empty() && ledger_.RunningCount(type) == 0) {
    // At least one task of each type runs, however much it slows services down.
    return ChooseLeastSlowdown(candidates, request, type, pool->guards);
  }
  if (candidates.empty()) {
    pool->last_capacity_shortage = now;
    return HeldChoice(HoldReason::kNoFreeCapacity,
                      "no worker of pool " + request.pool + " has room now");
  }
  return HeldChoice(HoldReason::kInterference,
                    "would slow down services on the workers that have room");
}

bool Placement::Impl::Commit(const Choice& choice, const TaskRequest& request,
                             MonotonicTime now) {
  const WorkerId id = ledger_.FindWorker(choice.worker);
  if (id == kNoId || !Fits(request.need, ledger_.worker(id).Free())) {
    return false;
  }
  TaskEntry* task = ledger_.Add(id, request, now);
  if (task == nullptr) return false;
  task->throttle = static_cast<std::uint16_t>(choice.throttle);
  ++counters_.starts;
  if (request.kind == TaskKind::kBatch) budget_.OnBatchStart();
  return true;
}

void Placement::Impl::End(const contracts::AttemptId& id, TaskEnd end,
                          MonotonicTime now) {
  const TaskEntry* task = ledger_.FindTask(id);
  if (task == nullptr) return;
  const WorkerId worker_id = task->worker;
  const NameId type = task->type;
  if (task->kind == TaskKind::kService) model_.ForgetInstance(type, id);
  // A copy, because Remove erases the entry.
  const std::string name = task->id.task;
  ledger_.Remove(id);
  if (end == TaskEnd::kStopped) return;
  const WorkerEntry& worker = ledger_.worker(worker_id);
  const PoolEntry& pool = ledger_.pool(worker.pool);
  const bool may_quarantine =
      !worker.quarantined &&
      pool.quarantined + 1 <=
          std::max(1.0, options_.max_quarantined_share * pool.workers);
  const QuarantineDecision decision =
      failures_.OnEnd(worker_id, type, name, end == TaskEnd::kFailed,
                      worker.probation, may_quarantine, now);
  if (decision == QuarantineDecision::kUnchanged) return;
  const bool quarantined = decision == QuarantineDecision::kQuarantine;
  if (quarantined) ++counters_.quarantines;
  ledger_.Update(worker_id, [quarantined](WorkerEntry& entry) {
    entry.quarantined = quarantined;
    entry.probation = false;
  });
}

void Placement::Impl::ReleaseExpiredQuarantines(MonotonicTime now) {
  for (const WorkerId id : failures_.TakeExpiredQuarantines(now)) {
    if (!ledger_.worker(id).registered) continue;
    ledger_.Update(id, [](WorkerEntry& worker) {
      worker.quarantined = false;
      worker.probation = true;
    });
  }
}

void Placement::Impl::LearnFromReport(const WorkerEntry& worker,
                                      const contracts::TaskReport& report,
                                      MonotonicTime now) {
  const TaskEntry* task = ledger_.FindTask(report.id);
  if (task == nullptr || task->kind != TaskKind::kService ||
      task->need.milli_cpus == 0) {
    return;
  }
  const double utilization = static_cast<double>(report.used.milli_cpus) /
                             static_cast<double>(task->need.milli_cpus);
  model_.OnLatency(task->type, task->id, report.latency_p99, utilization,
                   predictor_.CpuSharesOn(worker, task), now);
}

std::vector<Remedy> Placement::Impl::OnReport(
    const contracts::WorkerReport& report, MonotonicTime now) {
  ReleaseExpiredQuarantines(now);
  const WorkerId id = ledger_.FindWorker(report.worker);
  if (id == kNoId) return {};
  WorkerEntry& worker = ledger_.worker(id);
  for (const contracts::TaskReport& task : report.tasks) {
    LearnFromReport(worker, task, now);
  }
  const PoolEntry& pool = ledger_.pool(worker.pool);
  const bool capacity_wanted =
      now - pool.last_capacity_shortage <= kCapacityWantedFor;
  return remedy_planner_.NextRemedies(id, worker, pool.guards, capacity_wanted,
                                      now);
}

// Tasks to stop on one worker so that `request` fits, in the order of lower
// priority, with checkpoints, latest start; empty when that doesn't free
// enough.
std::vector<TaskEntry*> Placement::Impl::SelectVictims(
    const WorkerEntry& worker, const TaskRequest& request) const {
  std::vector<TaskEntry*> evictable;
  for (TaskEntry* task : worker.tasks) {
    if (task->kind == TaskKind::kBatch && !task->stopping &&
        task->priority > request.priority &&
        budget_.Allows(task->id.task, true)) {
      evictable.push_back(task);
    }
  }
  std::stable_sort(
      evictable.begin(), evictable.end(),
      [](const TaskEntry* a, const TaskEntry* b) {
        return std::make_tuple(b->priority, b->checkpoints, b->started) <
               std::make_tuple(a->priority, a->checkpoints, a->started);
      });
  Resources available = worker.Free();
  std::vector<TaskEntry*> victims;
  for (TaskEntry* task : evictable) {
    if (Fits(request.need, available)) break;
    available = Sum(available, task->need);
    victims.push_back(task);
  }
  if (!Fits(request.need, available)) victims.clear();
  return victims;
}

std::vector<Remedy> Placement::Impl::Preempt(const TaskRequest& request,
                                             MonotonicTime now) {
  PoolEntry* pool = ledger_.FindPool(request.pool);
  if (pool == nullptr || pool->workers == 0 ||
      CheckLimits(request, *pool, now).has_value()) {
    return {};
  }
  std::vector<WorkerId> candidates;
  AddFrom(pool->by_cpus, 0, false, candidates);
  AddRoundRobin(*pool, candidates);
  std::vector<TaskEntry*> fewest;
  for (const WorkerId id : candidates) {
    const std::vector<TaskEntry*> victims =
        SelectVictims(ledger_.worker(id), request);
    if (victims.empty()) continue;
    if (fewest.empty() || victims.size() < fewest.size()) fewest = victims;
  }
  std::vector<Remedy> remedies;
  for (TaskEntry* task : fewest) {
    budget_.Spend(task->id.task);
    task->stopping = true;
    ++(task->checkpoints ? counters_.moves : counters_.stops);
    remedies.push_back(
        {.kind = task->checkpoints ? RemedyKind::kMove : RemedyKind::kStop,
         .worker = ledger_.worker(task->worker).name,
         .id = task->id,
         .reason = "makes room for " + request.id.task});
  }
  return remedies;
}

void Placement::Impl::RemoveWorker(const std::string& worker) {
  const WorkerId id = ledger_.FindWorker(worker);
  if (id == kNoId) return;
  for (const TaskEntry* task : ledger_.worker(id).tasks) {
    if (task->kind == TaskKind::kService) {
      model_.ForgetInstance(task->type, task->id);
    }
  }
  failures_.ForgetWorker(id);
  remedy_planner_.ForgetWorker(id);
  ledger_.RemoveWorker(id);
}

Placement::Placement(PlacementOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

Placement::~Placement() = default;

void Placement::AddWorker(const WorkerSpec& spec) {
  impl_->ledger().AddWorker(spec);
}

void Placement::RemoveWorker(const std::string& worker) {
  impl_->RemoveWorker(worker);
}

void Placement::SetUsable(const std::string& worker, bool usable) {
  const WorkerId id = impl_->ledger().FindWorker(worker);
  if (id == kNoId) return;
  impl_->ledger().Update(
      id, [usable](WorkerEntry& entry) { entry.usable = usable; });
}

void Placement::SetQuota(const std::string& team, const Resources& quota) {
  impl_->quotas()[team] = quota;
}

void Placement::RemoveQuota(const std::string& team) {
  impl_->quotas().erase(team);
}

void Placement::SetGuards(const std::string& pool, bool guards) {
  impl_->ledger().AddPool(pool).guards = guards;
}

Choice Placement::Choose(const TaskRequest& request, MonotonicTime now) {
  return impl_->Choose(request, now);
}

bool Placement::Commit(const Choice& choice, const TaskRequest& request,
                       MonotonicTime now) {
  return impl_->Commit(choice, request, now);
}

void Placement::Adopt(const std::string& worker, const TaskRequest& request,
                      MonotonicTime now) {
  const WorkerId id = impl_->ledger().FindWorker(worker);
  if (id != kNoId) impl_->ledger().Add(id, request, now);
}

void Placement::End(const contracts::AttemptId& id, TaskEnd end,
                    MonotonicTime now) {
  impl_->End(id, end, now);
}

void Placement::Forget(const std::string& task) {
  impl_->failures().ForgetTask(task);
  impl_->budget().Forget(task);
}

void Placement::ReleaseHeld(const std::string& task) {
  impl_->failures().ForgetTask(task);
}

std::vector<Remedy> Placement::OnReport(const contracts::WorkerReport& report,
                                        MonotonicTime now) {
  return impl_->OnReport(report, now);
}

std::vector<Remedy> Placement::Preempt(const TaskRequest& request,
                                       MonotonicTime now) {
  return impl_->Preempt(request, now);
}

bool Placement::IsQuarantined(const std::string& worker) const {
  const WorkerId id = impl_->ledger().FindWorker(worker);
  return id != kNoId && impl_->ledger().worker(id).quarantined;
}

Resources Placement::Committed(const std::string& worker) const {
  const WorkerId id = impl_->ledger().FindWorker(worker);
  return id == kNoId ? Resources{} : impl_->ledger().worker(id).committed;
}

Resources Placement::TeamCommitted(const std::string& team) const {
  return impl_->ledger().team_committed(impl_->ledger().AddTeam(team));
}

double Placement::PredictedSlowdown(const std::string& worker) const {
  const WorkerId id = impl_->ledger().FindWorker(worker);
  return id == kNoId ? 1 : impl_->Slowdown(impl_->ledger().worker(id));
}

const PlacementCounters& Placement::counters() const {
  return impl_->counters();
}

}  // namespace carobmast::placement
