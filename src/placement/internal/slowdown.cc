#include "placement/internal/slowdown.h"

#include <algorithm>

namespace carobmast::placement {

namespace {

constexpr double kFullThrottle = 1000;

bool IsService(const TaskEntry& task) {
  return task.kind == contracts::TaskKind::kService;
}

}  // namespace

double SlowdownPredictor::ShareOf(const WorkerEntry& worker,
                                  const contracts::Resources& need,
                                  std::uint32_t throttle) {
  if (worker.capacity.milli_cpus == 0) return 0;
  return static_cast<double>(need.milli_cpus) *
         (static_cast<double>(throttle) / kFullThrottle) /
         static_cast<double>(worker.capacity.milli_cpus);
}

Shares SlowdownPredictor::SharesOn(const WorkerEntry& worker,
                                   const TaskEntry* except) const {
  Shares shares;
  for (const TaskEntry* task : worker.tasks) {
    if (task == except) continue;
    const double share = ShareOf(worker, task->need, task->throttle);
    const Shares::iterator found =
        std::find_if(shares.begin(), shares.end(),
                     [task](const std::pair<NameId, double>& s) {
                       return s.first == task->type;
                     });
    if (found == shares.end()) {
      shares.emplace_back(task->type, share);
    } else {
      found->second += share;
    }
  }
  return shares;
}

double SlowdownPredictor::UseOf(const TaskEntry& instance, bool guards) const {
  const double use = model_.Use(instance.type, instance.id);
  if (!guards) return use;
  return std::max(use, guard_share_ * model_.PeakUse(instance.type));
}

double SlowdownPredictor::OfInstance(const WorkerEntry& worker,
                                     const TaskEntry& instance,
                                     bool guards) const {
  const double use = UseOf(instance, guards);
  double sum = 0;
  for (const TaskEntry* task : worker.tasks) {
    if (task == &instance) continue;
    sum += model_.Predict(instance.type, task->type,
                          ShareOf(worker, task->need, task->throttle), use);
  }
  return sum;
}

double SlowdownPredictor::Worst(const WorkerEntry& worker, NameId type,
                                double share, bool guards) const {
  double worst = 0;
  for (const TaskEntry* instance : worker.tasks) {
    if (!IsService(*instance)) continue;
    double slowdown = OfInstance(worker, *instance, guards);
    if (type != kNoId) {
      slowdown +=
          model_.Predict(instance->type, type, share, UseOf(*instance, guards));
    }
    worst = std::max(worst, slowdown);
  }
  return worst;
}

double SlowdownPredictor::Contribution(const WorkerEntry& worker,
                                       const TaskEntry& task,
                                       bool guards) const {
  const double share = ShareOf(worker, task.need, task.throttle);
  double most = 0;
  for (const TaskEntry* instance : worker.tasks) {
    if (!IsService(*instance) || instance == &task) continue;
    most = std::max(most, model_.Predict(instance->type, task.type, share,
                                         UseOf(*instance, guards)));
  }
  return most;
}

}  // namespace carobmast::placement
