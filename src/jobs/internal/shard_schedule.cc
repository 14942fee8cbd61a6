// Assigns waiting tasks to workers.
#include <algorithm>
#include <limits>

#include "jobs/admission.h"
#include "jobs/internal/shard_impl.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

// The share of their requested processors that standing tasks are assumed to
// use; the rest is available to fillers. Taken from the load of the sites'
// standing services.
constexpr double kStandingCpuShare = 0.5;
// Minimum share of its requested processors that must be free for a filler to
// start.
constexpr double kMinFillerCpuShare = 0.6;
// Highest predicted log(latency / target) of a standing task at which fillers
// are added.
constexpr double kMaxPlacementLevel = -0.6;
// No filler starts beside a task that has been over its target for this long,
// whatever the model predicts. A quarter of the operators' bound for harm.
constexpr milliseconds kMaxOverTargetForStart{1000};
// A worker whose starts are held back for longer gets no further ones.
constexpr milliseconds kMaxStartDeferral{1000};
// Weight of the predicted slowdown against free processors in the score of a
// worker.
constexpr double kSlowdownWeight = 4;
// A job without runs for this long is starved and is placed wherever its tasks
// fit, unless more than this share of the pool is reserved. Operators take a
// job for forgotten after twice this time, at a slightly lower share.
constexpr milliseconds kStarvedAfter{1500};
constexpr double kMaxStarvedPoolUse = 0.6;
// Penalty, for a filler that harms no standing task, of a worker without
// standing tasks.
constexpr double kEmptyWorkerPenalty = 0.5;
// Room in a pool is scarce when more than this share of its processors is
// reserved.
constexpr double kScarcePoolUse = 0.5;
// Weight of the processors that fillers want against those that are reserved,
// in the score of a worker for a short task of such a pool.
constexpr double kFillerWeight = 0.25;
// Weight of similarity in the score: standing tasks that are slowed down by the
// same fillers share workers, which leaves more workers to each filler.
constexpr double kSimilarityWeight = 1;
// A speculative copy starts when a run has taken this multiple of its estimate,
// and at least the time below.
constexpr double kCopyAfterEstimates = 1.6;
constexpr milliseconds kMinCopyDelay{500};
// Interval, for each worker of the shard, until unplaceable steps are tried
// again: trying all workers takes an owner a tenth of that time.
constexpr std::chrono::microseconds kRetryPerWorker{200};
// Below this interval they are tried again at once.
constexpr milliseconds kMinRetryInterval{25};
// Number of eligible workers among which the best is chosen. More make the
// choice hardly better, and each costs time.
constexpr std::size_t kMaxCandidates = 600;
constexpr std::size_t kCandidatesPerTask = 8;
// Score of a worker in the rack of the step's data, and penalty of the worker
// where the task failed or from which it was moved. Both exceed the rest of the
// score.
constexpr double kDataRackBonus = 10;
constexpr double kAvoidedPenalty = 5;
double ToDouble(std::uint64_t value) { return static_cast<double>(value); }

bool IsAvoided(const Step& step, const WorkerState& worker) {
  return std::find(step.avoided_workers.begin(), step.avoided_workers.end(),
                   worker.id) != step.avoided_workers.end();
}

}  // namespace

std::int64_t ShardCore::Impl::ObjectiveOf(const Step& step) const {
  const Job& job = *step.occurrence->job;
  if (job.spec.occurrences == 0) return job.objective_ms;
  const std::int64_t due = job.spec.first_due.time_since_epoch().count() +
                           step.occurrence->number * job.spec.interval.count();
  return due + job.objective_ms - job.accepted_at_ms;
}

ShardCore::Impl::ReadyKey ShardCore::Impl::KeyOf(const Step& step) const {
  const Job& job = *step.occurrence->job;
  return {job.priority, ObjectiveOf(step), job.id, step.occurrence->number,
          step.number};
}

