#include "measure/gateway_measure.h"

#include <pthread.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "framework/net/http_client.h"
#include "framework/net/http_server.h"
#include "gateway/http_front.h"

namespace carobmast::measure {

namespace asio = boost::asio;

namespace {

constexpr char kService[] = "echo";
constexpr std::uint32_t kSlots = 512;

struct Load {
  // Concurrent callers; each has one request in flight at a time.
  std::size_t callers = 16;
  std::size_t requests = 50000;
  std::size_t body = 200;
};

struct Outcome {
  double per_second = 0;
  Duration p50 = Duration::zero();
  Duration p99 = Duration::zero();
  std::size_t failed = 0;
};

// Runs an event loop in a separate thread.
class LoopThread {
 public:
  LoopThread() : thread_([this] { context_.run(); }) {}
  ~LoopThread() { Stop(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  // Stops the loop and joins the thread. Objects that use the loop may be
  // destroyed afterwards.
  void Stop() {
    context_.stop();
    if (thread_.joinable()) thread_.join();
  }

  asio::any_io_executor executor() { return context_.get_executor(); }

  // Returns the processor time that the thread has used.
  Duration ProcessorTime() {
    clockid_t clock{};
    pthread_getcpuclockid(thread_.native_handle(), &clock);
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  }

 private:
  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_ =
      asio::make_work_guard(context_);
  std::thread thread_;
};

asio::awaitable<net::ServerAnswer> EchoBody(net::ServerRequest request) {
  co_return net::ServerAnswer{.body = std::move(request.body)};
}

// Closed-loop callers that send their requests to one address.
class Callers {
 public:
  Callers(const Load& load, const net::Address& address)
      : load_(load),
        address_(address),
        client_(MakeRef<net::HttpClient>(
            context_.get_executor(),
            net::HttpClientOptions{.max_idle_connections = load.callers})) {}

  Outcome Run() {
    latencies_.reserve(load_.requests);
    const MonotonicTime begin = MonotonicClock::now();
    for (std::size_t i = 0; i < load_.callers; ++i) {
      asio::co_spawn(context_, RunCaller(), asio::detached);
    }
    context_.run();
    const std::chrono::duration<double> elapsed = MonotonicClock::now() - begin;
    std::sort(latencies_.begin(), latencies_.end());
    Outcome outcome{.failed = failed_};
    if (latencies_.empty()) return outcome;
    outcome.per_second =
        static_cast<double>(latencies_.size()) / elapsed.count();
    outcome.p50 = latencies_[latencies_.size() / 2];
    outcome.p99 = latencies_[latencies_.size() * 99 / 100];
    return outcome;
  }

 private:
  asio::awaitable<void> RunCaller() {
    while (sent_ < load_.requests) {
      ++sent_;
      net::HttpCall call{.method = "PUT",
                         .target = std::string("/") + kService + "/x",
                         .body = std::string(load_.body, 'x')};
      const MonotonicTime begin = MonotonicClock::now();
      const net::HttpAnswer answer =
          co_await client_->Call(address_, std::move(call));
      if (answer.status != 200 || answer.body.size() != load_.body) {
        ++failed_;
        continue;
      }
      latencies_.push_back(MonotonicClock::now() - begin);
    }
  }

  Load load_;
  net::Address address_;
  asio::io_context context_{1};
  Ref<net::HttpClient> client_;
  std::size_t sent_ = 0;
  std::size_t failed_ = 0;
  std::vector<Duration> latencies_;
};

double Microseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

void Print(const char* name, const Outcome& outcome) {
  std::printf(
      "%s: {requests_per_second: %.0f, p50_us: %.1f, p99_us: %.1f, "
      "failed: %zu}\n",
      name, outcome.per_second, Microseconds(outcome.p50),
      Microseconds(outcome.p99), outcome.failed);
}

void Measure(const Load& load) {
  LoopThread target_thread;
  LoopThread gateway_thread;
  Ref<net::HttpServer> target = MakeRef<net::HttpServer>(
      target_thread.executor(),
      net::HttpServerOptions{.listen = {.ip = "127.0.0.1", .port = 0},
                             .handler = EchoBody});
  gateway::HttpFrontOptions options;
  options.callers.listen = {.ip = "127.0.0.1", .port = 0};
  options.core.gateway = "measured";
  options.core.zone = "local";
  options.core.policy = "least_outstanding";
  gateway::HttpFront front(gateway_thread.executor(), std::move(options));
  const MonotonicTime now = MonotonicClock::now();
  front.core().SetServices(
      {{.name = kService, .deadline = std::chrono::seconds(5)}}, now);
  front.core().SetInstances({{.service = kService,
                              .name = "echo/0",
                              .address = target->address().ToString(),
                              .zone = "local",
                              .slots = kSlots,
                              .connections = kSlots}},
                            now);
  front.Start();

  const Outcome direct = Callers(load, target->address()).Run();
  const Duration used_before = gateway_thread.ProcessorTime();
  const Outcome via_gateway = Callers(load, front.callers().address()).Run();
  const Duration used = gateway_thread.ProcessorTime() - used_before;
  gateway_thread.Stop();
  target_thread.Stop();
  std::printf("callers: %zu\nrequests: %zu\nbody_bytes: %zu\n", load.callers,
              load.requests, load.body);
  Print("direct", direct);
  Print("through_gateway", via_gateway);
  std::printf(
      "ratios: {requests_per_second: %.2f, p50: %.2f, p99: %.2f}\n"
      "gateway_processor_us_per_request: %.1f\n",
      via_gateway.per_second / direct.per_second,
      Microseconds(via_gateway.p50) / Microseconds(direct.p50),
      Microseconds(via_gateway.p99) / Microseconds(direct.p99),
      Microseconds(used) / static_cast<double>(load.requests));
  std::fflush(stdout);
}

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Measures the gateway over loopback", ' ',
                      cli::Version());
  const Load defaults;
  TCLAP::ValueArg<std::size_t> callers("c", "callers", "Concurrent callers",
                                       false, defaults.callers, "N", line);
  TCLAP::ValueArg<std::size_t> requests("r", "requests",
                                        "Number of requests in each run", false,
                                        defaults.requests, "N", line);
  TCLAP::ValueArg<std::size_t> body("b", "body", "Size of each body in bytes",
                                    false, defaults.body, "BYTES", line);
  const std::optional<cli::ExitCode> end =
      cli::ParseArguments(line, "gateway", args);
  if (end.has_value()) return *end;
  Measure({.callers = std::clamp<std::size_t>(callers.getValue(), 1, kSlots),
           .requests = std::max<std::size_t>(requests.getValue(), 1),
           .body = body.getValue()});
  return cli::ExitCode::kDone;
}

}  // namespace

cli::Command GatewayCommand() {
  return {.name = "gateway",
          .summary = "the gateway compared with direct calls",
          .run = Run};
}

}  // namespace carobmast::measure
