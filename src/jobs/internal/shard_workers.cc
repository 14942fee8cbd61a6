// Reports of workers about their runs, and the health of workers.
#include <algorithm>
#include <utility>

#include "jobs/internal/shard_impl.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

using contracts::WorkerClock;
using std::chrono::milliseconds;

// A block of a divided job then takes at most 83 KB, below the smallest record
// that the stream must accept.
constexpr std::size_t kMaxCheckpointBytes = 256;
// Consecutive failures, of more than one job, after which a worker is
// quarantined.
constexpr std::uint32_t kFailuresToQuarantine = 3;
constexpr milliseconds kInitialQuarantine{2500};
constexpr std::uint32_t kMaxQuarantineDoublings = 3;
// A gang whose member has failed on a worker waits for room on others for this
// long, which doubles with each further attempt that fails. Faults of a worker
// often last for some seconds.
constexpr milliseconds kInitialGangWait{2500};
constexpr std::uint32_t kMaxGangWaitDoublings = 2;
// Bounds the record of a gang.
constexpr std::size_t kMaxAvoidedWorkers = 16;
// A task is stalled when it makes no progress for this time and for this share
// of its estimate.
constexpr milliseconds kStalledAfter{2200};
constexpr double kStalledEstimates = 0.25;
// Progress in percent at which a standing task serves its users.
constexpr std::uint32_t kReadyPercent = 100;
// Below this speed, in percent, missing progress does not mean that a filler is
// stalled.
constexpr std::uint32_t kMinJudgedPace = 60;
// Interval between log lines with the state of the shard.
constexpr milliseconds kSummaryInterval{1000};
// Interval between log lines about runs of a worker that were not stopped, and
// their maximum number.
constexpr milliseconds kLeftoverLogInterval{1000};
constexpr std::size_t kMaxLeftoverLines = 8;
// Time after which an acknowledgement goes before further starts.
constexpr milliseconds kMaxAcknowledgementWait{200};
// Up to this number of listed runs, each is looked for among the worker's.
constexpr std::size_t kMaxSearchedRuns = 32;
// Maximum number of lines about unknown runs for one list of ends.
constexpr std::size_t kMaxUnknownEndLines = 8;

RunEnd ToRunEnd(contracts::EndKind kind) {
  switch (kind) {
    case contracts::EndKind::kFinished:
      return RunEnd::kFinished;
    case contracts::EndKind::kFailed:
      return RunEnd::kFailed;
    case contracts::EndKind::kStopped:
      return RunEnd::kStopped;
    case contracts::EndKind::kLeaseExpired:
      return RunEnd::kLost;
    case contracts::EndKind::kGangBroken:
    case contracts::EndKind::kGangIncomplete:
      return RunEnd::kGangOver;
  }
  return RunEnd::kLost;
}

const char* RunEndName(RunEnd end) {
  switch (end) {
    case RunEnd::kFinished:
      return "finished";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLost:
      return "lost";
    case RunEnd::kNeverStarted:
      return "not run";
    case RunEnd::kGangOver:
      return "gang over";
  }
  return "lost";
}

}  // namespace

RunKey KeyOfRun(const Run& run) { return {KeyOfTask(*run.task), run.attempt}; }

WorkerState& ShardCore::Impl::GetWorker(const std::string& id) {
  std::unique_ptr<WorkerState>& worker = workers[id];
  if (worker == nullptr) {
    worker = std::make_unique<WorkerState>();
    worker->id = id;
    worker->known_since = now.steady;
    worker->cordoned = cordoned.contains(id);
  }
  return *worker;
}

Run* ShardCore::Impl::FindRun(WorkerState& worker,
                              const contracts::TaskKey& key,
                              std::uint32_t attempt) {
  Task* task = FindTask(key);
  if (task == nullptr) return nullptr;
  for (Run& run : task->runs) {
    if (run.worker == &worker && run.attempt == attempt) return &run;
  }
  return nullptr;
}

