#include "standin/target.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <deque>
#include <random>
#include <utility>
#include <vector>

namespace carobmast::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using net::ServerAnswer;
using net::ServerRequest;

namespace {

constexpr std::size_t kMaxCountedIds = 200'000;
constexpr std::size_t kKeptLatencies = 256;
constexpr Duration kMaxRun = std::chrono::minutes(1);

asio::awaitable<void> Pause(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

// The run time that the query gives, or `fallback`.
Duration RunTimeOf(const ServerRequest& request, Duration fallback) {
  const std::string text = request.QueryOr("ms", "");
  std::uint32_t milliseconds = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (parsed.ec != std::errc()) return fallback;
  return std::min<Duration>(std::chrono::milliseconds(milliseconds), kMaxRun);
}

}  // namespace

void RequestCounter::Add(const std::string& request_id) {
  ++total_;
  if (request_id.empty()) return;
  const auto found = runs_.find(request_id);
  if (found != runs_.end()) {
    ++found->second;
  } else if (runs_.size() < kMaxCountedIds) {
    runs_[request_id] = 1;
  }
}

// Shared by the listener and the requests in flight.
struct Target::State : RefCounted<Target::State> {
  State(asio::any_io_executor used_executor, TargetOptions target_options)
      : executor(std::move(used_executor)),
        options(std::move(target_options)),
        random(options.seed) {}

  Duration DrawRun() {
    std::exponential_distribution<double> draw(1.0);
    const double nanoseconds =
        draw(random) * static_cast<double>(options.mean_run.count());
    return std::min(Duration(std::llround(nanoseconds)), kMaxRun);
  }

  asio::awaitable<void> TakeSlot() {
    if (taken < options.slots) {
      ++taken;
      co_return;
    }
    asio::steady_timer turn(executor, MonotonicTime::max());
    waiting.push_back(&turn);
    boost::system::error_code cancelled;
    co_await turn.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }

  // Hands the slot to the request that waits longest.
  void GiveSlot() {
    if (waiting.empty()) {
      --taken;
      return;
    }
    asio::steady_timer* next = waiting.front();
    waiting.pop_front();
    next->cancel();
  }

  void NoteLatency(Duration latency) {
    latencies.push_back(latency);
    if (latencies.size() > kKeptLatencies) latencies.pop_front();
  }

  ServerAnswer Refuse() const {
    return {.status = 503,
            .body = "{\"error\":\"the target refuses\"}",
            .headers = {{"carobmast-ran", "no"}}};
  }

  std::string Echo(const ServerRequest& request) const {
    return json::serialize(
        json::object{{"instance", options.instance},
                     {"method", request.method},
                     {"path", request.path},
                     {"query", request.query},
                     {"request_id", request.Header("x-request-id")},
                     {"body", request.body}});
  }

  static asio::awaitable<ServerAnswer> Serve(Ref<State> self,
                                             ServerRequest request) {
    if (self->faults.refusing) co_return self->Refuse();
    const MonotonicTime started = MonotonicClock::now();
    co_await self->TakeSlot();
    self->options.request_counter->Add(request.Header("x-request-id"));
    co_await Pause(RunTimeOf(request, self->DrawRun()) +
                   self->faults.added_latency);
    self->GiveSlot();
    self->NoteLatency(MonotonicClock::now() - started);
    co_return ServerAnswer{
        .body = self->Echo(request),
        .headers = {{"x-request-id", request.Header("x-request-id")}},
        .cut_after_bytes = self->faults.cut_after_bytes};
  }

  asio::any_io_executor executor;
  TargetOptions options;
  TargetFaults faults;
  std::mt19937_64 random;
  std::uint32_t taken = 0;
  std::deque<asio::steady_timer*> waiting;
  std::deque<Duration> latencies;
};

Target::Target(asio::any_io_executor executor, TargetOptions options)
    : state_(MakeRef<State>(executor, std::move(options))) {
  const Ref<State> state = state_;
  server_ = MakeRef<net::HttpServer>(
      executor, net::HttpServerOptions{
                    .listen = state->options.listen,
                    .handler =
                        [state](ServerRequest request) {
                          return State::Serve(state, std::move(request));
                        },
                    .max_connections = state->options.connections});
}

Target::~Target() = default;

net::Address Target::address() const { return server_->address(); }

TargetFaults& Target::faults() { return state_->faults; }

Duration Target::LatencyP99() const {
  std::vector<Duration> sorted(state_->latencies.begin(),
                               state_->latencies.end());
  if (sorted.empty()) return Duration::zero();
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() * 99 / 100];
}

asio::awaitable<void> Target::Stop(Duration grace) {
  const Ref<Target> self(this);
  co_await self->server_->Stop(grace);
}

}  // namespace carobmast::standin
