#include "framework/daemon/daemon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <utility>

#include "framework/base/error.h"

namespace carobmast::daemon {

namespace asio = boost::asio;

namespace {

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
  settings.trace_file = reader.StringOr("trace_file", "");
  return settings;
}

struct Daemon::Impl {
  explicit Impl(DaemonSettings daemon_settings)
      : settings(std::move(daemon_settings)),
        signals(context, SIGTERM, SIGINT) {}

  asio::awaitable<net::ServerAnswer> Handle(net::ServerRequest request) {
    const auto route = routes.find(request.method + " " + request.path);
    if (route != routes.end()) {
      co_return co_await route->second(std::move(request));
    }
    co_return Text(404, "no such page: " + request.method + " " + request.path);
  }

  net::ServerAnswer Ready() const {
    if (stopping) return Text(503, "stopping");
    for (const Readiness& readiness : readiness_tests) {
      if (!readiness.test()) return Text(503, "not ready: " + readiness.name);
    }
    return Text(200, "ready");
  }

  void AddOwnRoutes() {
    routes["GET /healthz"] =
        [](net::ServerRequest) -> asio::awaitable<net::ServerAnswer> {
      co_return Text(200, "ok");
    };
    routes["GET /readyz"] =
        [this](net::ServerRequest) -> asio::awaitable<net::ServerAnswer> {
      co_return Ready();
    };
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
  }

  // Time left of the grace that began at `started`.
  Duration GraceLeft(MonotonicTime started) const {
    const Duration used = MonotonicClock::now() - started;
    return std::max(settings.stop_grace - used, Duration::zero());
  }

  asio::awaitable<void> StopAll() {
    const MonotonicTime started = MonotonicClock::now();
    for (const std::function<asio::awaitable<void>(Duration)>& stop : stops) {
      co_await stop(GraceLeft(started));
    }
    co_await link_server->Stop(GraceLeft(started));
    co_await operator_server->Stop(GraceLeft(started));
    context.stop();
  }

  void WaitForSignal() {
    signals.async_wait([this](boost::system::error_code error, int) {
      if (error) return;
      stopping = true;
      Spawn(StopAll());
    });
  }

  // Runs `task`; what it throws ends the process with exit code 1.
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
  std::vector<std::function<asio::awaitable<void>(Duration)>> stops;
  std::map<net::Address, Ref<link::LinkClient>> peers;
  Ref<net::HttpServer> operator_server;
  Ref<link::LinkServer> link_server;
  std::exception_ptr failure;
  bool stopping = false;
};

Daemon::Daemon(DaemonSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {
  impl_->AddOwnRoutes();
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

void Daemon::AddStop(std::function<asio::awaitable<void>(Duration)> stop) {
  impl_->stops.push_back(std::move(stop));
}

Ref<link::LinkClient> Daemon::Peer(const net::Address& link) {
  Ref<link::LinkClient>& client = impl_->peers[link];
  if (client == nullptr) {
    client = MakeRef<link::LinkClient>(executor(),
                                       link::LinkClientOptions{.peer = link});
  }
  return client;
}

int Daemon::Run(std::function<asio::awaitable<void>()> start) {
  impl_->Listen();
  impl_->WaitForSignal();
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
