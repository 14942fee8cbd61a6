// One request of a caller and its answer, shared by the coroutines that read
// the caller's connection and those that talk to instances.
#ifndef CAROBMAST_GATEWAY_EXCHANGE_H_
#define CAROBMAST_GATEWAY_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "framework/base/intrusive.h"
#include "requests/types/request.h"

namespace carobmast::gateway {

using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using ResponseParser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

// A caller's connection.
struct CallerConnection : RefCounted<CallerConnection> {
  explicit CallerConnection(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  // Between two requests.
  bool idle = true;
};

struct Exchange : RefCounted<Exchange> {
  explicit Exchange(Ref<CallerConnection> caller_connection)
      : caller(std::move(caller_connection)),
        changed(caller->stream.get_executor()) {
    changed.expires_at(MonotonicTime::max());
  }

  // Wakes the coroutine that waits in WaitDone.
  void Wake() { changed.cancel(); }

  requests::RequestId id = 0;
  Ref<CallerConnection> caller;
  RequestParser parser;
  // The first bytes of the body, kept for a retry; all of them when
  // `parser.is_done()` before the request is handed to the core.
  std::string body_start;
  // The caller's connection ends after this answer.
  bool close = false;
  // The answer, or the gateway's refusal, was decided and sent.
  bool done = false;
  // The core answers instead of an instance.
  std::optional<requests::Refusal> refusal;
  // The rest of the body is on its way to an instance.
  bool streaming_body = false;
  // Never expires; cancelled when something changed.
  boost::asio::steady_timer changed;
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_EXCHANGE_H_