// Within a priority, steps that can still be on time come first, then late
// ones, then those that are too late to count. Otherwise a backlog would make
// all work late.
std::vector<Step*> ShardCore::Impl::StepsInOrder() const {
  const std::int64_t time = now.wall.time_since_epoch().count();
  std::vector<std::tuple<std::uint32_t, int, std::size_t, Step*>> order;
  order.reserve(ready.size());
  for (const auto& [key, step] : ready) {
    const Job& job = *step->occurrence->job;
    const std::int64_t objective = ObjectiveOf(*step);
    const std::int64_t begin =
        job.spec.occurrences == 0
            ? job.accepted_at_ms
            : objective - (job.objective_ms - job.accepted_at_ms);
    int lateness = 0;
    if (!step->spec->standing) {
      const std::int64_t end = time + step->spec->estimate.count();
      if (end > objective) lateness = 1;
      if (end > begin + kUsefulObjectives * (objective - begin)) lateness = 2;
    }
    order.emplace_back(job.priority, lateness, order.size(), step);
  }
  std::sort(order.begin(), order.end());
  std::vector<Step*> steps;
  steps.reserve(order.size());
  for (const auto& entry : order) steps.push_back(std::get<3>(entry));
  return steps;
}

bool ShardCore::Impl::IsUnplaceable(const Step& step) const {
  const StepSpec& spec = *step.spec;
  return std::any_of(
      unplaceable.begin(), unplaceable.end(),
      [&step, &spec](const UnplaceableDemand& other) {
        return other.image == step.image && other.fills == spec.fills &&
               other.standing == spec.standing &&
               other.required_label == spec.required_label &&
               other.need.milli_cpus <= spec.need.milli_cpus &&
               other.need.memory.bytes <= spec.need.memory.bytes &&
               other.need.accelerators <= spec.need.accelerators &&
               other.queue == step.occurrence->job->queue;
      });
}

// Steps that exclude workers for reasons of their own are not recorded: that
// they found no worker says nothing about other steps.
void ShardCore::Impl::AddUnplaceable(const Step& step) {
  const StepSpec& spec = *step.spec;
  if (spec.max_per_worker > 0 || !spec.preferred_rack.empty() ||
      NeedsTicket(step)) {
    return;
  }
  unplaceable.push_back({.image = step.image,
                         .fills = spec.fills,
                         .standing = spec.standing,
                         .required_label = spec.required_label,
                         .queue = step.occurrence->job->queue,
                         .need = spec.need});
}

void ShardCore::Impl::AddReady(Step& step) {
  if (!step.ready) {
    step.ready = true;
    step.ready_at = now.steady;
    ready.emplace(KeyOf(step), &step);
  }
  RequestSchedule();
}

void ShardCore::Impl::RemoveReady(Step& step) {
  if (!step.ready) return;
  step.ready = false;
  for (auto entry = ready.begin(); entry != ready.end(); ++entry) {
    if (entry->second != &step) continue;
    ready.erase(entry);
    return;
  }
}

void ShardCore::Impl::RequestSchedule() {
  schedule_requested = true;
  if (restored && hooks.changed) hooks.changed();
}

bool ShardCore::Impl::HasWaitingTasks(const Step& step) const {
  return std::any_of(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& task) { return !task.finished && task.runs.empty(); });
}

void ShardCore::Impl::Schedule() {
  schedule_requested = false;
  // No worker accepts tasks; scheduling resumes once the registry is current.
  if (IsRegistryStale()) return;
  const Duration retry = workers.size() * kRetryPerWorker;
  if (retry < kMinRetryInterval || now.steady - unplaceable_since >= retry) {
    unplaceable.clear();
    unplaceable_since = now.steady;
  }
  UpdatePoolUse();
  for (Step* step : StepsInOrder()) {
    if (step->spec->gang) {
      ScheduleGang(*step);
    } else if (!IsUnplaceable(*step) || IsStarved(*step->occurrence->job)) {
      ScheduleStep(*step);
    } else {
      step->lacks_room = true;
    }
  }
}

void ShardCore::Impl::RetryUnplaceable() {
  if (!unplaceable.empty() &&
      now.steady - unplaceable_since >= workers.size() * kRetryPerWorker) {
    RequestSchedule();
  }
}

