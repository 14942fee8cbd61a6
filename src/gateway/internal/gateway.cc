#include "gateway/gateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <utility>

#include "framework/base/digest.h"
#include "framework/base/error.h"
#include "gateway/generated/gateway.pb.h"
#include "requests/generated/endpoints.pb.h"

namespace carobmast::gateway {

namespace asio = boost::asio;

namespace {

constexpr char kEndpointsCall[] = "endpoints.list";
constexpr char kHelloCall[] = "gateway.hello";
constexpr char kSlotsCall[] = "gateway.slots";
// Interval between two polls of a peer.
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
constexpr Duration kPollTimeout = std::chrono::seconds(1);
constexpr Duration kSlotsTimeout = std::chrono::milliseconds(50);
// A gateway counts as unreachable after so many failed polls in a row.
constexpr std::uint32_t kUnreachableFailures = 2;
constexpr std::int64_t kMaxConnections = 1'000'000;

proto::Slots ToProto(const std::string& from,
                     const requests::PeerMessage& message) {
  proto::Slots slots;
  slots.set_from(from);
  slots.set_verb(static_cast<proto::Slots::Verb>(message.verb));
  slots.set_service(message.service);
  slots.set_want(message.want);
  for (const requests::SlotCount& slot : message.slots) {
    proto::SlotCount& added = *slots.add_slots();
    added.set_instance(slot.instance);
    added.set_count(slot.count);
  }
  return slots;
}

requests::PeerMessage FromProto(const proto::Slots& slots) {
  requests::PeerMessage message{.service = slots.service(),
                                .want = slots.want()};
  switch (slots.verb()) {
    case proto::Slots::GRANT:
      message.verb = requests::PeerVerb::kGrant;
      break;
    case proto::Slots::RETURN:
      message.verb = requests::PeerVerb::kReturn;
      break;
    default:
      message.verb = requests::PeerVerb::kAsk;
  }
  for (const proto::SlotCount& slot : slots.slots()) {
    message.slots.push_back(
        {.instance = slot.instance(), .count = slot.count()});
  }
  return message;
}

template <typename Message>
Message Parse(const std::string& bytes, const char* call,
              const std::string& peer) {
  Message message;
  if (!message.ParseFromString(bytes)) {
    throw Error(call, peer, "the message is malformed");
  }
  return message;
}

std::vector<requests::CellInstances> CellListsOf(
    const requests::proto::EndpointsAnswer& answer) {
  std::map<std::string, requests::CellInstances> cells;
  for (const requests::proto::CellHead& head : answer.cells()) {
    cells[head.cell()] = {.cell = head.cell(), .token = head.token()};
  }
  for (const requests::proto::Endpoint& endpoint : answer.endpoints()) {
    requests::CellInstances& cell = cells[endpoint.cell()];
    cell.cell = endpoint.cell();
    cell.token = endpoint.token();
    cell.instances.push_back({.service = endpoint.service(),
                              .name = endpoint.instance(),
                              .address = endpoint.address(),
                              .zone = endpoint.zone(),
                              .slots = endpoint.slots(),
                              .connections = endpoint.connections(),
                              .leaving = endpoint.leaving()});
  }
  std::vector<requests::CellInstances> lists;
  lists.reserve(cells.size());
  for (auto& [name, cell] : cells) lists.push_back(std::move(cell));
  return lists;
}

}  // namespace

GatewaySettings ReadGatewaySettings(settings::SettingsReader& reader) {
  GatewaySettings settings;
  settings.callers_address = reader.Address("callers_address");
  settings.policy = reader.StringOr("policy", settings.policy);
  try {
    requests::MakePolicy(settings.policy);
  } catch (const Error& error) {
    reader.Fail("policy", error.reason());
  }
  settings.max_connections = static_cast<std::size_t>(
      reader.IntOr("max_connections", 1, kMaxConnections,
                   static_cast<std::int64_t>(settings.max_connections)));
  settings.max_head = reader.ByteCountOr("max_head", settings.max_head);
  settings.retry_body = reader.ByteCountOr("retry_body", settings.retry_body);
  settings.idle_timeout =
      reader.DurationOr("idle_timeout", settings.idle_timeout);
  settings.key_window = reader.DurationOr("key_window", settings.key_window);
  return settings;
}

Gateway::Gateway(daemon::Daemon& daemon, const GatewaySettings& settings,
                 contracts::LogService log, const TraceHooks& trace)
    : daemon_(daemon),
      log_service_(std::move(log)),
      claims_({.incarnation = RandomId(), .window = settings.key_window},
              MakeClaimHooks()),
      claims_timer_(daemon.executor()),
      front_(daemon.executor(), MakeFrontOptions(settings, trace)) {
  for (const daemon::PeerSettings& peer : daemon.settings().peers) {
    peers_[peer.name] = {.settings = peer};
  }
  daemon.AddCall(kHelloCall,
                 [this](std::string) -> asio::awaitable<std::string> {
                   proto::Hello hello;
                   hello.set_name(daemon_.settings().name);
                   hello.set_zone(daemon_.settings().zone);
                   co_return hello.SerializeAsString();
                 });
  daemon.AddCall(kSlotsCall,
                 [this](std::string request) -> asio::awaitable<std::string> {
                   co_return HandleSlotsCall(request);
                 });
  daemon.AddReadiness("configuration", [this] { return configured_; });
  daemon.AddReadiness("instances",
                      [this] { return front_.core().open_instances() > 0; });
  daemon.AddStopHandler([this](Duration grace) -> asio::awaitable<void> {
    co_await front_.Stop(grace);
    running_ = false;
    claims_timer_.cancel();
  });
}

HttpFrontOptions Gateway::MakeFrontOptions(const GatewaySettings& settings,
                                           const TraceHooks& trace) {
  HttpFrontOptions options;
  options.callers.listen = settings.callers_address;
  options.callers.max_connections = settings.max_connections;
  options.callers.max_head_bytes =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(
          settings.max_head.bytes, std::numeric_limits<std::uint32_t>::max()));
  options.callers.max_retry_body_bytes = settings.retry_body.bytes;
  options.callers.idle_timeout = settings.idle_timeout;
  options.targets.idle_timeout = settings.idle_timeout;
  options.core.gateway = daemon_.settings().name;
  options.core.zone = daemon_.settings().zone;
  options.core.policy = settings.policy;
  options.core.seed = std::random_device()();
  options.core.attempt_chart = daemon::ReadChart(daemon_.settings(), "attempt");
  options.core.connections.chart =
      daemon::ReadChart(daemon_.settings(), "connection");
  options.trace = trace;
  options.hooks.claim = [this](requests::RequestId id, const std::string& key) {
    claims_.Claim(id, key, MonotonicClock::now());
    ScheduleClaimsTick();
  };
  options.hooks.key_ended = [this](const std::string& key, requests::Ran ran) {
    claims_.OnKeyEnded(key, ran, MonotonicClock::now());
    ScheduleClaimsTick();
  };
  options.hooks.send_to_peer = [this](const std::string& peer,
                                      const requests::PeerMessage& message) {
    SendToPeer(peer, message);
  };
  return options;
}