Run* ShardCore::Impl::FindRunOnWorker(WorkerState& worker,
                                      const contracts::TaskKey& key,
                                      std::uint32_t attempt) {
  for (Run& run : worker.runs) {
    const Step& step = *run.task->step;
    if (run.attempt == attempt && run.task->index == key.index &&
        step.number == key.step && step.occurrence->number == key.occurrence &&
        step.occurrence->job->id == key.job) {
      return &run;
    }
  }
  return nullptr;
}

Task* ShardCore::Impl::FindTask(const contracts::TaskKey& key) {
  const auto job = jobs.find(key.job);
  if (job == jobs.end()) return nullptr;
  const auto occurrence = job->second->occurrences.find(key.occurrence);
  if (occurrence == job->second->occurrences.end()) return nullptr;
  std::vector<Step>& steps = occurrence->second->steps;
  if (key.step >= steps.size()) return nullptr;
  std::vector<Task>& tasks = steps[key.step].tasks;
  return key.index < tasks.size() ? &tasks[key.index] : nullptr;
}

void ShardCore::Impl::OnClock(WorkerState& worker, WorkerClock clock) {
  worker.clock = clock;
  worker.clock_at = now.steady;
}

void ShardCore::Impl::HoldNow(const WorkerState& worker) const {
  if (worker.next_report_at <= now.steady) hooks.hold_now(worker.id);
}

void ShardCore::Impl::SetSilent(WorkerState& worker, const std::string& error) {
  if (worker.silent_since.has_value()) return;
  worker.silent_since = now.steady;
  hooks.decided(
      "worker silent",
      {{"worker", worker.id},
       {"runs", std::distance(worker.runs.begin(), worker.runs.end())},
       {"error", error}});
}

void ShardCore::Impl::LogRunOver(const Run& run, RunEnd end) const {
  const Step& step = *run.task->step;
  std::vector<telemetry::Field> fields = {
      {"job", step.occurrence->job->id}, {"step", step.number},
      {"task", run.task->index},         {"attempt", run.attempt},
      {"worker", run.worker->id},        {"how", RunEndName(end)}};
  if (end == RunEnd::kLost || end == RunEnd::kNeverStarted) {
    fields.emplace_back("born_ms", run.worker->born_ms);
    fields.emplace_back("confirmed", run.state == RunState::kRunning);
    fields.emplace_back("arrived", run.may_have_arrived);
    if (run.state != RunState::kPlanned) {
      fields.emplace_back("ordered", now.steady - run.ordered_at);
    }
  }
  hooks.decided("run over", fields);
}

void ShardCore::Impl::EndRun(Run& run, RunEnd end,
                             const std::string& checkpoint) {
  Task& task = *run.task;
  Step& step = *task.step;
  Job& job = *step.occurrence->job;
  WorkerState& worker = *run.worker;
  // A lost or never started run was not reported by a worker: it may never have
  // begun.
  if (end != RunEnd::kLost && end != RunEnd::kNeverStarted) job.started = true;
  if (end == RunEnd::kFinished) ++counters.ends_finished;
  if (end == RunEnd::kFailed) ++counters.ends_failed;
  if (end == RunEnd::kStopped) ++counters.ends_stopped;
  if (end == RunEnd::kLost) ++counters.runs_lost;
  if (end != RunEnd::kFinished) {
    LogRunOver(run, end);
  }
  // The state that the members of a gang share is kept by the first one.
  Task& keeper = step.spec->gang ? step.tasks.front() : task;
  SetCheckpoint(keeper, checkpoint);
  ReleaseResources(run);
  KeepSpareStarts(run, end);
  const bool was_stalled = run.stop_requested;
  const std::uint32_t attempt = run.attempt;
  if (--job.run_count == 0) job.idle_since = now.steady;
  task.runs.remove_if([&run](const Run& each) { return &each == &run; });
  task.idle_since = now.steady;
  MarkChanged(task);
  if (&keeper != &task) MarkChanged(keeper);
  RequestSchedule();
  if (end == RunEnd::kFinished && !step.spec->standing) {
    RecordSuccess(worker);
    if (step.spec->gang) {
      for (Task& member : step.tasks) FinishTask(member);
    } else {
      FinishTask(task);
    }
    return;
  }
  if (task.finished || job.IsOver()) return;
  if (end == RunEnd::kFailed) {
    task.avoided_worker = worker.id;
    if (!was_stalled) RecordFailure(worker, task);
    if (step.spec->gang) AvoidForGang(step, worker);
    if (!step.spec->standing && CountFailure(task, attempt, worker)) return;
  }
  if (step.spec->gang) StopGang(step, "another gang member ended");
  if (HasWaitingTasks(step)) AddReady(step);
}