bool ShardCore::Impl::IsStarved(const Job& job) const {
  return job.run_count == 0 && now.steady - job.idle_since > kStarvedAfter &&
         PoolUtilization(job.policy.pool) < kMaxStarvedPoolUse;
}

void ShardCore::Impl::UpdatePoolUse() {
  pool_use.clear();
  for (const auto& [id, worker] : workers) {
    if (!worker->listed) continue;
    PoolUse& use = pool_use[worker->entry.pool];
    use.reserved += ToDouble(worker->used.milli_cpus);
    use.total += ToDouble(worker->entry.capacity.milli_cpus);
  }
}

double ShardCore::Impl::PoolUtilization(const std::string& pool) const {
  const auto use = pool_use.find(pool);
  if (use == pool_use.end() || use->second.total == 0) return 1;
  return use->second.reserved / use->second.total;
}

void ShardCore::Impl::ScheduleStep(Step& step) {
  std::vector<Candidate> candidates = Rank(step);
  bool all_placed = true;
  bool any_placed = false;
  bool some_must_wait = false;
  for (Task& task : step.tasks) {
    if (task.finished || !task.runs.empty()) continue;
    if (task.not_before > now.steady) {
      some_must_wait = true;
      continue;
    }
    Candidate* best = Best(candidates, task);
    if (best == nullptr && IsStarved(*step.occurrence->job)) {
      ignore_slowdown = true;
      candidates = Rank(step);
      best = Best(candidates, task);
    }
    if (best == nullptr) {
      all_placed = false;
      AddUnplaceable(step);
      break;
    }
    Plan(task, *best->worker, task.attempt + 1);
    any_placed = true;
    if (ignore_slowdown) {
      ignore_slowdown = false;
      candidates = Rank(step);
    } else {
      best->score = ScoreIfEligible(*best->worker, step);
    }
  }
  ignore_slowdown = false;
  step.lacks_room = !all_placed;
  if (all_placed && !some_must_wait) RemoveReady(step);
  if (step.spec->standing) return;
  const std::string& queue = step.occurrence->job->queue;
  if (any_placed) {
    without_room_since.erase(queue);
  } else if (!all_placed) {
    without_room_since.try_emplace(queue, now.steady);
  }
}

std::optional<Duration> ShardCore::Impl::TimeWithoutRoom(
    const std::string& queue) const {
  const auto since = without_room_since.find(queue);
  if (since == without_room_since.end()) return std::nullopt;
  const bool some_wait =
      std::any_of(ready.begin(), ready.end(), [&queue](const auto& entry) {
        const Step& step = *entry.second;
        return !step.spec->standing && step.occurrence->job->queue == queue;
      });
  if (!some_wait) return std::nullopt;
  return now.steady - since->second;
}

void ShardCore::Impl::ScheduleGang(Step& step) {
  const bool runs_left =
      std::any_of(step.tasks.begin(), step.tasks.end(),
                  [](const Task& task) { return !task.runs.empty(); });
  const bool must_wait = std::any_of(
      step.tasks.begin(), step.tasks.end(),
      [this](const Task& task) { return task.not_before > now.steady; });
  if (runs_left || must_wait || step.finished == step.tasks.size()) return;
  std::vector<WorkerState*> chosen = ChooseGangWorkers(step);
  if (chosen.empty() && IsStarved(*step.occurrence->job)) {
    ignore_slowdown = true;
    chosen = ChooseGangWorkers(step);
    ignore_slowdown = false;
  }
  if (chosen.empty()) return;
  std::uint32_t attempt = 0;
  for (const Task& task : step.tasks) attempt = std::max(attempt, task.attempt);
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    step.tasks[i].checkpoint = step.tasks.front().checkpoint;
    Plan(step.tasks[i], *chosen[i], attempt + 1);
  }
  RemoveReady(step);
}

std::vector<WorkerState*> ShardCore::Impl::ChooseGangWorkers(const Step& step) {
  std::vector<WorkerState*> chosen = FindGangWorkers(step, false);
  if (chosen.empty() && !step.avoided_workers.empty() &&
      !WaitsForOtherWorkers(step)) {
    chosen = FindGangWorkers(step, true);
  }
  return chosen;
}

