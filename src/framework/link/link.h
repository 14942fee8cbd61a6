// Links between the product's own processes: calls over HTTP/2 streams
// (nghttp2), each one request message and one answer message. What the messages
// hold is the caller's; protobuf is used throughout.
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

// Raised when a message's meaning changes; a process answers calls of this
// version and of the one before it.
inline constexpr std::uint32_t kLinkVersion = 1;

// Handles one call: takes the request message, returns the answer message. May
// throw Error; the caller then gets the error's text as the reason.
using CallHandler =
    std::function<boost::asio::awaitable<std::string>(std::string request)>;

struct LinkServerOptions {
  // Port 0 takes a free port.
  net::Address listen;
  // By method name, e.g. "config.head".
  std::map<std::string, CallHandler> handlers;
  std::size_t max_message_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t max_links = 1024;
  std::uint32_t max_calls_per_link = 100;
  // A link without received bytes and calls for this long is ended.
  Duration idle_timeout = std::chrono::minutes(5);
  std::uint32_t version = kLinkVersion;
  // Told when a link ends by a failure: malformed or oversized messages, a lost
  // peer. The error's step is "link receive". May be empty.
  std::function<void(const Error&)> on_link_error;
};

class LinkServer : public RefCounted<LinkServer> {
 public:
  // Listens at once. Throws Error (step "listen") when the address is taken.
  LinkServer(boost::asio::any_io_executor executor, LinkServerOptions options);
  ~LinkServer();

  net::Address address() const;
  // Links that are open now.
  std::size_t links() const;

  // Announces the end (GOAWAY), lets calls in flight end for at most `grace`.
  boost::asio::awaitable<void> Stop(Duration grace);

 private:
  struct Impl;
  Ref<Impl> impl_;
};

// How a call failed.
class CallError : public Error {
 public:
  CallError(const std::string& method, std::string peer,
            const std::string& reason, bool not_sent);

  // Whether the peer's handler certainly did not run. Otherwise it may have
  // run, or it ran and answered with an error.
  bool not_sent() const { return not_sent_; }

 private:
  bool not_sent_;
};

struct LinkClientOptions {
  net::Address peer;
  std::size_t max_message_bytes = std::size_t{16} * 1024 * 1024;
  // Also how long a link may stay silent after a call on it timed out.
  Duration connect_timeout = std::chrono::seconds(1);
  std::uint32_t version = kLinkVersion;
};

// One link to one peer, connected when first used and again after a failure.
class LinkClient : public RefCounted<LinkClient> {
 public:
  LinkClient(boost::asio::any_io_executor executor, LinkClientOptions options);
  ~LinkClient();

  // Sends `request` and returns the answer. Throws CallError (step "link call
  // METHOD", peer its address) on failure; calls may overlap. After a failed
  // connection calls fail at once as not sent until a pause of 50 ms to 2 s has
  // passed.
  boost::asio::awaitable<std::string> Call(std::string method,
                                           std::string request,
                                           Duration timeout);

  // Ends the link and the calls in flight. The next call connects again.
  void Close();

 private:
  struct Impl;
  Ref<Impl> impl_;
};

}  // namespace carobmast::link

#endif  // CAROBMAST_FRAMEWORK_LINK_LINK_H_
