#include "jobs/shard_core.h"

#include <algorithm>

#include "jobs/internal/shard_impl.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

using contracts::OrderOutcome;
using std::chrono::milliseconds;

// Maximum time for which a worker waits for the end of a run before it answers
// a hold.
constexpr milliseconds kHoldWait{1000};
// Like kHoldWait, while fillers run beside standing tasks, whose latency must
// be reported often.
constexpr milliseconds kColocatedHoldWait{500};
// Latencies in reports that follow one another faster are not evaluated: they
// cover half a second, and busy workers report at each end of a run.
constexpr milliseconds kMinLatencyInterval{250};
// Holds wait at least this long for each worker of the shard, up to the longest
// wait that workers accept: otherwise an owner of thousands of workers would
// only read reports.
constexpr std::chrono::microseconds kHoldWaitPerWorker{500};
constexpr milliseconds kMaxHoldWait{2000};
// Pause after a report for each run beyond the first ones: a report lists all
// runs of the worker, and each end of a run asks for another one.
constexpr std::size_t kRunsWithoutPause = 64;
constexpr std::chrono::microseconds kReportPausePerRun{500};
// Like kHoldWait, for witnesses of an owner that the store does not confirm.
constexpr milliseconds kWitnessHoldWait{250};
// Like kHoldWait, while a stop or an unanswered start is pending on the worker.
constexpr milliseconds kUncertainHoldWait{100};
// Below the 3 s after which operators expect every node to know an accepted
// job. An idle owner is confirmed every 1.5 s.
constexpr milliseconds kMaxDenialAge{2000};
// Waiting steps are scheduled again at least this often.
constexpr milliseconds kScheduleInterval{400};
constexpr std::uint32_t kUnansweredHoldsToSilent = 2;
// Pause between holds of a silent worker.
constexpr milliseconds kSilentHoldPause{250};
// Pause while an acknowledgement waits for the answers to starts; the last of
// them cuts it short.
constexpr milliseconds kBlockedAcknowledgementPause{100};
// Pause while ends wait to be stored; OnStored cuts it short.
constexpr milliseconds kUnstoredEndsPause{1000};

bool HasUncertainRun(const WorkerState& worker) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(), [](const Run& run) {
        return run.stop_requested ||
               (run.state == RunState::kSent && !run.order_in_flight);
      });
}

bool HasColocatedFillers(const WorkerState& worker) {
  return worker.filler_milli_cpus > 0 && worker.critical_milli_cpus > 0;
}

}  // namespace

ShardCore::ShardCore(ShardOptions options, ShardHooks hooks)
    : impl_(std::make_unique<Impl>(options, std::move(hooks))) {}

ShardCore::~ShardCore() = default;

void ShardCore::Restore(const contracts::KeyedRecord& record) {
  impl_->Restore(record);
}

void ShardCore::FinishRestore(ShardTime now) { impl_->FinishRestore(now); }

void ShardCore::OnFormerOwnersStopped(ShardTime now) {
  impl_->now = now;
  impl_->OnFormerOwnersStopped("their messages");
}

void ShardCore::OnNodeAnswered(const WitnessCandidate& node,
                               MonotonicTime asked_at, ShardTime now) {
  impl_->now = now;
  impl_->OnNodeAnswered(node, asked_at);
}

void ShardCore::SetConfig(const ClusterConfig& config, ShardTime now) {
  impl_->now = now;
  impl_->queues.clear();
  for (const QueuePolicy& queue : config.queues) {
    impl_->queues[queue.name] = queue;
  }
  // The order of waiting steps depends on the policies of their queues.
  std::vector<Step*> waiting;
  for (const auto& [key, step] : impl_->ready) waiting.push_back(step);
  impl_->ready.clear();
  for (const auto& [id, job] : impl_->jobs) {
    if (!job->IsOver()) impl_->SetPolicy(*job);
  }
  for (Step* step : waiting) impl_->ready.emplace(impl_->KeyOf(*step), step);
  impl_->RequestSchedule();
}

void ShardCore::SetMaxRegistryAge(std::chrono::milliseconds age,
                                  ShardTime now) {
  impl_->now = now;
  impl_->options.max_registry_age = age;
  impl_->UpdateRegistryStaleness();
}