bool ShardCore::Impl::WaitsForOtherWorkers(const Step& step) const {
  if (now.steady >= step.avoided_until || IsStarved(*step.occurrence->job)) {
    return false;
  }
  return std::any_of(
      workers.begin(), workers.end(), [this, &step](const auto& entry) {
        return IsUsable(*entry.second, step) && !IsAvoided(step, *entry.second);
      });
}

std::vector<WorkerState*> ShardCore::Impl::FindGangWorkers(const Step& step,
                                                           bool use_avoided) {
  if (!step.spec->same_rack) return FindGangWorkersIn("", step, use_avoided);
  std::set<std::string> racks;
  if (!step.spec->preferred_rack.empty()) {
    racks.insert(step.spec->preferred_rack);
  }
  for (const auto& [id, worker] : workers) racks.insert(worker->entry.rack);
  for (const std::string& rack : racks) {
    std::vector<WorkerState*> chosen =
        FindGangWorkersIn(rack, step, use_avoided);
    if (!chosen.empty()) return chosen;
  }
  return {};
}

std::vector<WorkerState*> ShardCore::Impl::FindGangWorkersIn(
    const std::string& rack, const Step& step, bool use_avoided) {
  std::vector<WorkerState*> chosen;
  std::map<WorkerState*, std::uint32_t> planned;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    WorkerState* best = nullptr;
    double best_score = -std::numeric_limits<double>::infinity();
    for (const auto& [id, worker] : workers) {
      if (!rack.empty() && worker->entry.rack != rack) continue;
      if (!IsUsable(*worker, step)) continue;
      const bool is_avoided = IsAvoided(step, *worker);
      if (is_avoided && !use_avoided) continue;
      if (NeedsTicket(step) && FindTicket(step, *worker) == nullptr) continue;
      const std::uint32_t tasks_here = planned[worker.get()];
      if (!Fits(*worker, step, tasks_here + 1)) continue;
      if (step.spec->max_per_worker > 0 &&
          tasks_here + 1 > step.spec->max_per_worker) {
        continue;
      }
      const double score = Score(*worker, step) - tasks_here -
                           (is_avoided ? kAvoidedPenalty : 0);
      if (score <= best_score) continue;
      best = worker.get();
      best_score = score;
    }
    if (best == nullptr) return {};
    ++planned[best];
    chosen.push_back(best);
  }
  return chosen;
}

bool ShardCore::Impl::IsRegistryStale() const {
  return now.steady - registry_current_at > options.max_registry_age;
}

void ShardCore::Impl::UpdateRegistryStaleness() {
  const bool is_stale = IsRegistryStale();
  if (is_stale == registry_stale_since.has_value()) return;
  if (is_stale) {
    registry_stale_since = now.steady;
    hooks.decided("starts held", {{"reason", "the registry is not current"},
                                  {"age", now.steady - registry_current_at}});
    return;
  }
  hooks.decided("starts go on", {{"after", now.steady - *registry_stale_since},
                                 {"age", now.steady - registry_current_at}});
  registry_stale_since.reset();
  RequestSchedule();
}

bool ShardCore::Impl::IsLeaving(const WorkerState& worker) {
  return !worker.listed || worker.entry.draining || worker.cordoned;
}

bool ShardCore::Impl::AcceptsTasks(const WorkerState& worker) const {
  return !IsRegistryStale() && !IsLeaving(worker) &&
         worker.contact_at.has_value() && !worker.silent_since.has_value() &&
         !worker.restart_suspected &&
         !AcknowledgementWaits(worker, kMaxStartDeferral) &&
         worker.quarantined_until <= now.steady && MayGrantLease(worker);
}

bool ShardCore::Impl::IsUsable(const WorkerState& worker,
                               const Step& step) const {
  return AcceptsTasks(worker) && IsSuitable(worker, step);
}

bool ShardCore::Impl::IsSuitable(const WorkerState& worker, const Step& step) {
  if (worker.entry.pool != step.occurrence->job->policy.pool) return false;
  const std::string& label = step.spec->required_label;
  if (label.empty()) return true;
  // The next incarnation of a worker may be of another kind.
  if (worker.entry.incarnation != 0 &&
      worker.entry.incarnation != worker.born_ms) {
    return false;
  }
  return std::find(worker.entry.labels.begin(), worker.entry.labels.end(),
                   label) != worker.entry.labels.end();
}

