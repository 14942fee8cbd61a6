// The choice of workers for tasks whose turn has come.
#include <algorithm>
#include <limits>

#include "jobs/internal/shard_impl.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

// Share of their processors that standing tasks are taken to use; what is left
// goes to tasks that fill. From the load of the sites' standing services.
constexpr double kStandingLoad = 0.5;
// A task that fills starts where it finds at least this share of its
// processors.
constexpr double kMinFillShare = 0.6;
// Log of a standing task's latency to its target up to which fillers are added.
constexpr double kMaxLevel = -0.6;
// Beside a task that has been over its target for this long no filler starts,
// whatever is known of it: a quarter of the bound for harm.
constexpr milliseconds kOpenWhileOver{1000};
// Weight of the harm against free processors when a worker is chosen.
constexpr double kHarmWeight = 4;
// A job of which nothing has run for this long gets a task in, wherever it
// fits, while no more than this share of the pool is given away. Half the time,
// and a little more than the share, at which operators take it for forgotten.
constexpr milliseconds kStarvedAfter{1500};
constexpr double kFreeShare = 0.6;
// What a filler that harms nobody pays for a worker without standing tasks.
constexpr double kFreeWorkerPrice = 0.5;
// Standing tasks that suffer from the same fillers go together, which leaves
// more workers to each filler.
constexpr double kImageWeight = 1;
// A copy starts when a run has taken this many times the estimate, and at least
// the time below.
constexpr double kCopyAfterEstimates = 1.6;
constexpr milliseconds kCopyAfterLeast{500};
// What found no worker is looked at again after this much for each worker: a
// look at all of them takes an owner a tenth of that.
constexpr std::chrono::microseconds kRetryPerWorker{200};
// Below this it is looked at again at once.
constexpr milliseconds kShortRetry{25};
// What the rack of a step's data adds to a worker's score, and what a worker
// that a task failed on, or was moved from, takes off: more than all else
// together.
constexpr double kNearBonus = 10;
constexpr double kAvoidedPrice = 5;
// Beyond this many times its objective a job's end counts for nothing.
constexpr std::int64_t kLateObjectives = 3;

double ToDouble(std::uint64_t value) { return static_cast<double>(value); }

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

// Work that can still be on time comes before work that can't, and that before
// work which is too late to count; else a backlog would make everything late.
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
      if (end > begin + kLateObjectives * (objective - begin)) lateness = 2;
    }
    order.emplace_back(job.priority, lateness, order.size(), step);
  }
  std::sort(order.begin(), order.end());
  std::vector<Step*> steps;
  steps.reserve(order.size());
  for (const auto& entry : order) steps.push_back(std::get<3>(entry));
  return steps;
}

bool ShardCore::Impl::IsHopeless(const Step& step) const {
  const StepSpec& spec = *step.spec;
  return std::any_of(
      hopeless.begin(), hopeless.end(),
      [&step, &spec](const HopelessNeed& other) {
        return other.image == step.image && other.fills == spec.fills &&
               other.standing == spec.standing &&
               other.required_label == spec.required_label &&
               other.need.milli_cpus <= spec.need.milli_cpus &&
               other.need.memory.bytes <= spec.need.memory.bytes &&
               other.need.accelerators <= spec.need.accelerators &&
               other.queue == step.occurrence->job->queue;
      });
}

// Only what every worker was open to says something of others.
void ShardCore::Impl::NoteHopeless(const Step& step) {
  const StepSpec& spec = *step.spec;
  if (spec.max_per_worker > 0 || !spec.preferred_rack.empty() ||
      NeedsTicket(step)) {
    return;
  }
  hopeless.push_back({.image = step.image,
                      .fills = spec.fills,
                      .standing = spec.standing,
                      .required_label = spec.required_label,
                      .queue = step.occurrence->job->queue,
                      .need = spec.need});
}

void ShardCore::Impl::MakeReady(Step& step) {
  if (!step.ready) {
    step.ready = true;
    step.ready_at = now.steady;
    ready.emplace(KeyOf(step), &step);
  }
  WantSchedule();
}

void ShardCore::Impl::MakeUnready(Step& step) {
  if (!step.ready) return;
  step.ready = false;
  for (auto entry = ready.begin(); entry != ready.end(); ++entry) {
    if (entry->second != &step) continue;
    ready.erase(entry);
    return;
  }
}

void ShardCore::Impl::WantSchedule() {
  schedule_wanted = true;
  if (restored && hooks.changed) hooks.changed();
}

bool ShardCore::Impl::HasWaiting(const Step& step) const {
  return std::any_of(
      step.tasks.begin(), step.tasks.end(),
      [](const Task& task) { return !task.finished && task.runs.empty(); });
}

