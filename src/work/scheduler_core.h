// The decisions of one scheduler process, without I/O: owns cells of its zone,
// fences their workers, adopts what runs there, and starts, renews and stops
// tasks. See docs/adr/0015-work-ownership.md.
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

// What workers know of ownership.
enum class FencingMode {
  kTokens,  // a worker refuses commands with a lower token than it has seen
  kLeases,  // a worker knows only a lease with a holder and an expiry
};

struct SchedulerOptions {
  // "name/incarnation"; the incarnation is new at every start of the process.
  std::string name;
  std::string zone;
  FencingMode fencing = FencingMode::kTokens;
  // How long a worker runs its tasks without a renewal.
  Duration lease = std::chrono::seconds(30);
  Duration renew_every = std::chrono::seconds(5);
  // Between two attempts to reach a worker that does not answer.
  Duration probe_every = std::chrono::seconds(1);
  Duration command_timeout = std::chrono::seconds(2);
  // Least time between two appends.
  Duration append_interval = std::chrono::milliseconds(250);
  Duration heartbeat_every = std::chrono::seconds(2);
  // A scheduler that wrote nothing for this long may lose its cells.
  Duration suspect_after = std::chrono::seconds(6);
  // Later ranks claim a cell, or take a task, this much later.
  Duration claim_rank_delay = std::chrono::seconds(1);
  Duration take_rank_delay = std::chrono::seconds(1);
  // Cells of a zone without any scheduler are claimed from other zones after
  // this.
  Duration orphan_after = std::chrono::seconds(20);
  // A worker that does not answer and is missing from the VM list for this long
  // is gone.
  Duration gone_after = std::chrono::seconds(5);
  // Cells move to schedulers that joined later, one at a time.
  Duration rebalance_every = std::chrono::seconds(10);
  // An owner that reaches none of a cell's workers, or could not fence most of
  // them since its claim, for this long
  // leaves the cell to another scheduler; well under the lease.
  Duration unreached_limit = std::chrono::seconds(10);
  // The whole state is written again this often, by the log's time.
  Duration snapshot_every = std::chrono::minutes(10);
  // Largest relative error of any clock's speed.
  double clock_drift = 0.01;
  // Leases only: how long a scheduler may start tasks after its last heartbeat
  // in the log, and the longest delay of a command in the network.
  Duration owner_lease = std::chrono::seconds(10);
  Duration max_command_delay = std::chrono::seconds(30);
  std::size_t max_starts_per_tick = 200;
};

struct SchedulerHooks {
  // Appends to the work stream; answered by OnAppendAnswer with the same id.
  std::function<void(std::uint64_t id, std::vector<contracts::NewRecord>)>
      append;
  // Sends a command to a worker; answered by OnCommandAnswer with the same id.
  std::function<void(std::uint64_t id, contracts::WorkerCommand)> command;
  // Chooses workers; PickFirstFit() when empty.
  PickWorker pick_worker;
  // State charts in YAML that override the built-in ones, when not empty.
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
  std::uint64_t strays = 0;
  std::uint64_t stale_answers = 0;
  std::uint64_t workers_gone = 0;
  std::uint64_t leases_expired = 0;
  std::uint64_t takes_lost = 0;
  std::uint64_t workers_set_aside = 0;
  std::uint64_t snapshots = 0;
};

class SchedulerCore {
 public:
  // The embedded charts of cells and tasks as Mermaid diagrams.
  static std::string DrawCellChart();
  static std::string DrawTaskChart();

  SchedulerCore(SchedulerOptions options, SchedulerHooks hooks);
  ~SchedulerCore();
  SchedulerCore(const SchedulerCore&) = delete;
  SchedulerCore& operator=(const SchedulerCore&) = delete;

  // To be called every 50 to 200 ms.
  void OnTick(MonotonicTime now);
  // The answer to a read from next_offset() that was sent at `started`.
  void OnLog(MonotonicTime now, MonotonicTime started,
             const contracts::ReadAnswer& answer);
  void OnAppendAnswer(MonotonicTime now, std::uint64_t id,
                      contracts::AppendOutcome outcome);
  void OnVmList(MonotonicTime now, const contracts::VmListAnswer& list);
  // A configuration set came into force.
  void OnConfig(MonotonicTime now, const config::Objects& objects);
  void OnCommandAnswer(MonotonicTime now, std::uint64_t id,
                       const contracts::CommandAnswer& answer);
  // Starts the handover: no further command is sent, and the cells are given
  // up once the commands in flight were answered.
  void OnStop(MonotonicTime now);

  // The handover has reached the log.
  bool stopped() const;
  contracts::Offset next_offset() const;
  const WorkFold& fold() const;
  const SchedulerCounters& counters() const;
  const WorkerTable& workers() const;
  // Number of own cells whose members are all fenced or gone.
  std::size_t serving_cells() const;
  SchedulerStatus Status(MonotonicTime now) const;
  Endpoints ListEndpoints() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_SCHEDULER_CORE_H_
