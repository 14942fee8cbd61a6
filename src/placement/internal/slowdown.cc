#include "placement/internal/slowdown.h"

#include <algorithm>

namespace carobmast::placement {

namespace {

constexpr double kFullThrottle = 1000;  // thousandths

bool IsService(const TaskEntry& task) {
  return task.kind == contracts::TaskKind::kService;
}

}  // namespace

double SlowdownPredictor::CpuShareOf(const WorkerEntry& worker,
                                     const contracts::Resources& need,
                                     std::uint32_t throttle) {
  if (worker.capacity.milli_cpus == 0) return 0;
  return static_cast<double>(need.milli_cpus) *
         (static_cast<double>(throttle) / kFullThrottle) /
         static_cast<double>(worker.capacity.milli_cpus);
}

CpuShares SlowdownPredictor::CpuSharesOn(const WorkerEntry& worker,
                                         const TaskEntry* except) const {
  CpuShares shares;
  for (const TaskEntry* task : worker.tasks) {
    if (task == except) continue;
    const double share = CpuShareOf(worker, task->need, task->throttle);
    const CpuShares::iterator found =
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

double SlowdownPredictor::UtilizationOf(const TaskEntry& instance,
                                        bool guards) const {
  const double utilization = model_.Utilization(instance.type, instance.id);
  if (!guards) return utilization;
  return std::max(utilization,
                  guard_share_ * model_.PeakUtilization(instance.type));
}

double SlowdownPredictor::InstanceLogSlowdown(const WorkerEntry& worker,
                                              const TaskEntry& instance,
                                              bool guards) const {
  const double utilization = UtilizationOf(instance, guards);
  double log_slowdown = 0;
  for (const TaskEntry* task : worker.tasks) {
    if (task == &instance) continue;
    log_slowdown += model_.PredictLogSlowdown(
        instance.type, task->type,
        CpuShareOf(worker, task->need, task->throttle), utilization);
  }
  return log_slowdown;
}

double SlowdownPredictor::WorstLogSlowdown(const WorkerEntry& worker,
                                           NameId type, double share,
                                           bool guards) const {
  double worst = 0;
  for (const TaskEntry* instance : worker.tasks) {
    if (!IsService(*instance)) continue;
    double instance_log_slowdown =
        InstanceLogSlowdown(worker, *instance, guards);
    if (type != kNoId) {
      instance_log_slowdown += model_.PredictLogSlowdown(
          instance->type, type, share, UtilizationOf(*instance, guards));
    }
    worst = std::max(worst, instance_log_slowdown);
  }
  return worst;
}

double SlowdownPredictor::LogContribution(const WorkerEntry& worker,
                                          const TaskEntry& task,
                                          bool guards) const {
  const double share = CpuShareOf(worker, task.need, task.throttle);
  double highest = 0;
  for (const TaskEntry* instance : worker.tasks) {
    if (!IsService(*instance) || instance == &task) continue;
    highest = std::max(
        highest, model_.PredictLogSlowdown(instance->type, task.type, share,
                                           UtilizationOf(*instance, guards)));
  }
  return highest;
}

}  // namespace carobmast::placement
