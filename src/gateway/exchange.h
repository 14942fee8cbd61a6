// The state of one caller's request and its answer, shared by the coroutine
// that serves the caller's connection and those that serve its attempts.
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

struct CallerConnection : RefCounted<CallerConnection> {
  explicit CallerConnection(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  // Waiting for the head of a request.
  bool idle = true;
};

struct Exchange : RefCounted<Exchange> {
  explicit Exchange(Ref<CallerConnection> caller_connection)
      : caller(std::move(caller_connection)),
        changed(caller->stream.get_executor()) {
    changed.expires_at(MonotonicTime::max());
  }

  // Resumes the coroutine that waits in CallerPort::WaitForAnswer.
  void Wake() { changed.cancel(); }

  requests::RequestId id = 0;
  Ref<CallerConnection> caller;
  RequestParser parser;
  // The first bytes of the body, kept for retries. This is the whole body when
  // `parser.is_done()` at the time the request is passed to the core.
  std::string body_start;
  // Close the caller's connection after this answer.
  bool close = false;
  // An instance's answer was forwarded or aborted, the caller is gone, or
  // `refusal` is set and has to be sent.
  bool done = false;
  // The gateway answers instead of an instance.
  std::optional<requests::Refusal> refusal;
  // TargetPort::StreamBody is reading the rest of the body.
  bool streaming_body = false;
  // Used as a condition variable: it never expires and is cancelled to signal
  // a change.
  boost::asio::steady_timer changed;
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_EXCHANGE_H_