void ShardCore::SetWorkers(const std::vector<WorkerEntry>& entries,
                           MonotonicTime current_at, ShardTime now) {
  impl_->now = now;
  impl_->registry_current_at = current_at;
  impl_->UpdateRegistryStaleness();
  std::set<std::string> listed;
  for (const WorkerEntry& entry : entries) {
    listed.insert(entry.id);
    WorkerState& worker = impl_->GetWorker(entry.id);
    const bool was_draining = worker.entry.draining;
    if (worker.entry.address != entry.address) {
      worker.address_since = now.steady;
    }
    worker.entry = entry;
    if (!worker.listed || was_draining != entry.draining) {
      impl_->hooks.decided("worker",
                           {{"worker", entry.id},
                            {"state", entry.draining ? "draining" : "ready"},
                            {"pool", entry.pool}});
      impl_->RequestSchedule();
    }
    worker.listed = true;
  }
  for (auto worker = impl_->workers.begin(); worker != impl_->workers.end();) {
    WorkerState& state = *worker->second;
    if (listed.contains(state.id)) {
      ++worker;
      continue;
    }
    if (state.listed) {
      impl_->hooks.decided("worker",
                           {{"worker", state.id}, {"state", "not registered"}});
    }
    state.listed = false;
    const bool is_idle = state.runs.empty();
    if (is_idle) {
      // Orders on their way must not reach an incarnation that comes back.
      if (state.contact_at.has_value()) {
        impl_->restarted_ids.insert(state.id);
        impl_->RaiseToken(state, impl_->options.token_count,
                          "worker not registered");
      }
      worker = impl_->workers.erase(worker);
    } else {
      ++worker;
    }
  }
}

void ShardCore::SetCordoned(const std::set<std::string>& ids, ShardTime now) {
  impl_->now = now;
  impl_->cordoned = ids;
  for (const auto& [id, worker] : impl_->workers) {
    const bool cordoned = ids.contains(id);
    if (worker->cordoned == cordoned) continue;
    worker->cordoned = cordoned;
    impl_->hooks.decided(
        "worker", {{"worker", id}, {"state", cordoned ? "cordoned" : "ready"}});
  }
  impl_->RequestSchedule();
}

bool ShardCore::IsEmpty(const std::string& worker) const {
  const auto found = impl_->workers.find(worker);
  return found == impl_->workers.end() || found->second->runs.empty();
}

SubmitAnswer ShardCore::Submit(const std::string& id, const std::string& queue,
                               const JobSpec& spec, ShardTime now) {
  impl_->now = now;
  const auto known = impl_->jobs.find(id);
  if (known != impl_->jobs.end()) {
    ++known->second->waiting_submissions;
    return {SubmitOutcome::kKnownJob,
            known->second->change == 0 ? impl_->batch_changes : impl_->changes};
  }
  const auto policy = impl_->queues.find(queue);
  if (policy == impl_->queues.end()) return {};
  const bool is_cancelled = impl_->cancelled_ids.Contains(id);
  const std::optional<milliseconds> retry_after =
      is_cancelled ? std::nullopt
                   : impl_->RejectForLoad(id, policy->second, spec);
  if (retry_after.has_value()) {
    return {.outcome = SubmitOutcome::kNoRoom, .retry_after = *retry_after};
  }
  Job& job = impl_->AddJob(id);
  job.queue = queue;
  job.spec = spec;
  job.idle_since = now.steady;
  job.waiting_submissions = 1;
  job.accepted_at_ms = now.wall.time_since_epoch().count();
  impl_->SetPolicy(job);
  impl_->MarkChanged(job);
  ++impl_->counters.accepted;
  impl_->hooks.decided("job taken", {{"job", id},
                                     {"queue", queue},
                                     {"steps", spec.steps.size()},
                                     {"priority", job.priority},
                                     {"cancelled", is_cancelled}});
  if (is_cancelled) {
    impl_->CancelJob(job);
  } else {
    impl_->BeginDueOccurrences(job, now);
  }
  return {SubmitOutcome::kNewJob, impl_->changes};
}

