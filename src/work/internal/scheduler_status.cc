// Status and service endpoints of the scheduler.
#include "work/internal/scheduler_impl.h"

namespace carobmast::work {
namespace {

constexpr std::string_view kStageText[] = {"pending", "assigned", "finished",
                                           "held", "cancelled"};

std::string StageText(TaskStage stage) {
  return std::string(kStageText[static_cast<std::size_t>(stage)]);
}

}  // namespace

SchedulerStatus SchedulerCore::Impl::Status(MonotonicTime now) const {
  SchedulerStatus status{.scheduler = options_.name,
                         .zone = options_.zone,
                         .offset = fold_.next() - 1,
                         .ready = fold_.ready() && log_read_};
  for (const auto& [name, cell] : cells_) {
    if (cell.zone != options_.zone && !Owned(cell)) continue;
    const FoldedCell* folded = fold_.FindCell(name);
    CellStatus entry{.cell = name, .state = cell_chart_.StateName(cell.state)};
    if (folded != nullptr) {
      entry.owner = folded->owner;
      entry.token = folded->token;
      entry.members = static_cast<std::uint32_t>(folded->members.size());
    }
    for (const auto& [worker, session] : sessions_) {
      if (session.cell == name && session.contact == Contact::kUnfenced) {
        entry.unresolved.push_back(worker);
      }
    }
    status.cells.push_back(std::move(entry));
  }
  for (const auto& [id, local] : local_tasks_) {
    status.tasks.push_back({.task = id,
                            .object = local.spec.object,
                            .state = task_chart_.StateName(local.state),
                            .cell = local.cell,
                            .worker = local.worker,
                            .attempt = local.attempt,
                            .endpoint = local.endpoint,
                            .waits_for = WaitReason(now, local)});
  }
  for (const auto& [id, task] : fold_.tasks()) {
    if (local_tasks_.contains(id)) continue;
    status.tasks.push_back({.task = id,
                            .state = StageText(task.stage),
                            .cell = task.cell,
                            .attempt = task.next_attempt - 1,
                            .waits_for = PendingReason(now, id, task)});
  }
  for (const auto& [id, spec] : catalog_.configured()) {
    if (fold_.FindTask(id) != nullptr) continue;
    status.tasks.push_back({.task = id,
                            .object = spec.object,
                            .state = "pending",
                            .waits_for = PendingReason(now, id, {})});
  }
  for (const auto& [submission, job] : fold_.jobs()) {
    status.jobs.push_back(StatusOf(job));
  }
  return status;
}

std::string SchedulerCore::Impl::WaitReason(MonotonicTime now,
                                            const LocalTask& task) const {
  switch (task.state) {
    case LocalTaskState::kHeld:
      return "a worker of cell " + task.cell +
             " may run it and was not reached since the claim";
    case LocalTaskState::kReady:
      if (!task.has_spec) return "the configuration is not known yet";
      if (now < task.not_before) return "restart delay after a failure";
      return "room in cell " + task.cell;
    case LocalTaskState::kStarting:
      return task.start_uncertain ? "an answer of worker " + task.worker : "";
    case LocalTaskState::kEnded:
      return "the log";
    case LocalTaskState::kRunning:
    case LocalTaskState::kStopping:
    case LocalTaskState::kGone:
      break;
  }
  return "";
}

std::string SchedulerCore::Impl::PendingReason(MonotonicTime now,
                                               const std::string& id,
                                               const FoldedTask& task) const {
  if (task.stage == TaskStage::kHeld) {
    return "failed as often as its job allows: " + task.reason;
  }
  if (task.stage != TaskStage::kPending) return "";
  if (!LogHealthy(now)) return "the log service is out";
  const FoldedJob* job = fold_.JobOf(id);
  if (job != nullptr && !fold_.DependenciesMet(*job)) {
    return "a job that it runs after has not finished";
  }
  if (planned_takes_.contains(id)) return "its take in the log";
  return "a worker with room";
}

JobStatus SchedulerCore::Impl::StatusOf(const FoldedJob& job) const {
  JobStatus status{.submission = job.submit.submission,
                   .job = job.submit.spec.name,
                   .state = "pending",
                   .tasks = job.submit.spec.tasks,
                   .finished = job.finished};
  for (std::uint32_t i = 0; i < status.tasks; ++i) {
    const FoldedTask* task = fold_.FindTask(BatchTaskId(status.submission, i));
    if (task == nullptr) continue;
    if (task->stage == TaskStage::kAssigned) ++status.running;
    if (task->stage == TaskStage::kHeld) {
      ++status.held;
      status.reason = task->reason;
    }
  }
  if (status.running > 0) status.state = "running";
  if (status.held > 0) status.state = "held";
  if (job.Succeeded()) status.state = "finished";
  if (job.cancelled) status.state = "cancelled";
  return status;
}

Endpoints SchedulerCore::Impl::ListEndpoints() const {
  Endpoints endpoints;
  for (const auto& [name, cell] : cells_) {
    if (cell.state != CellState::kServing) continue;
    endpoints.cells.push_back({.cell = name, .token = cell.token});
  }
  for (const auto& [id, task] : local_tasks_) {
    if (task.endpoint.empty() || !task.has_spec) continue;
    if (task.spec.kind != contracts::TaskKind::kService) continue;
    const auto session = sessions_.find(task.worker);
    const bool leaving = session != sessions_.end() && session->second.leaving;
    const auto cell = cells_.find(task.cell);
    endpoints.instances.push_back(
        {.service = task.spec.object,
         .task = id,
         .attempt = task.attempt,
         .cell = task.cell,
         .token = cell->second.token,
         .endpoint = task.endpoint,
         .worker = task.worker,
         .zone = cell->second.zone,
         .slots = task.spec.slots,
         .connections = task.spec.connections,
         .leaving = leaving || task.state != LocalTaskState::kRunning});
  }
  return endpoints;
}

}  // namespace carobmast::work
