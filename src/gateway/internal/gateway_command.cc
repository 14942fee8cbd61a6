#include "gateway/gateway_command.h"

#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <optional>
#include <random>
#include <utility>

#include "config/follower.h"
#include "framework/base/error.h"
#include "gateway/gateway.h"
#include "gateway/gateway_metrics.h"
#include "gateway/request_tracer.h"
#include "platform/http_platform.h"

namespace carobmast::gateway {

namespace asio = boost::asio;

namespace {

constexpr char kSummary[] =
    "Run the gateway of an entry VM: pass callers' requests to services";

// All parts of one gateway process.
class Process {
 public:
  Process(daemon::DaemonSettings settings, const GatewaySettings& own)
      : daemon_(std::move(settings)),
        client_(MakeRef<net::HttpClient>(daemon_.executor(),
                                         net::HttpClientOptions{})),
        tracer_(daemon_.tracer(), daemon_.metrics()),
        gateway_(daemon_, own,
                 platform::MakeHttpLogService(client_,
                                              daemon_.settings().log_service),
                 tracer_.MakeHooks()),
        follower_(MakeFollower()) {
    daemon_.AddCall(config::kHeadCall, [this](std::string request) {
      return follower_->AnswerHead(std::move(request));
    });
    daemon_.AddCall(config::kFetchCall, [this](std::string request) {
      return follower_->AnswerFetch(std::move(request));
    });
    daemon_.AddMetricsUpdate([this]() {
      UpdateMetrics(daemon_.metrics(), gateway_.front().core());
    });
    daemon_.AddStop([this](Duration) -> asio::awaitable<void> {
      follower_->Stop();
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
  Ref<config::ConfigFollower> MakeFollower() {
    const daemon::DaemonSettings& settings = daemon_.settings();
    config::FollowerCoreOptions core{.name = settings.name,
                                     .zone = settings.zone,
                                     .seed = std::random_device()()};
    for (const daemon::PeerSettings& peer : settings.peers) {
      core.peers.push_back({.name = peer.name, .zone = peer.zone});
    }
    core.on_in_force = [this](const config::InForceSet& in_force) {
      gateway_.SetObjects(in_force.set.objects());
    };
    return MakeRef<config::ConfigFollower>(
        daemon_.executor(),
        config::ConfigFollowerOptions{
            .core = std::move(core),
            .log = platform::MakeHttpLogService(client_, settings.log_service),
            .call_peer = [this](std::size_t peer, std::string method,
                                std::string request, Duration timeout) {
              const net::Address link = daemon_.settings().peers[peer].link;
              return daemon_.Peer(link)->Call(std::move(method),
                                              std::move(request), timeout);
            }});
  }

  daemon::Daemon daemon_;
  Ref<net::HttpClient> client_;
  RequestTracer tracer_;
  Gateway gateway_;
  Ref<config::ConfigFollower> follower_;
};

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine line(kSummary, ' ', cli::Version());
  TCLAP::ValueArg<std::string> file("s", "settings", "Settings file (YAML)",
                                    true, "", "FILE", line);
  const std::optional<cli::ExitCode> end =
      cli::ParseArguments(line, "gateway", args);
  if (end.has_value()) return *end;
  daemon::DaemonSettings daemon_settings;
  GatewaySettings own;
  try {
    settings::SettingsReader reader =
        settings::SettingsReader::Load(file.getValue());
    daemon_settings = daemon::ReadDaemonSettings(reader);
    own = ReadGatewaySettings(reader);
    reader.Finish();
  } catch (const Error& error) {
    std::cerr << error.what() << "\n";
    return cli::ExitCode::kUsage;
  }
  Process process(std::move(daemon_settings), own);
  return process.Run() == 0 ? cli::ExitCode::kDone : cli::ExitCode::kRefused;
}

}  // namespace

cli::Command GatewayCommand() {
  return {.name = "gateway", .summary = kSummary, .run = Run};
}

}  // namespace carobmast::gateway