bool ShardCore::Impl::CountFailure(Task& task, std::uint32_t attempt,
                                   const WorkerState& worker) {
  Step& step = *task.step;
  Job& job = *step.occurrence->job;
  Task& keeper = step.spec->gang ? step.tasks.front() : task;
  if (!keeper.failures.Add(attempt)) return false;
  MarkChanged(keeper);
  const std::uint32_t doublings =
      std::min(keeper.failures.count() - 1, kMaxGangWaitDoublings);
  step.avoided_until = now.steady + kInitialGangWait * (1 << doublings);
  const std::uint32_t attempt_limit = job.policy.max_attempts;
  hooks.decided("attempt failed", {{"job", job.id},
                                   {"step", step.number},
                                   {"task", task.index},
                                   {"gang", step.spec->gang},
                                   {"attempt", attempt},
                                   {"worker", worker.id},
                                   {"failures", keeper.failures.count()},
                                   {"limit", attempt_limit}});
  if (attempt_limit == 0 || keeper.failures.count() < attempt_limit) {
    return false;
  }
  EndJob(job, JobState::kFailed);
  return true;
}

void ShardCore::Impl::AvoidForGang(Step& step, const WorkerState& worker) {
  std::vector<std::string>& avoided = step.avoided_workers;
  std::erase(avoided, worker.id);
  if (avoided.size() >= kMaxAvoidedWorkers) avoided.erase(avoided.begin());
  avoided.push_back(worker.id);
  MarkChanged(step.tasks.front());
}

// A longer checkpoint would let a block exceed one record.
void ShardCore::Impl::SetCheckpoint(Task& task, const std::string& checkpoint) {
  if (!task.step->spec->checkpoints || checkpoint.empty()) return;
  if (checkpoint.size() <= kMaxCheckpointBytes) {
    task.checkpoint = checkpoint;
    return;
  }
  if (task.checkpoint_refused) return;
  task.checkpoint_refused = true;
  hooks.decided("checkpoint not kept", {{"job", task.step->occurrence->job->id},
                                        {"step", task.step->number},
                                        {"task", task.index},
                                        {"bytes", checkpoint.size()},
                                        {"limit", kMaxCheckpointBytes}});
}

void ShardCore::Impl::StopGang(Step& step, const std::string& reason) {
  for (Task& task : step.tasks) StopTask(task, reason);
}

void ShardCore::Impl::RecordSuccess(WorkerState& worker) {
  worker.failures_in_row = 0;
  worker.quarantines = 0;
}

void ShardCore::Impl::RecordFailure(WorkerState& worker, const Task& task) {
  const std::string& job = task.step->occurrence->job->id;
  // Repeated failures of one job do not show that the worker is at fault.
  if (worker.last_failed_job == job) return;
  worker.last_failed_job = job;
  if (++worker.failures_in_row >= kFailuresToQuarantine) {
    Quarantine(worker, "fails what it starts");
  }
}

void ShardCore::Impl::Quarantine(WorkerState& worker,
                                 const std::string& reason) {
  if (worker.quarantined_until > now.steady) return;
  const milliseconds pause = kInitialQuarantine * (1 << worker.quarantines);
  worker.quarantines =
      std::min(worker.quarantines + 1, kMaxQuarantineDoublings);
  worker.quarantined_until = now.steady + pause;
  // After the quarantine a single failure is enough for the next one.
  worker.failures_in_row = kFailuresToQuarantine - 1;
  worker.last_failed_job.clear();
  ++counters.quarantines;
  hooks.decided(
      "worker set aside",
      {{"worker", worker.id}, {"reason", reason}, {"pause", Duration(pause)}});
}

