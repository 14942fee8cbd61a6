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

// New ids beyond this number only count towards the total.
constexpr std::size_t kMaxCountedIds = 200'000;
// Number of answers that LatencyP99() covers.
constexpr std::size_t kMaxRecentLatencies = 256;
constexpr Duration kMaxRunTime = std::chrono::minutes(1);

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

// The run time in the query, at most kMaxRunTime, or `fallback`.
Duration RunTimeOf(const ServerRequest& request, Duration fallback) {
  const std::string text = request.QueryOr("ms", "");
  std::uint32_t milliseconds = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (parsed.ec != std::errc()) return fallback;
  return std::min<Duration>(std::chrono::milliseconds(milliseconds),
                            kMaxRunTime);
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
  State(asio::any_io_executor server_executor, TargetOptions target_options)
      : executor(std::move(server_executor)),
        options(std::move(target_options)),
        random(options.seed) {}

  Duration DrawRunTime() {
    std::exponential_distribution<double> draw(1.0);
    const double nanoseconds =
        draw(random) * static_cast<double>(options.mean_run.count());
    return std::min(Duration(std::llround(nanoseconds)), kMaxRunTime);
  }

  // Waits for a free slot, in order of arrival.
  asio::awaitable<void> AcquireSlot() {
    if (used_slots < options.slots) {
      ++used_slots;
      co_return;
    }
    asio::steady_timer slot_granted(executor, MonotonicTime::max());
    waiting_requests.push_back(&slot_granted);
    boost::system::error_code cancelled;
    co_await slot_granted.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }

  // Passes the slot to the request that has waited longest, if any.
  void ReleaseSlot() {
    if (waiting_requests.empty()) {
      --used_slots;
      return;
    }
    asio::steady_timer* next = waiting_requests.front();
    waiting_requests.pop_front();
    next->cancel();
  }

  void RecordLatency(Duration latency) {
    latencies.push_back(latency);
    if (latencies.size() > kMaxRecentLatencies) latencies.pop_front();
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
    co_await self->AcquireSlot();
    self->options.request_counter->Add(request.Header("x-request-id"));
    co_await Sleep(RunTimeOf(request, self->DrawRunTime()) +
                   self->faults.added_latency);
    self->ReleaseSlot();
    self->RecordLatency(MonotonicClock::now() - started);
    co_return ServerAnswer{
        .body = self->Echo(request),
        .headers = {{"x-request-id", request.Header("x-request-id")}},
        .cut_after_bytes = self->faults.cut_after_bytes};
  }

  asio::any_io_executor executor;
  TargetOptions options;
  TargetFaults faults;
  std::mt19937_64 random;
  std::uint32_t used_slots = 0;
  // Timers of the requests that wait for a slot, oldest first. Cancelling a
  // timer grants the slot.
  std::deque<asio::steady_timer*> waiting_requests;
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
