// HTTP/1.1 client for the services of the cloud platform. Requests and
// responses are held in memory as a whole, connections are kept alive, and each
// result says whether a failed request can have taken effect.
#ifndef CAROBMAST_FRAMEWORK_NET_HTTP_CLIENT_H_
#define CAROBMAST_FRAMEWORK_NET_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "framework/base/intrusive.h"
#include "framework/base/time.h"

namespace carobmast::net {

// A numeric IP address with a port, written as "127.0.0.1:8080".
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
  friend auto operator<=>(const Address&, const Address&) = default;
};

// Parses "IP:PORT". Throws Error (step "address", peer `text`) when the IP is
// not numeric or the port is not a number from 0 to 65535.
Address ParseAddress(const std::string& text);

// One request.
struct HttpCall {
  std::string method = "GET";
  std::string target = "/";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // Limit for the whole call, including connecting.
  Duration timeout = std::chrono::seconds(5);
};

enum class CallOutcome {
  kAnswered,  // a whole response was received, with any status
  kNotSent,   // no byte of the request was sent, so it had no effect
  kUnknown,   // sent at least in part, but no whole response was received
};

// The result of one call.
struct HttpAnswer {
  CallOutcome outcome = CallOutcome::kNotSent;
  // HTTP status; 0 unless answered.
  int status = 0;
  std::string body;
  // The failed step, the peer and the reason; empty when answered.
  std::string error;
};

// Tells apart the processes that answer at one address one after the other. A
// connection counts as leading to the process that answered over it last. It
// may lead to another one meanwhile, as behind a proxy: the call that finds
// this out has reached the other process. The check thus spares most calls from
// reaching the wrong process and does not rule it out; the called process must
// be able to refuse, or the answer must be looked at.
struct PeerCheck {
  // The process that the call is meant for; empty for any.
  std::string expected;
  // Makes a call without effect that is sent first over a connection whose peer
  // is not known.
  std::function<HttpCall()> make_question;
  // Reads the name of the process from an answer; empty if it has none.
  std::function<std::string(const HttpAnswer&)> read_name;
};

struct HttpClientOptions {
  // A response with a longer body fails the call with kUnknown.
  std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
  // For each address; beyond it the one that was idle for longest is closed.
  std::size_t max_idle_connections = 8;
};

// Sends requests over a pool of connections to any number of addresses. Runs on
// the event loop of its executor; not thread-safe.
class HttpClient : public RefCounted<HttpClient> {
 public:
  HttpClient(boost::asio::any_io_executor executor, HttpClientOptions options);
  ~HttpClient();

  // Sends one request and waits for the response. Failures of the network or of
  // the peer are returned, not thrown. `address` must hold a numeric IP.
  // Requests are never retried.
  boost::asio::awaitable<HttpAnswer> Call(Address address, HttpCall call);
  // Like Call, but meant for the expected process; the outcome is kNotSent if
  // another one is known to answer at the address. An answer to the question
  // with another status than 200 is returned in place of one to the call, which
  // is not sent then.
  boost::asio::awaitable<HttpAnswer> CallPeer(Address address, HttpCall call,
                                              PeerCheck check);

  // Closes the idle connections; calls in flight go on.
  void Close();

 private:
  struct Impl;
  Ref<Impl> impl_;
};

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_HTTP_CLIENT_H_
