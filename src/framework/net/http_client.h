// HTTP/1.1 client for the platform's services: whole messages, connections kept
// alive, and a clear word on whether a failed request can have taken effect.
#ifndef CAROBMAST_FRAMEWORK_NET_HTTP_CLIENT_H_
#define CAROBMAST_FRAMEWORK_NET_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "framework/base/intrusive.h"
#include "framework/base/time.h"

namespace carobmast::net {

// An address by number. Parsed from "127.0.0.1:8080".
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
  friend auto operator<=>(const Address&, const Address&) = default;
};

// Throws Error (step "address") when `text` is no "ip:port" with a numeric IP.
Address ParseAddress(const std::string& text);

struct HttpCall {
  std::string method = "GET";
  std::string target = "/";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  Duration timeout = std::chrono::seconds(5);
};

enum class CallOutcome {
  kAnswered,
  kNotSent,  // no byte of the request left this process
  kUnknown,  // it left, and no whole answer came back
};

struct HttpAnswer {
  CallOutcome outcome = CallOutcome::kNotSent;
  int status = 0;
  std::string body;
  // Step, peer and reason, when not answered.
  std::string error;
};

struct HttpClientOptions {
  std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
  std::size_t max_idle_connections = 8;
};

// A pool of connections to any number of addresses.
class HttpClient : public RefCounted<HttpClient> {
 public:
  HttpClient(boost::asio::any_io_executor executor, HttpClientOptions options);
  ~HttpClient();

  // Sends one request; never throws for failures of the network or the peer.
  boost::asio::awaitable<HttpAnswer> Call(Address address, HttpCall call);

  // Closes idle connections.
  void Close();

 private:
  struct Impl;
  Ref<Impl> impl_;
};

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_HTTP_CLIENT_H_
