// Implementation of SchedulerCore. Its methods are defined by topic in
// scheduler_core.cc, scheduler_ownership.cc, scheduler_reports.cc,
// scheduler_tasks.cc, scheduler_placing.cc and scheduler_status.cc.
#ifndef CAROBMAST_WORK_INTERNAL_SCHEDULER_IMPL_H_
#define CAROBMAST_WORK_INTERNAL_SCHEDULER_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "framework/statechart/state_chart.h"
#include "work/internal/append_queue.h"
#include "work/internal/local_task.h"
#include "work/internal/pending_queue.h"
#include "work/internal/scheduler_monitor.h"
#include "work/internal/task_catalog.h"
#include "work/internal/worker_session.h"
#include "work/scheduler_core.h"

namespace carobmast::work {

// States and events of charts/cell.yaml, in the order in which MakeCellChart
// names them.
enum class CellState { kForeign, kClaiming, kFencing, kServing, kSuspended };

enum class CellEvent { kClaimSent, kClaimWon, kResolved, kStale, kLost };

// A cell known from the log or the VM list, owned by this scheduler or not.
struct TrackedCell {
  std::string cell;
  std::string zone;
  CellState state = CellState::kForeign;
  // Token of this scheduler's claim, while it owns the cell.
  contracts::FencingToken token = 0;
  // When that claim was read from the log.
  MonotonicTime claimed_at;
  // Since when the cell has had no live owner; empty while it has one.
  std::optional<MonotonicTime> free_since;
  // The field `previous` of the claim in flight.
  std::optional<contracts::FencingToken> claim_in_flight;
  // Workers whose addition or removal was queued but not read back yet.
  std::set<std::string> membership_in_flight;
  // The cell must be claimed again for a higher token, because a start with the
  // current one may still take effect late.
  bool wants_new_token = false;
  // Since when no worker was reached, or at least half of them were not fenced.
  std::optional<MonotonicTime> unreached_since;
  // Set when the cell was relinquished because its workers were not reached.
  // Until then other schedulers claim it first, and if this one wins it again
  // all the same, it isn't relinquished for that reason. Cleared once all
  // members are fenced or gone.
  MonotonicTime avoid_until;
  // Relinquished by this process, and claimed by no other since.
  bool released = false;
  // The cell isn't relinquished for balance before this time, and the current
  // length of that delay.
  MonotonicTime pinned_until;
  Duration rebalance_backoff = Duration::zero();
  std::set<std::string> tasks;
};

class SchedulerCore::Impl {
 public:
  Impl(SchedulerOptions options, SchedulerHooks hooks);

  void OnTick(MonotonicTime now);
  void OnLog(MonotonicTime now, MonotonicTime started,
             const contracts::ReadAnswer& answer);
  void OnAppendAnswer(MonotonicTime now, std::uint64_t id,
                      contracts::AppendOutcome outcome);
  void OnVmList(MonotonicTime now, const contracts::VmListAnswer& list);
  void OnConfig(MonotonicTime now, const config::Objects& objects);
  void OnCommandAnswer(MonotonicTime now, std::uint64_t id,
                       const contracts::CommandAnswer& answer);
  void OnStop(MonotonicTime now);
  bool stopped() const { return stopped_; }
  const WorkFold& fold() const { return fold_; }
  const SchedulerCounters& counters() const { return counters_; }
  const WorkerTable& workers() const { return table_; }
  std::size_t ServingCells() const;
  SchedulerStatus Status(MonotonicTime now) const;
  Endpoints ListEndpoints() const;
  static std::string DrawCellChart() { return MakeCellChart("").Draw(); }
  static std::string DrawTaskChart() { return MakeTaskChart("").Draw(); }

 private:
  struct CellContext {
    Impl* core = nullptr;
    TrackedCell* cell = nullptr;
    MonotonicTime now;
  };
  struct TaskContext {
    Impl* core = nullptr;
    LocalTask* task = nullptr;
    MonotonicTime now;
  };
  using CellChart = statechart::StateChart<CellState, CellEvent, CellContext>;
  using TaskChart =
      statechart::StateChart<LocalTaskState, LocalTaskEvent, TaskContext>;

  struct CommandInFlight {
    contracts::WorkerVerb verb = contracts::WorkerVerb::kFence;
    std::string worker;
    contracts::FencingToken token = 0;
    contracts::AttemptId id;
    MonotonicTime sent_at;
  };
  struct PlannedTake {
    std::string cell;
    contracts::FencingToken token = 0;
    std::string worker;
  };

