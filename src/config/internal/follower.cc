#include "config/follower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "config/peer_codec.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// Number of concurrent calls to peers.
constexpr int kPeerCalls = 4;
constexpr Duration kCompactionCheck = std::chrono::seconds(10);

WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

json::object HeadToJson(const Head& head) {
  return {{"offset", head.offset},
          {"digest", head.digest},
          {"through", head.through},
          {"rules", head.rules}};
}

json::object CountersToJson(const FollowerCounters& counters) {
  return {{"records_accepted", counters.records_accepted},
          {"records_refused", counters.records_refused},
          {"log_errors", counters.log_errors},
          {"peer_errors", counters.peer_errors},
          {"sets_from_peers", counters.sets_from_peers},
          {"compactions_written", counters.compactions_written},
          {"digest_conflicts", counters.digest_conflicts}};
}

}  // namespace

struct ConfigFollower::Impl : RefCounted<Impl> {
  Impl(asio::any_io_executor e, ConfigFollowerOptions options)
      : executor(std::move(e)),
        core(std::move(options.core), MonotonicClock::now()),
        log(std::move(options.log)),
        call_peer(std::move(options.call_peer)),
        on_compaction_failed(std::move(options.on_compaction_failed)) {}

  asio::any_io_executor executor;
  FollowerCore core;
  contracts::LogService log;
  CallPeer call_peer;
  std::function<void(const std::string& reason)> on_compaction_failed;
  // Timers of the sleeping loops, which Stop cancels.
  std::vector<asio::steady_timer*> sleep_timers;
  bool stopping = false;

  asio::awaitable<void> SleepUntil(MonotonicTime at);
  asio::awaitable<void> LogLoop(Ref<Impl> self);
  asio::awaitable<void> PeerLoop(Ref<Impl> self);
  asio::awaitable<void> CompactionLoop(Ref<Impl> self);
  asio::awaitable<void> ReadLog(contracts::ReadRequest request);
  asio::awaitable<void> CallHead(std::size_t peer);
  asio::awaitable<void> CallFetch(std::size_t peer, FetchRequest request);
  asio::awaitable<bool> Append(std::vector<contracts::NewRecord> records);
};

asio::awaitable<void> ConfigFollower::Impl::SleepUntil(MonotonicTime at) {
  asio::steady_timer timer(executor);
  timer.expires_at(at);
  sleep_timers.push_back(&timer);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  std::erase(sleep_timers, &timer);
}

asio::awaitable<void> ConfigFollower::Impl::ReadLog(
    contracts::ReadRequest request) {
  const contracts::Offset from = request.from;
  contracts::ReadAnswer answer;
  try {
    answer = co_await log.read(std::move(request));
  } catch (const std::exception&) {
    if (stopping) co_return;
    core.OnLogError(MonotonicClock::now());
    co_return;
  }
  if (stopping) co_return;
  core.OnLogAnswer(MonotonicClock::now(), from, answer);
}

asio::awaitable<void> ConfigFollower::Impl::LogLoop(Ref<Impl> self) {
  while (!stopping) {
    LogStep step = core.NextLogRead(MonotonicClock::now());
    if (step.read.has_value()) {
      co_await ReadLog(std::move(*step.read));
    } else {
      co_await SleepUntil(step.at);
    }
  }
}

asio::awaitable<void> ConfigFollower::Impl::CallHead(std::size_t peer) {
  PeerHead answer;
  try {
    const PeerHead local =
        core.OnHeadRequest(MonotonicClock::now(), PeerHead{});
    const std::string text = co_await call_peer(
        peer, kHeadCall, EncodeHeadRequest(local), core.timing().peer_timeout);
    answer = DecodeHeadAnswer(text, "peer");
  } catch (const std::exception&) {
    if (stopping) co_return;
    core.OnPeerError(MonotonicClock::now(), peer);
    co_return;
  }
  if (stopping) co_return;
  core.OnPeerHead(MonotonicClock::now(), peer, answer);
}

asio::awaitable<void> ConfigFollower::Impl::CallFetch(std::size_t peer,
                                                      FetchRequest request) {
  FetchAnswer answer;
  try {
    const std::string text =
        co_await call_peer(peer, kFetchCall, EncodeFetchRequest(request),
                           core.timing().peer_timeout);
    answer = DecodeFetchAnswer(text, "peer");
  } catch (const std::exception&) {
    if (stopping) co_return;
    core.OnPeerError(MonotonicClock::now(), peer);
    co_return;
  }
  if (stopping) co_return;
  core.OnFetched(MonotonicClock::now(), peer, answer);
}

