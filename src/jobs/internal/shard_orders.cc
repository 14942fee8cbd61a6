// Orders to workers, from the stored intent to the answer.
#include <algorithm>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

using contracts::OrderOutcome;
using contracts::WorkerClock;
using std::chrono::milliseconds;

// Requested leases are shorter than the longest by this much, since workers cut
// longer ones.
constexpr milliseconds kLeaseMargin{150};
// Pause for a worker that refused a start for lack of resources: it runs tasks
// that this owner doesn't know of. The task is tried elsewhere.
constexpr milliseconds kRefusalPause{300};
// Time after which a start without an answer from a worker in contact is given
// up.
constexpr milliseconds kStartTimeout{1500};
// A worker's clock gains or loses one part in this many at most.
constexpr int kClockDriftDivisor = 50;
// The clock is told in whole milliseconds, and not at the moment of the answer.
constexpr milliseconds kClockTolerance{20};
// The answer with the last known clock may have been held up for this long.
constexpr milliseconds kMaxAnswerDelay{1000};
// Maximum number of tasks in one log line about starts.
constexpr std::size_t kMaxTasksPerLogLine = 32;
// Consecutive unanswered orders after which a worker counts as silent.
constexpr std::uint32_t kUnansweredToSilent = 2;

}  // namespace

contracts::FencingToken ShardCore::Impl::TokenOf(
    const WorkerState& worker) const {
  const auto raises = token_raises.find(worker.id);
  return options.token + (raises == token_raises.end() ? 0 : raises->second);
}

bool ShardCore::Impl::RaiseToken(WorkerState& worker, std::uint32_t limit,
                                 const std::string& reason) {
  std::uint32_t& raises = token_raises[worker.id];
  if (raises + 1 >= limit) return false;
  ++raises;
  hooks.decided("token raised", {{"worker", worker.id},
                                 {"born_ms", worker.born_ms},
                                 {"token", TokenOf(worker)},
                                 {"left", options.token_count - raises - 1},
                                 {"reason", reason}});
  return true;
}

WorkerClock ShardCore::Impl::LeaseEndFor(WorkerState& worker) const {
  // The worker's clock is unknown before its first answer: the lease is then
  // computed from 0.
  const WorkerClock base = worker.clock.value_or(WorkerClock(0));
  const milliseconds passed =
      worker.clock.has_value()
          ? std::chrono::floor<milliseconds>(LeaseStart() - worker.clock_at)
          : milliseconds(0);
  const WorkerClock end = base + passed + options.max_lease - kLeaseMargin;
  worker.lease_end = std::max(worker.lease_end, end);
  worker.leased_at = now.steady;
  return end;
}

void ShardCore::Impl::SendStart(Run& run) {
  const Task& task = *run.task;
  WorkerState& worker = *run.worker;
  if (run.state == RunState::kPlanned) {
    run.state = RunState::kSent;
    run.sent_at = now.steady;
    ++counters.starts;
  } else {
    ++counters.starts_repeated;
  }
  run.ordered_at = now.steady;
  run.order_in_flight = true;
  ++starts_in_flight;
  hooks.start({.id = worker.id, .address = worker.entry.address},
              {.incarnation = worker.born_ms,
               .task = KeyOfTask(task),
               .attempt = run.attempt,
               .spec = task.step->occurrence->job->spec.text,
               .lease_end = LeaseEndFor(worker),
               .token = TokenOf(worker),
               .checkpoint = task.checkpoint,
               .ticket = run.ticket});
}

void ShardCore::Impl::QueueStarts(Step& step, std::uint64_t batch) {
  std::string tasks;
  std::size_t listed_tasks = 0;
  const auto log_starts = [this, &step, &tasks, &listed_tasks] {
    if (listed_tasks == 0) return;
    hooks.decided("start", {{"job", step.occurrence->job->id},
                            {"step", step.number},
                            {"occurrence", step.occurrence->number},
                            {"waited", now.steady - step.ready_at},
                            {"tasks", tasks}});
    tasks.clear();
    listed_tasks = 0;
  };
  for (Task& task : step.tasks) {
    for (const Run& run : task.runs) {
      if (run.state != RunState::kPlanned || run.intent_batch != batch) {
        continue;
      }
      queued_starts.push_back({.worker = run.worker->id,
                               .task = KeyOfTask(task),
                               .attempt = run.attempt});
      tasks += (tasks.empty() ? "" : ",") + std::to_string(task.index) + "." +
               std::to_string(run.attempt) + "@" + run.worker->id;
      if (++listed_tasks == kMaxTasksPerLogLine) log_starts();
    }
  }
  log_starts();
}

