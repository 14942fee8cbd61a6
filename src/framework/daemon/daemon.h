// The parts common to all daemons: settings, event loop, operator port, peer
// links, readiness and graceful stop.
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

// The settings common to all daemons, read from the top level of the settings
// file.
struct DaemonSettings {
  std::string name;
  // The availability zone that the daemon runs in.
  std::string zone;
  // The address of the operator port (status and metrics), not of the port that
  // serves callers.
  net::Address operator_address;
  // The address that peers connect to.
  net::Address link_address;
  std::vector<PeerSettings> peers;
  net::Address log_service;
  net::Address vm_list;
  // Upper limit for the duration of a graceful stop.
  Duration stop_grace = std::chrono::seconds(20);
  // Folder of state charts that replace the built-in ones, as files NAME.yaml
  // (see docs/CHARTS.md); empty for none.
  std::string charts_folder;
  // The log file; empty for standard error.
  std::string log_file;
  telemetry::LogLevel log_level = telemetry::LogLevel::kInfo;
  // Spans are sent as OTLP JSON to trace_address (POST /v1/traces) if it is
  // set, otherwise appended to trace_file. Without both no spans are recorded.
  std::string trace_file;
  std::optional<net::Address> trace_address;
  // Share of traces to sample, in percent; traces that a caller has marked as
  // sampled are always sampled.
  std::int64_t trace_percent = 1;
};

// Reads the common settings: name, zone, operator_address, link_address, peers
// (list of name, zone, link), log_service, vm_list, stop_grace, charts_folder,
// log_file, log_level, trace_file, trace_address, trace_percent. Throws Error
// (step "settings") for a missing or invalid key. The caller must read its own
// keys from the same reader and then call Finish().
DaemonSettings ReadDaemonSettings(settings::SettingsReader& reader);

// Returns the YAML text of the state chart `name` from settings.charts_folder,
// or an empty string when there is no such file. Throws Error (step "state
// chart") when the file is empty or can't be read.
std::string ReadChart(const DaemonSettings& settings, const std::string& name);

// Runs one daemon process on a single-threaded event loop.
class Daemon {
 public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  const DaemonSettings& settings() const;
  boost::asio::any_io_executor executor();

  // Adds a route such as "GET /status" to the operator port. GET /healthz, GET
  // /readyz and GET /metrics are built in. Call it before Run().
  void AddRoute(const std::string& method_and_path, net::ServerHandler handler);
  // Adds a method that peers can call over their links. Call it before Run().
  void AddCall(const std::string& method, link::CallHandler handler);
  // Adds a readiness test. The daemon is ready when all tests return true;
  // /readyz names the first one that does not.
  void AddReadiness(const std::string& name, std::function<bool()> test);
  // Adds a stop handler. On SIGTERM or SIGINT the handlers run in the order
  // they were added, each with the remaining part of stop_grace as its
  // argument; then the link server and the operator port stop.
  void AddStopHandler(
      std::function<boost::asio::awaitable<void>(Duration)> stop);

  telemetry::MetricsRegistry& metrics();
  // Adds a function that runs before each GET /metrics, to update gauges.
  void AddMetricsUpdate(std::function<void()> update);
  const telemetry::Tracer& tracer() const;

  // Returns the client for the peer at the address `link`, created on first
  // use.
  Ref<link::LinkClient> Peer(const net::Address& link);

  // Configures logging, opens the ports, prints "NAME listens operator=IP:PORT
  // link=IP:PORT" on standard output, runs `start` and serves until SIGTERM or
  // SIGINT. Returns the exit code. Throws Error (step "listen") when a port
  // can't be opened, and rethrows what `start` or a stop handler throws.
  int Run(std::function<boost::asio::awaitable<void>()> start);

  // The addresses with their actual ports. Valid once Run() has opened the
  // ports.
  net::Address operator_address() const;
  net::Address link_address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carobmast::daemon

#endif  // CAROBMAST_FRAMEWORK_DAEMON_DAEMON_H_
