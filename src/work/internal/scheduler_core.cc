#include "work/scheduler_core.h"

#include <utility>

#include "embedded/CellChartText.h"
#include "embedded/TaskChartText.h"
#include "work/internal/rendezvous.h"
#include "work/internal/scheduler_impl.h"

namespace carobmast::work {
namespace {

// The log counts as unavailable if its end was not read for this long.
constexpr std::chrono::seconds kMaxLogReadAge{3};

// Delay per rank in the rendezvous order before a scheduler writes a due
// snapshot, so that usually only one does.
constexpr std::chrono::seconds kSnapshotRankDelay{5};

// A snapshot that has not appeared in the log is written again after this time.
constexpr std::chrono::seconds kSnapshotRetry{30};

std::string TextOr(const std::string& text, std::string_view fallback) {
  return text.empty() ? std::string(fallback) : text;
}

}  // namespace

SchedulerCore::Impl::CellChart SchedulerCore::Impl::MakeCellChart(
    const std::string& text) {
  return CellChart(
      TextOr(text, CellChartText()), "cell.yaml",
      {.states = {"foreign", "claiming", "fencing", "serving", "suspended"},
       .events = {"claim_sent", "claim_won", "resolved", "stale", "lost"},
       .guards = {},
       .actions = {{.name = "adopt_members",
                    .run =
                        [](CellContext& context) {
                          context.core->AdoptMembers(context.now,
                                                     *context.cell);
                        }},
                   {.name = "drop_members",
                    .run =
                        [](CellContext& context) {
                          context.core->DropMembers(*context.cell);
                        }},
                   {.name = "release_held", .run = [](CellContext& context) {
                      for (const std::string& id : context.cell->tasks) {
                        context.core->tasks_to_advance_.insert(id);
                      }
                    }}}});
}

SchedulerCore::Impl::TaskChart SchedulerCore::Impl::MakeTaskChart(
    const std::string& text) {
  return TaskChart(
      TextOr(text, TaskChartText()), "task.yaml",
      {.states = {"held", "ready", "starting", "running", "stopping", "ended",
                  "gone"},
       .events = {"resolved", "start_sent", "start_refused", "found_running",
                  "found_ended", "worker_gone", "stop_wanted", "give_up",
                  "recorded"},
       .guards = {{.name = "must_hold",
                   .test =
                       [](const TaskContext& context) {
                         return context.core->MustHold(*context.task);
                       }},
                  {.name = "has_final_end",
                   .test =
                       [](const TaskContext& context) {
                         return context.core->HasFinalEnd(*context.task);
                       }}},
       .actions = {
           {.name = "free_room",
            .run =
                [](TaskContext& context) {
                  context.core->FreeRoom(context.now, *context.task);
                }},
           {.name = "record_result",
            .run =
                [](TaskContext& context) {
                  context.core->RecordResult(*context.task);
                }},
           {.name = "send_stop",
            .run =
                [](TaskContext& context) {
                  context.core->SendStop(context.now, *context.task);
                }},
           {.name = "forget_attempt", .run = [](TaskContext& context) {
              LocalTask& task = *context.task;
              if (!task.attempt_end.has_value()) return;
              WorkerSession* session = context.core->FindSession(task.worker);
              if (session == nullptr) return;
              context.core->Forget(
                  context.now, *session,
                  {.task = task.id, .attempt = task.attempt_end->attempt});
            }}}});
}

SchedulerCore::Impl::Impl(SchedulerOptions options, SchedulerHooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      cell_chart_(MakeCellChart(hooks_.cell_chart)),
      task_chart_(MakeTaskChart(hooks_.task_chart)),
      monitor_({.self = options_.name,
                .zone = options_.zone,
                .suspect_after = options_.suspect_after}),
      queue_({.self = options_.name, .interval = options_.append_interval}) {
  if (!hooks_.pick_worker) hooks_.pick_worker = PickFirstFit();
}

void SchedulerCore::Impl::Fire(MonotonicTime now, TrackedCell& cell,
                               CellEvent event) {
  CellContext context{.core = this, .cell = &cell, .now = now};
  cell.state = cell_chart_.Fire(cell.state, event, context);
}

void SchedulerCore::Impl::Fire(MonotonicTime now, LocalTask& task,
                               LocalTaskEvent event) {
  TaskContext context{.core = this, .task = &task, .now = now};
  task.state = task_chart_.Fire(task.state, event, context);
}

Duration SchedulerCore::Impl::LeaseWithDrift() const {
  const double drift_factor =
      (1.0 + options_.clock_drift) / (1.0 - options_.clock_drift);
  return std::chrono::duration_cast<Duration>(options_.lease * drift_factor);
}

bool SchedulerCore::Impl::LogHealthy(MonotonicTime now) const {
  return log_read_ && now - last_log_read_ < kMaxLogReadAge;
}

void SchedulerCore::Impl::OnTick(MonotonicTime now) {
  if (stopping_) {
    FinishStop(now);
    Flush(now);
    return;
  }
  if (log_read_ && now >= next_heartbeat_ && heartbeats_sent_.empty()) {
    const std::string id = queue_.Add(
        HeartbeatRecord{.scheduler = options_.name, .zone = options_.zone});
    heartbeats_sent_[id] = now;
    next_heartbeat_ = now + options_.heartbeat_every;
  }
  if (fold_.ready() && log_read_) {
    ConsiderClaims(now);
    Rebalance(now);
    RelinquishUnreached(now);
    MaybeSnapshot(now);
  }
  ContactWorkers(now);
  AdvanceAll(now);
  if (fold_.ready()) PlacePending(now);
  Flush(now);
}

void SchedulerCore::Impl::Flush(MonotonicTime now) {
  std::optional<AppendBatch> batch = queue_.Poll(now);
  if (!batch.has_value()) return;
  counters_.appends = queue_.appends();
  hooks_.append(batch->id, std::move(batch->records));
}

void SchedulerCore::Impl::OnLog(MonotonicTime now, MonotonicTime started,
                                const contracts::ReadAnswer& answer) {
  fold_.Apply(answer);
  const bool at_end = fold_.next() >= answer.next;
  queue_.OnRead(now, started, answer.records, at_end);
  monitor_.OnRead(now, fold_);
  if (at_end) {
    last_log_read_ = now;
    log_read_ = true;
  }
  const FoldChanges changes = fold_.TakeChanges();
  if (!fold_.ready()) return;
  SyncCells(now, changes);
  if (changes.reset) {
    heartbeats_sent_.clear();
    for (const auto& [id, task] : fold_.tasks()) SyncTask(now, id);
    for (const auto& [id, spec] : catalog_.configured()) SyncTask(now, id);
  } else {
    for (const std::string& id : changes.tasks) SyncTask(now, id);
  }
  for (const contracts::LogRecord& record : answer.records) {
    const auto sent = heartbeats_sent_.find(record.id);
    if (sent == heartbeats_sent_.end()) continue;
    owner_lease_until_ = sent->second + options_.owner_lease;
    heartbeats_sent_.erase(heartbeats_sent_.begin(), std::next(sent));
  }
  if (at_end) CheckLeases(now, started);
}

void SchedulerCore::Impl::OnAppendAnswer(MonotonicTime now, std::uint64_t id,
                                         contracts::AppendOutcome outcome) {
  queue_.OnAnswer(now, id, outcome);
}

void SchedulerCore::Impl::OnConfig(MonotonicTime now,
                                   const config::Objects& objects) {
  for (const std::string& id : catalog_.SetConfig(objects)) {
    SyncTask(now, id);
  }
  drained_.clear();
  for (const auto& [name, vm] : objects.drained_vms) drained_.insert(name);
  for (auto& [name, session] : sessions_) ApplyVm(now, session);
  for (auto& [id, task] : local_tasks_) {
    UpdateSpec(task);
    tasks_to_advance_.insert(id);
  }
}

void SchedulerCore::Impl::MaybeSnapshot(MonotonicTime now) {
  if (!LogHealthy(now)) return;
  if (snapshot_in_flight_ && now - snapshot_sent_at_ < kSnapshotRetry) return;
  snapshot_in_flight_ = false;
  if (fold_.newest_at() - fold_.snapshot_at() < options_.snapshot_every) {
    snapshot_due_since_.reset();
    return;
  }
  if (!snapshot_due_since_.has_value()) snapshot_due_since_ = now;
  const std::size_t rank =
      RendezvousRank("snapshot", options_.name, monitor_.AliveIn({}, now));
  if (now < *snapshot_due_since_ + rank * kSnapshotRankDelay) return;
  const std::string id = options_.name + "@" + std::to_string(fold_.next() - 1);
  for (const SnapshotRecord& part : fold_.MakeSnapshot(id)) queue_.Add(part);
  snapshot_in_flight_ = true;
  snapshot_sent_at_ = now;
  ++counters_.snapshots;
}

void SchedulerCore::Impl::OnStop(MonotonicTime now) {
  stopping_ = true;
  for (const auto& [id, plan] : std::map(planned_takes_)) DropTake(id);
  FinishStop(now);
}

void SchedulerCore::Impl::FinishStop(MonotonicTime now) {
  if (!commands_.empty()) return;
  if (!relinquished_) {
    queue_.QueueGroups();
    for (auto& [name, cell] : cells_) {
      if (Owned(cell)) Relinquish(now, cell);
    }
    relinquished_ = true;
  }
  stopped_ = queue_.Idle();
}

std::string SchedulerCore::DrawCellChart() { return Impl::DrawCellChart(); }

std::string SchedulerCore::DrawTaskChart() { return Impl::DrawTaskChart(); }

SchedulerCore::SchedulerCore(SchedulerOptions options, SchedulerHooks hooks)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

SchedulerCore::~SchedulerCore() = default;

void SchedulerCore::OnTick(MonotonicTime now) { impl_->OnTick(now); }

void SchedulerCore::OnLog(MonotonicTime now, MonotonicTime started,
                          const contracts::ReadAnswer& answer) {
  impl_->OnLog(now, started, answer);
}

void SchedulerCore::OnAppendAnswer(MonotonicTime now, std::uint64_t id,
                                   contracts::AppendOutcome outcome) {
  impl_->OnAppendAnswer(now, id, outcome);
}

void SchedulerCore::OnVmList(MonotonicTime now,
                             const contracts::VmListAnswer& list) {
  impl_->OnVmList(now, list);
}

void SchedulerCore::OnConfig(MonotonicTime now,
                             const config::Objects& objects) {
  impl_->OnConfig(now, objects);
}

void SchedulerCore::OnCommandAnswer(MonotonicTime now, std::uint64_t id,
                                    const contracts::CommandAnswer& answer) {
  impl_->OnCommandAnswer(now, id, answer);
}

void SchedulerCore::OnStop(MonotonicTime now) { impl_->OnStop(now); }

bool SchedulerCore::stopped() const { return impl_->stopped(); }

contracts::Offset SchedulerCore::next_offset() const {
  return impl_->fold().next();
}

const WorkFold& SchedulerCore::fold() const { return impl_->fold(); }

const SchedulerCounters& SchedulerCore::counters() const {
  return impl_->counters();
}

const WorkerTable& SchedulerCore::workers() const { return impl_->workers(); }

std::size_t SchedulerCore::serving_cells() const {
  return impl_->ServingCells();
}

SchedulerStatus SchedulerCore::Status(MonotonicTime now) const {
  return impl_->Status(now);
}

Endpoints SchedulerCore::ListEndpoints() const {
  return impl_->ListEndpoints();
}

}  // namespace carobmast::work
