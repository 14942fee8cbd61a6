#ifndef CAROBMAST_GATEWAY_INTERNAL_READ_PIECE_H_
#define CAROBMAST_GATEWAY_INTERNAL_READ_PIECE_H_

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include "gateway/target_port.h"

namespace carobmast::gateway {

template <typename Parser>
boost::asio::awaitable<std::size_t> ReadPiece(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    Parser& parser, char* data, std::size_t size,
    boost::system::error_code& error) {
  parser.get().body().data = data;
  parser.get().body().size = size;
  // Beast reads no more than the buffer's free capacity, or 512 bytes when that
  // is less.
  buffer.reserve(size);
  std::size_t bytes_read = 0;
  while (!parser.is_done() && bytes_read == 0 && !error) {
    co_await boost::beast::http::async_read_some(
        stream, buffer, parser,
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error == boost::beast::http::error::need_buffer) error = {};
    bytes_read = size - parser.get().body().size;
  }
  // Free the memory: the connection may be idle for long.
  if (parser.is_done()) buffer.shrink_to_fit();
  co_return bytes_read;
}

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_INTERNAL_READ_PIECE_H_
