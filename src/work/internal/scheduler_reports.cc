// Commands to workers, their answers, and the reports in the answers.
#include <algorithm>
#include <utility>

#include "work/internal/scheduler_impl.h"

namespace carobmast::work {
namespace {

// No start is sent for this long to a worker that refused one.
constexpr std::chrono::seconds kAfterRefusal{2};

// Consecutive failures of different tasks after which a worker is set aside,
// i.e. gets no starts. A single failing task may be the task's own fault. The
// delay doubles up to kMaxSetAsideShift times.
constexpr std::uint32_t kFailuresToSetAside = 2;
constexpr std::chrono::seconds kFirstSetAside{10};
constexpr std::uint32_t kMaxSetAsideShift = 4;
// At most one worker in this many, but at least one, is set aside at a time: a
// job that fails on every worker must not exclude all of them.
constexpr std::size_t kWorkersPerSetAside = 4;

// Maximum number of uncertain starts per worker. Beyond it, the cell is claimed
// again: the higher token makes the worker refuse late starts.
constexpr std::size_t kMaxUncertainStarts = 16;

}  // namespace

std::uint64_t SchedulerCore::Impl::Send(MonotonicTime now,
                                        const WorkerSession& session,
                                        contracts::WorkerCommand command) {
  const std::uint64_t id = next_command_++;
  command.worker = session.worker;
  command.address = session.address;
  command.token = session.token;
  command.timeout = options_.command_timeout;
  commands_[id] = {.verb = command.verb,
                   .worker = session.worker,
                   .token = session.token,
                   .id = command.id,
                   .sent_at = now};
  ++counters_.commands;
  hooks_.command(id, std::move(command));
  return id;
}

void SchedulerCore::Impl::OnCommandAnswer(
    MonotonicTime now, std::uint64_t id,
    const contracts::CommandAnswer& answer) {
  const auto found = commands_.find(id);
  if (found == commands_.end()) return;
  const CommandInFlight sent = found->second;
  commands_.erase(found);
  WorkerSession* session = FindSession(sent.worker);
  // Ignores answers to commands of an earlier claim.
  if (session == nullptr || session->token != sent.token) return;
  if (answer.outcome == contracts::CommandOutcome::kStale) {
    OnStale(now, *session);
    return;
  }
  switch (sent.verb) {
    case contracts::WorkerVerb::kFence:
    case contracts::WorkerVerb::kRenew:
      OnControlAnswer(now, id, sent, *session, answer);
      break;
    case contracts::WorkerVerb::kStart:
      OnStartAnswer(now, id, sent, *session, answer);
      break;
    case contracts::WorkerVerb::kStop:
      if (LocalTask* task = FindLocalTask(sent.id.task); task != nullptr) {
        task->stop_in_flight = false;
      }
      if (answer.outcome == contracts::CommandOutcome::kDone) {
        ProcessReport(now, id, *session, answer.report);
      }
      break;
    case contracts::WorkerVerb::kThrottle:
    case contracts::WorkerVerb::kForget:
      break;
  }
}

void SchedulerCore::Impl::OnStale(MonotonicTime now, WorkerSession& session) {
  ++counters_.stale_answers;
  TrackedCell* cell = FindOwned(session.cell);
  session.control_in_flight = false;
  session.contact = Contact::kUnreachable;
  session.next_control = now + options_.probe_every;
  UpdateUsable(now, session);
  if (cell != nullptr) Fire(now, *cell, CellEvent::kStale);
}

void SchedulerCore::Impl::OnControlAnswer(
    MonotonicTime now, std::uint64_t id, const CommandInFlight& sent,
    WorkerSession& session, const contracts::CommandAnswer& answer) {
  session.control_in_flight = false;
  const bool renewal = sent.verb == contracts::WorkerVerb::kRenew;
  if (answer.outcome != contracts::CommandOutcome::kDone) {
    const bool no_effect =
        answer.outcome == contracts::CommandOutcome::kNotSent ||
        answer.outcome == contracts::CommandOutcome::kRefused;
    if (renewal && !no_effect) ++session.uncertain_renewals;
    LoseContact(now, session);
    return;
  }
  if (session.contact == Contact::kGone) return;
  TrackedCell* cell = FindOwned(session.cell);
  if (cell == nullptr) return;
  if (session.contact == Contact::kUnfenced && !MayFence(sent.sent_at, *cell)) {
    session.next_control = now + options_.renew_every;
    return;
  }
  const bool is_first = session.contact == Contact::kUnfenced;
  const bool contact_regained = session.contact != Contact::kFenced;
  session.contact = Contact::kFenced;
  // The worker executed the command before `now`, so its leases end before
  // this.
  if (renewal || is_first) session.leases_end_by = now + LeaseWithDrift();
  session.next_control = contact_regained ? now : now + options_.renew_every;
  if (is_first) {
    // This is the first command of this claim that the worker executed, so no
    // earlier renewal can be uncertain.
    session.uncertain_renewals = 0;
  }
  UpdateUsable(now, session);
  ProcessReport(now, id, session, answer.report);
  if (is_first) CheckResolved(now, *cell);
}

void SchedulerCore::Impl::OnStartAnswer(
    MonotonicTime now, std::uint64_t id, const CommandInFlight& sent,
    WorkerSession& session, const contracts::CommandAnswer& answer) {
  if (answer.outcome == contracts::CommandOutcome::kUnknown) {
    session.uncertain_starts.insert(sent.id);
    TrackedCell* cell = FindOwned(session.cell);
    if (session.uncertain_starts.size() > kMaxUncertainStarts &&
        cell != nullptr) {
      cell->wants_new_token = true;
    }
  }
  LocalTask* task = FindLocalTask(sent.id.task);
  if (task == nullptr || task->attempt != sent.id.attempt ||
      task->worker != session.worker) {
    return;
  }
  task->start_in_flight = false;
  tasks_to_advance_.insert(task->id);
  switch (answer.outcome) {
    case contracts::CommandOutcome::kDone:
      task->start_uncertain = false;
      task->first_listing_command = next_command_;
      session.leases_end_by =
          std::max(session.leases_end_by, now + LeaseWithDrift());
      ProcessReport(now, id, session, answer.report);
      return;
    case contracts::CommandOutcome::kUnknown:
    case contracts::CommandOutcome::kStale:
      task->start_uncertain = task->state == LocalTaskState::kStarting;
      LoseContact(now, session);
      return;
    case contracts::CommandOutcome::kNotSent:
      LoseContact(now, session);
      break;
    case contracts::CommandOutcome::kNoRoom:
    case contracts::CommandOutcome::kRefused:
      session.refused_until = now + kAfterRefusal;
      UpdateUsable(now, session);
      break;
  }
  if (task->state != LocalTaskState::kStarting) return;
  if (task->start_uncertain) {
    // The earlier start may still arrive; only a higher token prevents it.
    if (TrackedCell* cell = FindOwned(task->cell); cell != nullptr) {
      cell->wants_new_token = true;
    }
    return;
  }
  Fire(now, *task, LocalTaskEvent::kStartRefused);
}

void SchedulerCore::Impl::ProcessReport(MonotonicTime now,
                                        std::uint64_t sent_id,
                                        WorkerSession& session,
                                        const contracts::WorkerReport& report) {
  table_.SetCapacity(session.worker, report.capacity);
  std::set<contracts::AttemptId> named;
  std::set<contracts::AttemptId> strays;
  for (const contracts::TaskReport& task : report.tasks) {
    named.insert(task.id);
    if (task.state == contracts::TaskState::kRunning) {
      ProcessRunning(now, session, task, strays);
    } else {
      ProcessEnded(now, session, task);
    }
  }
  EndUnreportedTasks(now, sent_id, session, named);
  UpdateStrays(now, session, std::move(strays));
}

void SchedulerCore::Impl::ProcessRunning(
    MonotonicTime now, WorkerSession& session,
    const contracts::TaskReport& report,
    std::set<contracts::AttemptId>& strays) {
  LocalTask* task = FindLocalTask(report.id.task);
  if (task == nullptr || task->cell != session.cell) {
    strays.insert(report.id);
    table_.Adopt(session.worker, report.id, report.reserved);
    return;
  }
  const bool is_current_attempt =
      task->worker == session.worker && task->attempt == report.id.attempt;
  if (is_current_attempt) {
    // The end of the attempt is known already; this report is older.
    const bool ended = task->attempt_end.has_value() &&
                       task->attempt_end->attempt == report.id.attempt;
    if (ended || task->state == LocalTaskState::kEnded) return;
    task->used = report.used;
    task->endpoint = report.endpoint;
    if (!report.checkpoint.empty()) task->checkpoint = report.checkpoint;
    if (task->state == LocalTaskState::kStarting) {
      task->start_uncertain = false;
      if (!task->start_in_flight) task->first_listing_command = next_command_;
      task->running_since = now;
      Fire(now, *task, LocalTaskEvent::kFoundRunning);
      tasks_to_advance_.insert(task->id);
    }
    return;
  }
  // An attempt that a former owner started after the newest end known here.
  const bool waits = task->state == LocalTaskState::kHeld ||
                     task->state == LocalTaskState::kReady;
  const std::uint32_t ended =
      task->attempt_end.has_value() ? task->attempt_end->attempt : 0;
  if (waits && report.id.attempt > ended &&
      report.id.attempt >= task->first_attempt) {
    AdoptRunning(now, session, *task, report);
    return;
  }
  strays.insert(report.id);
  table_.Adopt(session.worker, report.id, report.reserved);
}

void SchedulerCore::Impl::AdoptRunning(MonotonicTime now,
                                       WorkerSession& session, LocalTask& task,
                                       const contracts::TaskReport& report) {
  task.worker = session.worker;
  task.attempt = report.id.attempt;
  task.next_attempt = std::max(task.next_attempt, report.id.attempt + 1);
  task.attempt_end.reset();
  task.used = report.used;
  task.endpoint = report.endpoint;
  if (!report.checkpoint.empty()) task.checkpoint = report.checkpoint;
  task.running_since = now;
  task.first_listing_command = next_command_;
  session.tasks.push_back(task);
  table_.Adopt(session.worker, report.id, report.reserved);
  ++counters_.adopted;
  Fire(now, task, LocalTaskEvent::kFoundRunning);
  tasks_to_advance_.insert(task.id);
}

void SchedulerCore::Impl::UpdateCheckpoint(
    LocalTask& task, const contracts::TaskReport& report) {
  // A finished task has nothing to resume.
  if (report.state == contracts::TaskState::kFinished) {
    task.checkpoint.clear();
  } else if (!report.checkpoint.empty()) {
    task.checkpoint = report.checkpoint;
  }
}

void SchedulerCore::Impl::ProcessEnded(MonotonicTime now,
                                       WorkerSession& session,
                                       const contracts::TaskReport& report) {
  LocalTask* task = FindLocalTask(report.id.task);
  table_.Release(session.worker, report.id);
  if (task == nullptr || task->cell != session.cell ||
      report.id.attempt < task->first_attempt) {
    Forget(now, session, report.id);
    return;
  }
  const AttemptEnd attempt_end{.attempt = report.id.attempt,
                               .state = report.state,
                               .checkpoint = report.checkpoint,
                               .reason = report.reason};
  const bool is_current_attempt =
      task->worker == session.worker && task->attempt == report.id.attempt;
  if (is_current_attempt) {
    if (task->state == LocalTaskState::kEnded) return;
    if (task->attempt_end.has_value() &&
        task->attempt_end->attempt == report.id.attempt) {
      return;
    }
    task->attempt_end = attempt_end;
    UpdateCheckpoint(*task, report);
    TrackFailures(now, session, report);
    Fire(now, *task, LocalTaskEvent::kFoundEnded);
    tasks_to_advance_.insert(task->id);
    return;
  }
  const bool newest = !task->attempt_end.has_value() ||
                      task->attempt_end->attempt < attempt_end.attempt;
  if (task->state == LocalTaskState::kHeld && newest) {
    task->attempt_end = attempt_end;
    task->attempt = std::max(task->attempt, attempt_end.attempt);
    UpdateCheckpoint(*task, report);
    return;
  }
  if (task->state == LocalTaskState::kRunning &&
      report.id.attempt < task->attempt) {
    Forget(now, session, report.id);
  }
}

void SchedulerCore::Impl::TrackFailures(MonotonicTime now,
                                        WorkerSession& session,
                                        const contracts::TaskReport& report) {
  if (report.state == contracts::TaskState::kFinished) {
    session.failures_in_row = 0;
    session.last_failed_task.clear();
    session.set_asides = 0;
    return;
  }
  if (report.state != contracts::TaskState::kFailed ||
      session.last_failed_task == report.id.task) {
    return;
  }
  session.last_failed_task = report.id.task;
  if (++session.failures_in_row < kFailuresToSetAside) return;
  const std::ptrdiff_t num_set_aside = std::count_if(
      sessions_.begin(), sessions_.end(),
      [now](const auto& entry) { return entry.second.set_aside_until > now; });
  const std::size_t max_set_aside =
      std::max<std::size_t>(1, sessions_.size() / kWorkersPerSetAside);
  if (static_cast<std::size_t>(num_set_aside) >= max_set_aside) return;
  // After the delay, a single further failure sets the worker aside again.
  session.failures_in_row = kFailuresToSetAside - 1;
  session.set_aside_until = now + kFirstSetAside * (1U << session.set_asides);
  session.set_asides = std::min(session.set_asides + 1, kMaxSetAsideShift);
  ++counters_.workers_set_aside;
  UpdateUsable(now, session);
}

void SchedulerCore::Impl::EndUnreportedTasks(
    MonotonicTime now, std::uint64_t sent_id, WorkerSession& session,
    const std::set<contracts::AttemptId>& named) {
  std::vector<std::string> unreported;
  for (const LocalTask& task : session.tasks) {
    const bool expected_running = task.state == LocalTaskState::kRunning ||
                                  task.state == LocalTaskState::kStopping;
    if (!expected_running || sent_id < task.first_listing_command) continue;
    if (!named.contains({.task = task.id, .attempt = task.attempt})) {
      unreported.push_back(task.id);
    }
  }
  for (const std::string& id : unreported) {
    LocalTask& task = *FindLocalTask(id);
    task.attempt_end = {.attempt = task.attempt,
                        .state = contracts::TaskState::kRunning,
                        .checkpoint = task.checkpoint,
                        .reason = "the worker does not know it any more"};
    Fire(now, task, LocalTaskEvent::kFoundEnded);
    tasks_to_advance_.insert(id);
  }
}

void SchedulerCore::Impl::UpdateStrays(MonotonicTime now,
                                       WorkerSession& session,
                                       std::set<contracts::AttemptId> strays) {
  for (const contracts::AttemptId& id : session.strays) {
    if (!strays.contains(id)) table_.Release(session.worker, id);
  }
  ClearStrays(session);
  session.strays = std::move(strays);
  for (const contracts::AttemptId& id : session.strays) {
    strays_.emplace(id.task, session.worker);
  }
  const TrackedCell* cell = FindOwned(session.cell);
  if (stopping_ || cell == nullptr || cell->state == CellState::kSuspended) {
    return;
  }
  // Without a valid owner lease the strays may be the tasks of the next owner.
  if (!OwnerLeaseValid(now)) return;
  if (session.strays.empty() || now < session.next_stray_stop) return;
  session.next_stray_stop = now + options_.probe_every;
  for (const contracts::AttemptId& id : session.strays) {
    ++counters_.strays;
    contracts::WorkerCommand command;
    command.verb = contracts::WorkerVerb::kStop;
    command.id = id;
    command.take_checkpoint = false;
    Send(now, session, command);
  }
}

void SchedulerCore::Impl::ClearStrays(WorkerSession& session) {
  for (const contracts::AttemptId& id : session.strays) {
    strays_.erase({id.task, session.worker});
  }
  session.strays.clear();
}

bool SchedulerCore::Impl::HasStray(const std::string& task) const {
  const auto found = strays_.lower_bound({task, ""});
  return found != strays_.end() && found->first == task;
}

void SchedulerCore::Impl::Forget(MonotonicTime now, WorkerSession& session,
                                 const contracts::AttemptId& id) {
  if (stopping_ || session.contact != Contact::kFenced) return;
  if (!OwnerLeaseValid(now)) return;
  if (session.uncertain_starts.contains(id)) return;
  contracts::WorkerCommand command;
  command.verb = contracts::WorkerVerb::kForget;
  command.id = id;
  Send(now, session, command);
}

}  // namespace carobmast::work