void ShardCore::Impl::Schedule() {
  schedule_wanted = false;
  // No worker is open; what waits is looked at once the registry is current.
  if (IsRegistryOld()) return;
  const Duration retry = workers.size() * kRetryPerWorker;
  if (retry < kShortRetry || now.steady - hopeless_since >= retry) {
    hopeless.clear();
    hopeless_since = now.steady;
  }
  for (Step* step : StepsInOrder()) {
    if (step->spec->gang) {
      ScheduleGang(*step);
    } else if (!IsHopeless(*step) || IsStarved(*step->occurrence->job)) {
      ScheduleStep(*step);
    }
  }
}

void ShardCore::Impl::RetryHopeless() {
  if (!hopeless.empty() &&
      now.steady - hopeless_since >= workers.size() * kRetryPerWorker) {
    WantSchedule();
  }
}

bool ShardCore::Impl::IsStarved(const Job& job) const {
  return job.run_count == 0 && now.steady - job.idle_since > kStarvedAfter &&
         ShareInUse(PoolOf(job)) < kFreeShare;
}

double ShardCore::Impl::ShareInUse(const std::string& pool) const {
  double used = 0;
  double room = 0;
  for (const auto& [id, worker] : workers) {
    if (!worker->listed || worker->entry.pool != pool) continue;
    used += ToDouble(worker->used.milli_cpus);
    room += ToDouble(worker->entry.capacity.milli_cpus);
  }
  return room == 0 ? 1 : used / room;
}

void ShardCore::Impl::ScheduleStep(Step& step) {
  std::vector<Candidate> candidates = Rank(step);
  bool all_placed = true;
  for (Task& task : step.tasks) {
    if (task.finished || !task.runs.empty()) continue;
    Candidate* best = Best(candidates, task);
    if (best == nullptr && IsStarved(*step.occurrence->job)) {
      ignore_harm = true;
      candidates = Rank(step);
      best = Best(candidates, task);
    }
    if (best == nullptr) {
      all_placed = false;
      NoteHopeless(step);
      break;
    }
    Plan(task, *best->worker, task.attempt + 1);
    if (ignore_harm) {
      ignore_harm = false;
      candidates = Rank(step);
    } else {
      best->score = ScoreIfEligible(*best->worker, step);
    }
  }
  ignore_harm = false;
  if (all_placed) MakeUnready(step);
}

void ShardCore::Impl::ScheduleGang(Step& step) {
  const bool runs_left =
      std::any_of(step.tasks.begin(), step.tasks.end(),
                  [](const Task& task) { return !task.runs.empty(); });
  if (runs_left || step.finished == step.tasks.size()) return;
  std::uint32_t attempt = 0;
  for (const Task& task : step.tasks) attempt = std::max(attempt, task.attempt);
  // Without a rack of its own any set of workers does.
  std::set<std::string> racks = {""};
  if (step.spec->same_rack) {
    racks.clear();
    if (!step.spec->preferred_rack.empty()) {
      racks.insert(step.spec->preferred_rack);
    }
    for (const auto& [id, worker] : workers) racks.insert(worker->entry.rack);
  }
  for (const std::string& rack : racks) {
    std::vector<WorkerState*> chosen;
    std::map<WorkerState*, std::uint32_t> planned;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      WorkerState* best = nullptr;
      double best_score = -std::numeric_limits<double>::infinity();
      for (const auto& [id, worker] : workers) {
        if (!rack.empty() && worker->entry.rack != rack) continue;
        if (!IsUsable(*worker, step)) continue;
        if (NeedsTicket(step) && FindTicket(step, *worker) == nullptr) continue;
        const std::uint32_t here = planned[worker.get()];
        if (!Fits(*worker, step, here + 1)) continue;
        if (step.spec->max_per_worker > 0 &&
            here + 1 > step.spec->max_per_worker) {
          continue;
        }
        const double score = Score(*worker, step) - here;
        if (score <= best_score) continue;
        best = worker.get();
        best_score = score;
      }
      if (best == nullptr) break;
      ++planned[best];
      chosen.push_back(best);
    }
    if (chosen.size() < step.tasks.size()) continue;
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      step.tasks[i].checkpoint = step.tasks.front().checkpoint;
      Plan(step.tasks[i], *chosen[i], attempt + 1);
    }
    MakeUnready(step);
    return;
  }
}

std::string ShardCore::Impl::PoolOf(const Job& job) const {
  const auto queue = queues.find(job.queue);
  return queue == queues.end() ? job.pool : queue->second.pool;
}

bool ShardCore::Impl::IsRegistryOld() const {
  return now.steady - registry_current_at > options.max_registry_age;
}