void ShardCore::Impl::StopUnknownRun(
    WorkerState& worker, const contracts::RunningTask& row,
    const std::map<RunKey, UnknownRun>& known_before) {
  UnknownRun& unknown =
      worker.unknown_runs
          .try_emplace({row.task, row.attempt}, UnknownRun{.since = now.steady})
          .first->second;
  const auto before = known_before.find({row.task, row.attempt});
  if (before != known_before.end()) unknown = before->second;
  const auto job = jobs.find(row.task.job);
  hooks.decided("unknown run",
                {{"job", row.task.job},
                 {"step", row.task.step},
                 {"task", row.task.index},
                 {"attempt", row.attempt},
                 {"worker", worker.id},
                 {"born_ms", worker.born_ms},
                 {"state", job == jobs.end() ? "unknown job"
                                             : StateName(job->second->state)},
                 {"since", now.steady - unknown.since},
                 {"stops", unknown.stops_sent}});
  ++unknown.stops_sent;
  hooks.stop({.id = worker.id, .address = worker.entry.address},
             {.incarnation = worker.born_ms,
              .task = row.task,
              .attempt = row.attempt,
              .token = TokenOf(worker)});
}

bool ShardCore::Impl::IsLeftover(const Run& run, MonotonicTime sent_at) const {
  if (run.stop_confirmed_at.has_value()) {
    return sent_at - *run.stop_confirmed_at > options.stop_time;
  }
  const Job& job = *run.task->step->occurrence->job;
  return job.IsOver() && sent_at - job.over_since > options.stop_time;
}

void ShardCore::Impl::LogLeftoverRuns(WorkerState& worker,
                                      const std::vector<Run*>& leftover) {
  worker.leftover_runs = leftover.size();
  if (leftover.empty() ||
      now.steady - worker.leftover_logged_at < kLeftoverLogInterval) {
    return;
  }
  worker.leftover_logged_at = now.steady;
  std::size_t lines = 0;
  for (const Run* run : leftover) {
    if (++lines > kMaxLeftoverLines) break;
    const Job& job = *run->task->step->occurrence->job;
    std::vector<telemetry::Field> fields = {{"job", job.id},
                                            {"step", run->task->step->number},
                                            {"task", run->task->index},
                                            {"attempt", run->attempt},
                                            {"worker", worker.id},
                                            {"state", StateName(job.state)},
                                            {"stops", run->stops_sent},
                                            {"error", run->stop_error}};
    if (job.IsOver()) fields.emplace_back("over", now.steady - job.over_since);
    if (run->stop_requested) {
      fields.emplace_back("asked", now.steady - run->stop_requested_at);
    }
    if (run->stop_confirmed_at.has_value()) {
      fields.emplace_back("confirmed", now.steady - *run->stop_confirmed_at);
    }
    hooks.decided("run not stopped", fields);
  }
}

