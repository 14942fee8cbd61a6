// The scheduler process of one entry VM: connects SchedulerCore to the log
// service, the VM list, the workers, the peers and the operator port.
#ifndef CAROBMAST_SCHEDULER_SCHEDULER_H_
#define CAROBMAST_SCHEDULER_SCHEDULER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "config/types/objects.h"
#include "contracts/log_service.h"
#include "contracts/vm_list.h"
#include "contracts/worker_service.h"
#include "framework/daemon/daemon.h"
#include "framework/settings/settings.h"
#include "framework/telemetry/log.h"
#include "work/scheduler_core.h"

namespace carobmast::scheduler {

// The settings specific to a scheduler, read from the map `work` of its
// settings file. The fields are passed on to work::SchedulerOptions.
struct SchedulerSettings {
  work::FencingMode fencing = work::FencingMode::kTokens;
  // How long a worker runs its tasks without a renewal.
  Duration lease = std::chrono::seconds(30);
  Duration renew_every = std::chrono::seconds(5);
  // A scheduler that has appended nothing to the log for this long may lose its
  // cells to another scheduler.
  Duration suspect_after = std::chrono::seconds(6);
  // A worker that does not answer and has been missing from the VM list for
  // this long counts as gone.
  Duration gone_after = std::chrono::seconds(5);
  // Interval, in log time, at which the whole state is written to the log.
  Duration snapshot_every = std::chrono::minutes(10);
};

// Reads the optional map `work` with the keys fencing (tokens or leases),
// lease, renew_every, suspect_after, gone_after and snapshot_every; missing
// keys keep their defaults. Throws Error for an unknown key, an invalid value,
// a renew_every of more than a third of the lease, or a suspect_after of more
// than half of it. The caller calls Finish() on `reader`.
SchedulerSettings ReadSchedulerSettings(settings::SettingsReader& reader);

// Clients of the platform's services.
struct SchedulerServices {
  contracts::LogService log;
  contracts::VmListService vm_list;
  contracts::WorkerService workers;
};

// Runs a SchedulerCore on the daemon's event loop. Must exist for as long as
// the daemon runs.
class Scheduler {
 public:
  // Registers the route GET /status, the call "endpoints.list", readiness
  // checks, a metrics update and a stop handler with the daemon, which must
  // outlive the scheduler. Throws Error when a state chart can't be read.
  Scheduler(daemon::Daemon& daemon, const SchedulerSettings& settings,
            SchedulerServices services);

  // Passes the objects of the configuration set in force to the core. Call it
  // again for each new set; the scheduler is not ready before the first call.
  void SetObjects(const config::Objects& objects);
  // Sets the function that returns the value of "config" in GET /status.
  void SetConfigStatus(std::function<boost::json::object()> status);

  // Starts the tick, log and VM list loops, which run until the daemon stops.
  void Start();

 private:
  work::SchedulerOptions MakeOptions(const SchedulerSettings& settings) const;
  work::SchedulerHooks MakeHooks();
  boost::asio::awaitable<void> Sleep(Duration duration);
  // Drives the timers of the core.
  boost::asio::awaitable<void> TickLoop();
  // Reads the work stream by long polling.
  boost::asio::awaitable<void> LogLoop();
  // Polls the VM list and marks drained VMs as leaving.
  boost::asio::awaitable<void> VmListLoop();
  boost::asio::awaitable<void> AppendRecords(
      std::uint64_t id, std::vector<contracts::NewRecord> records);
  boost::asio::awaitable<void> SendCommand(std::uint64_t id,
                                           contracts::WorkerCommand command);
  // Hands the cells over and stops the loops, after `grace` at the latest.
  boost::asio::awaitable<void> Stop(Duration grace);
  net::ServerAnswer HandleStatusRequest(
      const net::ServerRequest& request) const;
  std::string HandleEndpointsCall(const std::string& request) const;
  void UpdateMetrics();

  daemon::Daemon& daemon_;
  SchedulerServices services_;
  work::SchedulerCore core_;
  std::function<boost::json::object()> config_status_;
  // VMs drained by operators; passed to the core as leaving.
  std::set<std::string> drained_vms_;
  telemetry::StateLog log_service_state_;
  telemetry::StateLog vm_list_state_;
  telemetry::StateLog served_cells_state_;
  bool has_config_ = false;
  bool work_state_ready_ = false;
  bool running_ = false;
};

}  // namespace carobmast::scheduler

#endif  // CAROBMAST_SCHEDULER_SCHEDULER_H_