void ShardCore::Impl::WatchRegistryAge() {
  const bool is_old = IsRegistryOld();
  if (is_old == registry_old_since.has_value()) return;
  if (is_old) {
    registry_old_since = now.steady;
    hooks.decided("starts held", {{"reason", "the registry is not current"},
                                  {"age", now.steady - registry_current_at}});
    return;
  }
  hooks.decided("starts go on", {{"after", now.steady - *registry_old_since},
                                 {"age", now.steady - registry_current_at}});
  registry_old_since.reset();
  WantSchedule();
}

bool ShardCore::Impl::IsLeaving(const WorkerState& worker) {
  return !worker.listed || worker.entry.draining || worker.cordoned;
}

bool ShardCore::Impl::IsOpen(const WorkerState& worker) const {
  return !IsRegistryOld() && !IsLeaving(worker) &&
         worker.contact_at.has_value() && !worker.silent_since.has_value() &&
         worker.quarantined_until <= now.steady;
}

bool ShardCore::Impl::IsUsable(const WorkerState& worker,
                               const Step& step) const {
  if (!IsOpen(worker)) return false;
  if (worker.entry.pool != PoolOf(*step.occurrence->job)) return false;
  const std::string& label = step.spec->required_label;
  if (label.empty()) return true;
  return std::find(worker.entry.labels.begin(), worker.entry.labels.end(),
                   label) != worker.entry.labels.end();
}

bool ShardCore::Impl::Fits(WorkerState& worker, const Step& step,
                           std::uint32_t copies) const {
  const StepSpec& spec = *step.spec;
  const contracts::Resources& room = worker.entry.capacity;
  if (worker.used.memory.bytes + copies * spec.need.memory.bytes >
          room.memory.bytes ||
      worker.used.accelerators + copies * spec.need.accelerators >
          room.accelerators) {
    return false;
  }
  if (!spec.fills) {
    return worker.used.milli_cpus + copies * spec.need.milli_cpus <=
           room.milli_cpus;
  }
  if (ignore_harm) return true;
  if (worker.over_since.has_value() &&
      now.steady - *worker.over_since > kOpenWhileOver) {
    return false;
  }
  if (worker.standing_milli_cpus > 0 &&
      Predict(worker, step.image, copies * spec.need.milli_cpus).level >
          kMaxLevel) {
    return false;
  }
  const double other =
      ToDouble(worker.used.milli_cpus - worker.standing_milli_cpus);
  const double spare = ToDouble(room.milli_cpus) - other -
                       kStandingLoad * ToDouble(worker.standing_milli_cpus) -
                       ToDouble(worker.fill_milli_cpus);
  return spare >= kMinFillShare * copies * ToDouble(spec.need.milli_cpus);
}

std::uint32_t ShardCore::Impl::CountOnWorker(const Step& step,
                                             const WorkerState& worker) const {
  std::uint32_t count = 0;
  for (const Task& task : step.tasks) {
    for (const Run& run : task.runs) count += run.worker == &worker ? 1 : 0;
  }
  return count;
}

// From -1, where all standing tasks of the worker suffer from other fillers
// than the step's, to 1, where all suffer from the same.
std::optional<double> ShardCore::Impl::Similarity(const WorkerState& worker,
                                                  const Step& step,
                                                  const Run* left_out) const {
  double sum = 0;
  int others = 0;
  for (const Run& run : worker.runs) {
    if (&run == left_out || !run.task->step->spec->standing) continue;
    sum += interference.Similarity(run.task->step->image, step.image);
    ++others;
  }
  if (others == 0) return std::nullopt;
  return sum / others;
}

double ShardCore::Impl::Score(WorkerState& worker, const Step& step) const {
  const StepSpec& spec = *step.spec;
  const double room = ToDouble(worker.entry.capacity.milli_cpus);
  const double used = ToDouble(worker.used.milli_cpus);
  const double fills = ToDouble(worker.fill_milli_cpus);
  // Standing tasks are packed, so that other workers stay free of them.
  if (spec.standing) {
    return used / room + kImageWeight * Similarity(worker, step).value_or(0) -
           HarmTo(worker, step.image);
  }
  const double standing = ToDouble(worker.standing_milli_cpus);
  if (spec.fills) {
    const double spare =
        (room - used + (1 - kStandingLoad) * standing - fills) / room;
    if (standing > 0) {
      return spare - kHarmWeight *
                         Predict(worker, step.image, spec.need.milli_cpus).harm;
    }
    // Workers without standing tasks are for the fillers that would harm them.
    const double heavy = std::min(1.0, interference.MeanFactor(step.image));
    return spare - kFreeWorkerPrice * (1 - heavy);
  }
  return (room - used - fills / 2) / room;
}

