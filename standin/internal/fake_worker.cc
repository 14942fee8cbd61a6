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

constexpr std::uint32_t kFullSpeed = 1000;
constexpr char kCheckpointPrefix[] = "done:";
constexpr char kFailingPrefix[] = "fail";
// How long a task runs on a worker that fails everything.
constexpr Duration kFailingRun = std::chrono::milliseconds(10);
constexpr Duration kMaxLease = std::chrono::hours(24);

bool StartsWith(const std::string& text, const char* prefix) {
  return text.rfind(prefix, 0) == 0;
}

bool TakeOne(std::uint32_t& left) {
  if (left == 0) return false;
  --left;
  return true;
}

// The duration after the last ':' of `program`, or `fallback`.
Duration RunTime(const std::string& program, Duration fallback) {
  const std::size_t colon = program.rfind(':');
  if (colon == std::string::npos) return fallback;
  return ParseDuration(program.substr(colon + 1)).value_or(fallback);
}

// Empty when the text is no checkpoint.
std::optional<Duration> ParseCheckpoint(const std::string& checkpoint) {
  if (checkpoint.empty()) return Duration::zero();
  if (!StartsWith(checkpoint, kCheckpointPrefix)) return std::nullopt;
  return ParseDuration(checkpoint.substr(sizeof(kCheckpointPrefix) - 1));
}

std::uint64_t Share(std::uint64_t amount, std::uint32_t thousandths) {
  return amount * thousandths / kFullSpeed;
}

}  // namespace

FakeWorker::FakeWorker(FakeWorkerOptions options)
    : options_(std::move(options)) {}

CommandAnswer FakeWorker::Handle(const WorkerCommand& command,
                                 MonotonicTime now) {
  if (faults_.paused) return {.error = "the worker is paused"};
  Advance(now);
  if (TakeOne(faults_.lost_requests)) return {.error = "request lost"};
  if (faults_.refusing) {
    return Answer(CommandOutcome::kRefused, now, "the worker refuses");
  }
  if (command.token < token_) {
    return Answer(CommandOutcome::kStale, now,
                  "token " + std::to_string(command.token) + " is below " +
                      std::to_string(token_));
  }
  token_ = command.token;
  CommandAnswer answer = Apply(command, now);
  if (TakeOne(faults_.lost_answers)) return {.error = "answer lost"};
  return answer;
}