CancelAnswer ShardCore::Cancel(const std::string& id, ShardTime now) {
  impl_->now = now;
  const auto found = impl_->jobs.find(id);
  if (found == impl_->jobs.end()) {
    impl_->hooks.decided("cancel",
                         {{"job", id},
                          {"state", "unknown job"},
                          {"remembered", impl_->cancelled_ids.size()},
                          {"confirmed", now.steady - impl_->confirmed_at}});
    const bool remembered = impl_->RememberCancelled(id);
    return {.outcome = remembered ? CancelOutcome::kUnknownJob
                                  : CancelOutcome::kNoRoom,
            .change = impl_->changes};
  }
  Job& job = *found->second;
  impl_->hooks.decided("cancel",
                       {{"job", id},
                        {"state", StateName(job.state)},
                        {"stored", job.spec_written},
                        {"runs", job.run_count},
                        {"confirmed", now.steady - impl_->confirmed_at}});
  impl_->CancelJob(job);
  return {.outcome = CancelOutcome::kCancelled,
          .change = job.change == 0 ? impl_->batch_changes : impl_->changes};
}

std::optional<JobState> ShardCore::StoredState(const std::string& id) const {
  const auto job = impl_->jobs.find(id);
  if (job == impl_->jobs.end()) return std::nullopt;
  return job->second->stored_state;
}

bool ShardCore::MayDenyJobs(ShardTime now) const {
  return now.steady - impl_->store_confirmed_at <= kMaxDenialAge;
}

bool ShardCore::Withdraw(const std::string& id) {
  const auto found = impl_->jobs.find(id);
  if (found == impl_->jobs.end()) return false;
  Job& job = *found->second;
  if (job.spec_written || --job.waiting_submissions > 0) return false;
  if (job.cancelled && !impl_->RememberCancelled(id)) return false;
  impl_->hooks.decided("job withdrawn",
                       {{"job", id}, {"state", StateName(job.state)}});
  std::erase_if(impl_->ended_jobs,
                [&id](const auto& ended) { return ended.second == id; });
  impl_->ForgetJob(job, "withdrawn");
  return true;
}

std::map<std::string, std::uint32_t> ShardCore::PendingCounts() const {
  std::map<std::string, std::uint32_t> counts;
  for (const auto& [name, queue] : impl_->queues) counts[name] = 0;
  for (const auto& [id, job] : impl_->jobs) {
    if (!job->started && !job->IsOver()) ++counts[job->queue];
  }
  return counts;
}

bool ShardCore::HasChanges() const {
  return impl_->schedule_requested || !impl_->changed_jobs.empty() ||
         !impl_->dropped_keys.empty() || !impl_->dropped_block_keys.empty() ||
         impl_->cancelled_ids.HasChanges() || impl_->HasLeaseRecords();
}

std::uint64_t ShardCore::stored_changes() const {
  return impl_->stored_changes;
}

Batch ShardCore::TakeBatch(ShardTime now) { return impl_->TakeBatch(now); }

void ShardCore::OnStored(std::uint64_t batch, ShardTime now) {
  impl_->OnStored(batch, now);
}

std::vector<std::string> ShardCore::WorkersToHold() const {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : impl_->workers) {
    if (worker->NeedsHold()) ids.push_back(id);
  }
  return ids;
}

std::optional<contracts::WorkerTarget> ShardCore::Target(
    const std::string& worker) const {
  const auto found = impl_->workers.find(worker);
  if (found == impl_->workers.end() || !found->second->NeedsHold()) {
    return std::nullopt;
  }
  return contracts::WorkerTarget{.id = worker,
                                 .address = found->second->entry.address};
}