bool ShardCore::Impl::Fits(WorkerState& worker, const Step& step,
                           std::uint32_t copies) const {
  const StepSpec& spec = *step.spec;
  const contracts::Resources& total = worker.entry.capacity;
  if (worker.used.memory.bytes + copies * spec.need.memory.bytes >
          total.memory.bytes ||
      worker.used.accelerators + copies * spec.need.accelerators >
          total.accelerators) {
    return false;
  }
  if (!spec.fills) {
    return worker.used.milli_cpus + copies * spec.need.milli_cpus <=
           total.milli_cpus;
  }
  if (ignore_slowdown) return true;
  if (worker.over_since.has_value() &&
      now.steady - *worker.over_since > kMaxOverTargetForStart) {
    return false;
  }
  if (worker.critical_milli_cpus > 0 &&
      Predict(worker, step.image, copies * spec.need.milli_cpus).level >
          kMaxPlacementLevel) {
    return false;
  }
  const double other =
      ToDouble(worker.used.milli_cpus - worker.critical_milli_cpus);
  const double spare =
      ToDouble(total.milli_cpus) - other -
      kStandingCpuShare * ToDouble(worker.critical_milli_cpus) -
      ToDouble(worker.filler_milli_cpus);
  return spare >= kMinFillerCpuShare * copies * ToDouble(spec.need.milli_cpus);
}

std::uint32_t ShardCore::Impl::CountOnWorker(const Step& step,
                                             const WorkerState& worker) const {
  std::uint32_t count = 0;
  for (const Task& task : step.tasks) {
    for (const Run& run : task.runs) count += run.worker == &worker ? 1 : 0;
  }
  return count;
}

// Ranges from -1, when all standing tasks of the worker are slowed down by
// other fillers than the step's, to 1, when all are slowed down by the same.
std::optional<double> ShardCore::Impl::Similarity(const WorkerState& worker,
                                                  const Step& step,
                                                  const Run* excluded) const {
  double sum = 0;
  int standing_tasks = 0;
  for (const Run& run : worker.runs) {
    if (&run == excluded || !run.task->step->spec->standing) continue;
    sum += interference.Similarity(run.task->step->image, step.image);
    ++standing_tasks;
  }
  if (standing_tasks == 0) return std::nullopt;
  return sum / standing_tasks;
}

double ShardCore::Impl::Score(WorkerState& worker, const Step& step) const {
  const StepSpec& spec = *step.spec;
  const double total = ToDouble(worker.entry.capacity.milli_cpus);
  const double used = ToDouble(worker.used.milli_cpus);
  const double fills = ToDouble(worker.filler_milli_cpus);
  // Standing tasks are packed together, to keep other workers free of them.
  if (spec.standing) {
    return used / total +
           kSimilarityWeight * Similarity(worker, step).value_or(0) -
           SlowdownOf(worker, step.image);
  }
  const double standing = ToDouble(worker.critical_milli_cpus);
  if (spec.fills) {
    const double spare =
        (total - used + (1 - kStandingCpuShare) * standing - fills) / total;
    if (standing > 0) {
      return spare -
             kSlowdownWeight *
                 Predict(worker, step.image, spec.need.milli_cpus).slowdown;
    }
    // Workers without standing tasks are left to the fillers that would harm
    // them.
    const double mean_factor =
        std::min(1.0, interference.MeanFactor(step.image));
    return spare - kEmptyWorkerPenalty * (1 - mean_factor);
  }
  // Where room is scarce, short tasks fill workers up. The rest stays in one
  // piece, for tasks that need much of a worker.
  if (PoolUtilization(step.occurrence->job->policy.pool) > kScarcePoolUse) {
    return (used - kFillerWeight * fills) / total;
  }
  return (total - used - fills / 2) / total;
}