void ShardCore::Impl::OnRunningList(WorkerState& worker,
                                    const contracts::HoldAnswer& answer,
                                    MonotonicTime sent_at) {
  std::vector<const Run*> listed;
  listed.reserve(answer.running.size());
  std::vector<Run*> leftover;
  const std::map<RunKey, UnknownRun> unknown_before =
      std::exchange(worker.unknown_runs, {});
  worker.reported_clock = answer.clock.value_or(worker.reported_clock);
  for (const contracts::RunningTask& row : answer.running) {
    Run* run = answer.running.size() <= kMaxSearchedRuns
                   ? FindRunOnWorker(worker, row.task, row.attempt)
                   : FindRun(worker, row.task, row.attempt);
    if (run == nullptr) {
      StopUnknownRun(worker, row, unknown_before);
      continue;
    }
    listed.push_back(run);
    if (IsLeftover(*run, sent_at)) leftover.push_back(run);
    run->task->step->occurrence->job->started = true;
    if (run->state != RunState::kRunning) {
      run->state = RunState::kRunning;
      run->confirmed_at = now.steady;
    }
    if (row.percent != run->percent || !run->progress_clock.has_value()) {
      run->progress_clock = answer.clock;
    }
    // Standing tasks do not finish: one that becomes ready has succeeded.
    if (run->task->step->spec->standing && run->percent < kReadyPercent &&
        row.percent >= kReadyPercent) {
      RecordSuccess(worker);
    }
    run->percent = row.percent;
    run->measured = row.measured;
    SetCheckpoint(*run->task, row.checkpoint);
  }
  LogLeftoverRuns(worker, leftover);
  for (Run* run : leftover) StopAgain(*run);
  std::set<RunKey> ended;
  for (const contracts::EndedTask& row : answer.ended) {
    ended.emplace(row.task, row.attempt);
  }
  std::vector<RunKey> missing;
  std::sort(listed.begin(), listed.end(), std::less<const Run*>());
  for (Run& run : worker.runs) {
    if (std::binary_search(listed.begin(), listed.end(), &run,
                           std::less<const Run*>()) ||
        ended.contains(KeyOfRun(run))) {
      continue;
    }
    if (answer.more_ended) {
      // It may have ended; its end follows once the listed ones are
      // acknowledged.
      run.percent = 0;
      run.progress_clock.reset();
      continue;
    }
    // A former incarnation's start may still be carried out.
    if (!worker.is_fenced) continue;
    const bool confirmed_before =
        run.state == RunState::kRunning && run.confirmed_at < sent_at;
    const bool stopped_before =
        run.stop_confirmed_at.has_value() && *run.stop_confirmed_at < sent_at;
    if (confirmed_before || stopped_before) missing.push_back(KeyOfRun(run));
  }
  if (!missing.empty()) LogLostRuns(worker, missing.size(), "not listed");
  // Ending a run may end others, so each run is looked up again.
  for (const RunKey& run_key : missing) {
    Run* run = FindRun(worker, run_key.first, run_key.second);
    if (run == nullptr) continue;
    EndRun(
        *run,
        run->state == RunState::kSent ? RunEnd::kNeverStarted : RunEnd::kLost,
        "");
  }
}

void ShardCore::Impl::LogRestart(const WorkerState& worker,
                                 const contracts::HoldOrder& order,
                                 const contracts::HoldAnswer& answer) const {
  // The new incarnation may have received these: the former one has not
  // answered since.
  const std::ptrdiff_t starts = std::count_if(
      worker.runs.begin(), worker.runs.end(), [&worker](const Run& run) {
        return run.state != RunState::kPlanned &&
               run.ordered_at >= worker.clock_at;
      });
  std::vector<telemetry::Field> fields = {
      {"worker", worker.id},
      {"born_ms", answer.born_ms},
      {"former_born_ms", worker.born_ms},
      {"acknowledged", order.acknowledged_end},
      {"ends", answer.ended.size()},
      {"runs", answer.running.size()},
      {"starts_before", starts},
      {"last_answer", now.steady - worker.clock_at},
      {"unanswered_holds", worker.unanswered_holds_in_row},
      {"unanswered_orders", worker.unanswered_orders_in_row}};
  if (order.lease_end.has_value()) {
    fields.emplace_back("lease_end", order.lease_end->count());
  }
  if (answer.clock.has_value()) {
    fields.emplace_back("clock", answer.clock->count());
  }
  if (worker.clock.has_value()) {
    fields.emplace_back("former_clock", worker.clock->count());
  }
  hooks.decided("worker reborn", fields);
}

void ShardCore::Impl::LogLostRuns(const WorkerState& worker, std::size_t runs,
                                  const std::string& reason) const {
  std::vector<telemetry::Field> fields = {
      {"worker", worker.id},
      {"born_ms", worker.born_ms},
      {"runs", runs},
      {"reason", reason},
      {"lease_end", worker.lease_end.count()}};
  if (worker.clock.has_value()) {
    fields.emplace_back("clock", worker.clock->count());
    fields.emplace_back("clock_age", now.steady - worker.clock_at);
  }
  if (worker.silent_since.has_value()) {
    fields.emplace_back("silent", now.steady - *worker.silent_since);
  }
  hooks.decided("runs lost", fields);
}

