#include "placement/internal/remedies.h"

#include <algorithm>
#include <cmath>

namespace carobmast::placement {

namespace {

constexpr std::uint32_t kFullThrottle = 1000;
constexpr std::uint32_t kLeastThrottle = 125;
// Tasks that explain less than this are no culprits.
constexpr double kLeastContribution = 0.005;

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

double Remedies::WorstSlowdown(const WorkerEntry& worker, bool guards) const {
  double worst = 0;
  for (const TaskEntry* task : worker.tasks) {
    if (task->kind != platform::TaskKind::kService) continue;
    worst = std::max({worst, model_.Observed(task->type, task->id),
                      predictor_.OfInstance(worker, *task, guards)});
  }
  return worst;
}

std::optional<Remedy> Remedies::Next(WorkerId id, WorkerEntry& worker,
                                     bool guards, MonotonicTime now) {
  State& state = states_[id];
  const double slowdown = WorstSlowdown(worker, guards);
  const bool is_bad = slowdown > std::log(options_.bad_slowdown);
  const bool is_well = slowdown < std::log(options_.good_slowdown);
  if (is_well && !state.is_well) state.well_since = now;
  state.is_well = is_well;
  if (state.had_remedy && now - state.last_remedy < options_.react_every) {
    return std::nullopt;
  }
  std::optional<Remedy> remedy;
  if (is_bad) {
    remedy = Tighten(worker, guards);
  } else if (is_well && now - state.well_since >= options_.release_after) {
    remedy = Loosen(worker, guards);
  }
  if (remedy.has_value()) {
    state.last_remedy = now;
    state.had_remedy = true;
  }
  return remedy;
}

std::optional<Remedy> Remedies::Tighten(WorkerEntry& worker, bool guards) {
  TaskEntry* culprit = nullptr;
  double most = kLeastContribution;
  for (TaskEntry* task : worker.tasks) {
    if (task->kind != platform::TaskKind::kBatch || task->ending) continue;
    const double contribution = predictor_.Contribution(worker, *task, guards);
    if (contribution <= most) continue;
    most = contribution;
    culprit = task;
  }
  if (culprit == nullptr) return std::nullopt;
  if (culprit->throttle > kLeastThrottle) {
    ++counters_.throttles;
    return Throttle(worker, *culprit, culprit->throttle / 2U,
                    "slows a service down");
  }
  return Evict(worker, *culprit);
}

std::optional<Remedy> Remedies::Evict(WorkerEntry& worker, TaskEntry& culprit) {
  if (!budget_.Allows(culprit.id.task, false)) {
    ++counters_.evictions_refused;
    return std::nullopt;
  }
  budget_.Take(culprit.id.task);
  culprit.ending = true;
  ++(culprit.checkpoints ? counters_.moves : counters_.stops);
  return Remedy{
      .kind = culprit.checkpoints ? RemedyKind::kMove : RemedyKind::kStop,
      .worker = worker.name,
      .id = culprit.id,
      .reason = "slows a service down although it is throttled"};
}

std::optional<Remedy> Remedies::Loosen(WorkerEntry& worker, bool guards) {
  TaskEntry* least = nullptr;
  double least_contribution = 0;
  for (TaskEntry* task : worker.tasks) {
    if (task->throttle >= kFullThrottle || task->ending) continue;
    const double contribution = predictor_.Contribution(worker, *task, guards);
    if (least != nullptr && contribution >= least_contribution) continue;
    least = task;
    least_contribution = contribution;
  }
  if (least == nullptr) return std::nullopt;
  const std::uint32_t next = std::min(least->throttle * 2U, kFullThrottle);
  const double added =
      SlowdownPredictor::ShareOf(worker, least->need, next - least->throttle);
  if (predictor_.Worst(worker, least->type, added, guards) >
      std::log(options_.max_slowdown)) {
    return std::nullopt;
  }
  return Throttle(worker, *least, next, "services are well");
}

Remedy Remedies::Throttle(const WorkerEntry& worker, TaskEntry& task,
                          std::uint32_t throttle, const char* reason) {
  task.throttle = static_cast<std::uint16_t>(
      std::clamp(throttle, kLeastThrottle, kFullThrottle));
  return {.kind = RemedyKind::kThrottle,
          .worker = worker.name,
          .id = task.id,
          .throttle = task.throttle,
          .reason = reason};
}

}  // namespace carobmast::placement
