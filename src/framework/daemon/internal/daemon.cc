#include "framework/daemon/daemon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <utility>

#include "framework/base/error.h"
#include "framework/telemetry/otlp_file.h"

namespace carobmast::daemon {

namespace asio = boost::asio;

namespace {

// Interval between exports of the buffered spans.
constexpr Duration kTraceExportInterval = std::chrono::seconds(1);

struct Readiness {
  std::string name;
  std::function<bool()> test;
};

net::ServerAnswer Text(int status, std::string body) {
  return {.status = status,
          .body = std::move(body) + "\n",
          .content_type = "text/plain"};
}

PeerSettings ReadPeer(settings::SettingsReader& reader) {
  PeerSettings peer;
  peer.name = reader.String("name");
  peer.zone = reader.String("zone");
  peer.link = reader.Address("link");
  reader.Finish();
  return peer;
}

telemetry::LogLevel ReadLogLevel(settings::SettingsReader& reader) {
  const std::string text = reader.StringOr("log_level", "info");
  if (text == "debug") return telemetry::LogLevel::kDebug;
  if (text == "info") return telemetry::LogLevel::kInfo;
  if (text == "warn") return telemetry::LogLevel::kWarn;
  if (text == "error") return telemetry::LogLevel::kError;
  reader.Fail("log_level",
              "expected debug, info, warn or error, found '" + text + "'");
}

}  // namespace

DaemonSettings ReadDaemonSettings(settings::SettingsReader& reader) {
  DaemonSettings settings;
  settings.name = reader.String("name");
  settings.zone = reader.String("zone");
  settings.operator_address = reader.Address("operator_address");
  settings.link_address = reader.Address("link_address");
  if (reader.Has("peers")) {
    for (settings::SettingsReader& peer : reader.MapList("peers")) {
      settings.peers.push_back(ReadPeer(peer));
    }
  }
  settings.log_service = reader.Address("log_service");
  settings.vm_list = reader.Address("vm_list");
  settings.stop_grace = reader.DurationOr("stop_grace", settings.stop_grace);
  settings.charts_folder = reader.StringOr("charts_folder", "");
  settings.log_file = reader.StringOr("log_file", "");
  settings.log_level = ReadLogLevel(reader);
  settings.trace_file = reader.StringOr("trace_file", "");
  if (reader.Has("trace_address")) {
    settings.trace_address = reader.Address("trace_address");
  }
  settings.trace_percent =
      reader.IntOr("trace_percent", 0, 100, settings.trace_percent);
  return settings;
}

std::string ReadChart(const DaemonSettings& settings, const std::string& name) {
  if (settings.charts_folder.empty()) return "";
  const std::filesystem::path path =
      std::filesystem::path(settings.charts_folder) / (name + ".yaml");
  if (!std::filesystem::exists(path)) return "";
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.good() || text.str().empty()) {
    throw Error("state chart", path.string(), "can't read the file");
  }
  return text.str();
}

struct Daemon::Impl {
  explicit Impl(DaemonSettings daemon_settings)
      : settings(std::move(daemon_settings)),
        signals(context, SIGTERM, SIGINT),
        trace_timer(context),
        spans({.path = settings.trace_file,
               .instance = settings.name,
               .zone = settings.zone}),
        tracer(MakeTracerOptions()),
        log("daemon") {}

  bool RecordsTraces() const {
    return !settings.trace_file.empty() || settings.trace_address.has_value();
  }

  telemetry::TracerOptions MakeTracerOptions() {
    telemetry::TracerOptions options;
    if (!RecordsTraces()) return options;
    options.sample_ratio = static_cast<double>(settings.trace_percent) / 100;
    options.sink = [this](telemetry::Span span) { spans.Add(std::move(span)); };
    return options;
  }

  asio::awaitable<net::ServerAnswer> Handle(net::ServerRequest request) {
    const auto route = routes.find(request.method + " " + request.path);
    if (route != routes.end()) {
      co_return co_await route->second(std::move(request));
    }
    co_return Text(404, "no such page: " + request.method + " " + request.path);
  }

  net::ServerAnswer Metrics() {
    for (const std::function<void()>& update : metrics_updates) update();
    return {.body = metrics.Expose(),
            .content_type = telemetry::MetricsRegistry::kContentType};
  }

  net::ServerAnswer Ready() const {
    if (stopping) return Text(503, "stopping");
    for (const Readiness& readiness : readiness_tests) {
      if (!readiness.test()) return Text(503, "not ready: " + readiness.name);
    }
    return Text(200, "ready");
  }

  void AddBuiltInRoutes() {
    routes["GET /healthz"] =
        [](net::ServerRequest) -> asio::awaitable<net::ServerAnswer> {
      co_return Text(200, "ok");
    };
    routes["GET /readyz"] =
        [this](net::ServerRequest) -> asio::awaitable<net::ServerAnswer> {
      co_return Ready();
    };
    routes["GET /metrics"] =
        [this](net::ServerRequest) -> asio::awaitable<net::ServerAnswer> {
      co_return Metrics();
    };
  }

  // Sends the buffered spans to the collector, or appends them to the file.
  asio::awaitable<void> FlushSpans() {
    if (!settings.trace_address.has_value()) {
      if (!settings.trace_file.empty()) spans.Flush();
      co_return;
    }
    const telemetry::OtlpFile::Batch batch = spans.Take();
    if (batch.spans == 0) co_return;
    net::HttpCall call{.method = "POST",
                       .target = "/v1/traces",
                       .body = batch.body,
                       .headers = {{"content-type", "application/json"}}};
    const net::HttpAnswer answer =
        co_await trace_client->Call(*settings.trace_address, std::move(call));
    spans.OnSent(batch, answer.status == 200);
  }

