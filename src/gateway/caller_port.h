// The callers' HTTP/1.1 port: accepts connections, reads and checks requests,
// hands them to the core, and writes the gateway's own answers.
#ifndef CAROBMAST_GATEWAY_CALLER_PORT_H_
#define CAROBMAST_GATEWAY_CALLER_PORT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>

#include "framework/net/http_client.h"
#include "gateway/exchange.h"
#include "gateway/trace_hooks.h"
#include "requests/request_core.h"

namespace carobmast::gateway {

struct CallerPortOptions {
  // Port 0 takes a free port.
  net::Address listen;
  std::uint32_t max_head_bytes = 16 * 1024;
  // Bytes of a body that are read before the request is sent on. A request
  // whose body is longer is never sent twice.
  std::size_t max_retry_body_bytes = 64 * 1024;
  std::size_t max_connections = 4096;
  // For a whole head with the wait before it, and for a body's prefix.
  Duration idle_timeout = std::chrono::seconds(30);
  // After a stop begins, idle connections still take requests for this time.
  Duration idle_close_delay = std::chrono::milliseconds(300);
  TraceHooks trace;
};

struct CallerPortCounters {
  std::uint64_t connections = 0;
  // Connections that were refused because there were too many.
  std::uint64_t refused_connections = 0;
  std::uint64_t malformed = 0;
};

class CallerPort {
 public:
  // Listens at once. Throws Error (step "listen") when the address is taken.
  CallerPort(boost::asio::any_io_executor executor, CallerPortOptions options);

  // Set once, before Start.
  void SetCore(requests::RequestCore* core) { core_ = core; }
  void Start();

  // Hooks of the core.
  void Refuse(requests::RequestId id, const requests::Refusal& refusal);
  void AbortAnswer(requests::RequestId id);
  // The exchange of a request that has no answer yet.
  Ref<Exchange> Find(requests::RequestId id) const;

  // Stops accepting and lets requests in flight end, for at most `grace`.
  boost::asio::awaitable<void> Stop(Duration grace);

  net::Address address() const;
  bool stopping() const { return stopping_; }
  std::size_t connections() const { return connections_.size(); }
  const CallerPortCounters& counters() const { return counters_; }

 private:
  boost::asio::awaitable<void> AcceptConnections();
  boost::asio::awaitable<void> ServeConnection(Ref<CallerConnection> caller);
  // Serves one request; false when the connection ends.
  boost::asio::awaitable<bool> ServeRequest(Ref<CallerConnection> caller);
  boost::asio::awaitable<bool> ReadBodyStart(Ref<Exchange> exchange);
  boost::asio::awaitable<void> WaitForAnswer(Ref<Exchange> exchange);
  // Answers a request that breaks the protocol.
  boost::asio::awaitable<void> RejectMalformed(Ref<Exchange> exchange,
                                               std::string detail);
  void PassToCore(const Ref<Exchange>& exchange);
  void CloseIdleConnections();

  boost::asio::any_io_executor executor_;
  CallerPortOptions options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  requests::RequestCore* core_ = nullptr;
  requests::RequestId next_request_ = 1;
  std::set<Ref<CallerConnection>> connections_;
  std::unordered_map<requests::RequestId, Ref<Exchange>> exchanges_;
  bool stopping_ = false;
  CallerPortCounters counters_;
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_CALLER_PORT_H_
