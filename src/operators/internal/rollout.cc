#include "operators/internal/rollout.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "framework/base/error.h"
#include "framework/base/json.h"

namespace carobmast::operators::internal {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr char kErrorStep[] = "status";
constexpr Duration kPollInterval = std::chrono::milliseconds(500);

json::array ToArray(const std::vector<std::string>& names) {
  json::array array;
  for (const std::string& name : names) array.emplace_back(name);
  return array;
}

void ReadPeer(const JsonReader& peer, contracts::Offset offset,
              RolloutState& state) {
  const std::string name = peer.String("name");
  if (!peer.Has("head") || !peer.Bool("reachable")) {
    state.behind.push_back(name + " (not reached)");
    return;
  }
  const contracts::Offset peer_offset = peer.Object("head").Unsigned("offset");
  if (peer_offset >= offset) {
    state.in_force.push_back(name);
  } else {
    state.behind.push_back(name + " (offset " + std::to_string(peer_offset) +
                           ")");
  }
}

RolloutState ParseStatus(const net::HttpAnswer& answer,
                         const net::Address& scheduler,
                         contracts::Offset offset) {
  const std::string peer = scheduler.ToString();
  if (answer.outcome != net::CallOutcome::kAnswered) {
    throw Error(kErrorStep, peer, answer.error);
  }
  if (answer.status != 200) {
    throw Error(kErrorStep, peer,
                "HTTP status " + std::to_string(answer.status));
  }
  const JsonReader status = JsonReader::Parse(answer.body, kErrorStep, peer);
  return ParseRollout(status.Object("config").object(), offset);
}

}  // namespace

RolloutState ParseRollout(const json::object& config_status,
                          contracts::Offset offset) {
  const JsonReader config(config_status, kErrorStep, "scheduler");
  RolloutState state;
  const contracts::Offset scheduler_offset =
      config.Object("in_force").Unsigned("offset");
  if (scheduler_offset >= offset) {
    state.in_force.push_back("the scheduler asked");
  } else {
    state.behind.push_back("the scheduler asked (offset " +
                           std::to_string(scheduler_offset) + ")");
  }
  for (const json::value& peer : config.Array("peers")) {
    ReadPeer(config.Element(peer), offset, state);
  }
  state.complete = state.behind.empty();
  return state;
}

asio::awaitable<RolloutState> WaitForRollout(net::HttpClient* client,
                                             net::Address scheduler,
                                             contracts::Offset offset,
                                             Duration timeout) {
  const MonotonicTime deadline = MonotonicClock::now() + timeout;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  RolloutState state;
  for (;;) {
    net::HttpCall call;
    call.target = "/status";
    const net::HttpAnswer answer =
        co_await client->Call(scheduler, std::move(call));
    try {
      state = ParseStatus(answer, scheduler, offset);
    } catch (const Error& error) {
      state = RolloutState{.error = error.what()};
    }
    if (state.complete || MonotonicClock::now() >= deadline) co_return state;
    timer.expires_after(kPollInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void AddRollout(const RolloutState& state, json::object& report) {
  json::object rollout{{"complete", state.complete},
                       {"in_force", ToArray(state.in_force)},
                       {"behind", ToArray(state.behind)}};
  if (!state.error.empty()) rollout["error"] = state.error;
  report["rollout"] = std::move(rollout);
}

}  // namespace carobmast::operators::internal
