#include "standin/fake_worker.h"

#include <algorithm>
#include <utility>

#include "framework/base/error.h"
#include "framework/base/units.h"

namespace carobmast::standin {

using contracts::CommandAnswer;
using contracts::CommandOutcome;
using contracts::Resources;
using contracts::TaskKind;
using contracts::TaskReport;
using contracts::TaskState;
using contracts::WorkerCommand;
using contracts::WorkerVerb;

namespace {

// Full speed of a task and denominator of shares, in thousandths.
constexpr std::uint32_t kFullSpeed = 1000;
constexpr char kCheckpointPrefix[] = "done:";
constexpr char kFailingPrefix[] = "fail";
// Work that a task does before it fails under WorkerFaults::failing.
constexpr Duration kFailingRunTime = std::chrono::milliseconds(10);
// Longer leases are shortened to this.
constexpr Duration kMaxLease = std::chrono::hours(24);

bool StartsWith(const std::string& text, const char* prefix) {
  return text.rfind(prefix, 0) == 0;
}

// Uses up one of the remaining faults; false when none remain.
bool ConsumeFault(std::uint32_t& remaining) {
  if (remaining == 0) return false;
  --remaining;
  return true;
}

// The duration after the last ':' of `program`, or `fallback`.
Duration RunTime(const std::string& program, Duration fallback) {
  const std::size_t colon = program.rfind(':');
  if (colon == std::string::npos) return fallback;
  return ParseDuration(program.substr(colon + 1)).value_or(fallback);
}

// The work that the checkpoint records: zero for an empty one, nullopt for a
// malformed one.
std::optional<Duration> ParseCheckpoint(const std::string& checkpoint) {
  if (checkpoint.empty()) return Duration::zero();
  if (!StartsWith(checkpoint, kCheckpointPrefix)) return std::nullopt;
  return ParseDuration(checkpoint.substr(sizeof(kCheckpointPrefix) - 1));
}

std::uint64_t ScaleByThousandths(std::uint64_t amount,
                                 std::uint32_t thousandths) {
  return amount * thousandths / kFullSpeed;
}

}  // namespace

FakeWorker::FakeWorker(FakeWorkerOptions options)
    : options_(std::move(options)) {}

CommandAnswer FakeWorker::Handle(const WorkerCommand& command,
                                 MonotonicTime now) {
  if (faults_.paused) return {.error = "the worker is paused"};
  Advance(now);
  if (ConsumeFault(faults_.lost_requests)) return {.error = "request lost"};
  if (faults_.refusing) {
    return MakeAnswer(CommandOutcome::kRefused, now, "the worker refuses");
  }
  if (command.token < token_) {
    return MakeAnswer(CommandOutcome::kStale, now,
                      "token " + std::to_string(command.token) + " is below " +
                          std::to_string(token_));
  }
  token_ = command.token;
  CommandAnswer answer = Apply(command, now);
  if (ConsumeFault(faults_.lost_answers)) return {.error = "answer lost"};
  return answer;
}

CommandAnswer FakeWorker::Apply(const WorkerCommand& command,
                                MonotonicTime now) {
  switch (command.verb) {
    case WorkerVerb::kFence:
      return MakeAnswer(CommandOutcome::kDone, now, "");
    case WorkerVerb::kStart:
      return Start(command, now);
    case WorkerVerb::kRenew:
      return Renew(command, now);
    case WorkerVerb::kStop:
      return Stop(command, now);
    case WorkerVerb::kThrottle:
      return Throttle(command, now);
    case WorkerVerb::kForget:
      return Forget(command, now);
  }
  return MakeAnswer(CommandOutcome::kRefused, now, "unknown command");
}

CommandAnswer FakeWorker::Start(const WorkerCommand& command,
                                MonotonicTime now) {
  if (tasks_.count(command.id) > 0) {
    return MakeAnswer(CommandOutcome::kDone, now, "");
  }
  const auto blocked = blocked_attempts_.find(command.id.task);
  if (blocked != blocked_attempts_.end() &&
      command.id.attempt <= blocked->second) {
    return MakeAnswer(CommandOutcome::kRefused, now, "this attempt has ended");
  }
  if (command.lease <= Duration::zero()) {
    return MakeAnswer(CommandOutcome::kRefused, now,
                      "the lease has no duration");
  }
  if (!ParseCheckpoint(command.checkpoint).has_value()) {
    return MakeAnswer(CommandOutcome::kRefused, now, "malformed checkpoint");
  }
  if (tasks_.size() >= options_.max_tasks) {
    return MakeAnswer(CommandOutcome::kRefused, now,
                      "too many tasks are reported");
  }
  if (!HasCapacityFor(command.resources)) {
    return MakeAnswer(CommandOutcome::kNoRoom, now, "the resources are taken");
  }
  Task task = MakeTask(command, now);
  if (command.kind == TaskKind::kService && options_.open_endpoint) {
    try {
      task.report.endpoint = options_.open_endpoint(command);
    } catch (const Error& error) {
      return MakeAnswer(CommandOutcome::kRefused, now, error.what());
    }
  }
  task.execution_index = executions_.size();
  executions_.push_back({.id = command.id,
                         .kind = command.kind,
                         .reserved = command.resources,
                         .from = now});
  tasks_.emplace(command.id, std::move(task));
  return MakeAnswer(CommandOutcome::kDone, now, "");
}

FakeWorker::Task FakeWorker::MakeTask(const WorkerCommand& command,
                                      MonotonicTime now) const {
  Task task;
  task.report.id = command.id;
  task.report.reserved = command.resources;
  task.report.checkpoint = command.checkpoint;
  task.kind = command.kind;
  task.started = now;
  task.lease_until = now + std::min(command.lease, kMaxLease);
  task.work_total = RunTime(command.program, options_.default_run);
  task.work_done =
      ParseCheckpoint(command.checkpoint).value_or(Duration::zero());
  task.work_measured_at = now;
  task.will_fail = StartsWith(command.program, kFailingPrefix);
  if (faults_.failing) {
    task.will_fail = true;
    task.work_total = task.work_done + kFailingRunTime;
  }
  return task;
}

CommandAnswer FakeWorker::Renew(const WorkerCommand& command,
                                MonotonicTime now) {
  for (std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    if (entry.second.report.state != TaskState::kRunning) continue;
    entry.second.lease_until = now + std::min(command.lease, kMaxLease);
  }
  return MakeAnswer(CommandOutcome::kDone, now, "");
}

CommandAnswer FakeWorker::Stop(const WorkerCommand& command,
                               MonotonicTime now) {
  const auto found = tasks_.find(command.id);
  if (found == tasks_.end()) {
    // Blocks a start that is delayed in transit and arrives after this stop.
    std::uint32_t& highest_blocked = blocked_attempts_[command.id.task];
    highest_blocked = std::max(highest_blocked, command.id.attempt);
    return MakeAnswer(CommandOutcome::kDone, now, "");
  }
  Task& task = found->second;
  if (task.report.state == TaskState::kRunning) {
    if (command.take_checkpoint) {
      task.report.checkpoint =
          CheckpointOf(task, now, std::chrono::milliseconds(1));
    } else {
      task.report.checkpoint =
          CheckpointOf(task, now, options_.checkpoint_interval);
    }
    EndTask(task, TaskState::kStopped, now);
  }
  return MakeAnswer(CommandOutcome::kDone, now, "");
}

CommandAnswer FakeWorker::Throttle(const WorkerCommand& command,
                                   MonotonicTime now) {
  const auto found = tasks_.find(command.id);
  if (found == tasks_.end()) {
    return MakeAnswer(CommandOutcome::kRefused, now, "no such task");
  }
  Task& task = found->second;
  task.work_done = WorkDoneAt(task, now);
  task.work_measured_at = now;
  task.throttle = std::min(command.throttle, kFullSpeed);
  return MakeAnswer(CommandOutcome::kDone, now, "");
}

CommandAnswer FakeWorker::Forget(const WorkerCommand& command,
                                 MonotonicTime now) {
  const auto found = tasks_.find(command.id);
  if (found == tasks_.end()) return MakeAnswer(CommandOutcome::kDone, now, "");
  if (found->second.report.state == TaskState::kRunning) {
    return MakeAnswer(CommandOutcome::kRefused, now, "the task runs");
  }
  std::uint32_t& highest_blocked = blocked_attempts_[command.id.task];
  highest_blocked = std::max(highest_blocked, command.id.attempt);
  tasks_.erase(found);
  return MakeAnswer(CommandOutcome::kDone, now, "");
}

CommandAnswer FakeWorker::MakeAnswer(CommandOutcome outcome, MonotonicTime now,
                                     std::string error) const {
  return {.outcome = outcome, .report = Report(now), .error = std::move(error)};
}

void FakeWorker::Advance(MonotonicTime now) {
  for (std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    Task& task = entry.second;
    if (task.report.state != TaskState::kRunning) continue;
    const MonotonicTime completes_at = CompletionTime(task);
    if (std::min(completes_at, task.lease_until) > now) continue;
    if (completes_at <= task.lease_until) {
      if (task.will_fail) task.report.reason = "the program failed";
      EndTask(task, task.will_fail ? TaskState::kFailed : TaskState::kFinished,
              completes_at);
      continue;
    }
    task.report.checkpoint =
        CheckpointOf(task, task.lease_until, options_.checkpoint_interval);
    EndTask(task, TaskState::kLeaseExpired, task.lease_until);
  }
}

void FakeWorker::Reboot(MonotonicTime now) {
  Advance(now);
  for (std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    if (entry.second.report.state != TaskState::kRunning) continue;
    EndTask(entry.second, TaskState::kFailed, now);
  }
  tasks_.clear();
  blocked_attempts_.clear();
  token_ = 0;
}

void FakeWorker::EndTask(Task& task, TaskState state, MonotonicTime at) {
  task.report.state = state;
  executions_[task.execution_index].to = at;
  executions_[task.execution_index].state = state;
  if (task.report.endpoint.empty()) return;
  task.report.endpoint.clear();
  if (options_.close_endpoint) {
    options_.close_endpoint(task.report.id, state == TaskState::kStopped);
  }
}

bool FakeWorker::HasCapacityFor(const Resources& requested) const {
  Resources required = requested;
  for (const std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    const TaskReport& report = entry.second.report;
    if (report.state != TaskState::kRunning) continue;
    required.milli_cpus += report.reserved.milli_cpus;
    required.memory.bytes += report.reserved.memory.bytes;
    required.accelerators += report.reserved.accelerators;
  }
  const Resources& capacity = options_.capacity;
  return required.milli_cpus <= capacity.milli_cpus &&
         required.memory <= capacity.memory &&
         required.accelerators <= capacity.accelerators;
}

contracts::WorkerReport FakeWorker::Report(MonotonicTime now) const {
  contracts::WorkerReport report{
      .worker = options_.name, .capacity = options_.capacity, .token = token_};
  for (const std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    const Task& task = entry.second;
    TaskReport task_report = task.report;
    if (task_report.state == TaskState::kRunning) {
      task_report.checkpoint =
          CheckpointOf(task, now, options_.checkpoint_interval);
      if (options_.measure_latency && !task_report.endpoint.empty()) {
        task_report.latency_p99 = options_.measure_latency(task_report.id);
      }
      if (now - task.started >= options_.usage_lag) {
        task_report.used = {
            .milli_cpus = ScaleByThousandths(task_report.reserved.milli_cpus,
                                             options_.use_thousandths),
            .memory = {ScaleByThousandths(task_report.reserved.memory.bytes,
                                          options_.use_thousandths)},
            .accelerators = task_report.reserved.accelerators};
      }
    }
    report.tasks.push_back(std::move(task_report));
  }
  return report;
}

std::string FakeWorker::CheckpointOf(const Task& task, MonotonicTime now,
                                     Duration interval) const {
  if (task.kind != TaskKind::kBatch) return task.report.checkpoint;
  const Duration work_done = WorkDoneAt(task, now);
  const Duration checkpointed_work = work_done - work_done % interval;
  if (checkpointed_work == Duration::zero()) return task.report.checkpoint;
  return kCheckpointPrefix + FormatDuration(checkpointed_work);
}

Duration FakeWorker::WorkDoneAt(const Task& task, MonotonicTime now) {
  const Duration elapsed = now - task.work_measured_at;
  const Duration work_done =
      task.work_done + elapsed * task.throttle / kFullSpeed;
  return std::min(work_done, std::max(task.work_total, task.work_done));
}

MonotonicTime FakeWorker::CompletionTime(const Task& task) {
  const bool ends_by_itself = task.kind == TaskKind::kBatch || task.will_fail;
  if (!ends_by_itself || task.throttle == 0) return MonotonicTime::max();
  const Duration remaining =
      std::max(task.work_total - task.work_done, Duration::zero());
  return task.work_measured_at + remaining * kFullSpeed / task.throttle;
}

}  // namespace carobmast::standin