  asio::awaitable<void> FlushSpansRegularly() {
    while (!stopping) {
      co_await FlushSpans();
      trace_timer.expires_after(kTraceExportInterval);
      boost::system::error_code error;
      co_await trace_timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
    }
  }

  void Listen() {
    operator_server = MakeRef<net::HttpServer>(
        context.get_executor(),
        net::HttpServerOptions{.listen = settings.operator_address,
                               .handler = [this](net::ServerRequest request) {
                                 return Handle(std::move(request));
                               }});
    link_server = MakeRef<link::LinkServer>(
        context.get_executor(),
        link::LinkServerOptions{.listen = settings.link_address,
                                .handlers = calls});
    std::cout << settings.name
              << " listens operator=" << operator_server->address().ToString()
              << " link=" << link_server->address().ToString() << std::endl;
    log.Info("listening", {{"name", settings.name},
                           {"zone", settings.zone},
                           {"operator", operator_server->address().ToString()},
                           {"link", link_server->address().ToString()}});
  }

  // The remaining part of stop_grace, counted from `started`.
  Duration GraceLeft(MonotonicTime started) const {
    const Duration used = MonotonicClock::now() - started;
    return std::max(settings.stop_grace - used, Duration::zero());
  }

  asio::awaitable<void> StopAll() {
    log.Info("stopping", {{"grace", settings.stop_grace}});
    const MonotonicTime started = MonotonicClock::now();
    for (const std::function<asio::awaitable<void>(Duration)>& stop :
         stop_handlers) {
      co_await stop(GraceLeft(started));
    }
    co_await link_server->Stop(GraceLeft(started));
    co_await operator_server->Stop(GraceLeft(started));
    co_await FlushSpans();
    log.Info("stopped", {{"after", MonotonicClock::now() - started}});
    context.stop();
  }

  void WaitForSignal() {
    signals.async_wait([this](boost::system::error_code error, int) {
      if (error) return;
      stopping = true;
      Spawn(StopAll());
    });
  }

  // Runs `task`. An exception from it stops the event loop and is rethrown by
  // Run(); after an Error the process exits with code 1.
  void Spawn(asio::awaitable<void> task) {
    asio::co_spawn(context, std::move(task), [this](std::exception_ptr error) {
      if (!error) return;
      failure = std::move(error);
      context.stop();
    });
  }

  DaemonSettings settings;
  asio::io_context context{1};
  asio::signal_set signals;
  std::map<std::string, net::ServerHandler> routes;
  std::map<std::string, link::CallHandler> calls;
  std::vector<Readiness> readiness_tests;
  std::vector<std::function<asio::awaitable<void>(Duration)>> stop_handlers;
  std::map<net::Address, Ref<link::LinkClient>> peers;
  Ref<net::HttpServer> operator_server;
  Ref<link::LinkServer> link_server;
  telemetry::MetricsRegistry metrics;
  std::vector<std::function<void()>> metrics_updates;
  asio::steady_timer trace_timer;
  telemetry::OtlpFile spans;
  telemetry::Tracer tracer;
  telemetry::Log log;
  Ref<net::HttpClient> trace_client = MakeRef<net::HttpClient>(
      context.get_executor(), net::HttpClientOptions{});
  std::exception_ptr failure;
  bool stopping = false;
};

Daemon::Daemon(DaemonSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {
  impl_->AddBuiltInRoutes();
}

Daemon::~Daemon() = default;

const DaemonSettings& Daemon::settings() const { return impl_->settings; }

asio::any_io_executor Daemon::executor() {
  return impl_->context.get_executor();
}

void Daemon::AddRoute(const std::string& method_and_path,
                      net::ServerHandler handler) {
  impl_->routes[method_and_path] = std::move(handler);
}

void Daemon::AddCall(const std::string& method, link::CallHandler handler) {
  impl_->calls[method] = std::move(handler);
}

void Daemon::AddReadiness(const std::string& name, std::function<bool()> test) {
  impl_->readiness_tests.push_back({.name = name, .test = std::move(test)});
}

void Daemon::AddStopHandler(
    std::function<asio::awaitable<void>(Duration)> stop) {
  impl_->stop_handlers.push_back(std::move(stop));
}

telemetry::MetricsRegistry& Daemon::metrics() { return impl_->metrics; }

void Daemon::AddMetricsUpdate(std::function<void()> update) {
  impl_->metrics_updates.push_back(std::move(update));
}

const telemetry::Tracer& Daemon::tracer() const { return impl_->tracer; }

Ref<link::LinkClient> Daemon::Peer(const net::Address& link) {
  Ref<link::LinkClient>& client = impl_->peers[link];
  if (client == nullptr) {
    client = MakeRef<link::LinkClient>(executor(),
                                       link::LinkClientOptions{.peer = link});
  }
  return client;
}

int Daemon::Run(std::function<asio::awaitable<void>()> start) {
  telemetry::ConfigureLogging(
      {.file = impl_->settings.log_file, .level = impl_->settings.log_level});
  impl_->Listen();
  impl_->WaitForSignal();
  if (impl_->RecordsTraces()) impl_->Spawn(impl_->FlushSpansRegularly());
  impl_->Spawn(start());
  impl_->context.run();
  if (impl_->failure) std::rethrow_exception(impl_->failure);
  return 0;
}

net::Address Daemon::operator_address() const {
  return impl_->operator_server->address();
}

net::Address Daemon::link_address() const {
  return impl_->link_server->address();
}

}  // namespace carobmast::daemon
