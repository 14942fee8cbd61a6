// Tasks held by the cells of this scheduler: starts, stops and results.
#include <algorithm>
#include <utility>

#include "work/internal/scheduler_impl.h"

namespace carobmast::work {
namespace {

constexpr std::chrono::seconds kFirstRestartDelay{1};
constexpr std::uint32_t kMaxRestartShift = 5;

// A task that ran at least this long before it failed is restarted without
// delay.
constexpr std::chrono::seconds kStableRun{60};

// Delay before a task that found no worker in its cell is tried again while the
// log is unavailable.
constexpr std::chrono::milliseconds kRetryStart{500};

TaskResult ResultOf(const std::optional<AttemptEnd>& attempt_end,
                    bool cancelled) {
  if (!attempt_end.has_value()) return TaskResult::kReleased;
  switch (attempt_end->state) {
    case contracts::TaskState::kFinished:
      return TaskResult::kFinished;
    case contracts::TaskState::kFailed:
      return TaskResult::kFailed;
    case contracts::TaskState::kStopped:
    case contracts::TaskState::kLeaseExpired:
    case contracts::TaskState::kRunning:
      break;
  }
  return cancelled ? TaskResult::kCancelled : TaskResult::kReleased;
}

}  // namespace

LocalTask* SchedulerCore::Impl::FindLocalTask(const std::string& task) {
  const auto found = local_tasks_.find(task);
  return found == local_tasks_.end() ? nullptr : &found->second;
}

WorkerSession* SchedulerCore::Impl::FindSession(const std::string& worker) {
  const auto found = sessions_.find(worker);
  return found == sessions_.end() ? nullptr : &found->second;
}

void SchedulerCore::Impl::SyncTask(MonotonicTime now, const std::string& id) {
  const FoldedTask* folded = fold_.FindTask(id);
  LocalTask* local = FindLocalTask(id);
  const bool assigned =
      folded != nullptr && folded->stage == TaskStage::kAssigned;
  if (local != nullptr && (!assigned || folded->cell != local->cell)) {
    Fire(now, *local, LocalTaskEvent::kRecorded);
    EraseLocalTask(id);
    local = nullptr;
  }
  if (assigned && local == nullptr) {
    TrackedCell* cell = FindOwned(folded->cell);
    if (cell != nullptr) AddLocalTask(now, *cell, id, *folded);
  }
  if (folded != nullptr && folded->stage != TaskStage::kPending) DropTake(id);
  if (FindLocalTask(id) != nullptr) tasks_to_advance_.insert(id);
  SyncPending(now, id);
}

void SchedulerCore::Impl::AddLocalTask(MonotonicTime now, TrackedCell& cell,
                                       const std::string& id,
                                       const FoldedTask& folded) {
  static_cast<void>(now);
  if (local_tasks_.contains(id)) return;
  LocalTask& task = local_tasks_[id];
  task.id = id;
  task.cell = cell.cell;
  task.taken_after_claim = folded.taken_at > cell.token;
  task.first_attempt = folded.first_attempt;
  task.next_attempt = folded.next_attempt;
  task.attempt_limit = folded.next_attempt + kAttemptsPerClaim;
  task.checkpoint = folded.checkpoint;
  const auto plan = planned_takes_.find(id);
  if (plan != planned_takes_.end() && plan->second.cell == cell.cell) {
    task.planned_worker = plan->second.worker;
  }
  UpdateSpec(task);
  cell.tasks.insert(id);
  tasks_to_advance_.insert(id);
}

void SchedulerCore::Impl::EraseLocalTask(const std::string& id) {
  const auto found = local_tasks_.find(id);
  if (found == local_tasks_.end()) return;
  const auto cell = cells_.find(found->second.cell);
  if (cell != cells_.end()) cell->second.tasks.erase(id);
  tasks_to_advance_.erase(id);
  local_tasks_.erase(found);
}

void SchedulerCore::Impl::UpdateSpec(LocalTask& task) {
  const TaskSpec* spec = catalog_.Find(task.id, fold_);
  if (spec == nullptr) return;
  task.spec = *spec;
  task.has_spec = true;
}

bool SchedulerCore::Impl::MustHold(const LocalTask& task) const {
  if (task.taken_after_claim) return false;
  const auto cell = cells_.find(task.cell);
  return cell == cells_.end() || cell->second.state != CellState::kServing;
}

bool SchedulerCore::Impl::HasFinalEnd(const LocalTask& task) const {
  if (!task.attempt_end.has_value()) return false;
  const bool batch = fold_.JobOf(task.id) != nullptr;
  return batch || !catalog_.Wanted(task.id, fold_);
}

void SchedulerCore::Impl::AdvanceAll(MonotonicTime now) {
  const std::set<std::string> ids = std::exchange(tasks_to_advance_, {});
  for (const std::string& id : ids) {
    LocalTask* task = FindLocalTask(id);
    if (task != nullptr) Advance(now, *task);
  }
}

void SchedulerCore::Impl::Advance(MonotonicTime now, LocalTask& task) {
  const TrackedCell* cell = FindOwned(task.cell);
  if (cell == nullptr || cell->state == CellState::kSuspended) return;
  if (task.state == LocalTaskState::kHeld && !MustHold(task)) {
    Fire(now, task, LocalTaskEvent::kResolved);
  }
  const bool wanted = catalog_.Wanted(task.id, fold_);
  switch (task.state) {
    case LocalTaskState::kReady:
      if (!wanted) {
        Fire(now, task, LocalTaskEvent::kGiveUp);
      } else {
        TryStart(now, task);
      }
      break;
    case LocalTaskState::kStarting:
      // Sends the same start again: it is idempotent, and its answer tells
      // whether the attempt runs.
      if (task.start_uncertain && !task.start_in_flight) SendStart(now, task);
      break;
    case LocalTaskState::kRunning: {
      const WorkerSession* session = FindSession(task.worker);
      const bool leaving = session != nullptr && session->leaving;
      if (!wanted || leaving) Fire(now, task, LocalTaskEvent::kStopWanted);
      break;
    }
    case LocalTaskState::kStopping:
      if (!task.stop_in_flight && now >= task.not_before) {
        Fire(now, task, LocalTaskEvent::kStopWanted);
      }
      tasks_to_advance_.insert(task.id);
      break;
    case LocalTaskState::kHeld:
    case LocalTaskState::kEnded:
    case LocalTaskState::kGone:
      break;
  }
}

void SchedulerCore::Impl::TryStart(MonotonicTime now, LocalTask& task) {
  tasks_to_advance_.insert(task.id);
  if (now < task.not_before || !task.has_spec || !OwnerLeaseValid(now)) return;
  if (HasStray(task.id)) return;
  if (task.next_attempt >= task.attempt_limit) {
    // All attempt numbers of this owner are used. The result record tells the
    // log the newest one, and whoever takes the task next continues from there.
    if (LogHealthy(now)) Fire(now, task, LocalTaskEvent::kGiveUp);
    return;
  }
  const contracts::AttemptId planned{.task = task.id, .attempt = 0};
  std::string worker;
  if (!task.planned_worker.empty()) {
    worker = std::exchange(task.planned_worker, "");
    const OwnedWorker* owned = table_.Find(worker);
    table_.Release(worker, planned);
    if (owned == nullptr || !owned->usable) worker.clear();
  }
  if (worker.empty()) {
    const std::optional<std::string> picked = hooks_.pick_worker(
        {.task = task.id, .spec = task.spec, .cell = task.cell}, table_, now);
    worker = picked.value_or("");
  }
  const contracts::AttemptId id{.task = task.id, .attempt = task.next_attempt};
  if (worker.empty() || !table_.Reserve(worker, id, task.spec.resources)) {
    if (LogHealthy(now)) {
      Fire(now, task, LocalTaskEvent::kGiveUp);
    } else {
      task.not_before = now + kRetryStart;
    }
    return;
  }
  task.worker = worker;
  task.attempt = task.next_attempt++;
  task.attempt_end.reset();
  task.start_uncertain = false;
  FindSession(worker)->tasks.push_back(task);
  Fire(now, task, LocalTaskEvent::kStartSent);
  ++counters_.starts;
  SendStart(now, task);
}

void SchedulerCore::Impl::SendStart(MonotonicTime now, LocalTask& task) {
  tasks_to_advance_.insert(task.id);
  WorkerSession* session = FindSession(task.worker);
  if (session == nullptr || session->contact != Contact::kFenced) return;
  if (!OwnerLeaseValid(now)) return;
  contracts::WorkerCommand command;
  command.verb = contracts::WorkerVerb::kStart;
  command.id = {.task = task.id, .attempt = task.attempt};
  command.lease = options_.lease;
  command.kind = task.spec.kind;
  command.resources = task.spec.resources;
  command.program = task.spec.program;
  command.checkpoint = task.checkpoint;
  command.slots = task.spec.slots;
  command.connections = task.spec.connections;
  task.start_in_flight = true;
  Send(now, *session, command);
}

void SchedulerCore::Impl::SendStop(MonotonicTime now, LocalTask& task) {
  tasks_to_advance_.insert(task.id);
  task.not_before = now + options_.probe_every;
  WorkerSession* session = FindSession(task.worker);
  if (session == nullptr || session->contact != Contact::kFenced) return;
  if (!OwnerLeaseValid(now)) return;
  contracts::WorkerCommand command;
  command.verb = contracts::WorkerVerb::kStop;
  command.id = {.task = task.id, .attempt = task.attempt};
  command.take_checkpoint =
      task.spec.checkpoints && catalog_.Wanted(task.id, fold_);
  task.stop_in_flight = true;
  ++counters_.stops;
  Send(now, *session, command);
}

void SchedulerCore::Impl::RecordResult(LocalTask& task) {
  const TrackedCell& cell = cells_.at(task.cell);
  if (!task.planned_worker.empty()) {
    table_.Release(task.planned_worker, {.task = task.id, .attempt = 0});
    task.planned_worker.clear();
  }
  const FoldedJob* job = fold_.JobOf(task.id);
  const bool cancelled = job != nullptr && job->cancelled;
  // A service or standing worker that is still wanted is released without a
  // result, so that it is placed again.
  const std::optional<AttemptEnd> end =
      HasFinalEnd(task) ? task.attempt_end : std::nullopt;
  queue_.AddResult(
      cell.cell, cell.token,
      {.id = {.task = task.id,
              .attempt = std::max(task.first_attempt, task.attempt)},
       .result = ResultOf(end, cancelled),
       .checkpoint = task.checkpoint,
       .reason = task.attempt_end.has_value() ? task.attempt_end->reason : ""});
}

void SchedulerCore::Impl::FreeRoom(MonotonicTime now, LocalTask& task) {
  table_.Release(task.worker, {.task = task.id, .attempt = task.attempt});
  task.unlink();
  task.endpoint.clear();
  task.start_uncertain = false;
  task.start_in_flight = false;
  task.stop_in_flight = false;
  if (!task.attempt_end.has_value()) {
    // The start was refused, so no attempt ran.
    task.worker.clear();
    return;
  }
  const bool stable = now - task.running_since >= kStableRun;
  const bool failed = task.attempt_end->state == contracts::TaskState::kFailed;
  task.restarts = failed && !stable ? task.restarts + 1 : 0;
  task.not_before = now;
  if (task.restarts > 0) {
    const std::uint32_t shift = std::min(task.restarts - 1, kMaxRestartShift);
    task.not_before += kFirstRestartDelay * (1U << shift);
  }
}

void SchedulerCore::Impl::MarkTasksLost(MonotonicTime now,
                                        WorkerSession& session,
                                        const std::string& reason) {
  std::vector<std::string> ids;
  for (const LocalTask& task : session.tasks) ids.push_back(task.id);
  for (const std::string& id : ids) {
    LocalTask& task = *FindLocalTask(id);
    if (!task.attempt_end.has_value() ||
        task.attempt_end->attempt != task.attempt) {
      task.attempt_end = {.attempt = task.attempt,
                          .state = contracts::TaskState::kRunning,
                          .checkpoint = task.checkpoint,
                          .reason = reason};
    }
    Fire(now, task, LocalTaskEvent::kWorkerGone);
    tasks_to_advance_.insert(id);
  }
}

}  // namespace carobmast::work