asio::awaitable<void> ConfigFollower::Impl::PeerLoop(Ref<Impl> self) {
  while (!stopping) {
    PeerStep step = core.NextPeerCall(MonotonicClock::now());
    switch (step.action) {
      case PeerStep::Action::kHead:
        co_await CallHead(step.peer);
        break;
      case PeerStep::Action::kFetch:
        co_await CallFetch(step.peer, std::move(step.fetch));
        break;
      case PeerStep::Action::kWait:
        co_await SleepUntil(step.at);
        break;
    }
  }
}

asio::awaitable<bool> ConfigFollower::Impl::Append(
    std::vector<contracts::NewRecord> records) {
  for (contracts::NewRecord& record : records) {
    contracts::AppendRequest request{.stream = contracts::kConfigStream};
    request.records.push_back(std::move(record));
    try {
      const contracts::AppendAnswer answer = co_await log.append(request);
      if (answer.outcome != contracts::AppendOutcome::kAppended) {
        on_compaction_failed(answer.error);
        co_return false;
      }
    } catch (const std::exception& error) {
      // Counts as a failed compaction, which the core plans again.
      on_compaction_failed(error.what());
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<void> ConfigFollower::Impl::CompactionLoop(Ref<Impl> self) {
  while (!stopping) {
    CompactionStep step = core.NextCompaction(MonotonicClock::now(), WallNow());
    if (step.records.empty()) {
      co_await SleepUntil(
          std::min(step.at, MonotonicClock::now() + kCompactionCheck));
      continue;
    }
    const bool appended = co_await Append(std::move(step.records));
    core.OnCompactionEnd(MonotonicClock::now(), appended);
  }
}

ConfigFollower::ConfigFollower(asio::any_io_executor executor,
                               ConfigFollowerOptions options)
    : impl_(MakeRef<Impl>(std::move(executor), std::move(options))) {}

ConfigFollower::~ConfigFollower() { Stop(); }

void ConfigFollower::Start() {
  asio::co_spawn(impl_->executor, impl_->LogLoop(impl_), asio::detached);
  asio::co_spawn(impl_->executor, impl_->CompactionLoop(impl_), asio::detached);
  for (int i = 0; i < kPeerCalls; ++i) {
    asio::co_spawn(impl_->executor, impl_->PeerLoop(impl_), asio::detached);
  }
}

void ConfigFollower::Stop() {
  impl_->stopping = true;
  for (asio::steady_timer* timer : impl_->sleep_timers) timer->cancel();
}

asio::awaitable<std::string> ConfigFollower::AnswerHead(std::string request) {
  const PeerHead decoded = DecodeHeadRequest(request, "peer");
  co_return EncodeHeadAnswer(
      impl_->core.OnHeadRequest(MonotonicClock::now(), decoded));
}

asio::awaitable<std::string> ConfigFollower::AnswerFetch(std::string request) {
  const FetchRequest decoded = DecodeFetchRequest(request, "peer");
  co_return EncodeFetchAnswer(impl_->core.OnFetchRequest(decoded));
}

bool ConfigFollower::in_force() const { return impl_->core.in_force(); }

Head ConfigFollower::head() const { return impl_->core.head(); }

const ObjectSet& ConfigFollower::set() const {
  return impl_->core.fold().set();
}

const FollowerCore& ConfigFollower::core() const { return impl_->core; }

json::object ConfigFollower::Status() const {
  json::object status;
  status["in_force"] = HeadToJson(impl_->core.head());
  status["objects"] = impl_->core.fold().set().size();
  status["log_answers"] = impl_->core.IsLogAvailable(MonotonicClock::now());
  const std::optional<Verdict>& stopped = impl_->core.fold().stopped();
  if (stopped.has_value()) {
    status["stopped_at"] = stopped->offset;
    status["stopped_reason"] = stopped->reason;
  }
  json::array peers;
  for (const PeerStatus& peer : impl_->core.Peers()) {
    json::object entry;
    entry["name"] = peer.peer.name;
    entry["zone"] = peer.peer.zone;
    entry["reachable"] = peer.reachable;
    if (peer.head.has_value()) entry["head"] = HeadToJson(*peer.head);
    peers.push_back(std::move(entry));
  }
  status["peers"] = std::move(peers);
  status["counters"] = CountersToJson(impl_->core.counters());
  return status;
}

}  // namespace carobmast::config
