// The HTTP/1.1 server for callers: accepts connections, reads and validates
// requests, passes them to the request core and sends the gateway's refusals.
// Answers of instances are forwarded by TargetPort.
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
  // With port 0 the system picks a free port.
  net::Address listen;
  std::uint32_t max_head_bytes = 16 * 1024;
  // Bytes of a request body that are read before the request is passed to the
  // core, and kept for retries. A request with a longer body is sent to an
  // instance at most once.
  std::size_t max_retry_body_bytes = 64 * 1024;
  std::size_t max_connections = 4096;
  // Limit for the idle time before a request and its head together, for reading
  // the start of its body, and for sending a refusal.
  Duration idle_timeout = std::chrono::seconds(30);
  // For this time after Stop, idle connections stay open and accept requests;
  // the answer then closes the connection.
  Duration idle_close_delay = std::chrono::milliseconds(300);
  TraceHooks trace;
};

struct CallerPortCounters {
  std::uint64_t connections = 0;
  // Connections closed at once because of `max_connections`.
  std::uint64_t refused_connections = 0;
  // Requests answered with the reason "malformed".
  std::uint64_t malformed = 0;
};

class CallerPort {
 public:
  // Opens the listening socket. Throws Error (step "listen") when the address
  // is in use.
  CallerPort(boost::asio::any_io_executor executor, CallerPortOptions options);

  // Call it once, before Start. `core` must outlive this object.
  void SetCore(requests::RequestCore* core) { core_ = core; }
  void Start();

  // Answers a request with a refusal. Does nothing when it has ended.
  void Refuse(requests::RequestId id, const requests::Refusal& refusal);
  // Closes the caller's connection in the middle of an answer, so that the
  // caller can't take the answer for complete.
  void AbortAnswer(requests::RequestId id);
  // The exchange of a request that has not ended; null when there is none.
  Ref<Exchange> Find(requests::RequestId id) const;

  // Stops accepting connections and waits until requests in flight have ended,
  // for at most `grace`.
  boost::asio::awaitable<void> Stop(Duration grace);

  net::Address address() const;
  bool stopping() const { return stopping_; }
  std::size_t connections() const { return connections_.size(); }
  const CallerPortCounters& counters() const { return counters_; }

 private:
  boost::asio::awaitable<void> AcceptConnections();
  void AddConnection(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> ServeConnection(Ref<CallerConnection> caller);
  // Serves one request. Returns false when the connection must be closed.
  boost::asio::awaitable<bool> ServeRequest(Ref<CallerConnection> caller);
  // Returns false when the body is malformed or the connection failed.
  boost::asio::awaitable<bool> ReadBodyStart(Ref<Exchange> exchange);
  // Waits until the request is answered; sends the refusal if there is one.
  boost::asio::awaitable<void> WaitForAnswer(Ref<Exchange> exchange);
  // Answers a request that violates the protocol.
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
