// HTTP/1.1 server for operator ports and the stand-in platform: whole messages,
// bounded sizes, graceful stop.
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

struct ServerRequest {
  std::string method;
  // Path without the query, e.g. "/log/config".
  std::string path;
  // Text after '?', or empty.
  std::string query;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;

  // The decoded value of `key` in the query, or `fallback`.
  std::string QueryOr(const std::string& key, std::string fallback) const;
  // The value of the header `name` (any case), or empty.
  std::string Header(const std::string& name) const;
};

struct ServerAnswer {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  // For the stand-in: closes the connection after this many bytes of the whole
  // message, instead of sending it all. Negative sends all.
  std::int64_t cut_after_bytes = -1;
};

// May throw; the caller then gets status 400 (Error) or 500.
using ServerHandler =
    std::function<boost::asio::awaitable<ServerAnswer>(ServerRequest)>;

struct HttpServerOptions {
  // Port 0 takes a free port.
  Address listen;
  ServerHandler handler;
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t max_connections = 1024;
  Duration idle_timeout = std::chrono::seconds(60);
};

class HttpServer : public RefCounted<HttpServer> {
 public:
  // Listens at once. Throws Error (step "listen") when the address is taken.
  HttpServer(boost::asio::any_io_executor executor, HttpServerOptions options);
  ~HttpServer();

  // The address it listens on, with the real port.
  Address address() const;
  // Connections that are open now.
  std::size_t connections() const;

  // Stops accepting, closes idle connections, and lets the requests in flight
  // end, for at most `grace`.
  boost::asio::awaitable<void> Stop(Duration grace);

 private:
  struct Impl;
  Ref<Impl> impl_;
};

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_HTTP_SERVER_H_
