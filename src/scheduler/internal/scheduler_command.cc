#include "scheduler/scheduler_command.h"

#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "config/daemon_follower.h"
#include "contracts/http_services.h"
#include "framework/daemon/daemon_command.h"
#include "scheduler/scheduler.h"

namespace carobmast::scheduler {

namespace asio = boost::asio;

namespace {

constexpr char kSummary[] =
    "Run the scheduler of an entry VM: place tasks on workers";

// Owns and connects the parts of one scheduler process: the daemon, the HTTP
// client, the scheduler and the configuration follower.
class Process {
 public:
  Process(daemon::DaemonSettings settings,
          const SchedulerSettings& scheduler_settings)
      : daemon_(std::move(settings)),
        client_(MakeRef<net::HttpClient>(daemon_.executor(),
                                         net::HttpClientOptions{})),
        scheduler_(daemon_, scheduler_settings, MakeServices()),
        follower_(config::MakeDaemonFollower(
            daemon_, client_, [this](const config::InForceSet& in_force) {
              scheduler_.SetObjects(in_force.set.objects());
            })) {
    scheduler_.SetConfigStatus([this] { return follower_->Status(); });
    daemon_.AddStopHandler([this](Duration) -> asio::awaitable<void> {
      client_->Close();
      co_return;
    });
  }

  int Run() {
    return daemon_.Run([this]() -> asio::awaitable<void> {
      follower_->Start();
      scheduler_.Start();
      co_return;
    });
  }

 private:
  SchedulerServices MakeServices() {
    const daemon::DaemonSettings& settings = daemon_.settings();
    return {
        .log = contracts::MakeHttpLogService(client_, settings.log_service),
        .vm_list = contracts::MakeHttpVmListService(client_, settings.vm_list),
        .workers = contracts::MakeHttpWorkerService(client_)};
  }

  daemon::Daemon daemon_;
  Ref<net::HttpClient> client_;
  Scheduler scheduler_;
  Ref<config::ConfigFollower> follower_;
};

int Run(daemon::DaemonSettings settings, settings::SettingsReader& reader) {
  const SchedulerSettings scheduler_settings = ReadSchedulerSettings(reader);
  reader.Finish();
  return Process(std::move(settings), scheduler_settings).Run();
}

}  // namespace

cli::Command SchedulerCommand() {
  return daemon::MakeDaemonCommand("scheduler", kSummary, Run);
}

}  // namespace carobmast::scheduler