void ShardCore::Impl::SendQueuedStarts() {
  std::vector<QueuedStart> deferred;
  while (MayStart() && !queued_starts.empty() &&
         starts_in_flight < options.max_starts_in_flight) {
    const QueuedStart next = std::move(queued_starts.front());
    queued_starts.pop_front();
    const auto worker = workers.find(next.worker);
    if (worker == workers.end()) continue;
    Run* run = FindRun(*worker->second, next.task, next.attempt);
    if (run == nullptr || run->state != RunState::kPlanned) continue;
    if (AcceptsTasks(*worker->second) && IsAcknowledging(*worker->second)) {
      deferred.push_back(next);
      continue;
    }
    // The worker may have become silent, quarantined or draining since it was
    // chosen, or may have been replaced by one of another kind.
    if (IsUsable(*worker->second, *run->task->step)) {
      SendStart(*run);
    } else {
      EndRun(*run, RunEnd::kNeverStarted, "");
    }
  }
  queued_starts.insert(queued_starts.begin(), deferred.begin(), deferred.end());
}

void ShardCore::Impl::RequestStop(Run& run, const std::string& reason) {
  if (run.state == RunState::kPlanned) {
    EndRun(run, RunEnd::kNeverStarted, "");
    return;
  }
  if (run.stop_requested) return;
  run.stop_requested = true;
  run.stop_requested_at = now.steady;
  ++counters.stops;
  hooks.decided("stop", {{"job", run.task->step->occurrence->job->id},
                         {"step", run.task->step->number},
                         {"task", run.task->index},
                         {"attempt", run.attempt},
                         {"worker", run.worker->id},
                         {"reason", reason}});
  SendStop(run);
}

void ShardCore::Impl::StopAgain(Run& run) {
  if (!run.stop_requested) {
    RequestStop(run, "job over");
    return;
  }
  // Whatever confirmed the last stop, it did not end this run.
  run.stop_confirmed_at.reset();
  SendStop(run);
}

void ShardCore::Impl::SendStop(Run& run) {
  if (run.stop_in_flight || run.worker->entry.address.port == 0) return;
  run.stop_in_flight = true;
  run.stop_sent_at = now.steady;
  ++run.stops_sent;
  hooks.stop({.id = run.worker->id, .address = run.worker->entry.address},
             {.incarnation = run.worker->born_ms,
              .task = KeyOfTask(*run.task),
              .attempt = run.attempt,
              .token = TokenOf(*run.worker)});
}

void ShardCore::Impl::OnStart(const std::string& worker_id,
                              const contracts::StartOrder& order,
                              const contracts::OrderAnswer& answer) {
  const auto found = workers.find(worker_id);
  if (found == workers.end()) return;
  WorkerState& worker = *found->second;
  Run* run = FindRun(worker, order.task, order.attempt);
  if (run == nullptr) return;
  run->order_in_flight = false;
  run->retry_at = now.steady;
  const bool is_from_known =
      OnOrderAnswer(worker, order.incarnation, run->ordered_at, answer);
  if (!is_from_known || answer.outcome == OrderOutcome::kUnknown) {
    ++run->unanswered_starts;
    run->unanswered_start_at = run->ordered_at;
  } else if (answer.outcome == OrderOutcome::kDone) {
    ++run->answered_starts;
  }
  if (run->state != RunState::kSent) return;
  switch (is_from_known ? answer.outcome : OrderOutcome::kUnknown) {
    case OrderOutcome::kDone:
      run->may_have_arrived = true;
      run->state = RunState::kRunning;
      run->confirmed_at = now.steady;
      run->task->step->occurrence->job->started = true;
      if (worker.acknowledgement_waits_since.has_value()) HoldNow(worker);
      return;
    case OrderOutcome::kSuperseded:
    case OrderOutcome::kLeaseOver:
    case OrderOutcome::kUnknown:
      // The start has arrived or may have: the next hold shows whether the task
      // runs.
      run->may_have_arrived = true;
      run->retry_at = now.steady + options.order_retry_interval;
      HoldNow(worker);
      return;
    case OrderOutcome::kNotSent:
      run->retry_at = now.steady + options.order_retry_interval;
      return;
    case OrderOutcome::kFenced:
      if (IsFencedByAnother(worker, order.token)) hooks.fenced(worker_id);
      return;
    case OrderOutcome::kInvalid:
    case OrderOutcome::kOtherIncarnation:
    case OrderOutcome::kNoRoom:
    case OrderOutcome::kBadTicket:
    case OrderOutcome::kUnhealthy:
      OnStartRefused(*run, answer);
      return;
  }
}