bool ShardCore::Impl::IsEligible(WorkerState& worker, const Step& step) const {
  if (!IsUsable(worker, step) || !Fits(worker, step)) return false;
  if (NeedsTicket(step) && FindTicket(step, worker) == nullptr) return false;
  const std::uint32_t max_tasks = step.spec->max_per_worker;
  return max_tasks == 0 || CountOnWorker(step, worker) < max_tasks;
}

std::optional<double> ShardCore::Impl::ScoreIfEligible(WorkerState& worker,
                                                       const Step& step) const {
  if (!IsEligible(worker, step)) return std::nullopt;
  const bool in_data_rack = worker.entry.rack == step.spec->preferred_rack;
  return Score(worker, step) + (in_data_rack ? kDataRackBonus : 0) -
         worker.failures_in_row;
}

bool ShardCore::Impl::WaitsForDataRack(const Step& step) const {
  const StepSpec& spec = *step.spec;
  // A standing task never gains back the time that it has waited.
  if (spec.standing || spec.preferred_rack.empty()) return false;
  // A longer wait costs more than another rack.
  const milliseconds longest_wait(static_cast<std::int64_t>(
      (options.far_factor - 1) * static_cast<double>(spec.estimate.count())));
  if (now.steady - step.ready_at >= longest_wait ||
      IsStarved(*step.occurrence->job)) {
    return false;
  }
  return std::any_of(workers.begin(), workers.end(),
                     [this, &step](const auto& entry) {
                       const WorkerState& worker = *entry.second;
                       return worker.entry.rack == step.spec->preferred_rack &&
                              IsUsable(worker, step);
                     });
}

std::vector<ShardCore::Impl::Candidate> ShardCore::Impl::Rank(
    const Step& step) {
  const StepSpec& spec = *step.spec;
  const bool data_rack_only = WaitsForDataRack(step);
  // The racks of the data and workers to avoid need a look at the whole pool.
  const std::size_t enough =
      spec.preferred_rack.empty()
          ? std::max(kMaxCandidates, kCandidatesPerTask * step.tasks.size())
          : workers.size();
  std::vector<Candidate> candidates;
  auto next = workers.lower_bound(rank_cursor);
  for (std::size_t visited = 0;
       visited < workers.size() && candidates.size() < enough; ++visited) {
    if (next == workers.end()) next = workers.begin();
    WorkerState& worker = *(next++)->second;
    if (data_rack_only && worker.entry.rack != spec.preferred_rack) continue;
    const std::optional<double> score = ScoreIfEligible(worker, step);
    if (score.has_value()) candidates.push_back({&worker, score});
  }
  // A pool that was visited as a whole is visited in the same order again.
  if (candidates.size() >= enough) {
    rank_cursor = next == workers.end() ? "" : next->first;
  }
  return candidates;
}

ShardCore::Impl::Candidate* ShardCore::Impl::Best(
    std::vector<Candidate>& candidates, const Task& task) {
  Candidate* best = nullptr;
  double best_score = -std::numeric_limits<double>::infinity();
  for (Candidate& candidate : candidates) {
    if (!candidate.score.has_value()) continue;
    double score = *candidate.score;
    if (candidate.worker->id == task.avoided_worker) score -= kAvoidedPenalty;
    if (score <= best_score) continue;
    best = &candidate;
    best_score = score;
  }
  return best;
}

WorkerState* ShardCore::Impl::Pick(const Task& task) {
  std::vector<Candidate> candidates = Rank(*task.step);
  const Candidate* best = Best(candidates, task);
  return best == nullptr ? nullptr : best->worker;
}

Run& ShardCore::Impl::Plan(Task& task, WorkerState& worker,
                           std::uint32_t attempt) {
  Run& run = task.runs.emplace_back();
  run.task = &task;
  run.worker = &worker;
  run.attempt = attempt;
  run.idle_since = now.steady;
  if (NeedsTicket(*task.step)) {
    const std::string* ticket = FindTicket(*task.step, worker);
    if (ticket != nullptr) run.ticket = *ticket;
  }
  task.attempt = std::max(task.attempt, attempt);
  worker.runs.push_back(run);
  ReserveResources(run);
  Job& job = *task.step->occurrence->job;
  ++job.run_count;
  if (job.state == JobState::kQueued) {
    job.state = JobState::kRunning;
    admissions[job.queue].OnBegun(now.steady);
  }
  task.step->has_new_runs = true;
  MarkChanged(task);
  return run;
}

