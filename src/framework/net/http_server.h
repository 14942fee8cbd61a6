// HTTP/1.1 server for operator ports and for the stand-in of the cloud
// platform. Requests and responses are held in memory as a whole, their sizes
// are limited, and the server can be stopped gracefully.
#ifndef CAROBMAST_FRAMEWORK_NET_HTTP_SERVER_H_
#define CAROBMAST_FRAMEWORK_NET_HTTP_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "framework/base/intrusive.h"
#include "framework/base/time.h"
#include "framework/net/http_client.h"

namespace carobmast::net {

// A received request with its whole body.
struct ServerRequest {
  std::string method;
  // Path without the query, e.g. "/log/config".
  std::string path;
  // The undecoded text after '?', or empty.
  std::string query;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;

  // Returns the percent-decoded value of the first `key` in the query, or
  // `fallback` when the query does not have the key.
  std::string QueryOr(const std::string& key, std::string fallback) const;
  // Returns the value of the first header `name`, ignoring case, or an empty
  // string.
  std::string Header(const std::string& name) const;
};

// The response of a handler.
struct ServerAnswer {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  // Fault injection for the stand-in platform: the server closes the connection
  // after it has sent this many bytes of the response, counted from the status
  // line. A negative value sends the whole response.
  std::int64_t cut_after_bytes = -1;
};

// Handles one request. When the handler throws, the client receives the
// exception's text with status 400 (carobmast::Error) or 500 (any other
// std::exception).
using ServerHandler =
    std::function<boost::asio::awaitable<ServerAnswer>(ServerRequest)>;

struct HttpServerOptions {
  // Port 0 selects a free port.
  Address listen;
  ServerHandler handler;
  // A request over one of these limits ends its connection.
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  // Further connections are accepted and closed at once.
  std::size_t max_connections = 1024;
  // Limit for receiving one whole request, including the wait for it on an idle
  // connection, and for sending one response.
  Duration idle_timeout = std::chrono::seconds(60);
  // For this time after Stop, idle connections stay open and accept a request.
  Duration idle_close_delay = std::chrono::milliseconds(300);
};

// Serves HTTP on the event loop of its executor; not thread-safe.
class HttpServer : public RefCounted<HttpServer> {
 public:
  // Starts listening. Throws Error (step "listen") when the address can't be
  // bound.
  HttpServer(boost::asio::any_io_executor executor, HttpServerOptions options);
  ~HttpServer();

  // The address that the server listens on, with the actual port when port 0
  // was requested.
  Address address() const;
  // The number of open connections.
  std::size_t connections() const;

  // From now on every answer ends its connection, so that clients turn to other
  // servers before Stop.
  void Drain();

  // Stops accepting and waits up to `grace` for the requests in flight,
  // including those on connections that nobody has accepted yet. Closes idle
  // connections after `idle_close_delay`, and the connections that are still
  // open afterwards.
  boost::asio::awaitable<void> Stop(Duration grace);

 private:
  struct Impl;
  Ref<Impl> impl_;
};

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_HTTP_SERVER_H_