void ShardCore::Impl::OnUnknownEnd(const WorkerState& worker,
                                   const contracts::EndedTask& end) {
  Task* task = FindTask(end.task);
  if (task == nullptr || task->finished || end.attempt > task->attempt ||
      task->step->spec->standing || task->step->occurrence->job->IsOver()) {
    return;
  }
  task->step->occurrence->job->started = true;
  if (end.kind == contracts::EndKind::kFailed) {
    if (task->step->spec->gang) AvoidForGang(*task->step, worker);
    CountFailure(*task, end.attempt, worker);
  }
  if (end.kind != contracts::EndKind::kFinished) return;
  // Once this end is acknowledged the task must not run again.
  hooks.decided("task finished by an earlier attempt",
                {{"job", end.task.job},
                 {"step", end.task.step},
                 {"task", end.task.index},
                 {"attempt", end.attempt},
                 {"worker", worker.id}});
  if (!task->step->spec->gang) {
    FinishTask(*task);
    return;
  }
  for (Task& member : task->step->tasks) FinishTask(member);
}

void ShardCore::Impl::LogUnknownEnd(const WorkerState& worker,
                                    const contracts::EndedTask& end) {
  const Task* task = FindTask(end.task);
  hooks.decided("end of unknown run",
                {{"job", end.task.job},
                 {"step", end.task.step},
                 {"task", end.task.index},
                 {"attempt", end.attempt},
                 {"worker", worker.id},
                 {"born_ms", worker.born_ms},
                 {"number", end.number},
                 {"how", RunEndName(ToRunEnd(end.kind))},
                 {"latest_attempt", task == nullptr ? 0 : task->attempt}});
}

void ShardCore::Impl::OnEndedList(WorkerState& worker,
                                  const contracts::HoldAnswer& answer) {
  std::size_t unknown = 0;
  for (const contracts::EndedTask& row : answer.ended) {
    if (row.number <= worker.seen_end) continue;
    const bool knows_last = worker.seen_end > 0 || worker.followed_from_birth;
    if (knows_last && row.number > worker.seen_end + 1) {
      ++counters.end_gaps;
      hooks.decided("ends missing", {{"worker", worker.id},
                                     {"born_ms", worker.born_ms},
                                     {"after", worker.seen_end},
                                     {"before", row.number}});
    }
    worker.seen_end = row.number;
    Run* run = FindRun(worker, row.task, row.attempt);
    if (run != nullptr) {
      EndRun(*run, ToRunEnd(row.kind), row.checkpoint);
      continue;
    }
    ++counters.ends_unknown;
    if (++unknown <= kMaxUnknownEndLines) LogUnknownEnd(worker, row);
    OnUnknownEnd(worker, row);
  }
  worker.ends_change = changes;
  if (worker.seen_end > worker.acknowledged_end &&
      worker.ends_change <= stored_changes) {
    worker.acknowledged_end = worker.seen_end;
  }
}

bool ShardCore::Impl::MayAcknowledge(WorkerState& worker) {
  if (worker.acknowledged_end <= worker.forgotten_end) {
    worker.acknowledgement_waits_since.reset();
    worker.acknowledgement_due_since.reset();
    return false;
  }
  if (!worker.acknowledgement_due_since.has_value()) {
    worker.acknowledgement_due_since = now.steady;
  }
  if (HasStartInDoubt(worker)) {
    if (!worker.acknowledgement_waits_since.has_value()) {
      worker.acknowledgement_waits_since = now.steady;
    }
    return false;
  }
  worker.acknowledgement_waits_since.reset();
  // Starts may be left without an answer again and again.
  return now.steady - *worker.acknowledgement_due_since >
             options.max_order_delay ||
         !HasSpareStarts(worker);
}

bool ShardCore::Impl::HasStartInDoubt(const WorkerState& worker) const {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(), [this](const Run& run) {
        return run.order_in_flight ||
               (run.IsStartInDoubt() &&
                run.ordered_at + options.max_order_delay > now.steady);
      });
}

