#include "placement/internal/remedies.h"

#include <algorithm>
#include <cmath>

namespace carobmast::placement {

namespace {

// Throttles are in thousandths of the reserved processors.
constexpr std::uint16_t kFullThrottle = 1000;
constexpr std::uint16_t kMinThrottle = 125;
// Tasks that add less than this to the logarithm of a slowdown are no
// antagonists.
constexpr double kMinContribution = 0.002;

}  // namespace

void EvictionBudget::OnBatchStart() {
  balance_ = std::min(balance_ + per_start_, max_balance_);
}

bool EvictionBudget::Allows(const std::string& task, bool urgent) const {
  const std::unordered_map<std::string, std::uint32_t>::const_iterator found =
      evictions_.find(task);
  if (found != evictions_.end() && found->second >= max_per_task_) return false;
  return balance_ >= (urgent ? 1 - max_balance_ : 1);
}

void EvictionBudget::Spend(const std::string& task) {
  balance_ -= 1;
  ++evictions_[task];
}

double RemedyPlanner::WorstObservedLogSlowdown(const WorkerEntry& worker,
                                               bool guards) const {
  double worst = 0;
  for (const TaskEntry* task : worker.tasks) {
    if (task->kind != contracts::TaskKind::kService) continue;
    worst = std::max(worst,
                     predictor_.InstanceLogSlowdown(worker, *task, guards) +
                         model_.UnexplainedLogSlowdown(task->type, task->id));
  }
  return worst;
}

void RemedyPlanner::UpdateState(State& state, bool is_slowed, bool is_healthy,
                                MonotonicTime now) {
  if (is_healthy && !state.is_healthy) state.healthy_since = now;
  if (is_slowed && !state.is_slowed) state.slowed_since = now;
  state.is_healthy = is_healthy;
  state.is_slowed = is_slowed;
}

std::vector<Remedy> RemedyPlanner::NextRemedies(WorkerId id,
                                                WorkerEntry& worker,
                                                bool guards,
                                                bool capacity_wanted,
                                                MonotonicTime now) {
  State& state = states_[id];
  const double log_slowdown = WorstObservedLogSlowdown(worker, guards);
  const bool is_slowed = log_slowdown > std::log(options_.remedy_slowdown);
  UpdateState(state, is_slowed,
              log_slowdown < std::log(options_.target_slowdown), now);
  if (state.had_remedy &&
      now - state.last_remedy < options_.min_remedy_interval) {
    return {};
  }
  std::vector<Remedy> remedies;
  if (is_slowed) {
    remedies = Tighten(worker, guards);
    if (remedies.empty() &&
        now - state.slowed_since >= 2 * options_.min_remedy_interval) {
      remedies = Evict(worker, FindAntagonist(worker, guards, 0),
                       "slows a service down although it is throttled");
    }
  } else if (state.is_healthy &&
             now - state.healthy_since >= options_.loosen_after) {
    remedies = Loosen(worker, guards);
  }
  UpdateStarved(worker, now);
  if (remedies.empty() && capacity_wanted) remedies = MoveStarved(worker, now);
  if (!remedies.empty()) {
    state.last_remedy = now;
    state.had_remedy = true;
  }
  return remedies;
}

TaskEntry* RemedyPlanner::FindAntagonist(const WorkerEntry& worker, bool guards,
                                         std::uint32_t above_throttle) const {
  TaskEntry* antagonist = nullptr;
  double highest = 0;
  for (TaskEntry* task : worker.tasks) {
    if (task->kind != contracts::TaskKind::kBatch || task->stopping) continue;
    if (task->throttle <= above_throttle) continue;
    const double contribution =
        predictor_.LogContribution(worker, *task, guards);
    if (contribution < kMinContribution) continue;
    const double rate = contribution / SlowdownPredictor::CpuShareOf(
                                           worker, task->need, task->throttle);
    if (rate <= highest) continue;
    highest = rate;
    antagonist = task;
  }
  return antagonist;
}

void RemedyPlanner::ThrottleToTarget(WorkerEntry& worker, double target,
                                     bool guards) const {
  while (WorstObservedLogSlowdown(worker, guards) > target) {
    TaskEntry* antagonist = FindAntagonist(worker, guards, kMinThrottle);
    if (antagonist == nullptr) return;
    antagonist->throttle =
        std::max<std::uint16_t>(antagonist->throttle / 2, kMinThrottle);
  }
}

std::vector<Remedy> RemedyPlanner::ThrottleRemedies(
    WorkerEntry& worker, const std::vector<std::uint16_t>& before,
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

std::vector<Remedy> RemedyPlanner::Tighten(WorkerEntry& worker, bool guards) {
  std::vector<std::uint16_t> before;
  before.reserve(worker.tasks.size());
  for (const TaskEntry* task : worker.tasks) before.push_back(task->throttle);
  ThrottleToTarget(worker, std::log(options_.target_slowdown), guards);
  return ThrottleRemedies(worker, before, "slows a service down");
}

std::vector<Remedy> RemedyPlanner::Loosen(WorkerEntry& worker, bool guards) {
  std::vector<std::uint16_t> before;
  for (TaskEntry* task : worker.tasks) {
    before.push_back(task->throttle);
    if (!task->stopping) task->throttle = kFullThrottle;
  }
  ThrottleToTarget(worker, std::log(options_.max_slowdown), guards);
  for (std::size_t i = 0; i < before.size(); ++i) {
    TaskEntry& task = *worker.tasks[i];
    task.throttle = std::max(task.throttle, before[i]);
  }
  return ThrottleRemedies(worker, before, "services are no longer slowed down");
}

void RemedyPlanner::UpdateStarved(WorkerEntry& worker,
                                  MonotonicTime now) const {
  for (TaskEntry* task : worker.tasks) {
    const bool is_starved = task->throttle < options_.starved_throttle;
    if (is_starved && !task->is_starved) task->starved_since = now;
    task->is_starved = is_starved;
  }
}

std::vector<Remedy> RemedyPlanner::MoveStarved(WorkerEntry& worker,
                                               MonotonicTime now) {
  for (TaskEntry* task : worker.tasks) {
    if (task->stopping || !task->checkpoints || !task->is_starved) continue;
    if (now - task->starved_since < options_.starved_after) continue;
    return Evict(worker, task, "gets nearly no processor time here");
  }
  return {};
}

std::vector<Remedy> RemedyPlanner::Evict(const WorkerEntry& worker,
                                         TaskEntry* task, const char* reason) {
  if (task == nullptr) return {};
  if (!budget_.Allows(task->id.task, false)) {
    ++counters_.evictions_refused;
    return {};
  }
  budget_.Spend(task->id.task);
  task->stopping = true;
  ++(task->checkpoints ? counters_.moves : counters_.stops);
  return {{.kind = task->checkpoints ? RemedyKind::kMove : RemedyKind::kStop,
           .worker = worker.name,
           .id = task->id,
           .reason = reason}};
}

}  // namespace carobmast::placement
