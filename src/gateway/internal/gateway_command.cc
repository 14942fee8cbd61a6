#include "gateway/gateway_command.h"

#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <utility>

#include "config/daemon_follower.h"
#include "contracts/http_services.h"
#include "framework/daemon/daemon_command.h"
#include "gateway/gateway.h"
#include "gateway/gateway_metrics.h"
#include "gateway/request_tracer.h"

namespace carobmast::gateway {

namespace asio = boost::asio;

namespace {

constexpr char kSummary[] =
    "Run the gateway of an entry VM: pass callers' requests to services";

// Owns and connects the components of a gateway process.
class GatewayProcess {
 public:
  GatewayProcess(daemon::DaemonSettings settings,
                 const GatewaySettings& gateway_settings)
      : daemon_(std::move(settings)),
        client_(MakeRef<net::HttpClient>(daemon_.executor(),
                                         net::HttpClientOptions{})),
        tracer_(daemon_.tracer(), daemon_.metrics()),
        gateway_(daemon_, gateway_settings,
                 contracts::MakeHttpLogService(client_,
                                               daemon_.settings().log_service),
                 tracer_.MakeHooks()),
        follower_(config::MakeDaemonFollower(
            daemon_, client_, [this](const config::InForceSet& in_force) {
              gateway_.SetObjects(in_force.set.objects());
            })) {
    daemon_.AddRoute(
        "GET /status",
        [this](net::ServerRequest) -> asio::awaitable<net::ServerAnswer> {
          co_return net::ServerAnswer{.body = boost::json::serialize(Status())};
        });
    daemon_.AddMetricsUpdate([this]() {
      UpdateMetrics(daemon_.metrics(), gateway_.front().core());
    });
    daemon_.AddStopHandler([this](Duration) -> asio::awaitable<void> {
      client_->Close();
      co_return;
    });
  }

  int Run() {
    return daemon_.Run([this]() -> asio::awaitable<void> {
      follower_->Start();
      gateway_.Start();
      std::cout << daemon_.settings().name << " serves callers="
                << gateway_.front().callers().address().ToString() << std::endl;
      co_return;
    });
  }

 private:
  boost::json::object Status() {
    const requests::RequestCore& core = gateway_.front().core();
    return {{"name", daemon_.settings().name},
            {"zone", daemon_.settings().zone},
            {"open_instances", core.open_instances()},
            {"requests_in_flight", core.in_flight()},
            {"requests", core.counters().requests},
            {"answered", core.counters().answered},
            {"config", follower_->Status()}};
  }

  daemon::Daemon daemon_;
  Ref<net::HttpClient> client_;
  RequestTracer tracer_;
  Gateway gateway_;
  Ref<config::ConfigFollower> follower_;
};

int Run(daemon::DaemonSettings settings, settings::SettingsReader& reader) {
  const GatewaySettings gateway_settings = ReadGatewaySettings(reader);
  reader.Finish();
  return GatewayProcess(std::move(settings), gateway_settings).Run();
}

}  // namespace

cli::Command GatewayCommand() {
  return daemon::MakeDaemonCommand("gateway", kSummary, Run);
}

}  // namespace carobmast::gateway
