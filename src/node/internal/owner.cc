#include "node/owner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <string_view>

#include "framework/base/error.h"
#include "jobs/job_record.h"
#include "maintenance/wave_progress.h"
#include "node/lease_clock.h"
#include "node/record_groups.h"

namespace carobmast::node {

namespace asio = boost::asio;
using jobs::proto::JobAnswer;
using std::chrono::milliseconds;

namespace {

constexpr char kWriterName[] = "owner";
// Prefix of the keys of maintenance waves in the shard's stream; the number of
// the wave follows.
constexpr std::string_view kWavePrefix = "w/";
// Key of the record with which an owner begins its epoch.
constexpr char kEpochKey[] = "e/owner";
// Pause before the status of a wave is published again after a failure.
constexpr milliseconds kStatusRetryDelay{300};
// Pause after a failed call to the store or a refused maintenance order.
constexpr milliseconds kRetryDelay{40};
// Added to the time a hold may wait; after that it counts as unanswered.
constexpr milliseconds kHoldAnswerMargin{300};
// Takes 0.2 s on the slowest link of the sites (10 Mbit/s), well below
// OwnerOptions::append_timeout: an append that times out is repeated.
constexpr std::size_t kMaxAppendBytes = std::size_t{256} * 1024;
// Pause between two reads of the registry.
constexpr milliseconds kRegistryReadInterval{250};
// How long the store may wait for a change. What an idle registry returns is as
// old as the call, and the next one takes as long again: twice this time and
// the pause must stay below the age at which starts are held.
constexpr milliseconds kRegistryReadWait{400};
constexpr milliseconds kRegistryLogInterval{1000};
// When callers may cancel unknown jobs again after too many of them.
constexpr milliseconds kCancelRetryAfter{5000};
// New jobs are refused at once when the store has failed for this long.
constexpr milliseconds kRefuseJobsAfter{300};

JobAnswer MakeAnswer(JobAnswer::Outcome outcome, std::string reason = "") {
  JobAnswer answer;
  answer.set_outcome(outcome);
  answer.set_reason(std::move(reason));
  return answer;
}

}  // namespace

Owner::Owner(asio::any_io_executor executor, Ref<contracts::KeyedLog> log,
             Ref<contracts::TaskWorkers> workers,
             Ref<contracts::AdviceService> advice,
             Ref<contracts::VmService> vms, OwnerOptions options,
             OwnerHooks hooks)
    : executor_(executor),
      log_(std::move(log)),
      workers_(std::move(workers)),
      advice_(std::move(advice)),
      vms_(std::move(vms)),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      changes_timer_(executor),
      writer_(kWriterName, options_.shard.token),
      status_writer_(kWriterName, options_.shard.token) {
  core_ = std::make_unique<jobs::ShardCore>(options_.shard, MakeHooks());
}

jobs::ShardHooks Owner::MakeHooks() {
  return {.start =
              [this](const contracts::WorkerTarget& worker,
                     const contracts::StartOrder& order) {
                if (stopped_) return;
                asio::co_spawn(executor_, SendStart(this, worker, order),
                               asio::detached);
              },
          .stop =
              [this](const contracts::WorkerTarget& worker,
                     const contracts::StopOrder& order) {
                if (stopped_) return;
                asio::co_spawn(executor_, SendStop(this, worker, order),
                               asio::detached);
              },
          .pace =
              [this](const contracts::WorkerTarget& worker,
                     const contracts::PaceOrder& order) {
                if (stopped_) return;
                asio::co_spawn(executor_, SendPace(this, worker, order),
                               asio::detached);
              },
          .advise =
              [this](const contracts::AdviceCall& call) {
                if (stopped_) return;
                asio::co_spawn(executor_, Advise(this, call), asio::detached);
              },
          .fenced =
              [this](const std::string& worker) {
                hooks_.on_superseded("fenced by worker " + worker);
              },
          .changed = [this] { changes_timer_.cancel(); },
          .hold_now =
              [this](const std::string& worker) {
                const auto hold = hold_loops_.find(worker);
                if (hold == hold_loops_.end()) return;
                hold->second->timer.cancel();
              },
          .decided = hooks_.log_event};
}

maintenance::MaintenanceHooks Owner::MakeMaintenanceHooks() {
  return {
      .list_vms =
          [this] { asio::co_spawn(executor_, ListVms(this), asio::detached); },
      .maintain =
          [this](const std::string& vm, std::uint64_t wave) {
            asio::co_spawn(executor_, Maintain(this, vm, wave), asio::detached);
          },
      .cordon =
          [this](const std::set<std::string>& workers) {
            core_->SetCordoned(workers, ShardNow());
          },
      .is_drained =
          [this](const std::string& worker) { return core_->IsEmpty(worker); },
      .store =
          [this](std::uint64_t wave,
                 const maintenance::WaveProgress& progress) {
            unstored_waves_[std::string(kWavePrefix) + std::to_string(wave)] =
                maintenance::EncodeWaveProgress(progress);
            ++wave_stores_;
            changes_timer_.cancel();
          },
      .report_wave =
          [this](std::uint64_t wave, bool completed) {
            hooks_.log_event("wave",
                             {{"wave", wave}, {"completed", completed}});
            const bool is_publishing = !unpublished_waves_.empty();
            unpublished_waves_[wave] = completed;
            if (is_publishing) return;
            asio::co_spawn(executor_, PublishWaves(this), asio::detached);
          }};
}

void Owner::SetWave(const maintenance::Wave& wave) {
  if (!waves_.emplace(wave.number, wave).second) return;
  if (maintenance_ != nullptr) maintenance_->SetWave(wave);
}

void Owner::StartMaintenance() {
  if (vms_ == nullptr) return;
  maintenance_ = std::make_unique<maintenance::MaintenanceCore>(
      MakeMaintenanceHooks(),
      maintenance::FormerWaves{.progress = std::move(restored_waves_),
                               .orders_until = FormerVmOrdersUntil()});
  for (const auto& [number, wave] : waves_) maintenance_->SetWave(wave);
}

MonotonicTime Owner::FormerVmOrdersUntil() const {
  // An order on its way arrives within its timeout, or has no answer.
  return LeaseNow() + options_.append_timeout + options_.vm_order_lease;
}

asio::awaitable<void> Owner::ListVms(Ref<Owner> self) {
  const contracts::VmList list =
      co_await self->vms_->List(self->options_.append_timeout);
  if (!list.ok) {
    self->hooks_.log_event("VM list failed", {{"reason", list.error}});
  }
  if (!self->stopped_) self->maintenance_->OnVmList(list);
}

asio::awaitable<void> Owner::Maintain(Ref<Owner> self, std::string vm,
                                      std::uint64_t wave) {
  const contracts::MaintainOutcome outcome =
      co_await self->vms_->Maintain({.vm = vm,
                                     .wave = wave,
                                     .holder = self->options_.holder,
                                     .token = self->options_.shard.token},
                                    self->options_.append_timeout);
  if (self->stopped_) co_return;
  self->hooks_.log_event(
      "maintenance",
      {{"vm", vm}, {"wave", wave}, {"outcome", static_cast<int>(outcome)}});
  if (outcome == contracts::MaintainOutcome::kFenced) {
    self->hooks_.on_superseded("fenced by the VM service");
    co_return;
  }
  // Do not let a refused order be repeated at once.
  if (outcome != contracts::MaintainOutcome::kBegun) {
    co_await self->Sleep(kRetryDelay);
  }
  if (self->stopped_) co_return;
  self->maintenance_->OnMaintainOutcome(vm, wave, outcome, LeaseNow());
}

// One append at a time: a retried state must not follow a later one.
asio::awaitable<void> Owner::PublishWaves(Ref<Owner> self) {
  SequencedWriter& writer = self->status_writer_;
  while (!self->stopped_ && !self->unpublished_waves_.empty()) {
    const auto [wave, completed] = *self->unpublished_waves_.begin();
    const contracts::KeyedRecord record =
        self->hooks_.encode_wave(wave, completed);
    AppendResult result = AppendResult::kRetryNow;
    while (!self->stopped_ && result != AppendResult::kStored) {
      const contracts::KeyedAppendAnswer answer = co_await self->log_->Append(
          {.stream = self->options_.status,
           .records = {record},
           .writer = writer.Next(),
           .timeout = self->options_.append_timeout});
      result = writer.OnAnswer(answer);
      if (result == AppendResult::kSuperseded) {
        self->hooks_.on_superseded(answer.error);
        co_return;
      }
      if (result != AppendResult::kStored) {
        co_await self->Sleep(kStatusRetryDelay);
      }
    }
    // It may have been completed in the meantime.
    const auto state = self->unpublished_waves_.find(wave);
    if (state->second == completed) self->unpublished_waves_.erase(state);
  }
}

void Owner::Start(const jobs::ClusterConfig& config) {
  core_->SetConfig(config, ShardNow());
  registry_ = MakeRef<StreamFollower>(
      executor_, log_,
      StreamFollowerOptions{.stream = options_.registry,
                            .read_wait = kRegistryReadWait,
                            .read_interval = kRegistryReadInterval},
      StreamFollowerHooks{.on_restart = [this] { registry_entries_.clear(); },
                          .on_record =
                              [this](const contracts::KeyedRecord& record) {
                                std::optional<jobs::WorkerEntry> entry =
                                    hooks_.decode_worker(record);
                                if (entry.has_value()) {
                                  registry_entries_[record.key] =
                                      std::move(*entry);
                                } else {
                                  registry_entries_.erase(record.key);
                                }
                              },
                          .on_caught_up =
                              [this](std::uint64_t) {
                                registry_read_ = true;
                                if (ready_) ApplyRegistry();
                              },
                          .on_call = hooks_.on_store_call});
  registry_->Start();
  asio::co_spawn(executor_, Run(this), asio::detached);
}

void Owner::Stop() {
  if (stopped_) return;
  stopped_ = true;
  if (registry_ != nullptr) registry_->Stop();
  changes_timer_.cancel();
  for (const auto& [worker, hold] : hold_loops_) hold->timer.cancel();
  WakeStoreWaiters();
}

void Owner::SetConfig(const jobs::ClusterConfig& config) {
  core_->SetConfig(config, ShardNow());
}

void Owner::SetMaxRegistryAge(std::chrono::milliseconds age) {
  core_->SetMaxRegistryAge(age, ShardNow());
}

void Owner::OnFormerOwnersStopped() {
  core_->OnFormerOwnersStopped(ShardNow());
  if (maintenance_ == nullptr) return;
  maintenance_->ExtendFormerOrders(FormerVmOrdersUntil());
}

void Owner::OnNodeAnswered(const jobs::WitnessCandidate& node,
                           MonotonicTime asked_at) {
  core_->OnNodeAnswered(node, asked_at, ShardNow());
}

void Owner::WakeStoreWaiters() {
  for (asio::steady_timer* waiter : store_waiters_) waiter->cancel();
}

asio::awaitable<void> Owner::Sleep(Duration pause) {
  asio::steady_timer timer(executor_, pause);
  boost::system::error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<void> Owner::Run(Ref<Owner> self) {
  const MonotonicTime started_at = LeaseNow();
  if (!co_await self->FenceEarlierWriters()) co_return;
  co_await self->Restore();
  if (self->stopped_) co_return;
  self->core_->FinishRestore(ShardNow());
  self->StartMaintenance();
  self->ready_ = true;
  self->hooks_.log_event("shard restored",
                         {{"token", self->options_.shard.token},
                          {"open_jobs", self->core_->open_jobs()},
                          {"after", LeaseNow() - started_at}});
  if (self->registry_read_) self->ApplyRegistry();
  asio::co_spawn(self->executor_, self->TickLoop(self), asio::detached);
  co_await self->StoreChanges();
}

void Owner::RestoreWave(const contracts::KeyedRecord& record) {
  std::uint64_t wave = 0;
  const std::string number = record.key.substr(kWavePrefix.size());
  const std::from_chars_result result =
      std::from_chars(number.data(), number.data() + number.size(), wave);
  if (result.ec != std::errc() || !record.value.has_value()) {
    throw Error("restore", record.key, "not a record of a wave");
  }
  restored_waves_[wave] = maintenance::DecodeWaveProgress(*record.value);
}

void Owner::RestoreRecord(const contracts::KeyedRecord& record) {
  if (record.key == kEpochKey) return;
  try {
    if (record.key.starts_with(kWavePrefix)) {
      RestoreWave(record);
    } else {
      core_->Restore(record);
    }
  } catch (const Error& error) {
    hooks_.log_event("record not read",
                     {{"key", record.key}, {"reason", error.what()}});
  }
}

// The first append of an epoch fences writers of earlier ones.
asio::awaitable<bool> Owner::FenceEarlierWriters() {
  std::vector<contracts::KeyedRecord> records = {
      {.key = kEpochKey, .value = std::to_string(options_.shard.token)}};
  co_return co_await Append(std::move(records));
}

// Retries a failed page on its own: starting over might never finish on a slow
// link.
asio::awaitable<void> Owner::Restore() {
  std::string last_key;
  bool more = true;
  while (more) {
    contracts::NewestAnswer page =
        co_await log_->Newest(options_.stream, last_key, options_.page_timeout);
    if (stopped_) co_return;
    hooks_.on_store_call(page.ok, page.error);
    if (!page.ok) {
      co_await Sleep(kRetryDelay);
      continue;
    }
    for (const contracts::KeyedRecord& record : page.records) {
      RestoreRecord(record);
    }
    more = page.has_more && !page.records.empty();
    if (more) last_key = page.records.back().key;
  }
  // The pages are consistent, as the epoch keeps earlier owners from writing
  // while they are read.
}

asio::awaitable<bool> Owner::Append(
    std::vector<contracts::KeyedRecord> records) {
  while (!stopped_) {
    const contracts::KeyedAppendAnswer answer =
        co_await log_->Append({.stream = options_.stream,
                               .records = records,
                               .writer = writer_.Next(),
                               .timeout = options_.append_timeout});
    NoteStoreAnswer(answer);
    switch (writer_.OnAnswer(answer)) {
      case AppendResult::kStored:
        co_return true;
      case AppendResult::kSuperseded:
        hooks_.on_superseded(answer.error);
        co_return false;
      case AppendResult::kRetryAfterPause:
        co_await Sleep(kRetryDelay);
        break;
      case AppendResult::kRetryNow:
        break;
    }
  }
  co_return false;
}

void Owner::NoteStoreAnswer(const contracts::KeyedAppendAnswer& answer) {
  const bool reached =
      answer.outcome != contracts::KeyedAppendOutcome::kUnknown &&
      answer.outcome != contracts::KeyedAppendOutcome::kNotStored;
  hooks_.on_store_call(reached, answer.error);
  if (reached) {
    store_failing_since_.reset();
  } else if (!store_failing_since_.has_value()) {
    store_failing_since_ = LeaseNow();
  }
}

asio::awaitable<void> Owner::StoreChanges() {
  while (!stopped_) {
    if (!core_->HasChanges() && unstored_waves_.empty()) {
      changes_timer_.expires_after(std::chrono::seconds(1));
      boost::system::error_code error;
      co_await changes_timer_.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    jobs::Batch batch = core_->TakeBatch(ShardNow());
    const std::uint64_t wave_stores = wave_stores_;
    for (auto& [key, progress] : unstored_waves_) {
      batch.records.push_back({.key = key, .value = std::move(progress)});
    }
    unstored_waves_.clear();
    std::vector<std::vector<contracts::KeyedRecord>> groups =
        GroupRecords(std::move(batch.records), kMaxAppendBytes);
    for (std::vector<contracts::KeyedRecord>& records : groups) {
      if (!co_await Append(std::move(records))) co_return;
    }
    if (stopped_) co_return;
    core_->OnStored(batch.number, ShardNow());
    if (maintenance_ != nullptr) maintenance_->OnStored(wave_stores);
    WakeStoreWaiters();
  }
}

asio::awaitable<void> Owner::TickLoop(Ref<Owner> self) {
  MonotonicTime next_tick_at = LeaseNow();
  while (!self->stopped_) {
    self->LogRegistryStatus(LeaseNow() - next_tick_at);
    self->core_->Tick(ShardNow());
    if (self->maintenance_ != nullptr) self->maintenance_->Tick(LeaseNow());
    next_tick_at = LeaseNow() + self->options_.tick_interval;
    co_await self->Sleep(self->options_.tick_interval);
  }
}

Duration Owner::RegistryAge() const {
  return registry_->position().Age(LeaseNow());
}

void Owner::LogRegistryStatus(Duration tick_delay) {
  max_tick_delay_ = std::max(max_tick_delay_, tick_delay);
  const MonotonicTime now = LeaseNow();
  if (now - registry_logged_at_ < kRegistryLogInterval) return;
  registry_logged_at_ = now;
  const StreamPosition& position = registry_->position();
  hooks_.log_event("registry", {{"next", position.next},
                                {"end", position.end},
                                {"age", position.Age(now)},
                                {"reads", position.reads},
                                {"slowest_read", position.slowest_read},
                                {"tick_late", max_tick_delay_}});
  registry_->ResetSlowestRead();
  max_tick_delay_ = Duration::zero();
}

void Owner::ApplyRegistry() {
  std::vector<jobs::WorkerEntry> entries;
  entries.reserve(registry_entries_.size());
  for (const auto& [key, entry] : registry_entries_) entries.push_back(entry);
  core_->SetWorkers(entries, registry_->position().current_at, ShardNow());
  for (const std::string& worker : core_->WorkersToHold()) {
    if (hold_loops_.contains(worker)) continue;
    hold_loops_[worker] = std::make_unique<HoldLoop>(executor_);
    asio::co_spawn(executor_, Hold(this, worker), asio::detached);
  }
}

asio::awaitable<void> Owner::Hold(Ref<Owner> self, std::string worker) {
  HoldLoop& loop = *self->hold_loops_[worker];
  while (!self->stopped_) {
    if (!self->core_->Target(worker).has_value()) break;
    jobs::HoldPlan plan = self->core_->PlanHold(worker, ShardNow());
    if (plan.pause > milliseconds::zero()) {
      loop.timer.expires_after(plan.pause);
      boost::system::error_code error;
      co_await loop.timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      if (self->stopped_) break;
      const milliseconds pause = plan.pause;
      plan = self->core_->PlanHold(worker, ShardNow());
      // The full pause has passed: ask without waiting for a task to end.
      if (plan.pause == pause) plan.order.wait = milliseconds::zero();
    }
    // The registry may have changed the address during the pause.
    const std::optional<contracts::WorkerTarget> target =
        self->core_->Target(worker);
    if (!target.has_value()) break;
    const MonotonicTime sent_at = LeaseNow();
    const contracts::HoldAnswer answer = co_await self->workers_->Hold(
        *target, plan.order, plan.order.wait + kHoldAnswerMargin);
    if (self->stopped_) break;
    self->core_->OnHold(worker, plan.order, answer, sent_at, ShardNow());
  }
  self->hold_loops_.erase(worker);
}

asio::awaitable<void> Owner::SendStart(Ref<Owner> self,
                                       contracts::WorkerTarget worker,
                                       contracts::StartOrder order) {
  const contracts::OrderAnswer answer = co_await self->workers_->Start(
      worker, order, self->options_.order_timeout);
  if (!self->stopped_) {
    self->core_->OnStart(worker.id, order, answer, ShardNow());
  }
}

asio::awaitable<void> Owner::SendStop(Ref<Owner> self,
                                      contracts::WorkerTarget worker,
                                      contracts::StopOrder order) {
  const contracts::OrderAnswer answer = co_await self->workers_->Stop(
      worker, order, self->options_.order_timeout);
  if (!self->stopped_) {
    self->core_->OnStop(worker.id, order, answer, ShardNow());
  }
}

asio::awaitable<void> Owner::SendPace(Ref<Owner> self,
                                      contracts::WorkerTarget worker,
                                      contracts::PaceOrder order) {
  const contracts::OrderAnswer answer = co_await self->workers_->Pace(
      worker, order, self->options_.order_timeout);
  if (!self->stopped_) {
    self->core_->OnPace(worker.id, order, answer, ShardNow());
  }
}

asio::awaitable<void> Owner::Advise(Ref<Owner> self,
                                    contracts::AdviceCall call) {
  contracts::AdviceAnswer answer{.error = "no advice service is configured"};
  if (self->advice_ != nullptr) {
    answer =
        co_await self->advice_->Advise(call, self->options_.advice_timeout);
  }
  if (!self->stopped_) self->core_->OnAdvice(call, answer, ShardNow());
}

asio::awaitable<bool> Owner::WaitStored(std::uint64_t change,
                                        Duration timeout) {
  const Ref<Owner> self(this);
  asio::steady_timer timer(executor_);
  const MonotonicTime deadline = LeaseNow() + timeout;
  const std::list<asio::steady_timer*>::iterator waiter_entry =
      store_waiters_.insert(store_waiters_.end(), &timer);
  while (!stopped_ && core_->stored_changes() < change &&
         LeaseNow() < deadline) {
    timer.expires_after(deadline - LeaseNow());
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
  store_waiters_.erase(waiter_entry);
  co_return !stopped_ && core_->stored_changes() >= change;
}

asio::awaitable<JobAnswer> Owner::Submit(std::string id, std::string queue,
                                         jobs::JobSpec spec, Duration timeout) {
  if (!ready()) co_return MakeAnswer(JobAnswer::NOT_DONE, "not restored yet");
  const bool is_stored = core_->StoredState(id).has_value();
  if (!is_stored && store_failing_since_.has_value() &&
      LeaseNow() - *store_failing_since_ > kRefuseJobsAfter) {
    co_return MakeAnswer(JobAnswer::NOT_DONE, "the store does not answer");
  }
  const jobs::SubmitAnswer submitted =
      core_->Submit(id, queue, spec, ShardNow());
  if (submitted.outcome == jobs::SubmitOutcome::kNoQueue) {
    co_return MakeAnswer(JobAnswer::NOT_DONE, "the queue is not configured");
  }
  if (submitted.outcome == jobs::SubmitOutcome::kNoRoom) {
    JobAnswer answer = MakeAnswer(JobAnswer::NOT_DONE, "no room for the queue");
    answer.set_retry_after_ms(
        static_cast<std::uint32_t>(submitted.retry_after.count()));
    co_return answer;
  }
  if (co_await WaitStored(submitted.change, timeout)) {
    co_return MakeAnswer(JobAnswer::DONE);
  }
  if (!stopped_ && core_->Withdraw(id)) {
    co_return MakeAnswer(JobAnswer::NOT_DONE, "the store does not answer");
  }
  co_return MakeAnswer(JobAnswer::UNDECIDED, "not known to be stored");
}

asio::awaitable<JobAnswer> Owner::Cancel(std::string id, Duration timeout) {
  if (!ready()) co_return MakeAnswer(JobAnswer::NOT_DONE, "not restored yet");
  const jobs::CancelAnswer cancelled = core_->Cancel(id, ShardNow());
  if (cancelled.outcome == jobs::CancelOutcome::kNoRoom) {
    JobAnswer answer =
        MakeAnswer(JobAnswer::NOT_DONE, "too many unknown jobs were cancelled");
    answer.set_retry_after_ms(kCancelRetryAfter.count());
    co_return answer;
  }
  if (co_await WaitStored(cancelled.change, timeout)) {
    co_return MakeAnswer(cancelled.outcome == jobs::CancelOutcome::kCancelled
                             ? JobAnswer::DONE
                             : JobAnswer::UNKNOWN_JOB);
  }
  co_return MakeAnswer(JobAnswer::UNDECIDED, "not known to be stored");
}

JobAnswer Owner::State(const std::string& id) const {
  if (!ready()) return MakeAnswer(JobAnswer::NOT_DONE, "not restored yet");
  const std::optional<jobs::JobState> state = core_->StoredState(id);
  if (!state.has_value()) {
    return core_->MayDenyJobs(ShardNow())
               ? MakeAnswer(JobAnswer::UNKNOWN_JOB)
               : MakeAnswer(JobAnswer::NOT_DONE, "the owner is not confirmed");
  }
  JobAnswer answer = MakeAnswer(JobAnswer::DONE);
  answer.set_state(static_cast<std::uint32_t>(*state));
  return answer;
}

}  // namespace carobmast::node
