// Why standing tasks are not known to be served.
#include <algorithm>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

// Maximum number of log lines about waiting tasks in one summary.
constexpr std::size_t kMaxWaitLines = 16;

}  // namespace

const char* WaitReasonName(WaitReason reason) {
  switch (reason) {
    case WaitReason::kRoom:
      return "room";
    case WaitReason::kRegistry:
      return "registry";
    case WaitReason::kIntent:
      return "intent";
    case WaitReason::kStart:
      return "start";
    case WaitReason::kFormerOwners:
      return "former owners";
    case WaitReason::kLease:
      return "lease";
  }
  return "room";
}

std::optional<TaskWait> ShardCore::Impl::FindWait(const Task& task) const {
  const MonotonicTime idle_since =
      std::max({task.idle_since, task.step->ready_at, restored_at});
  if (task.runs.empty()) {
    return TaskWait{
        .reason = IsRegistryStale() ? WaitReason::kRegistry : WaitReason::kRoom,
        .since = idle_since};
  }
  const Run& run = task.runs.back();
  const WorkerState& worker = *run.worker;
  const std::optional<MonotonicTime> unanswered_since = UnansweredSince(worker);
  if (unanswered_since.has_value()) {
    const bool only_own_leases =
        worker.contact_at.has_value() || former_owners_stopped_at.has_value();
    return TaskWait{.reason = only_own_leases ? WaitReason::kLease
                                              : WaitReason::kFormerOwners,
                    .since = *unanswered_since,
                    .worker = worker.id};
  }
  if (run.state == RunState::kRunning) return std::nullopt;
  return TaskWait{.reason = run.state == RunState::kPlanned
                                ? WaitReason::kIntent
                                : WaitReason::kStart,
                  .since = idle_since,
                  .worker = worker.id};
}

void ShardCore::Impl::AddWaits(const Step& step,
                               std::vector<WaitingTask>& waits) const {
  for (const Task& task : step.tasks) {
    const std::optional<TaskWait> wait = FindWait(task);
    if (wait.has_value()) waits.push_back({.task = &task, .wait = *wait});
  }
}

std::vector<ShardCore::Impl::WaitingTask> ShardCore::Impl::FindStandingWaits()
    const {
  std::vector<WaitingTask> waits;
  for (const auto& [id, job] : jobs) {
    if (job->IsOver()) continue;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const Step& step : occurrence->steps) {
        if (step.spec->standing) AddWaits(step, waits);
      }
    }
  }
  std::sort(waits.begin(), waits.end(),
            [](const WaitingTask& left, const WaitingTask& right) {
              return left.wait.since < right.wait.since;
            });
  return waits;
}

void ShardCore::Impl::LogStandingWaits() {
  const std::vector<WaitingTask> waits = FindStandingWaits();
  standing_waits.count = waits.size();
  standing_waits.longest =
      waits.empty() ? Duration::zero() : now.steady - waits.front().wait.since;
  for (std::size_t i = 0; i < std::min(waits.size(), kMaxWaitLines); ++i) {
    const Task& task = *waits[i].task;
    const TaskWait& wait = waits[i].wait;
    hooks.decided("standing task waits",
                  {{"job", task.step->occurrence->job->id},
                   {"step", task.step->number},
                   {"task", task.index},
                   {"attempt", task.attempt},
                   {"worker", wait.worker},
                   {"for", WaitReasonName(wait.reason)},
                   {"since", now.steady - wait.since}});
  }
}

}  // namespace carobmast::jobs
