#include "fuzz_worker.h"

#include <algorithm>

namespace carobmast::jobs {

namespace {

using contracts::EndKind;
using contracts::OrderOutcome;
using std::chrono::milliseconds;

// Longer than the leases that owners ask for.
constexpr contracts::WorkerClock kMaxLease{10000};
constexpr std::size_t kSlots = 4;
// Maximum number of ends in one answer.
constexpr std::size_t kListedEnds = 2;

// The clock of a new incarnation begins at a time that says nothing of that of
// the former one.
contracts::WorkerClock FirstClock(contracts::Incarnation incarnation) {
  constexpr std::int64_t kStrideMs = 7919000;
  constexpr std::int64_t kRangeMs = 9000000;
  return contracts::WorkerClock(incarnation % kRangeMs * kStrideMs % kRangeMs);
}

std::string Describe(const contracts::TaskKey& task) {
  return task.job + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

}  // namespace

void RunHistory::OnStart(const contracts::TaskKey& task,
                         const std::string& worker) {
  const std::string run_name = Describe(task);
  if (running_.contains(task)) {
    violations.push_back(run_name + " started on " + worker +
                         " while it ran on " + running_[task]);
  }
  if (withdrawn.contains(task.job)) {
    violations.push_back(run_name + " started after it was withdrawn");
  }
  if (acknowledged_.contains(task)) {
    violations.push_back(run_name +
                         " started after its finish was acknowledged");
  }
  if (acknowledged_failures_[task] >= max_attempts) {
    violations.push_back(run_name +
                         " started after all its attempts had failed");
  }
  if (task.step > 0) {
    const std::uint32_t first = first_step_tasks[task.job];
    for (std::uint32_t index = 0; index < first; ++index) {
      if (!finished_.contains({.job = task.job, .index = index})) {
        violations.push_back(
            run_name +
            " started before the step that it depends on had finished");
        break;
      }
    }
  }
  running_[task] = worker;
}

void RunHistory::OnLost(const contracts::TaskKey& task) {
  running_.erase(task);
}

void RunHistory::OnEnd(const contracts::TaskKey& task, EndKind kind) {
  running_.erase(task);
  if (kind == EndKind::kFinished) finished_.insert(task);
  if (kind == EndKind::kFailed) ++failures_[task];
}

void RunHistory::OnAcknowledged(const contracts::EndedTask& end) {
  if (end.kind == EndKind::kFailed) ++acknowledged_failures_[end.task];
  if (end.kind != EndKind::kFinished) return;
  if (!acknowledged_.insert(end.task).second) {
    violations.push_back(Describe(end.task) +
                         " was acknowledged as finished twice");
  }
}

std::uint32_t RunHistory::Failures(const std::string& job) const {
  std::uint32_t most = 0;
  for (const auto& [task, failures] : failures_) {
    if (task.job == job) most = std::max(most, failures);
  }
  return most;
}

bool RunHistory::IsRunning(const std::string& job) const {
  return std::any_of(
      running_.begin(), running_.end(),
      [&job](const auto& entry) { return entry.first.job == job; });
}

FuzzWorker::FuzzWorker(std::string id, RunHistory& history,
                       contracts::Incarnation born_ms)
    : id_(std::move(id)),
      history_(history),
      born_ms_(born_ms),
      clock_(FirstClock(born_ms_)) {}

void FuzzWorker::Crash() { Crash(born_ms_ + 1, FirstClock(born_ms_ + 1)); }

void FuzzWorker::AdvanceTime(milliseconds time) {
  clock_ += time;
  if (clock_ > lease_end_) lapsed_end_ = last_end_;
  std::vector<std::pair<RunId, EndKind>> over;
  for (auto& [run_name, work] : runs_) {
    work.left -= time;
    if (clock_ > lease_end_) {
      over.emplace_back(run_name, EndKind::kLeaseExpired);
    } else if (work.left <= milliseconds(0)) {
      over.emplace_back(run_name,
                        work.fails ? EndKind::kFailed : EndKind::kFinished);
    }
  }
  for (const auto& [run_name, kind] : over) EndRun(run_name, kind);
}

void FuzzWorker::Crash(contracts::Incarnation born_ms,
                       contracts::WorkerClock clock) {
  for (const auto& [run_name, work] : runs_) history_.OnLost(run_name.first);
  runs_.clear();
  over_.clear();
  ends_.clear();
  last_end_ = 0;
  lapsed_end_ = 0;
  token_ = 0;
  born_ms_ = std::max(born_ms, born_ms_ + 1);
  clock_ = clock;
  lease_end_ = contracts::WorkerClock(0);
}

void FuzzWorker::Replace(const std::string& id, contracts::Incarnation born_ms,
                         contracts::WorkerClock clock) {
  Crash(born_ms, clock);
  id_ = id;
}

contracts::OrderAnswer FuzzWorker::Answer(OrderOutcome outcome) const {
  return {.outcome = outcome, .clock = clock_};
}

void FuzzWorker::Extend(contracts::WorkerClock lease_end) {
  lease_end_ = std::max(lease_end_, std::min(lease_end, clock_ + kMaxLease));
}

void FuzzWorker::EndRun(const RunId& run_name, EndKind kind) {
  runs_.erase(run_name);
  over_[run_name.first] = std::max(over_[run_name.first], run_name.second);
  history_.OnEnd(run_name.first, kind);
  ends_.push_back({.number = ++last_end_,
                   .task = run_name.first,
                   .attempt = run_name.second,
                   .kind = kind});
}

contracts::OrderAnswer FuzzWorker::Start(const contracts::StartOrder& order) {
  if (order.token < token_) return Answer(OrderOutcome::kFenced);
  token_ = order.token;
  const RunId run_name{order.task, order.attempt};
  if (order.lease_end <= clock_) return Answer(OrderOutcome::kLeaseOver);
  if (runs_.contains(run_name)) return Answer(OrderOutcome::kDone);
  const auto over = over_.find(order.task);
  if (over != over_.end() && order.attempt <= over->second) {
    return Answer(OrderOutcome::kSuperseded);
  }
  Extend(order.lease_end);
  if (runs_.size() >= kSlots) return Answer(OrderOutcome::kNoRoom);
  // For example "fails 700": the outcome of the task, and its duration in
  // milliseconds.
  const std::size_t space = order.spec.find(' ');
  runs_[run_name] = {
      .left = milliseconds(std::stoi(order.spec.substr(space + 1))),
      .fails = order.spec.substr(0, space) == "fails"};
  history_.OnStart(order.task, id_);
  return Answer(OrderOutcome::kDone);
}

contracts::OrderAnswer FuzzWorker::Stop(const contracts::StopOrder& order) {
  if (order.token < token_) return Answer(OrderOutcome::kFenced);
  token_ = order.token;
  const RunId run_name{order.task, order.attempt};
  if (runs_.contains(run_name)) EndRun(run_name, EndKind::kStopped);
  over_[order.task] = std::max(over_[order.task], order.attempt);
  return Answer(OrderOutcome::kDone);
}

contracts::OrderAnswer FuzzWorker::ConfirmStop(
    const contracts::StopOrder& order) {
  if (order.token < token_) return Answer(OrderOutcome::kFenced);
  token_ = order.token;
  return Answer(OrderOutcome::kDone);
}

void FuzzWorker::Acknowledge(std::uint64_t number) {
  while (!ends_.empty() && ends_.front().number <= number) {
    if (ends_.front().number > lapsed_end_) {
      history_.OnAcknowledged(ends_.front());
    }
    ends_.erase(ends_.begin());
  }
}

std::vector<contracts::RunningTask> FuzzWorker::ListRunning() const {
  std::vector<contracts::RunningTask> running;
  running.reserve(runs_.size());
  for (const auto& [run_name, work] : runs_) {
    running.push_back(
        {.task = run_name.first,
         .attempt = run_name.second,
         .percent = 100 - static_cast<std::uint32_t>(work.left.count() % 100)});
  }
  return running;
}

contracts::HoldAnswer FuzzWorker::Hold(const contracts::HoldOrder& order) {
  if (order.token < token_) return {.outcome = OrderOutcome::kFenced};
  token_ = order.token;
  Extend(order.lease_end.value_or(contracts::WorkerClock(0)));
  Acknowledge(order.acknowledged_end);
  const std::size_t listed = std::min(ends_.size(), kListedEnds);
  return {.outcome = OrderOutcome::kDone,
          .clock = clock_,
          .born_ms = born_ms_,
          .running = ListRunning(),
          .ended = {ends_.begin(),
                    ends_.begin() + static_cast<std::ptrdiff_t>(listed)},
          .more_ended = listed == kListedEnds};
}

}  // namespace carobmast::jobs
