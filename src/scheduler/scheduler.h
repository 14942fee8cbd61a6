// The scheduler of one entry VM: SchedulerCore with its I/O to the log, the VM
// list, the workers, peers and operators.
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

// The settings that only a scheduler has, as a map `work` in its file.
struct SchedulerSettings {
  work::FencingMode fencing = work::FencingMode::kTokens;
  Duration lease = std::chrono::seconds(30);
  Duration renew_every = std::chrono::seconds(5);
  Duration suspect_after = std::chrono::seconds(6);
  Duration gone_after = std::chrono::seconds(5);
  Duration snapshot_every = std::chrono::minutes(10);
};

// Reads the optional map `work` with the keys fencing (tokens or leases),
// lease, renew_every, suspect_after, gone_after and snapshot_every. Refuses
// values that can't work together.
SchedulerSettings ReadSchedulerSettings(settings::SettingsReader& reader);

struct SchedulerServices {
  contracts::LogService log;
  contracts::VmListService vm_list;
  contracts::WorkerService workers;
};

class Scheduler {
 public:
  // Adds its routes, calls, readiness tests and stop to the daemon, which must
  // outlive it.
  Scheduler(daemon::Daemon& daemon, const SchedulerSettings& settings,
            SchedulerServices services);

  // The configuration in force.
  void SetObjects(const config::Objects& objects);
  // What the follower of the configuration says, for /status.
  void SetConfigStatus(std::function<boost::json::object()> status);

  void Start();

 private:
  work::SchedulerOptions MakeOptions(const SchedulerSettings& settings) const;
  work::SchedulerHooks MakeHooks();
  boost::asio::awaitable<void> Sleep(Duration duration);
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<void> LogLoop();
  boost::asio::awaitable<void> VmListLoop();
  boost::asio::awaitable<void> Append(
      std::uint64_t id, std::vector<contracts::NewRecord> records);
  boost::asio::awaitable<void> Command(std::uint64_t id,
                                       contracts::WorkerCommand command);
  boost::asio::awaitable<void> Stop(Duration grace);
  net::ServerAnswer AnswerStatus(const net::ServerRequest& request) const;
  std::string AnswerEndpoints(const std::string& request) const;
  void UpdateMetrics();

  daemon::Daemon& daemon_;
  SchedulerServices services_;
  work::SchedulerCore core_;
  std::function<boost::json::object()> config_status_;
  // VMs that the operators drain; they count as leaving.
  std::set<std::string> drained_vms_;
  telemetry::StateLog log_state_;
  telemetry::StateLog vm_list_state_;
  telemetry::StateLog cells_state_;
  bool configured_ = false;
  bool log_known_ = false;
  bool running_ = false;
};

}  // namespace carobmast::scheduler

#endif  // CAROBMAST_SCHEDULER_SCHEDULER_H_