  // scheduler_core.cc
  static CellChart MakeCellChart(const std::string& text);
  static TaskChart MakeTaskChart(const std::string& text);
  void Fire(MonotonicTime now, TrackedCell& cell, CellEvent event);
  void Fire(MonotonicTime now, LocalTask& task, LocalTaskEvent event);
  void Flush(MonotonicTime now);
  void MaybeSnapshot(MonotonicTime now);
  void FinishStop(MonotonicTime now);
  // Whether the end of the log was read within kMaxLogReadAge.
  bool LogHealthy(MonotonicTime now) const;
  // The time after which a lease has ended even on the slowest clock.
  Duration LeaseWithDrift() const;

  // scheduler_ownership.cc
  bool Owned(const TrackedCell& cell) const;
  TrackedCell* FindOwned(const std::string& cell);
  void SyncCells(MonotonicTime now, const FoldChanges& changes);
  void SyncCell(MonotonicTime now, const std::string& name);
  void ConsiderClaims(MonotonicTime now);
  void ConsiderClaim(MonotonicTime now, TrackedCell& cell);
  // When this process may claim a cell that has had no live owner since
  // `free_since`; empty if the cell is left to the schedulers of its own zone.
  std::optional<MonotonicTime> ClaimDue(MonotonicTime now,
                                        const TrackedCell& cell,
                                        MonotonicTime free_since) const;
  void SendClaim(MonotonicTime now, TrackedCell& cell);
  void Rebalance(MonotonicTime now);
  bool AwaitsLeaseExpiry(const TrackedCell& cell) const;
  void Relinquish(MonotonicTime now, TrackedCell& cell);
  std::vector<KnownCheckpoint> CheckpointsOf(const TrackedCell& cell) const;
  void RelinquishUnreached(MonotonicTime now);
  void RelinquishUnreached(MonotonicTime now, TrackedCell& cell);
  void OnClaimWon(MonotonicTime now, TrackedCell& cell);
  void AdoptMembers(MonotonicTime now, TrackedCell& cell);
  void DropMembers(TrackedCell& cell);
  void AddSession(MonotonicTime now, TrackedCell& cell,
                  const CellMember& member);
  void RemoveSession(MonotonicTime now, const std::string& worker);
  void SyncMembers(MonotonicTime now, TrackedCell& cell);
  void ProposeMembers(TrackedCell& cell);
  void ApplyVm(MonotonicTime now, WorkerSession& session);
  void ContactWorkers(MonotonicTime now);
  void ContactWorker(MonotonicTime now, WorkerSession& session);
  bool MayFence(MonotonicTime now, const TrackedCell& cell) const;
  void CheckGone(MonotonicTime now, WorkerSession& session);
  void CheckLeases(MonotonicTime now, MonotonicTime read_started);
  void CheckResolved(MonotonicTime now, TrackedCell& cell);
  bool Resolved(const TrackedCell& cell) const;
  void UpdateUsable(MonotonicTime now, WorkerSession& session);
  void LoseContact(MonotonicTime now, WorkerSession& session);
  bool OwnerLeaseValid(MonotonicTime now) const;

  // scheduler_reports.cc
  std::uint64_t Send(MonotonicTime now, const WorkerSession& session,
                     contracts::WorkerCommand command);
  void OnControlAnswer(MonotonicTime now, std::uint64_t id,
                       const CommandInFlight& sent, WorkerSession& session,
                       const contracts::CommandAnswer& answer);
  void OnStartAnswer(MonotonicTime now, std::uint64_t id,
                     const CommandInFlight& sent, WorkerSession& session,
                     const contracts::CommandAnswer& answer);
  void OnStale(MonotonicTime now, WorkerSession& session);
  void ProcessReport(MonotonicTime now, std::uint64_t sent_id,
                     WorkerSession& session,
                     const contracts::WorkerReport& report);
  void ProcessRunning(MonotonicTime now, WorkerSession& session,
                      const contracts::TaskReport& report,
                      std::set<contracts::AttemptId>& strays);
  static void UpdateCheckpoint(LocalTask& task,
                               const contracts::TaskReport& report);
  void ProcessEnded(MonotonicTime now, WorkerSession& session,
                    const contracts::TaskReport& report);
  // Counts consecutive failures and excludes a worker that fails one task after
  // another from starts for a while.
  void TrackFailures(MonotonicTime now, WorkerSession& session,
                     const contracts::TaskReport& report);
  void EndUnreportedTasks(MonotonicTime now, std::uint64_t sent_id,
                          WorkerSession& session,
                          const std::set<contracts::AttemptId>& named);
  void UpdateStrays(MonotonicTime now, WorkerSession& session,
                    std::set<contracts::AttemptId> strays);
  void ClearStrays(WorkerSession& session);
  // Whether a worker reported a stray attempt of the task that is not known to
  // have ended.
  bool HasStray(const std::string& task) const;
  void AdoptRunning(MonotonicTime now, WorkerSession& session, LocalTask& task,
                    const contracts::TaskReport& report);
  void Forget(MonotonicTime now, WorkerSession& session,
              const contracts::AttemptId& id);