HoldPlan ShardCore::PlanHold(const std::string& worker_id, ShardTime now) {
  impl_->now = now;
  WorkerState& worker = impl_->GetWorker(worker_id);
  HoldPlan plan;
  plan.order.token = impl_->TokenOf(worker);
  worker.acknowledgement_in_flight = false;
  // After a hold without an answer the worker may have restarted, so the next
  // one is for any incarnation. One that may get no answer must not extend the
  // lease: otherwise the lease of an unreachable worker would never expire.
  if (worker.contact_at.has_value() && !worker.silent_since.has_value() &&
      worker.unanswered_holds_in_row == 0 && !worker.restart_suspected) {
    plan.order.incarnation = worker.born_ms;
    if (impl_->MayAcknowledge(worker)) {
      plan.order.acknowledged_end = worker.acknowledged_end;
    }
    if (worker.clock.has_value() && impl_->MayGrantLease(worker)) {
      plan.order.lease_end = impl_->LeaseEndFor(worker);
    }
  }
  if (worker.silent_since.has_value()) {
    plan.pause = kSilentHoldPause;
  } else if (plan.order.acknowledged_end > 0) {
    plan.order.wait = milliseconds(0);
  } else if (worker.acknowledged_end > worker.forgotten_end) {
    plan.order.wait = milliseconds(0);
    plan.pause = kBlockedAcknowledgementPause;
  } else if (worker.seen_end > worker.acknowledged_end) {
    plan.pause = kUnstoredEndsPause;
  } else if (!worker.contact_at.has_value() ||
             worker.unanswered_holds_in_row > 0 || worker.restart_suspected ||
             !worker.is_fenced) {
    plan.order.wait = milliseconds(0);
  } else if (HasUncertainRun(worker)) {
    plan.order.wait = kUncertainHoldWait;
  } else {
    const milliseconds wanted =
        HasColocatedFillers(worker) ? kColocatedHoldWait : kHoldWait;
    const milliseconds affordable = std::chrono::duration_cast<milliseconds>(
        impl_->workers.size() * kHoldWaitPerWorker);
    plan.order.wait = std::min(std::max(wanted, affordable), kMaxHoldWait);
  }
  if (impl_->IsUnconfirmed() && impl_->witnesses.Contains(worker_id)) {
    plan.order.wait = std::min(plan.order.wait, kWitnessHoldWait);
  }
  const milliseconds until_next_report =
      std::chrono::ceil<milliseconds>(worker.next_report_at - now.steady);
  plan.pause = std::max(plan.pause, until_next_report);
  // The plan is made again after a pause.
  if (plan.pause > milliseconds(0)) plan.order.acknowledged_end = 0;
  worker.acknowledgement_in_flight = plan.order.acknowledged_end > 0;
  return plan;
}

void ShardCore::OnHold(const std::string& worker_id,
                       const contracts::HoldOrder& order,
                       const contracts::HoldAnswer& answer,
                       MonotonicTime sent_at, ShardTime now) {
  impl_->now = now;
  const auto found = impl_->workers.find(worker_id);
  if (found == impl_->workers.end()) return;
  WorkerState& worker = *found->second;
  impl_->OnAcknowledgement(worker, order, answer);
  if (answer.outcome == OrderOutcome::kFenced) {
    if (impl_->IsFencedByAnother(worker, order.token)) {
      impl_->hooks.fenced(worker_id);
    }
    return;
  }
  if (answer.outcome == OrderOutcome::kOtherIncarnation) {
    impl_->SetSilent(worker, answer.error);
    impl_->OnIncarnationReplaced(worker, sent_at);
    return;
  }
  if (answer.outcome != OrderOutcome::kDone) {
    // A single answer may be lost: the next hold is sent without waiting before
    // the worker counts as silent.
    if (++worker.unanswered_holds_in_row >= kUnansweredHoldsToSilent ||
        !worker.contact_at.has_value()) {
      impl_->SetSilent(worker, answer.error);
    }
    return;
  }
  if (!worker.contact_at.has_value() || worker.born_ms != answer.born_ms) {
    if (worker.contact_at.has_value()) {
      impl_->LogRestart(worker, order, answer);
    }
    const bool has_restarted = worker.contact_at.has_value();
    worker.followed_from_birth = has_restarted;
    worker.born_ms = answer.born_ms;
    if (has_restarted) impl_->OnRestarted(worker);
    worker.acknowledged_end = 0;
    worker.forgotten_end = 0;
    worker.seen_end = 0;
    worker.lease_end = answer.clock.value_or(contracts::WorkerClock(0));
    // Runs that a former owner started may have the longest lease.
    if (!has_restarted) {
      worker.lease_end += impl_->MayHaveForeignLease(worker, answer.born_ms)
                              ? impl_->options.longest_lease
                              : impl_->options.max_lease;
    }
  }
  if (!worker.is_fenced && order.token == impl_->TokenOf(worker)) {
    impl_->OnFenced(worker);
  }
  const bool contact_regained =
      worker.silent_since.has_value() || !worker.contact_at.has_value();
  worker.contact_at = now.steady;
  worker.silent_since.reset();
  worker.restart_suspected = false;
  worker.unanswered_holds_in_row = 0;
  worker.unanswered_orders_in_row = 0;
  if (answer.clock.has_value()) impl_->OnClock(worker, *answer.clock);
  if (answer.running.size() > kRunsWithoutPause) {
    worker.next_report_at =
        now.steady +
        (answer.running.size() - kRunsWithoutPause) * kReportPausePerRun;
  }
  impl_->OnWitnessAnswered(worker, sent_at);
  impl_->OnRunningList(worker, answer, sent_at);
  impl_->OnEndedList(worker, answer);
  if (now.steady - worker.latencies_at >= kMinLatencyInterval) {
    worker.latencies_at = now.steady;
    ++impl_->counters.latency_updates;
    impl_->UpdateLatencies(worker);
  }
  if (!impl_->MayGrantLease(worker)) impl_->store_lease_waits = true;
  if (contact_regained) {
    impl_->hooks.decided(
        "worker in contact",
        {{"worker", worker_id}, {"runs", answer.running.size()}});
    impl_->RequestSchedule();
  }
  impl_->SendQueuedStarts();
}