bool ShardCore::Impl::IsEligible(WorkerState& worker, const Step& step) const {
  if (!IsUsable(worker, step) || !Fits(worker, step)) return false;
  if (NeedsTicket(step) && FindTicket(step, worker) == nullptr) return false;
  const std::uint32_t most = step.spec->max_per_worker;
  return most == 0 || CountOnWorker(step, worker) < most;
}

std::optional<double> ShardCore::Impl::ScoreIfEligible(WorkerState& worker,
                                                       const Step& step) const {
  if (!IsEligible(worker, step)) return std::nullopt;
  const bool is_near = worker.entry.rack == step.spec->preferred_rack;
  return Score(worker, step) + (is_near ? kNearBonus : 0) -
         worker.failures_in_row;
}

std::vector<ShardCore::Impl::Candidate> ShardCore::Impl::Rank(
    const Step& step) const {
  const StepSpec& spec = *step.spec;
  const milliseconds patience(static_cast<std::int64_t>(
      (options.far_factor - 1) * static_cast<double>(spec.estimate.count())));
  const bool near_only =
      !spec.preferred_rack.empty() && now.steady - step.ready_at < patience;
  std::vector<Candidate> candidates;
  candidates.reserve(workers.size());
  for (const auto& [id, worker] : workers) {
    if (near_only && worker->entry.rack != spec.preferred_rack) continue;
    const std::optional<double> score = ScoreIfEligible(*worker, step);
    if (score.has_value()) candidates.push_back({worker.get(), score});
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
    if (candidate.worker->id == task.avoided_worker) score -= kAvoidedPrice;
    if (score <= best_score) continue;
    best = &candidate;
    best_score = score;
  }
  return best;
}

WorkerState* ShardCore::Impl::Pick(const Task& task) const {
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
  run.progress_at = now.steady;
  run.idle_since = now.steady;
  if (NeedsTicket(*task.step)) {
    const std::string* ticket = FindTicket(*task.step, worker);
    if (ticket != nullptr) run.ticket = *ticket;
  }
  task.attempt = std::max(task.attempt, attempt);
  worker.runs.push_back(run);
  TakeRoom(run);
  Job& job = *task.step->occurrence->job;
  ++job.run_count;
  if (job.state == JobState::kQueued) job.state = JobState::kRunning;
  Mark(job);
  return run;
}

void ShardCore::Impl::TakeRoom(const Run& run) {
  const StepSpec& spec = *run.task->step->spec;
  run.worker->levels_known = false;
  contracts::Resources& used = run.worker->used;
  used.memory.bytes += spec.need.memory.bytes;
  used.accelerators += spec.need.accelerators;
  if (spec.fills) {
    run.worker->fill_milli_cpus += spec.need.milli_cpus;
    return;
  }
  used.milli_cpus += spec.need.milli_cpus;
  if (spec.latency_target > milliseconds::zero()) {
    run.worker->standing_milli_cpus += spec.need.milli_cpus;
  }
}

void ShardCore::Impl::FreeRoom(const Run& run) {
  const StepSpec& spec = *run.task->step->spec;
  run.worker->levels_known = false;
  contracts::Resources& used = run.worker->used;
  used.memory.bytes -= spec.need.memory.bytes;
  used.accelerators -= spec.need.accelerators;
  if (spec.fills) {
    run.worker->fill_milli_cpus -= spec.need.milli_cpus;
    return;
  }
  used.milli_cpus -= spec.need.milli_cpus;
  if (spec.latency_target > milliseconds::zero()) {
    run.worker->standing_milli_cpus -= spec.need.milli_cpus;
  }
}

void ShardCore::Impl::AddCopies() {
  std::vector<Task*> late;
  for (const auto& [id, worker] : workers) {
    for (const Run& run : worker->runs) {
      Task& task = *run.task;
      const StepSpec& spec = *task.step->spec;
      if (!spec.speculative || task.finished || task.runs.size() != 1 ||
          spec.gang || run.stop_wanted || run.state == RunState::kPlanned ||
          task.step->occurrence->job->IsOver()) {
        continue;
      }
      const milliseconds limit = std::max(
          kCopyAfterLeast, milliseconds(static_cast<std::int64_t>(
                               kCopyAfterEstimates *
                               static_cast<double>(spec.estimate.count()))));
      if (now.steady - run.sent_at > limit) late.push_back(&task);
    }
  }
  for (Task* task : late) {
    if (IsHopeless(*task->step)) continue;
    const WorkerState* first = task->runs.front().worker;
    WorkerState* second = Pick(*task);
    if (second == nullptr) NoteHopeless(*task->step);
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