CommandAnswer FakeWorker::Apply(const WorkerCommand& command,
                                MonotonicTime now) {
  switch (command.verb) {
    case WorkerVerb::kFence:
      return Answer(CommandOutcome::kDone, now, "");
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
  return Answer(CommandOutcome::kRefused, now, "unknown command");
}

CommandAnswer FakeWorker::Start(const WorkerCommand& command,
                                MonotonicTime now) {
  if (tasks_.count(command.id) > 0) {
    return Answer(CommandOutcome::kDone, now, "");
  }
  const auto forgotten = forgotten_.find(command.id.task);
  if (forgotten != forgotten_.end() &&
      command.id.attempt <= forgotten->second) {
    return Answer(CommandOutcome::kRefused, now, "this attempt has ended");
  }
  if (command.lease <= Duration::zero()) {
    return Answer(CommandOutcome::kRefused, now, "the lease has no duration");
  }
  if (!ParseCheckpoint(command.checkpoint).has_value()) {
    return Answer(CommandOutcome::kRefused, now, "malformed checkpoint");
  }
  if (tasks_.size() >= options_.max_tasks) {
    return Answer(CommandOutcome::kRefused, now, "too many tasks are reported");
  }
  if (!HasRoom(command.resources)) {
    return Answer(CommandOutcome::kNoRoom, now, "the resources are taken");
  }
  Task task = MakeTask(command, now);
  if (command.kind == TaskKind::kService && options_.open_endpoint) {
    try {
      task.report.endpoint = options_.open_endpoint(command);
    } catch (const Error& error) {
      return Answer(CommandOutcome::kRefused, now, error.what());
    }
  }
  task.execution = executions_.size();
  executions_.push_back({.id = command.id,
                         .kind = command.kind,
                         .reserved = command.resources,
                         .from = now});
  tasks_.emplace(command.id, std::move(task));
  return Answer(CommandOutcome::kDone, now, "");
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
  task.total = RunTime(command.program, options_.default_run);
  task.done = ParseCheckpoint(command.checkpoint).value_or(Duration::zero());
  task.since = now;
  task.fails = StartsWith(command.program, kFailingPrefix);
  if (faults_.failing) {
    task.fails = true;
    task.total = task.done + kFailingRun;
  }
  return task;
}

CommandAnswer FakeWorker::Renew(const WorkerCommand& command,
                                MonotonicTime now) {
  for (std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    if (entry.second.report.state != TaskState::kRunning) continue;
    entry.second.lease_until = now + std::min(command.lease, kMaxLease);
  }
  return Answer(CommandOutcome::kDone, now, "");
}

CommandAnswer FakeWorker::Stop(const WorkerCommand& command,
                               MonotonicTime now) {
  const auto found = tasks_.find(command.id);
  if (found == tasks_.end()) {
    // A start that is still on its way must not run after the stop.
    std::uint32_t& last = forgotten_[command.id.task];
    last = std::max(last, command.id.attempt);
    return Answer(CommandOutcome::kDone, now, "");
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
    End(task, TaskState::kStopped, now);
  }
  return Answer(CommandOutcome::kDone, now, "");
}

CommandAnswer FakeWorker::Throttle(const WorkerCommand& command,
                                   MonotonicTime now) {
  const auto found = tasks_.find(command.id);
  if (found == tasks_.end()) {
    return Answer(CommandOutcome::kRefused, now, "no such task");
  }
  Task& task = found->second;
  task.done = DoneAt(task, now);
  task.since = now;
  task.throttle = std::min(command.throttle, kFullSpeed);
  return Answer(CommandOutcome::kDone, now, "");
}

CommandAnswer FakeWorker::Forget(const WorkerCommand& command,
                                 MonotonicTime now) {
  const auto found = tasks_.find(command.id);
  if (found == tasks_.end()) return Answer(CommandOutcome::kDone, now, "");
  if (found->second.report.state == TaskState::kRunning) {
    return Answer(CommandOutcome::kRefused, now, "the task runs");
  }
  std::uint32_t& last = forgotten_[command.id.task];
  last = std::max(last, command.id.attempt);
  tasks_.erase(found);
  return Answer(CommandOutcome::kDone, now, "");
}

CommandAnswer FakeWorker::Answer(CommandOutcome outcome, MonotonicTime now,
                                 std::string error) const {
  return {.outcome = outcome, .report = Report(now), .error = std::move(error)};
}

void FakeWorker::Advance(MonotonicTime now) {
  for (std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    Task& task = entry.second;
    if (task.report.state != TaskState::kRunning) continue;
    const MonotonicTime own_end = OwnEnd(task);
    if (std::min(own_end, task.lease_until) > now) continue;
    if (own_end <= task.lease_until) {
      if (task.fails) task.report.reason = "the program failed";
      End(task, task.fails ? TaskState::kFailed : TaskState::kFinished,
          own_end);
      continue;
    }
    task.report.checkpoint =
        CheckpointOf(task, task.lease_until, options_.checkpoint_interval);
    End(task, TaskState::kLeaseExpired, task.lease_until);
  }
}

void FakeWorker::Reboot(MonotonicTime now) {
  Advance(now);
  for (std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    if (entry.second.report.state != TaskState::kRunning) continue;
    End(entry.second, TaskState::kFailed, now);
  }
  tasks_.clear();
  forgotten_.clear();
  token_ = 0;
}

void FakeWorker::End(Task& task, TaskState state, MonotonicTime at) {
  task.report.state = state;
  executions_[task.execution].to = at;
  executions_[task.execution].state = state;
  if (task.report.endpoint.empty()) return;
  task.report.endpoint.clear();
  if (options_.close_endpoint) {
    options_.close_endpoint(task.report.id, state == TaskState::kStopped);
  }
}

bool FakeWorker::HasRoom(const Resources& wanted) const {
  Resources taken = wanted;
  for (const std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    const TaskReport& report = entry.second.report;
    if (report.state != TaskState::kRunning) continue;
    taken.milli_cpus += report.reserved.milli_cpus;
    taken.memory.bytes += report.reserved.memory.bytes;
    taken.accelerators += report.reserved.accelerators;
  }
  const Resources& capacity = options_.capacity;
  return taken.milli_cpus <= capacity.milli_cpus &&
         taken.memory <= capacity.memory &&
         taken.accelerators <= capacity.accelerators;
}

contracts::WorkerReport FakeWorker::Report(MonotonicTime now) const {
  contracts::WorkerReport report{
      .worker = options_.name, .capacity = options_.capacity, .token = token_};
  for (const std::pair<const contracts::AttemptId, Task>& entry : tasks_) {
    const Task& task = entry.second;
    TaskReport shown = task.report;
    if (shown.state == TaskState::kRunning) {
      shown.checkpoint = CheckpointOf(task, now, options_.checkpoint_interval);
      if (options_.measure_latency && !shown.endpoint.empty()) {
        shown.latency_p99 = options_.measure_latency(shown.id);
      }
      if (now - task.started >= options_.usage_lag) {
        shown.used = {.milli_cpus = Share(shown.reserved.milli_cpus,
                                          options_.use_thousandths),
                      .memory = {Share(shown.reserved.memory.bytes,
                                       options_.use_thousandths)},
                      .accelerators = shown.reserved.accelerators};
      }
    }
    report.tasks.push_back(std::move(shown));
  }
  return report;
}

std::string FakeWorker::CheckpointOf(const Task& task, MonotonicTime now,
                                     Duration interval) const {
  if (task.kind != TaskKind::kBatch) return task.report.checkpoint;
  const Duration done = DoneAt(task, now);
  const Duration written = done - done % interval;
  if (written == Duration::zero()) return task.report.checkpoint;
  return kCheckpointPrefix + FormatDuration(written);
}

Duration FakeWorker::DoneAt(const Task& task, MonotonicTime now) {
  const Duration ran = now - task.since;
  const Duration done = task.done + ran * task.throttle / kFullSpeed;
  return std::min(done, std::max(task.total, task.done));
}

MonotonicTime FakeWorker::OwnEnd(const Task& task) {
  const bool ends = task.kind == TaskKind::kBatch || task.fails;
  if (!ends || task.throttle == 0) return MonotonicTime::max();
  const Duration left = std::max(task.total - task.done, Duration::zero());
  return task.since + left * kFullSpeed / task.throttle;
}

}  // namespace carobmast::standin
