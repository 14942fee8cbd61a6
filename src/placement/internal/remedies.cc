#include "placement/internal/remedies.h"

#include <algorithm>
#include <cmath>

namespace carobmast::placement {

namespace {

constexpr std::uint16_t kFullThrottle = 1000;
constexpr std::uint16_t kLeastThrottle = 125;
// Tasks that explain less than this are no culprits.
constexpr double kLeastContribution = 0.002;

}  // namespace

void EvictionBudget::OnBatchStart() {
  saved_ = std::min(saved_ + per_start_, max_saved_);
}

bool EvictionBudget::Allows(const std::string& task, bool urgent) const {
  const std::unordered_map<std::string, std::uint32_t>::const_iterator found =
      evicted_.find(task);
  if (found != evicted_.end() && found->second >= max_per_task_) return false;
  return saved_ >= (urgent ? 1 - max_saved_ : 1);
}

void EvictionBudget::Take(const std::string& task) {
  saved_ -= 1;
  ++evicted_[task];
}

double Remedies::Worst(const WorkerEntry& worker, bool guards) const {
  double worst = 0;
  for (const TaskEntry* task : worker.tasks) {
    if (task->kind != contracts::TaskKind::kService) continue;
    worst = std::max(worst, predictor_.OfInstance(worker, *task, guards) +
                                model_.Unexplained(task->type, task->id));
  }
  return worst;
}

void Remedies::Note(State& state, bool is_bad, bool is_well,
                    MonotonicTime now) {
  if (is_well && !state.is_well) state.well_since = now;
  if (is_bad && !state.is_bad) state.bad_since = now;
  state.is_well = is_well;
  state.is_bad = is_bad;
}

std::vector<Remedy> Remedies::Next(WorkerId id, WorkerEntry& worker,
                                   bool guards, bool room_is_wanted,
                                   MonotonicTime now) {
  State& state = states_[id];
  const double level = Worst(worker, guards);
  const bool is_bad = level > std::log(options_.remedy_slowdown);
  Note(state, is_bad, level < std::log(options_.target_slowdown), now);
  if (state.had_remedy &&
      now - state.last_remedy < options_.min_remedy_interval) {
    return {};
  }
  std::vector<Remedy> remedies;
  if (is_bad) {
    remedies = Tighten(worker, guards);
    if (remedies.empty() &&
        now - state.bad_since >= 2 * options_.min_remedy_interval) {
      remedies = Evict(worker, Culprit(worker, guards, 0),
                       "slows a service down although it is throttled");
    }
  } else if (state.is_well && now - state.well_since >= options_.loosen_after) {
    remedies = Loosen(worker, guards);
  }
  NoteIdle(worker, now);
  if (remedies.empty() && room_is_wanted) remedies = MoveIdle(worker, now);
  if (!remedies.empty()) {
    state.last_remedy = now;
    state.had_remedy = true;
  }
  return remedies;
}

TaskEntry* Remedies::Culprit(const WorkerEntry& worker, bool guards,
                             std::uint32_t above_throttle) const {
  TaskEntry* culprit = nullptr;
  double most = 0;
  for (TaskEntry* task : worker.tasks) {
    if (task->kind != contracts::TaskKind::kBatch || task->ending) continue;
    if (task->throttle <= above_throttle) continue;
    const double contribution = predictor_.Contribution(worker, *task, guards);
    if (contribution < kLeastContribution) continue;
    const double rate = contribution / SlowdownPredictor::ShareOf(
                                           worker, task->need, task->throttle);
    if (rate <= most) continue;
    most = rate;
    culprit = task;
  }
  return culprit;
}

void Remedies::Plan(WorkerEntry& worker, double target, bool guards) const {
  while (Worst(worker, guards) > target) {
    TaskEntry* culprit = Culprit(worker, guards, kLeastThrottle);
    if (culprit == nullptr) return;
    culprit->throttle =
        std::max<std::uint16_t>(culprit->throttle / 2, kLeastThrottle);
  }
}

std::vector<Remedy> Remedies::Changes(WorkerEntry& worker,
                                      const std::vector<std::uint16_t>& before,
                                      const char* reason) {
  std::vector<Remedy> remedies;
  for (std::size_t i = 0; i < worker.tasks.size(); ++i) {
    const TaskEntry& task = *worker.tasks[i];
    if (task.throttle == before[i]) continue;
    ++counters_.throttles;
    remedies.push_back({.kind = RemedyKind::kThrottle,
                        .worker = worker.name,
                        .id = task.id,
                        .throttle = task.throttle,
                        .reason = reason});
  }
  return remedies;
}

std::vector<Remedy> Remedies::Tighten(WorkerEntry& worker, bool guards) {
  std::vector<std::uint16_t> before;
  before.reserve(worker.tasks.size());
  for (const TaskEntry* task : worker.tasks) before.push_back(task->throttle);
  Plan(worker, std::log(options_.target_slowdown), guards);
  return Changes(worker, before, "slows a service down");
}

std::vector<Remedy> Remedies::Loosen(WorkerEntry& worker, bool guards) {
  std::vector<std::uint16_t> before;
  for (TaskEntry* task : worker.tasks) {
    before.push_back(task->throttle);
    if (!task->ending) task->throttle = kFullThrottle;
  }
  Plan(worker, std::log(options_.max_slowdown), guards);
  for (std::size_t i = 0; i < before.size(); ++i) {
    TaskEntry& task = *worker.tasks[i];
    task.throttle = std::max(task.throttle, before[i]);
  }
  return Changes(worker, before, "services are well");
}

void Remedies::NoteIdle(WorkerEntry& worker, MonotonicTime now) const {
  for (TaskEntry* task : worker.tasks) {
    const bool is_idle = task->throttle < options_.starved_throttle;
    if (is_idle && !task->is_idle) task->idle_since = now;
    task->is_idle = is_idle;
  }
}

std::vector<Remedy> Remedies::MoveIdle(WorkerEntry& worker, MonotonicTime now) {
  for (TaskEntry* task : worker.tasks) {
    if (task->ending || !task->checkpoints || !task->is_idle) continue;
    if (now - task->idle_since < options_.starved_after) continue;
    return Evict(worker, task, "gets nearly no processor time here");
  }
  return {};
}

std::vector<Remedy> Remedies::Evict(const WorkerEntry& worker, TaskEntry* task,
                                    const char* reason) {
  if (task == nullptr) return {};
  if (!budget_.Allows(task->id.task, false)) {
    ++counters_.evictions_refused;
    return {};
  }
  budget_.Take(task->id.task);
  task->ending = true;
  ++(task->checkpoints ? counters_.moves : counters_.stops);
  return {{.kind = task->checkpoints ? RemedyKind::kMove : RemedyKind::kStop,
           .worker = worker.name,
           .id = task->id,
           .reason = reason}};
}

}  // namespace carobmast::placement
