#include "framework/net/datagrams.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carobmast::net {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t kMaxDatagramBytes = 65507;

}  // namespace

asio::awaitable<void> ReceiveDatagrams(udp::socket& socket,
                                       DatagramHandler handler) {
  std::string buffer(kMaxDatagramBytes, '\0');
  while (socket.is_open()) {
    udp::endpoint sender;
    boost::system::error_code error;
    const std::size_t size = co_await socket.async_receive_from(
        asio::buffer(buffer), sender,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (!error) handler(buffer.substr(0, size), sender);
  }
}

}  // namespace carobmast::net