  // scheduler_tasks.cc
  LocalTask* FindLocalTask(const std::string& task);
  WorkerSession* FindSession(const std::string& worker);
  void SyncTask(MonotonicTime now, const std::string& id);
  void AddLocalTask(MonotonicTime now, TrackedCell& cell, const std::string& id,
                    const FoldedTask& folded);
  void EraseLocalTask(const std::string& id);
  void UpdateSpec(LocalTask& task);
  void Advance(MonotonicTime now, LocalTask& task);
  void AdvanceAll(MonotonicTime now);
  void TryStart(MonotonicTime now, LocalTask& task);
  void SendStart(MonotonicTime now, LocalTask& task);
  void SendStop(MonotonicTime now, LocalTask& task);
  void RecordResult(LocalTask& task);
  void FreeRoom(MonotonicTime now, LocalTask& task);
  void MarkTasksLost(MonotonicTime now, WorkerSession& session,
                     const std::string& reason);
  bool MustHold(const LocalTask& task) const;
  bool HasFinalEnd(const LocalTask& task) const;

  // scheduler_placing.cc
  void SyncPending(MonotonicTime now, const std::string& id);
  void PlacePending(MonotonicTime now);
  bool Place(MonotonicTime now, const std::string& id);
  void DropTake(const std::string& id);
  Duration TakeDelay(MonotonicTime now, const std::string& id,
                     const TaskSpec& spec) const;

  // scheduler_status.cc
  std::string WaitReason(MonotonicTime now, const LocalTask& task) const;
  std::string PendingReason(MonotonicTime now, const std::string& id,
                            const FoldedTask& task) const;
  JobStatus StatusOf(const FoldedJob& job) const;

  SchedulerOptions options_;
  SchedulerHooks hooks_;
  CellChart cell_chart_;
  TaskChart task_chart_;
  WorkFold fold_;
  SchedulerMonitor monitor_;
  AppendQueue queue_;
  TaskCatalog catalog_;
  PendingQueue pending_;
  WorkerTable table_;
  SchedulerCounters counters_;
  std::map<std::string, TrackedCell> cells_;
  std::map<std::string, WorkerSession> sessions_;
  std::map<std::string, LocalTask> local_tasks_;
  // Task and worker of each stray attempt.
  std::set<std::pair<std::string, std::string>> strays_;
  // Local tasks that Advance must look at in the next tick.
  std::set<std::string> tasks_to_advance_;
  // Takes that were queued but not read back yet, by task.
  std::map<std::string, PlannedTake> planned_takes_;
  std::set<std::string> dropped_takes_;
  std::map<std::uint64_t, CommandInFlight> commands_;
  std::uint64_t next_command_ = 1;
  // The workers of the newest VM list, by name.
  std::map<std::string, contracts::Vm> vms_;
  // VMs that the configuration in force drains.
  std::set<std::string> drained_;
  WallTime vms_as_of_{};
  bool vms_known_ = false;
  MonotonicTime last_log_read_;
  bool log_read_ = false;
  MonotonicTime next_heartbeat_;
  MonotonicTime next_rebalance_;
  // Send times of this process's heartbeats that were not read back yet, by
  // record id. The owner lease counts from them: with FencingMode::kLeases,
  // starts, stops and forgets are sent only until `owner_lease_until_`.
  std::map<std::string, MonotonicTime> heartbeats_sent_;
  MonotonicTime owner_lease_until_;
  std::optional<MonotonicTime> snapshot_due_since_;
  bool snapshot_in_flight_ = false;
  MonotonicTime snapshot_sent_at_;
  bool stopping_ = false;
  bool relinquished_ = false;
  bool stopped_ = false;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_SCHEDULER_IMPL_H_
