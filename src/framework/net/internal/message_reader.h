// Reads whole HTTP messages within a deadline, in few turns of the event loop.
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

// Of a connection's buffer between messages. Most messages are smaller.
constexpr std::size_t kKeptBufferBytes = std::size_t{4} * 1024;
// The most that Beast reads at once.
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;

// Beast reads as much as the buffer has room for, 512 bytes at least, and a
// busy event loop takes one piece a turn. Its timer does not end a read whose
// bytes are always there, so the deadline is checked between the pieces as
// well.
template <bool is_request>
boost::asio::awaitable<void> ReadMessage(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    boost::beast::http::parser<is_request, boost::beast::http::string_body>&
        parser,
    MonotonicTime deadline, boost::system::error_code& error) {
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  // Head and body of a small message come in one piece, and take one turn.
  parser.eager(true);
  buffer.reserve(kKeptBufferBytes);
  bool begun = false;
  while (!parser.is_done() && !error) {
    // The first piece may have waited here for its turn since before the
    // deadline.
    if (begun && MonotonicClock::now() >= deadline) {
      error = boost::beast::error::timeout;
      break;
    }
    co_await http::async_read_some(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    begun = true;
    if (parser.is_header_done() && !parser.is_done()) {
      const std::uint64_t left =
          parser.content_length_remaining().value_or(kReadBytes);
      buffer.reserve(buffer.size() + std::min<std::uint64_t>(left, kReadBytes));
    }
  }
  if (buffer.capacity() > kKeptBufferBytes) buffer.shrink_to_fit();
}

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_INTERNAL_MESSAGE_READER_H_
