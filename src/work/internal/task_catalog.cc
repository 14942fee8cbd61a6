#include "work/internal/task_catalog.h"

#include <utility>

namespace carobmast::work {
namespace {

std::string TaskId(const std::string& object, std::uint32_t index) {
  return object + "/" + std::to_string(index);
}

bool SameSpec(const TaskSpec& a, const TaskSpec& b) {
  return a.kind == b.kind && a.pool == b.pool && a.program == b.program &&
         a.resources == b.resources && a.priority == b.priority &&
         a.slots == b.slots && a.connections == b.connections;
}

}  // namespace

config::Priority TaskCatalog::PriorityOf(const std::string& team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? config::Priority::kNormal
                               : found->second.priority;
}

std::set<std::string> TaskCatalog::SetConfig(const config::Objects& objects) {
  has_config_ = true;
  teams_ = objects.teams;
  pools_ = objects.vm_pools;
  jobs_.clear();
  const std::map<std::string, TaskSpec> before =
      std::exchange(configured_, std::map<std::string, TaskSpec>{});
  for (const auto& [name, service] : objects.services) {
    const TaskSpec spec{.kind = contracts::TaskKind::kService,
                        .object = name,
                        .team = service.team,
                        .pool = service.pool,
                        .program = service.program,
                        .resources = service.instance,
                        .priority = PriorityOf(service.team),
                        .slots = service.slots,
                        .connections = service.connections};
    for (std::uint32_t i = 0; i < service.instances; ++i) {
      configured_[TaskId(name, i)] = spec;
    }
  }
  for (const auto& [name, worker] : objects.standing_workers) {
    const TaskSpec spec{.kind = contracts::TaskKind::kStanding,
                        .object = name,
                        .team = worker.team,
                        .pool = worker.pool,
                        .program = worker.program,
                        .resources = worker.task,
                        .priority = PriorityOf(worker.team),
                        .checkpoints = true};
    for (std::uint32_t i = 0; i < worker.replicas; ++i) {
      configured_[TaskId(name, i)] = spec;
    }
  }
  std::set<std::string> changed;
  for (const auto& [id, spec] : before) {
    if (!configured_.contains(id)) changed.insert(id);
  }
  for (const auto& [id, spec] : configured_) {
    const auto old = before.find(id);
    if (old == before.end() || !SameSpec(old->second, spec)) changed.insert(id);
  }
  return changed;
}

TaskSpec TaskCatalog::JobSpec(const config::BatchJob& job) const {
  return {.kind = contracts::TaskKind::kBatch,
          .object = job.name,
          .team = job.team,
          .pool = job.pool,
          .program = job.program,
          .resources = job.task,
          .priority = PriorityOf(job.team),
          .checkpoints = job.checkpoints};
}

const TaskSpec* TaskCatalog::Find(const std::string& task,
                                  const WorkFold& fold) {
  const FoldedJob* job = fold.JobOf(task);
  if (job == nullptr) {
    const auto found = configured_.find(task);
    return found == configured_.end() ? nullptr : &found->second;
  }
  const auto [cached, is_new] = jobs_.try_emplace(job->submit.submission);
  if (is_new) cached->second = JobSpec(job->submit.spec);
  return &cached->second;
}

bool TaskCatalog::Wanted(const std::string& task, const WorkFold& fold) const {
  const FoldedJob* job = fold.JobOf(task);
  if (job != nullptr) return !job->cancelled;
  return !has_config_ || configured_.contains(task);
}

std::vector<std::string> TaskCatalog::ZonesOf(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? std::vector<std::string>{}
                               : found->second.zones;
}

void TaskCatalog::ForgetJobs(const WorkFold& fold) {
  std::erase_if(jobs_, [&fold](const auto& entry) {
    return !fold.jobs().contains(entry.first);
  });
}

}  // namespace carobmast::work