void Gateway::SetObjects(const config::Objects& objects) {
  configured_ = true;
  front_.core().SetServices(requests::RulesOf(objects), MonotonicClock::now());
}

void Gateway::Start() {
  running_ = true;
  claims_.Start(MonotonicClock::now());
  asio::co_spawn(daemon_.executor(), RunClaimsTimer(), asio::detached);
  front_.Start();
  for (auto& [name, peer] : peers_) {
    asio::co_spawn(daemon_.executor(), PollPeer(peer), asio::detached);
  }
}

requests::KeyClaimsHooks Gateway::MakeClaimHooks() {
  requests::KeyClaimsHooks hooks;
  hooks.append = [this](const contracts::AppendRequest& request) {
    asio::co_spawn(daemon_.executor(), AppendClaimRecords(request),
                   asio::detached);
  };
  hooks.read = [this](const contracts::ReadRequest& request) {
    asio::co_spawn(daemon_.executor(), ReadClaimRecords(request),
                   asio::detached);
  };
  hooks.decided = [this](requests::RequestId id,
                         requests::ClaimOutcome outcome) {
    return front_.core().OnClaim(id, outcome, MonotonicClock::now());
  };
  return hooks;
}

asio::awaitable<void> Gateway::AppendClaimRecords(
    contracts::AppendRequest request) {
  const contracts::AppendAnswer answer = co_await log_service_.append(request);
  claims_.OnAppend(answer, MonotonicClock::now());
  ScheduleClaimsTick();
}

asio::awaitable<void> Gateway::ReadClaimRecords(
    contracts::ReadRequest request) {
  bool failed = false;
  try {
    const contracts::ReadAnswer answer = co_await log_service_.read(request);
    claims_.OnRead(answer, MonotonicClock::now());
  } catch (const Error&) {
    failed = true;
  }
  if (failed) claims_.OnReadFailed(MonotonicClock::now());
  ScheduleClaimsTick();
}

void Gateway::ScheduleClaimsTick() {
  claims_timer_.expires_at(claims_.NextWake().value_or(MonotonicTime::max()));
}

