// What all daemons share: settings, event loop, operator port, peer links,
// readiness and graceful stop.
#ifndef CAROBMAST_FRAMEWORK_DAEMON_DAEMON_H_
#define CAROBMAST_FRAMEWORK_DAEMON_DAEMON_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "framework/link/link.h"
#include "framework/net/http_server.h"
#include "framework/settings/settings.h"
#include "framework/telemetry/log.h"
#include "framework/telemetry/metrics.h"
#include "framework/telemetry/trace.h"

namespace carobmast::daemon {

// Another process of the product.
struct PeerSettings {
  std::string name;
  std::string zone;
  net::Address link;
};

// The settings that every daemon has, read from the top level of its file.
struct DaemonSettings {
  std::string name;
  // The availability zone it runs in.
  std::string zone;
  // For operators and metrics; not the callers' port.
  net::Address operator_address;
  // Where peers reach it.
  net::Address link_address;
  std::vector<PeerSettings> peers;
  net::Address log_service;
  net::Address vm_list;
  // How long a graceful stop may take.
  Duration stop_grace = std::chrono::seconds(20);
  // State charts in this folder take the place of the built-in ones; empty for
  // none. Named NAME.yaml as in docs/CHARTS.md.
  std::string charts_folder;
  // Logs go to this file; empty for standard error.
  std::string log_file;
  telemetry::LogLevel log_level = telemetry::LogLevel::kInfo;
  // OTLP JSON spans are appended to this file, or else sent to this address
  // (POST /v1/traces); neither for no spans.
  std::string trace_file;
  std::optional<net::Address> trace_address;
  // Share of the traces begun here that are kept, in percent.
  std::int64_t trace_percent = 1;
};

// Reads the keys name, zone, operator_address, link_address, peers (list of
// name, zone, link), log_service, vm_list, stop_grace, charts_folder, log_file,
// log_level, trace_file, trace_address, trace_percent. The caller reads its own
// keys from the same reader and calls Finish().
DaemonSettings ReadDaemonSettings(settings::SettingsReader& reader);

// The text of the state chart `name` in the settings' folder, or empty when the
// folder has none. Throws Error (step "state chart") when it can't be read.
std::string ReadChart(const DaemonSettings& settings, const std::string& name);

// The frame of one daemon process; single-threaded.
class Daemon {
 public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  const DaemonSettings& settings() const;
  boost::asio::any_io_executor executor();

  // Before Run: adds "METHOD /path" to the operator port. /healthz, /readyz and
  // /metrics are there already.
  void AddRoute(const std::string& method_and_path, net::ServerHandler handler);
  // Before Run: adds a call that peers may make.
  void AddCall(const std::string& method, link::CallHandler handler);
  // Ready when all tests hold. The first that fails is named at /readyz.
  void AddReadiness(const std::string& name, std::function<bool()> test);
  // Runs at SIGTERM or SIGINT, in the order added, each with the grace left;
  // the operator port and the link server stop after the last.
  void AddStop(std::function<boost::asio::awaitable<void>(Duration)> stop);

  telemetry::MetricsRegistry& metrics();
  // Runs before the metrics are shown, to bring gauges up to date.
  void AddMetricsUpdate(std::function<void()> update);
  const telemetry::Tracer& tracer() const;

  // The client of a peer's link; made at the first call.
  Ref<link::LinkClient> Peer(const net::Address& link);

  // Starts the logs, listens, prints "NAME listens operator=IP:PORT
  // link=IP:PORT" on standard output, runs `start`, then serves until a signal.
  // Returns the exit code.
  int Run(std::function<boost::asio::awaitable<void>()> start);

  // Valid once Run has begun.
  net::Address operator_address() const;
  net::Address link_address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carobmast::daemon

#endif  // CAROBMAST_FRAMEWORK_DAEMON_DAEMON_H_
