#include "work/fakes/fake_worker.h"

#include <algorithm>
#include <utility>

#include "framework/base/units.h"

namespace carobmast::work {
namespace {

constexpr std::string_view kRunPrefix = "run ";

bool IsRunning(const FakeExecution& execution) {
  return execution.state == contracts::TaskState::kRunning;
}

}  // namespace

FakeWorker::FakeWorker(FakeWorkerOptions options)
    : options_(std::move(options)) {}

MonotonicTime FakeWorker::LeaseEnd(MonotonicTime now, Duration lease) const {
  return now +
         std::chrono::duration_cast<Duration>(lease / options_.clock_rate);
}

contracts::Resources FakeWorker::Committed() const {
  contracts::Resources sum;
  for (const auto& [id, execution] : executions_) {
    if (!IsRunning(execution)) continue;
    sum.milli_cpus += execution.resources.milli_cpus;
    sum.memory.bytes += execution.resources.memory.bytes;
    sum.accelerators += execution.resources.accelerators;
  }
  return sum;
}

void FakeWorker::Settle(MonotonicTime now) {
  for (auto& [id, execution] : executions_) {
    if (!IsRunning(execution)) continue;
    const MonotonicTime end = std::min(execution.ends_at, execution.stops_at);
    if (end <= now && end <= execution.lease_until) {
      if (execution.ends_at <= execution.stops_at) {
        execution.state = contracts::TaskState::kFinished;
        ++completed_[id.task];
      } else {
        FinishStop(execution);
      }
    } else if (execution.lease_until <= now) {
      execution.state = contracts::TaskState::kLeaseExpired;
    } else if (options_.reports_checkpoints &&
               execution.kind == contracts::TaskKind::kBatch) {
      const Duration done =
          execution.done_before + (now - execution.started_at);
      execution.checkpoint = std::to_string(done.count());
    }
  }
}

void FakeWorker::FinishStop(FakeExecution& execution) {
  execution.state = contracts::TaskState::kStopped;
  if (!execution.take_checkpoint) return;
  const Duration done =
      execution.done_before + (execution.stops_at - execution.started_at);
  execution.checkpoint = std::to_string(done.count());
}

void FakeWorker::Resume(MonotonicTime from, MonotonicTime to) {
  // The pause delays the work, but not the end of the leases.
  for (auto& [id, execution] : executions_) {
    if (!IsRunning(execution)) continue;
    if (execution.ends_at != MonotonicTime::max()) {
      execution.ends_at += to - from;
    }
    if (execution.stops_at != MonotonicTime::max()) {
      execution.stops_at += to - from;
    }
  }
  Settle(to);
}

contracts::WorkerReport FakeWorker::Report() const {
  contracts::WorkerReport report{
      .worker = options_.name, .capacity = options_.capacity, .token = token_};
  for (const auto& [id, execution] : executions_) {
    const bool serves =
        execution.kind == contracts::TaskKind::kService && IsRunning(execution);
    report.tasks.push_back({.id = id,
                            .state = execution.state,
                            .reserved = execution.resources,
                            .used = execution.resources,
                            .checkpoint = execution.checkpoint,
                            .endpoint = serves ? address() : ""});
  }
  return report;
}

contracts::CommandAnswer FakeWorker::Answer(
    contracts::CommandOutcome outcome) const {
  return {.outcome = outcome, .report = Report()};
}

contracts::CommandAnswer FakeWorker::Execute(
    MonotonicTime now, const contracts::WorkerCommand& command) {
  Settle(now);
  if (options_.checks_tokens && command.token < token_) {
    return Answer(contracts::CommandOutcome::kStale);
  }
  token_ = command.token;
  switch (command.verb) {
    case contracts::WorkerVerb::kFence:
    case contracts::WorkerVerb::kThrottle:
      break;
    case contracts::WorkerVerb::kStart:
      return Start(now, command);
    case contracts::WorkerVerb::kRenew:
      for (auto& [id, execution] : executions_) {
        if (IsRunning(execution)) {
          execution.lease_until = LeaseEnd(now, command.lease);
        }
      }
      break;
    case contracts::WorkerVerb::kStop:
      Stop(now, command);
      break;
    case contracts::WorkerVerb::kForget: {
      const auto found = executions_.find(command.id);
      if (found != executions_.end() && !IsRunning(found->second)) {
        executions_.erase(found);
      }
      break;
    }
  }
  return Answer(contracts::CommandOutcome::kDone);
}

contracts::CommandAnswer FakeWorker::Start(
    MonotonicTime now, const contracts::WorkerCommand& command) {
  if (executions_.contains(command.id)) {
    return Answer(contracts::CommandOutcome::kDone);
  }
  const contracts::Resources committed = Committed();
  const bool has_room =
      committed.milli_cpus + command.resources.milli_cpus <=
          options_.capacity.milli_cpus &&
      committed.memory.bytes + command.resources.memory.bytes <=
          options_.capacity.memory.bytes &&
      committed.accelerators + command.resources.accelerators <=
          options_.capacity.accelerators;
  if (options_.checks_capacity && !has_room) {
    return Answer(contracts::CommandOutcome::kNoRoom);
  }
  ++starts_;
  FakeExecution execution{.kind = command.kind,
                          .resources = command.resources,
                          .program = command.program,
                          .started_at = now,
                          .lease_until = LeaseEnd(now, command.lease),
                          .checkpoint = command.checkpoint};
  if (!command.checkpoint.empty()) {
    execution.done_before = Duration(std::stoll(command.checkpoint));
  }
  if (command.program.starts_with(kRunPrefix)) {
    const Duration work =
        ParseDuration(command.program.substr(kRunPrefix.size()))
            .value_or(Duration::zero());
    execution.ends_at = now + work - execution.done_before;
  }
  if (command.program == "fail" || options_.fails_everything) {
    execution.state = contracts::TaskState::kFailed;
  }
  executions_[command.id] = execution;
  return Answer(contracts::CommandOutcome::kDone);
}

void FakeWorker::Stop(MonotonicTime now,
                      const contracts::WorkerCommand& command) {
  const auto found = executions_.find(command.id);
  if (found == executions_.end() || !IsRunning(found->second)) return;
  FakeExecution& execution = found->second;
  if (execution.stops_at != MonotonicTime::max()) return;
  execution.stops_at = now + options_.stop_time;
  execution.take_checkpoint = command.take_checkpoint;
}

}  // namespace carobmast::work
