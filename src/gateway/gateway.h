// The gateway of one entry VM. It runs the HTTP data path and supplies it with
// the configuration in force, the instances that schedulers report, and the
// slots that other gateways lend.
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

// Settings specific to gateways.
struct GatewaySettings {
  // The address to listen on for callers.
  net::Address callers_address;
  // The load balancing policy, by name.
  std::string policy = "least_outstanding";
  // Connections of callers.
  std::size_t max_connections = 4096;
  // Largest head of a request.
  ByteCount max_head{16 * 1024};
  // Longer bodies are streamed to the instance, and such requests are never
  // sent twice.
  ByteCount retry_body{64 * 1024};
  Duration idle_timeout = std::chrono::seconds(30);
  // How long an Idempotency-Key is remembered; must be shorter than the log's
  // retention of records.
  Duration key_window = std::chrono::hours(1);
};

// Reads callers_address, policy, max_connections, max_head, retry_body,
// idle_timeout and key_window. Errors are reported through `reader`.
GatewaySettings ReadGatewaySettings(settings::SettingsReader& reader);

class Gateway {
 public:
  // Registers its calls, readiness checks and stop handler with `daemon`, which
  // must outlive this object. Throws Error (step "listen") when the callers'
  // address is in use.
  Gateway(daemon::Daemon& daemon, const GatewaySettings& settings,
          contracts::LogService log, const TraceHooks& trace);

  // Applies the configuration in force.
  void SetObjects(const config::Objects& objects);

  // Starts to serve callers and to poll peers.
  void Start();

  HttpFront& front() { return front_; }

 private:
  enum class PeerRole { kUnknown, kScheduler, kGateway };
  struct Peer {
    daemon::PeerSettings settings;
    PeerRole role = PeerRole::kUnknown;
    // Of a scheduler: the version of its last list of endpoints.
    std::uint64_t known_version = 0;
    // Polls in a row that failed.
    std::uint32_t failures = 0;
    // Whether it is a gateway that answers its polls.
    bool reachable = false;
  };

  HttpFrontOptions MakeFrontOptions(const GatewaySettings& settings,
                                    const TraceHooks& trace);
  requests::KeyClaimsHooks MakeClaimHooks();
  boost::asio::awaitable<void> AppendClaimRecords(
      contracts::AppendRequest request);
  boost::asio::awaitable<void> ReadClaimRecords(contracts::ReadRequest request);
  boost::asio::awaitable<void> RunClaimsTimer();
  // Sets the timer to the time at which `claims_` needs Tick next.
  void ScheduleClaimsTick();
  boost::asio::awaitable<void> PollPeer(Peer& peer);
  // These return whether the peer answered.
  boost::asio::awaitable<bool> GetEndpoints(Peer& peer);
  boost::asio::awaitable<bool> GetHello(Peer& peer);
  void SetReachable(Peer& peer, bool reachable);
  void SendToPeer(const std::string& peer,
                  const requests::PeerMessage& message);
  boost::asio::awaitable<void> CallSlots(std::string peer,
                                         requests::PeerMessage message);
  // Handles a call from another gateway and returns the answer to send.
  std::string HandleSlotsCall(const std::string& request);

  daemon::Daemon& daemon_;
  contracts::LogService log_service_;
  requests::KeyClaims claims_;
  boost::asio::steady_timer claims_timer_;
  HttpFront front_;
  requests::EndpointTable endpoints_;
  // By name. The set of peers is fixed after construction.
  std::map<std::string, Peer> peers_;
  // Receives the core's grant to a peer while that peer's call is handled, else
  // null.
  requests::PeerMessage* slots_reply_ = nullptr;
  bool configured_ = false;
  bool running_ = false;
  telemetry::Log logger_{"gateway"};
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_GATEWAY_H_