bool ShardCore::Impl::IsBlockedByStanding(const StepSpec& step,
                                          const std::string& pool) const {
  const auto fits = [&step](const contracts::Resources& total,
                            const contracts::Resources& held) {
    return held.milli_cpus + step.need.milli_cpus <= total.milli_cpus &&
           held.memory.bytes + step.need.memory.bytes <= total.memory.bytes;
  };
  bool is_any_large_enough = false;
  for (const auto& [id, worker] : workers) {
    if (!worker->listed || worker->entry.pool != pool) continue;
    const contracts::Resources& total = worker->entry.capacity;
    if (fits(total, worker->standing)) return false;
    is_any_large_enough = is_any_large_enough || fits(total, {});
  }
  return is_any_large_enough;
}

void ShardCore::Impl::ReserveResources(const Run& run) {
  const StepSpec& spec = *run.task->step->spec;
  run.worker->latency_levels_valid = false;
  contracts::Resources& used = run.worker->used;
  used.memory.bytes += spec.need.memory.bytes;
  used.accelerators += spec.need.accelerators;
  if (spec.fills) {
    run.worker->filler_milli_cpus += spec.need.milli_cpus;
    return;
  }
  used.milli_cpus += spec.need.milli_cpus;
  if (spec.standing) {
    run.worker->standing.milli_cpus += spec.need.milli_cpus;
    run.worker->standing.memory.bytes += spec.need.memory.bytes;
  }
  if (spec.latency_target > milliseconds::zero()) {
    run.worker->critical_milli_cpus += spec.need.milli_cpus;
  }
}

void ShardCore::Impl::ReleaseResources(const Run& run) {
  const StepSpec& spec = *run.task->step->spec;
  run.worker->latency_levels_valid = false;
  contracts::Resources& used = run.worker->used;
  used.memory.bytes -= spec.need.memory.bytes;
  used.accelerators -= spec.need.accelerators;
  if (spec.fills) {
    run.worker->filler_milli_cpus -= spec.need.milli_cpus;
    return;
  }
  used.milli_cpus -= spec.need.milli_cpus;
  if (spec.standing) {
    run.worker->standing.milli_cpus -= spec.need.milli_cpus;
    run.worker->standing.memory.bytes -= spec.need.memory.bytes;
  }
  if (spec.latency_target > milliseconds::zero()) {
    run.worker->critical_milli_cpus -= spec.need.milli_cpus;
  }
}

void ShardCore::Impl::AddSpeculativeCopies() {
  std::vector<Task*> slow_tasks;
  for (const auto& [id, worker] : workers) {
    for (const Run& run : worker->runs) {
      Task& task = *run.task;
      const StepSpec& spec = *task.step->spec;
      if (!spec.speculative || task.finished || task.runs.size() != 1 ||
          spec.gang || run.stop_requested || run.state == RunState::kPlanned ||
          task.step->occurrence->job->IsOver()) {
        continue;
      }
      const milliseconds limit = std::max(
          kMinCopyDelay, milliseconds(static_cast<std::int64_t>(
                             kCopyAfterEstimates *
                             static_cast<double>(spec.estimate.count()))));
      if (now.steady - run.sent_at > limit) slow_tasks.push_back(&task);
    }
  }
  for (Task* task : slow_tasks) {
    if (IsUnplaceable(*task->step)) continue;
    const WorkerState* first = task->runs.front().worker;
    WorkerState* second = Pick(*task);
    if (second == nullptr) AddUnplaceable(*task->step);
    if (second == nullptr || second == first) continue;
    ++counters.copies;
    Plan(*task, *second, task->attempt + 1);
    hooks.decided("copy", {{"job", task->step->occurrence->job->id},
                           {"step", task->step->number},
                           {"task", task->index},
                           {"slow_worker", first->id},
                           {"worker", second->id}});
  }
}

}  // namespace carobmast::jobs
