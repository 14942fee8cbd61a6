#include "config/daemon_follower.h"

#include <random>
#include <utility>

#include "contracts/http_services.h"
#include "framework/telemetry/log.h"

namespace carobmast::config {

namespace asio = boost::asio;

namespace {

FollowerCoreOptions MakeCoreOptions(
    const daemon::DaemonSettings& settings,
    std::function<void(const InForceSet&)> on_in_force) {
  FollowerCoreOptions core{.name = settings.name,
                           .zone = settings.zone,
                           .seed = std::random_device()()};
  for (const daemon::PeerSettings& peer : settings.peers) {
    core.peers.push_back({.name = peer.name, .zone = peer.zone});
  }
  core.on_in_force = [on_in_force = std::move(on_in_force),
                      log = telemetry::Log("config")](const InForceSet& set) {
    log.Info("set in force", {{"offset", set.head.offset},
                              {"digest", set.head.digest},
                              {"whole", set.whole}});
    on_in_force(set);
  };
  return core;
}

}  // namespace

Ref<ConfigFollower> MakeDaemonFollower(
    daemon::Daemon& daemon, const Ref<net::HttpClient>& client,
    std::function<void(const InForceSet&)> on_in_force) {
  const daemon::DaemonSettings& settings = daemon.settings();
  Ref<ConfigFollower> follower = MakeRef<ConfigFollower>(
      daemon.executor(),
      ConfigFollowerOptions{
          .core = MakeCoreOptions(settings, std::move(on_in_force)),
          .log = contracts::MakeHttpLogService(client, settings.log_service),
          .call_peer =
              [&daemon](std::size_t peer, std::string method,
                        std::string request, Duration timeout) {
                const net::Address link = daemon.settings().peers[peer].link;
                return daemon.Peer(link)->Call(std::move(method),
                                               std::move(request), timeout);
              },
          .on_compaction_failed =
              [log = telemetry::Log("config")](const std::string& reason) {
                log.Warn("compaction failed", {{"reason", reason}});
              }});
  daemon.AddCall(kHeadCall, [follower](std::string request) {
    return follower->AnswerHead(std::move(request));
  });
  daemon.AddCall(kFetchCall, [follower](std::string request) {
    return follower->AnswerFetch(std::move(request));
  });
  daemon.AddStopHandler([follower](Duration) -> asio::awaitable<void> {
    follower->Stop();
    co_return;
  });
  return follower;
}

}  // namespace carobmast::config
