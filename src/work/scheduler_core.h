// The decisions of one scheduler process, without I/O: it owns cells of its
// zone, fences their workers, adopts the tasks that run there, and starts,
// renews and stops tasks. See docs/adr/0015-work-ownership.md.
#ifndef CAROBMAST_WORK_SCHEDULER_CORE_H_
#define CAROBMAST_WORK_SCHEDULER_CORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/types/objects.h"
#include "contracts/types/log_record.h"
#include "contracts/types/vm.h"
#include "contracts/types/worker.h"
#include "framework/base/time.h"
#include "work/pick_worker.h"
#include "work/types/status.h"
#include "work/work_fold.h"

namespace carobmast::work {

// How workers are protected from commands of a former owner.
enum class FencingMode {
  // Workers refuse commands with a lower token than they have seen.
  kTokens,
  // Workers check no tokens and know only leases with an expiry. Safety depends
  // on a maximum clock drift and a maximum delay of commands.
  kLeases,
};

struct SchedulerOptions {
  // "name/incarnation"; every start of the process has a new incarnation.
  std::string name;
  std::string zone;
  FencingMode fencing = FencingMode::kTokens;
  // How long a worker runs its tasks without a renewal.
  Duration lease = std::chrono::seconds(30);
  // Interval between renewals of a worker's leases.
  Duration renew_every = std::chrono::seconds(5);
  // Interval between attempts to reach a worker that does not answer.
  Duration probe_every = std::chrono::seconds(1);
  Duration command_timeout = std::chrono::seconds(2);
  // Minimum interval between two appends to the log.
  Duration append_interval = std::chrono::milliseconds(250);
  Duration heartbeat_every = std::chrono::seconds(2);
  // A scheduler without a new record for this long counts as dead, and others
  // may claim its cells.
  Duration suspect_after = std::chrono::seconds(6);
  // Delay per rank in the rendezvous order, before a claim of a cell and before
  // a take of a task.
  Duration claim_rank_delay = std::chrono::seconds(1);
  Duration take_rank_delay = std::chrono::seconds(1);
  // Cells of a zone without live schedulers are claimed from other zones after
  // this time.
  Duration orphan_after = std::chrono::seconds(20);
  // A worker that does not answer and has been missing from the VM list for
  // this long counts as gone.
  Duration gone_after = std::chrono::seconds(5);
  // Interval at which a cell may move to a scheduler that joined later. Each
  // scheduler gives up one cell at a time.
  Duration rebalance_every = std::chrono::seconds(10);
  // An owner relinquishes a cell to another scheduler if, for this long, it
  // reached none of the workers, or half or more of them were not fenced since
  // its claim. Must be well below `lease`.
  Duration unreached_limit = std::chrono::seconds(10);
  // Interval between snapshots of the whole state, in the log's time.
  Duration snapshot_every = std::chrono::minutes(10);
  // Maximum relative error of the speed of any clock.
  double clock_drift = 0.01;
  // With FencingMode::kLeases only: how long a scheduler may start tasks after
  // its last heartbeat in the log, and the maximum delay of a command in the
  // network.
  Duration owner_lease = std::chrono::seconds(10);
  Duration max_command_delay = std::chrono::seconds(30);
  // Maximum number of pending tasks placed per tick.
  std::size_t max_starts_per_tick = 200;
};

struct SchedulerHooks {
  // Appends records to the work stream. The caller must answer with
  // OnAppendAnswer and the same id.
  std::function<void(std::uint64_t id, std::vector<contracts::NewRecord>)>
      append;
  // Sends a command to a worker. The caller must answer with OnCommandAnswer
  // and the same id.
  std::function<void(std::uint64_t id, contracts::WorkerCommand)> command;
  // Chooses workers; PickFirstFit() when empty.
  PickWorker pick_worker;
  // State charts in YAML that replace the built-in ones, unless empty.
  std::string cell_chart;
  std::string task_chart;
};

struct SchedulerCounters {
  std::uint64_t claims = 0;
  std::uint64_t cells_lost = 0;
  std::uint64_t appends = 0;
  std::uint64_t commands = 0;
  std::uint64_t starts = 0;
  std::uint64_t adopted = 0;
  std::uint64_t stops = 0;
  // Stops sent to attempts that should not be running.
  std::uint64_t strays = 0;
  // Commands refused by a worker that has seen a higher token.
  std::uint64_t stale_answers = 0;
  std::uint64_t workers_gone = 0;
  // Unreachable workers whose tasks were given up as their leases had expired.
  std::uint64_t leases_expired = 0;
  // Takes that were dropped or lost against another scheduler.
  std::uint64_t takes_lost = 0;
  // Workers excluded from starts for a while because of failing tasks.
  std::uint64_t workers_set_aside = 0;
  std::uint64_t snapshots = 0;
};

class SchedulerCore {
 public:
  // The built-in charts of cells and tasks as Mermaid diagrams.
  static std::string DrawCellChart();
  static std::string DrawTaskChart();

  SchedulerCore(SchedulerOptions options, SchedulerHooks hooks);
  ~SchedulerCore();
  SchedulerCore(const SchedulerCore&) = delete;
  SchedulerCore& operator=(const SchedulerCore&) = delete;

  // The caller must call this every 50 to 200 ms.
  void OnTick(MonotonicTime now);
  // Takes the answer to a read from next_offset() that was sent at `started`.
  void OnLog(MonotonicTime now, MonotonicTime started,
             const contracts::ReadAnswer& answer);
  void OnAppendAnswer(MonotonicTime now, std::uint64_t id,
                      contracts::AppendOutcome outcome);
  // Takes the newest VM list; lists that are no newer than the last are
  // ignored.
  void OnVmList(MonotonicTime now, const contracts::VmListAnswer& list);
  // Takes a configuration set that came into force.
  void OnConfig(MonotonicTime now, const config::Objects& objects);
  void OnCommandAnswer(MonotonicTime now, std::uint64_t id,
                       const contracts::CommandAnswer& answer);
  // Starts the handover to other schedulers: no further command is sent, and
  // the cells are relinquished once all commands in flight are answered.
  void OnStop(MonotonicTime now);

  // Whether the handover is complete and all its records are in the log.
  bool stopped() const;
  // Offset from which the caller must read the work stream next.
  contracts::Offset next_offset() const;
  const WorkFold& fold() const;
  const SchedulerCounters& counters() const;
  const WorkerTable& workers() const;
  // Number of owned cells whose members are all fenced or gone.
  std::size_t serving_cells() const;
  SchedulerStatus Status(MonotonicTime now) const;
  Endpoints ListEndpoints() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_SCHEDULER_CORE_H_
