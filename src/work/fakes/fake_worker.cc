#include "work/fakes/fake_worker.h"

#include <algorithm>
#include <utility>

#include "framework/base/units.h"

namespace carobmast::work {
namespace {

constexpr std::string_view kRunPrefix = "run ";

bool IsRunning(const FakeExecution& execution) {
  return execution.state == platform::TaskState::kRunning;
}

}  // namespace

FakeWorker::FakeWorker(FakeWorkerOptions options)
    : options_(std::move(options)) {}

MonotonicTime FakeWorker::LeaseEnd(MonotonicTime now, Duration lease) const {
  return now +
         std::chrono::duration_cast<Duration>(lease / options_.clock_rate);
}

platform::Resources FakeWorker::Committed() const {
  platform::Resources sum;
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
        execution.state = platform::TaskState::kFinished;
        ++completed_[id.task];
      } else {
        EndStop(execution);
      }
    } else if (execution.lease_until <= now) {
      execution.state = platform::TaskState::kLeaseExpired;
    } else if (options_.reports_checkpoints &&
               execution.kind == platform::TaskKind::kBatch) {
      const Duration done =
          execution.done_before + (now - execution.started_at);
      execution.checkpoint = std::to_string(done.count());
    }
  }
}

void FakeWorker::EndStop(FakeExecution& execution) {
  execution.state = platform::TaskState::kStopped;
  if (!execution.take_checkpoint) return;
  const Duration done =
      execution.done_before + (execution.stops_at - execution.started_at);
  execution.checkpoint = std::to_string(done.count());
}

void FakeWorker::Resume(MonotonicTime from, MonotonicTime to) {
  // Work stood still; leases ran on.
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

platform::WorkerReport FakeWorker::Report() const {
  platform::WorkerReport report{
      .worker = options_.name, .capacity = options_.capacity, .token = token_};
  for (const auto& [id, execution] : executions_) {
    const bool serves =
        execution.kind == platform::TaskKind::kService && IsRunning(execution);
    report.tasks.push_back({.id = id,
                            .state = execution.state,
                            .reserved = execution.resources,
                            .used = execution.resources,
                            .checkpoint = execution.checkpoint,
                            .endpoint = serves ? address() : ""});
  }
  return report;
}

platform::CommandAnswer FakeWorker::Answer(
    platform::CommandOutcome outcome) const {
  return {.outcome = outcome, .report = Report()};
}

platform::CommandAnswer FakeWorker::Execute(
    MonotonicTime now, const platform::WorkerCommand& command) {
  Settle(now);
  if (options_.checks_tokens && command.token < token_) {
    return Answer(platform::CommandOutcome::kStale);
  }
  token_ = command.token;
  switch (command.verb) {
    case platform::WorkerVerb::kFence:
    case platform::WorkerVerb::kThrottle:
      break;
    case platform::WorkerVerb::kStart:
      return Start(now, command);
    case platform::WorkerVerb::kRenew:
      for (auto& [id, execution] : executions_) {
        if (IsRunning(execution)) {
          execution.lease_until = LeaseEnd(now, command.lease);
        }
      }
      break;
    case platform::WorkerVerb::kStop:
      Stop(now, command);
      break;
    case platform::WorkerVerb::kForget: {
      const auto found = executions_.find(command.id);
      if (found != executions_.end() && !IsRunning(found->second)) {
        executions_.erase(found);
      }
      break;
    }
  }
  return Answer(platform::CommandOutcome::kDone);
}

platform::CommandAnswer FakeWorker::Start(
    MonotonicTime now, const platform::WorkerCommand& command) {
  if (executions_.contains(command.id)) {
    return Answer(platform::CommandOutcome::kDone);
  }
  const platform::Resources committed = Committed();
  const bool has_room =
      committed.milli_cpus + command.resources.milli_cpus <=
          options_.capacity.milli_cpus &&
      committed.memory.bytes + command.resources.memory.bytes <=
          options_.capacity.memory.bytes &&
      committed.accelerators + command.resources.accelerators <=
          options_.capacity.accelerators;
  if (options_.checks_room && !has_room) {
    return Answer(platform::CommandOutcome::kNoRoom);
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
    execution.state = platform::TaskState::kFailed;
  }
  executions_[command.id] = execution;
  return Answer(platform::CommandOutcome::kDone);
}

void FakeWorker::Stop(MonotonicTime now,
                      const platform::WorkerCommand& command) {
  const auto found = executions_.find(command.id);
  if (found == executions_.end() || !IsRunning(found->second)) return;
  FakeExecution& execution = found->second;
  if (execution.stops_at != MonotonicTime::max()) return;
  execution.stops_at = now + options_.stop_time;
  execution.take_checkpoint = command.take_checkpoint;
}

}  // namespace carobmast::work
