// Reads whole HTTP messages within a deadline and in few turns of the event
// loop.
#ifndef CAROBMAST_FRAMEWORK_NET_INTERNAL_MESSAGE_READER_H_
#define CAROBMAST_FRAMEWORK_NET_INTERNAL_MESSAGE_READER_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "framework/base/time.h"

namespace carobmast::net {

// Capacity of a connection's buffer that is kept between messages; most
// messages are smaller.
constexpr std::size_t kIdleBufferBytes = std::size_t{4} * 1024;
// Beast reads at most this much at once.
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;

// Reads one whole message into `parser`. Beast makes one read per turn of the
// event loop, of as many bytes as the buffer has capacity for (at least 512),
// so the buffer is enlarged for a large message: turns of a busy loop are slow.
// The timer of the stream does not end a read whose data is always available at
// once, so the deadline is also checked between reads.
template <bool is_request>
boost::asio::awaitable<void> ReadMessage(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    boost::beast::http::parser<is_request, boost::beast::http::string_body>&
        parser,
    MonotonicTime deadline, boost::system::error_code& error) {
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  // Parses the header and the body of a small message in the same turn.
  parser.eager(true);
  buffer.reserve(kIdleBufferBytes);
  bool has_read = false;
  while (!parser.is_done() && !error) {
    // Not checked before the first read: its data may have arrived before the
    // deadline, while this coroutine waited for its turn.
    if (has_read && MonotonicClock::now() >= deadline) {
      error = boost::beast::error::timeout;
      break;
    }
    co_await http::async_read_some(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    has_read = true;
    if (parser.is_header_done() && !parser.is_done()) {
      const std::uint64_t left =
          parser.content_length_remaining().value_or(kReadBytes);
      buffer.reserve(buffer.size() + std::min<std::uint64_t>(left, kReadBytes));
    }
  }
  if (buffer.capacity() > kIdleBufferBytes) buffer.shrink_to_fit();
}

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_INTERNAL_MESSAGE_READER_H_