void ShardCore::OnStart(const std::string& worker_id,
                        const contracts::StartOrder& order,
                        const contracts::OrderAnswer& answer, ShardTime now) {
  impl_->now = now;
  impl_->OnStart(worker_id, order, answer);
  --impl_->starts_in_flight;
  impl_->SendQueuedStarts();
}

void ShardCore::OnStop(const std::string& worker_id,
                       const contracts::StopOrder& order,
                       const contracts::OrderAnswer& answer, ShardTime now) {
  impl_->now = now;
  const auto found = impl_->workers.find(worker_id);
  if (found == impl_->workers.end()) return;
  Run* run = impl_->FindRun(*found->second, order.task, order.attempt);
  if (run == nullptr) return;
  run->stop_in_flight = false;
  run->stop_error = answer.error;
  const bool is_from_known = impl_->OnOrderAnswer(
      *found->second, order.incarnation, run->stop_sent_at, answer);
  if (answer.outcome == OrderOutcome::kDone && is_from_known) {
    run->stop_confirmed_at = now.steady;
    impl_->HoldNow(*found->second);
  } else {
    run->retry_at = now.steady + impl_->options.order_retry_interval;
  }
}

void ShardCore::OnPace(const std::string& worker_id,
                       const contracts::PaceOrder& order,
                       const contracts::OrderAnswer& answer, ShardTime now) {
  impl_->now = now;
  const auto found = impl_->workers.find(worker_id);
  if (found == impl_->workers.end()) return;
  Run* run = impl_->FindRun(*found->second, order.task, order.attempt);
  if (run == nullptr) return;
  run->pace_in_flight = false;
  if (answer.outcome == OrderOutcome::kUnknown ||
      answer.outcome == OrderOutcome::kNotSent) {
    // 101 is no valid pace, so the pace is sent again.
    run->pace_sent = 101;
    run->retry_at = now.steady + impl_->options.order_retry_interval;
  } else {
    impl_->SendPace(*run);
  }
}

void ShardCore::OnAdvice(const contracts::AdviceCall& call,
                         const contracts::AdviceAnswer& answer, ShardTime now) {
  impl_->now = now;
  impl_->OnAdvice(call, answer);
}

void ShardCore::Tick(ShardTime now) {
  impl_->now = now;
  impl_->UpdateRegistryStaleness();
  for (const auto& [id, worker] : impl_->workers) impl_->TickWorker(*worker);
  for (const auto& [id, job] : impl_->jobs) {
    if (job->spec.occurrences > 0) impl_->BeginDueOccurrences(*job, now);
  }
  if (now.steady - impl_->last_schedule_at > kScheduleInterval) {
    impl_->last_schedule_at = now.steady;
    impl_->CountWorthlessJobs();
    impl_->RequestSchedule();
  }
  impl_->RetryUnplaceable();
  impl_->AddSpeculativeCopies();
  impl_->Rebalance();
  impl_->AskAdvice();
  impl_->DropEndedJobs();
  impl_->cancelled_ids.Expire(now.steady);
  impl_->UpdateWitnesses();
  impl_->SendQueuedStarts();
  impl_->LogSummary();
}

const ShardCounters& ShardCore::counters() const { return impl_->counters; }

const StandingWaits& ShardCore::standing_waits() const {
  return impl_->standing_waits;
}

std::size_t ShardCore::leftover_runs() const {
  std::size_t runs = 0;
  for (const auto& [id, worker] : impl_->workers) {
    runs += worker->leftover_runs + worker->unknown_runs.size();
  }
  return runs;
}

std::size_t ShardCore::open_jobs() const {
  return static_cast<std::size_t>(
      std::count_if(impl_->jobs.begin(), impl_->jobs.end(),
                    [](const auto& job) { return !job.second->IsOver(); }));
}

}  // namespace carobmast::jobs
