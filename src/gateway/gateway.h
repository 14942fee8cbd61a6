// The gateway of one entry VM: the data path, fed with the configuration in
// force, with instances from schedulers and with slots of other gateways.
#ifndef CAROBMAST_GATEWAY_GATEWAY_H_
#define CAROBMAST_GATEWAY_GATEWAY_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>

#include "config/types/objects.h"
#include "contracts/log_service.h"
#include "framework/daemon/daemon.h"
#include "framework/settings/settings.h"
#include "framework/telemetry/log.h"
#include "gateway/http_front.h"
#include "requests/endpoint_table.h"
#include "requests/key_claims.h"

namespace carobmast::gateway {

// The settings that only a gateway has.
struct GatewaySettings {
  // Where callers reach it.
  net::Address callers_address;
  std::string policy = "least_outstanding";
  std::size_t max_connections = 4096;
  ByteCount max_head{16 * 1024};
  // Longer bodies are passed on while they arrive, and never sent twice.
  ByteCount retry_body{64 * 1024};
  Duration idle_timeout = std::chrono::seconds(30);
  // How long an Idempotency-Key is remembered; shorter than the log keeps its
  // records.
  Duration key_window = std::chrono::hours(1);
};

// Reads callers_address, policy, max_connections, max_head, retry_body,
// idle_timeout and key_window.
GatewaySettings ReadGatewaySettings(settings::SettingsReader& reader);

class Gateway {
 public:
  // Adds its calls, readiness tests and stop to the daemon. Throws Error when
  // the callers' address is taken.
  Gateway(daemon::Daemon& daemon, const GatewaySettings& settings,
          contracts::LogService log, const TraceHooks& trace);

  // The configuration in force.
  void SetObjects(const config::Objects& objects);

  // Begins to serve callers and to ask peers.
  void Start();

  HttpFront& front() { return front_; }

 private:
  enum class PeerRole { kUnknown, kScheduler, kGateway };
  struct Peer {
    daemon::PeerSettings settings;
    PeerRole role = PeerRole::kUnknown;
    std::uint64_t known_version = 0;
    std::uint32_t failures = 0;
    // A gateway that answers.
    bool reachable = false;
  };

  HttpFrontOptions MakeFrontOptions(const GatewaySettings& settings,
                                    const TraceHooks& trace);
  requests::KeyClaimsHooks MakeClaimHooks();
  boost::asio::awaitable<void> AppendClaimRecords(
      contracts::AppendRequest request);
  boost::asio::awaitable<void> ReadClaimRecords(contracts::ReadRequest request);
  boost::asio::awaitable<void> RunClaimsTimer();
  // Lets the timer of RunClaims look again.
  void ScheduleClaimsTick();
  boost::asio::awaitable<void> PollPeer(Peer& peer);
  boost::asio::awaitable<bool> GetEndpoints(Peer& peer);
  boost::asio::awaitable<bool> GetHello(Peer& peer);
  void SetReachable(Peer& peer, bool reachable);
  void SendToPeer(const std::string& peer,
                  const requests::PeerMessage& message);
  boost::asio::awaitable<void> CallSlots(std::string peer,
                                         requests::PeerMessage message);
  std::string HandleSlotsCall(const std::string& request);

  daemon::Daemon& daemon_;
  contracts::LogService log_service_;
  requests::KeyClaims claims_;
  boost::asio::steady_timer claims_timer_;
  HttpFront front_;
  requests::EndpointTable endpoints_;
  // By name.
  std::map<std::string, Peer> peers_;
  // While a peer's call is handled: what the core tells that peer.
  requests::PeerMessage* slots_reply_ = nullptr;
  bool configured_ = false;
  bool running_ = false;
  telemetry::Log logger_{"gateway"};
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_GATEWAY_H_