bool ShardCore::Impl::HasSpareStarts(const WorkerState& worker) const {
  if (worker.spare_starts_until > now.steady) return true;
  return std::any_of(
      worker.runs.begin(), worker.runs.end(), [this](const Run& run) {
        return run.HasSpareStart(run.state == RunState::kRunning) &&
               run.unanswered_start_at + options.max_order_delay > now.steady;
      });
}

void ShardCore::Impl::KeepSpareStarts(const Run& run, RunEnd end) {
  const bool has_begun =
      end != RunEnd::kNeverStarted &&
      (end != RunEnd::kLost || run.state == RunState::kRunning);
  if (!run.HasSpareStart(has_begun)) return;
  const MonotonicTime until =
      (run.order_in_flight ? run.ordered_at : run.unanswered_start_at) +
      options.max_order_delay;
  WorkerState& worker = *run.worker;
  worker.spare_starts_until = std::max(worker.spare_starts_until, until);
  // A standing task must not be away for as long.
  if (run.task->step->spec->standing) return;
  run.task->not_before = std::max(run.task->not_before, until);
}

bool ShardCore::Impl::IsAcknowledging(const WorkerState& worker) const {
  return worker.acknowledgement_in_flight ||
         AcknowledgementWaits(worker, kMaxAcknowledgementWait);
}

bool ShardCore::Impl::AcknowledgementWaits(const WorkerState& worker,
                                           Duration time) const {
  return worker.acknowledgement_waits_since.has_value() &&
         now.steady - *worker.acknowledgement_waits_since > time &&
         HasStartInDoubt(worker);
}

void ShardCore::Impl::OnAcknowledgement(WorkerState& worker,
                                        const contracts::HoldOrder& order,
                                        const contracts::HoldAnswer& answer) {
  worker.acknowledgement_in_flight = false;
  if (order.acknowledged_end == 0 || worker.born_ms != order.incarnation) {
    return;
  }
  if (answer.outcome == contracts::OrderOutcome::kDone &&
      answer.born_ms == worker.born_ms) {
    worker.forgotten_end =
        std::max(worker.forgotten_end, order.acknowledged_end);
    worker.acknowledgement_due_since.reset();
  } else if (answer.outcome == contracts::OrderOutcome::kUnknown) {
    // A later incarnation that has carried out a later start refuses it.
    // Half of the tokens are left for restarts.
    RaiseToken(worker, options.token_count / 2,
               "acknowledgement without an answer");
  }
}

void ShardCore::Impl::TickWorker(WorkerState& worker) {
  if (worker.quarantined_until != MonotonicTime() &&
      worker.quarantined_until <= now.steady) {
    worker.quarantined_until = MonotonicTime();
    RequestSchedule();
  }
  const bool in_contact =
      worker.contact_at.has_value() && !worker.silent_since.has_value();
  if (in_contact) {
    if (worker.entry.draining || worker.cordoned) Evacuate(worker);
    if (IsLeaving(worker)) WithdrawUnconfirmedStarts(worker);
    StopStalled(worker);
    RepeatOrders(worker);
    return;
  }
  std::vector<RunKey> ended_runs;
  const bool lease_over = LeaseWait(worker) < Duration::zero();
  for (Run& run : worker.runs) {
    const bool never_delivered = run.state == RunState::kSent &&
                                 !run.may_have_arrived && !run.order_in_flight;
    const bool is_over = lease_over && RunWait(run) < Duration::zero();
    if (run.state == RunState::kPlanned || is_over || never_delivered) {
      ended_runs.push_back(KeyOfRun(run));
    }
  }
  if (!ended_runs.empty()) {
    LogLostRuns(worker, ended_runs.size(),
                lease_over ? "leases over" : "not delivered");
  }
  for (const RunKey& run_key : ended_runs) {
    Run* run = FindRun(worker, run_key.first, run_key.second);
    if (run == nullptr) continue;
    EndRun(*run, run->may_have_arrived ? RunEnd::kLost : RunEnd::kNeverStarted,
           "");
  }
}