bool ShardCore::Impl::OnOrderAnswer(WorkerState& worker,
                                    contracts::Incarnation incarnation,
                                    MonotonicTime sent_at,
                                    const contracts::OrderAnswer& answer) {
  // Only the answer to a hold shows how long leases of former owners may last.
  if (!worker.contact_at.has_value()) return true;
  // It says nothing of the present incarnation and its clock.
  if (incarnation != worker.born_ms) return true;
  if (answer.clock.has_value() && worker.clock.has_value() &&
      !MayShow(worker, *answer.clock, sent_at)) {
    ++counters.clock_mismatches;
    hooks.decided("clock of another incarnation",
                  {{"worker", worker.id},
                   {"born_ms", worker.born_ms},
                   {"clock", answer.clock->count()},
                   {"last_clock", worker.clock->count()},
                   {"last_clock_age", now.steady - worker.clock_at},
                   {"took", now.steady - sent_at}});
    worker.restart_suspected = true;
    HoldNow(worker);
    return false;
  }
  // Answers may overtake each other.
  if (answer.clock.has_value() && answer.clock >= worker.clock) {
    OnClock(worker, *answer.clock);
  }
  if (answer.outcome != OrderOutcome::kUnknown &&
      answer.outcome != OrderOutcome::kNotSent) {
    worker.unanswered_orders_in_row = 0;
    if (!worker.silent_since.has_value()) worker.contact_at = now.steady;
    return true;
  }
  if (++worker.unanswered_orders_in_row >= kUnansweredToSilent &&
      worker.contact_at.has_value() &&
      now.steady - *worker.contact_at > options.silence_timeout) {
    SetSilent(worker, answer.error);
  }
  return true;
}

bool ShardCore::Impl::MayShow(const WorkerState& worker, WorkerClock clock,
                              MonotonicTime sent_at) const {
  if (!worker.clock.has_value()) return true;
  const Duration elapsed = Duration(clock - *worker.clock);
  const Duration until_sent = sent_at - worker.clock_at;
  const Duration until_now = now.steady - worker.clock_at;
  const Duration drift = std::max(until_sent, -until_sent) / kClockDriftDivisor;
  return elapsed >= until_sent - drift - kClockTolerance &&
         elapsed <=
             until_now + until_now / kClockDriftDivisor + kMaxAnswerDelay;
}

void ShardCore::Impl::OnStartRefused(Run& run,
                                     const contracts::OrderAnswer& answer) {
  WorkerState& worker = *run.worker;
  ++counters.starts_refused;
  hooks.decided("start refused", {{"job", run.task->step->occurrence->job->id},
                                  {"step", run.task->step->number},
                                  {"task", run.task->index},
                                  {"attempt", run.attempt},
                                  {"worker", worker.id},
                                  {"reason", answer.error}});
  if (answer.outcome == OrderOutcome::kUnhealthy) {
    Quarantine(worker, "unhealthy");
  } else if (answer.outcome == OrderOutcome::kBadTicket) {
    run.task->step->tickets.erase(worker.id);
  } else {
    worker.quarantined_until =
        std::max(worker.quarantined_until, now.steady + kRefusalPause);
  }
  // An earlier copy of the start may still be carried out.
  if (run.may_have_arrived) {
    RequestStop(run, "start refused");
  } else {
    EndRun(run, RunEnd::kNeverStarted, "");
  }
}

void ShardCore::Impl::RepeatOrders(WorkerState& worker) {
  for (Run& run : worker.runs) {
    if (run.retry_at > now.steady) continue;
    if (run.stop_requested) {
      if (!run.stop_confirmed_at.has_value()) SendStop(run);
      continue;
    }
    if (run.state == RunState::kSent && !run.order_in_flight) {
      if (now.steady - run.sent_at > kStartTimeout) {
        run.task->avoided_worker = worker.id;
        RequestStop(run, "start not answered");
      } else if (!IsRegistryStale() && !worker.restart_suspected &&
                 IsSuitable(worker, *run.task->step) &&
                 (run.IsStartInDoubt() || !IsAcknowledging(worker)) &&
                 MayGrantLease(worker) && MayStart()) {
        SendStart(run);
      }
    }
    SendPace(run);
  }
}

void ShardCore::Impl::WithdrawUnconfirmedStarts(WorkerState& worker) {
  std::vector<RunKey> never_started;
  for (Run& run : worker.runs) {
    if (run.state != RunState::kSent || run.order_in_flight) continue;
    if (run.may_have_arrived) {
      RequestStop(run, "worker is leaving");
    } else {
      never_started.push_back(KeyOfRun(run));
    }
  }
  // Ending a run may end others, so each run is looked up again.
  for (const RunKey& run_key : never_started) {
    Run* run = FindRun(worker, run_key.first, run_key.second);
    if (run != nullptr) EndRun(*run, RunEnd::kNeverStarted, "");
  }
}

}  // namespace carobmast::jobs