asio::awaitable<void> Gateway::RunClaimsTimer() {
  while (running_) {
    boost::system::error_code error;
    co_await claims_timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    // The wait was cancelled because another time was set.
    if (error) continue;
    claims_.Tick(MonotonicClock::now());
    ScheduleClaimsTick();
  }
}

// Finds out whether a peer is a scheduler or a gateway, then polls it as such:
// a scheduler for its endpoints, a gateway for whether it is reachable. A
// scheduler's last endpoints stay in use while it can't be reached.
asio::awaitable<void> Gateway::PollPeer(Peer& peer) {
  asio::steady_timer timer(daemon_.executor());
  while (running_) {
    bool answered = false;
    if (peer.role != PeerRole::kGateway) answered = co_await GetEndpoints(peer);
    if (peer.role != PeerRole::kScheduler) {
      answered = co_await GetHello(peer) || answered;
    }
    peer.failures = answered ? 0 : peer.failures + 1;
    if (peer.role == PeerRole::kGateway) {
      SetReachable(peer, peer.failures < kUnreachableFailures);
    }
    timer.expires_after(kPollInterval);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

asio::awaitable<bool> Gateway::GetEndpoints(Peer& peer) {
  requests::proto::EndpointsRequest request;
  request.set_known_version(peer.known_version);
  try {
    const std::string bytes =
        co_await daemon_.Peer(peer.settings.link)
            ->Call(kEndpointsCall, request.SerializeAsString(), kPollTimeout);
    const requests::proto::EndpointsAnswer answer =
        Parse<requests::proto::EndpointsAnswer>(bytes, kEndpointsCall,
                                                peer.settings.name);
    peer.role = PeerRole::kScheduler;
    peer.known_version = answer.version();
    if (!answer.unchanged() && endpoints_.Take(CellListsOf(answer))) {
      front_.core().SetInstances(endpoints_.All(), MonotonicClock::now());
    }
    co_return true;
  } catch (const Error&) {
    co_return false;
  }
}

asio::awaitable<bool> Gateway::GetHello(Peer& peer) {
  try {
    const std::string bytes = co_await daemon_.Peer(peer.settings.link)
                                  ->Call(kHelloCall, "", kPollTimeout);
    Parse<proto::Hello>(bytes, kHelloCall, peer.settings.name);
    peer.role = PeerRole::kGateway;
    co_return true;
  } catch (const Error&) {
    co_return false;
  }
}

void Gateway::SetReachable(Peer& peer, bool reachable) {
  if (peer.reachable == reachable) return;
  peer.reachable = reachable;
  logger_.Info("peer gateway", {{"peer", peer.settings.name},
                                {"state", reachable ? "reachable" : "silent"}});
  std::vector<requests::GatewayPeer> gateways;
  for (const auto& [name, other] : peers_) {
    if (!other.reachable) continue;
    gateways.push_back({.name = name, .zone = other.settings.zone});
  }
  front_.core().SetPeers(gateways, MonotonicClock::now());
}

void Gateway::SendToPeer(const std::string& peer,
                         const requests::PeerMessage& message) {
  // A grant is the answer to the call that is being handled.
  if (message.verb == requests::PeerVerb::kGrant) {
    if (slots_reply_ != nullptr) *slots_reply_ = message;
    return;
  }
  asio::co_spawn(daemon_.executor(), CallSlots(peer, message), asio::detached);
}

asio::awaitable<void> Gateway::CallSlots(std::string peer,
                                         requests::PeerMessage message) {
  // Errors need no handling: the core times out an ask without an answer, and
  // slots whose return was lost are reclaimed by their home gateway.
  try {
    const std::string bytes =
        co_await daemon_.Peer(peers_.at(peer).settings.link)
            ->Call(
                kSlotsCall,
                ToProto(daemon_.settings().name, message).SerializeAsString(),
                kSlotsTimeout);
    if (message.verb != requests::PeerVerb::kAsk) co_return;
    front_.core().OnPeerMessage(
        peer, FromProto(Parse<proto::Slots>(bytes, kSlotsCall, peer)),
        MonotonicClock::now());
  } catch (const Error&) {
  }
}

std::string Gateway::HandleSlotsCall(const std::string& request) {
  const proto::Slots slots = Parse<proto::Slots>(request, kSlotsCall, "a peer");
  requests::PeerMessage reply{.verb = requests::PeerVerb::kGrant,
                              .service = slots.service()};
  slots_reply_ = &reply;
  front_.core().OnPeerMessage(slots.from(), FromProto(slots),
                              MonotonicClock::now());
  slots_reply_ = nullptr;
  return ToProto(daemon_.settings().name, reply).SerializeAsString();
}

}  // namespace carobmast::gateway
