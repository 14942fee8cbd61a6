// Links between the processes of the product: remote calls over HTTP/2 streams
// (nghttp2), each with one request message and one answer message. A message is
// any string of bytes to this library; its users send protobuf.
#ifndef CAROBMAST_FRAMEWORK_LINK_LINK_H_
#define CAROBMAST_FRAMEWORK_LINK_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "framework/base/error.h"
#include "framework/base/intrusive.h"
#include "framework/base/time.h"
#include "framework/net/http_client.h"

namespace carobmast::link {

// The protocol version. Increase it when the meaning of a message changes. A
// server accepts calls of its own version and of the one before it.
inline constexpr std::uint32_t kLinkVersion = 1;

// Handles one call: takes the request message and returns the answer message.
// When the handler throws a std::exception, the caller gets its text as the
// reason of a CallError.
using CallHandler =
    std::function<boost::asio::awaitable<std::string>(std::string request)>;

struct LinkServerOptions {
  // Port 0 selects a free port.
  net::Address listen;
  // Handlers by method name, e.g. "config.head".
  std::map<std::string, CallHandler> handlers;
  // A longer request closes its link; a longer answer fails its call.
  std::size_t max_message_bytes = std::size_t{16} * 1024 * 1024;
  // Further links are accepted and closed at once.
  std::size_t max_links = 1024;
  // Limit of handlers that run for one link; further calls are refused as not
  // sent.
  std::uint32_t max_calls_per_link = 100;
  // A link is closed after this long without received bytes and calls.
  Duration idle_timeout = std::chrono::minutes(5);
  std::uint32_t version = kLinkVersion;
  // Called when a link fails because of malformed or oversized messages or a
  // lost connection. The error has the step "link receive". May be empty.
  std::function<void(const Error&)> on_link_error;
};

// Accepts links and runs the handlers of their calls on the event loop of its
// executor; not thread-safe.
class LinkServer : public RefCounted<LinkServer> {
 public:
  // Starts listening. Throws Error (step "listen") when the address can't be
  // bound.
  LinkServer(boost::asio::any_io_executor executor, LinkServerOptions options);
  ~LinkServer();

  // The address that the server listens on, with the actual port.
  net::Address address() const;
  // The number of open links.
  std::size_t links() const;

  // Stops accepting, announces the end to all peers (GOAWAY) and waits up to
  // `grace` for the calls in flight. Closes the remaining links afterwards.
  boost::asio::awaitable<void> Stop(Duration grace);

 private:
  struct Impl;
  Ref<Impl> impl_;
};

// A failed call.
class CallError : public Error {
 public:
  CallError(const std::string& method, std::string peer,
            const std::string& reason, bool not_sent);

  // True if the peer's handler certainly did not run, so that the call can be
  // repeated safely. Otherwise the handler may have run, or the peer answered
  // with an error.
  bool not_sent() const { return not_sent_; }

 private:
  bool not_sent_;
};

struct LinkClientOptions {
  net::Address peer;
  std::size_t max_message_bytes = std::size_t{16} * 1024 * 1024;
  // Limit for connecting. Also how long a link may stay silent after a call on
  // it has timed out without any bytes received since the call was sent.
  Duration connect_timeout = std::chrono::seconds(1);
  std::uint32_t version = kLinkVersion;
};

// A link to one peer, connected on first use and reconnected after a failure.
// Runs on the event loop of its executor; not thread-safe.
class LinkClient : public RefCounted<LinkClient> {
 public:
  LinkClient(boost::asio::any_io_executor executor, LinkClientOptions options);
  ~LinkClient();

  // Sends `request` and returns the answer; calls may overlap. Throws CallError
  // (step "link call METHOD", peer the peer's address) on failure. After a
  // failed connection, calls fail at once as not sent until a backoff of 50 ms
  // to 2 s has passed.
  boost::asio::awaitable<std::string> Call(std::string method,
                                           std::string request,
                                           Duration timeout);

  // Closes the link and fails the calls in flight. The next call connects
  // again, without a backoff.
  void Close();

 private:
  struct Impl;
  Ref<Impl> impl_;
};

}  // namespace carobmast::link

#endif  // CAROBMAST_FRAMEWORK_LINK_LINK_H_