std::uint32_t ShardCore::Impl::CountUnavailable(const Step& step) const {
  return static_cast<std::uint32_t>(
      std::count_if(step.tasks.begin(), step.tasks.end(), [](const Task& task) {
        return std::none_of(
            task.runs.begin(), task.runs.end(), [](const Run& run) {
              // A run on a silent worker may have ended.
              return run.state == RunState::kRunning && !run.stop_requested &&
                     run.percent >= kReadyPercent &&
                     !run.worker->silent_since.has_value();
            });
      }));
}

// All runs on a worker end when it leaves. Standing tasks and tasks with
// checkpoints are stopped before, so that they continue on other workers.
void ShardCore::Impl::Evacuate(WorkerState& worker) {
  for (Run& run : worker.runs) {
    const Step& step = *run.task->step;
    if (run.state != RunState::kRunning || run.stop_requested ||
        step.spec->gang || step.occurrence->job->IsOver()) {
      continue;
    }
    if (!step.spec->standing && !step.spec->checkpoints) continue;
    const std::uint32_t allowed =
        step.spec->max_away.value_or(step.spec->count + 1);
    if (CountUnavailable(step) >= allowed) continue;
    if (step.spec->standing && Pick(*run.task) == nullptr) continue;
    RequestStop(run, "worker is leaving");
  }
}

void ShardCore::Impl::StopStalled(WorkerState& worker) {
  std::vector<Run*> stalled;
  for (Run& run : worker.runs) {
    const StepSpec& spec = *run.task->step->spec;
    if (run.state != RunState::kRunning || run.stop_requested ||
        spec.standing || spec.gang || run.pace < kMinJudgedPace) {
      continue;
    }
    const milliseconds limit = std::max(
        kStalledAfter,
        milliseconds(static_cast<std::int64_t>(
            kStalledEstimates * static_cast<double>(spec.estimate.count()))));
    // Measured from report to report: a worker or an owner that was silent
    // meanwhile does not make a task look stalled.
    if (run.progress_clock.has_value() &&
        worker.reported_clock - *run.progress_clock > limit) {
      stalled.push_back(&run);
    }
  }
  for (Run* run : stalled) {
    RecordFailure(worker, *run->task);
    run->task->avoided_worker = worker.id;
    RequestStop(*run, "no progress");
  }
}

void ShardCore::Impl::LogSummary() {
  if (now.steady - last_summary_at < kSummaryInterval) return;
  last_summary_at = now.steady;
  std::uint64_t waiting = 0;
  std::uint64_t waiting_fillers = 0;
  for (const auto& [key, step] : ready) {
    for (const Task& task : step->tasks) {
      if (task.finished || !task.runs.empty()) continue;
      ++(step->spec->fills ? waiting_fillers : waiting);
    }
  }
  std::uint64_t in_contact = 0;
  std::uint64_t standing = 0;
  std::uint64_t fillers = 0;
  std::uint64_t slowed = 0;
  std::uint64_t over_target = 0;
  for (const auto& [id, worker] : workers) {
    const bool usable = worker->listed && worker->contact_at.has_value() &&
                        !worker->silent_since.has_value();
    in_contact += usable ? 1 : 0;
    over_target += worker->worst_latency_ratio > 1 ? 1 : 0;
    for (const Run& run : worker->runs) {
      const StepSpec& spec = *run.task->step->spec;
      standing += spec.standing ? 1 : 0;
      fillers += spec.fills ? 1 : 0;
      slowed += spec.fills && run.pace < 100 ? 1 : 0;
    }
  }
  hooks.decided("shard", {{"jobs", jobs.size()},
                          {"waiting", waiting},
                          {"waiting_fillers", waiting_fillers},
                          {"workers", workers.size()},
                          {"in_contact", in_contact},
                          {"over_target", over_target},
                          {"standing", standing},
                          {"fillers", fillers},
                          {"slowed", slowed},
                          {"changes_unstored", changes - stored_changes}});
  LogWaitingDemand();
  LogStandingWaits();
}

ShardCore::Impl::Impl(ShardOptions shard_options, ShardHooks shard_hooks)
    : options(shard_options),
      hooks(std::move(shard_hooks)),
      cancelled_ids({.keep = shard_options.keep_ended}) {}

}  // namespace carobmast::jobs
