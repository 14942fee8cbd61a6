#include "framework/net/datagram_socket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carobmast::net {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxDatagramBytes = 65507;
// Taken at once: a busy event loop comes by only every few milliseconds, while
// each of a hundred nodes may send several datagrams a second.
constexpr int kMaxDatagramsPerTurn = 64;

udp::endpoint ToEndpoint(const Address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

Address ToAddress(const udp::endpoint& endpoint) {
  return {.ip = endpoint.address().to_string(), .port = endpoint.port()};
}

}  // namespace

DatagramSocket::DatagramSocket(asio::any_io_executor executor,
                               const Address& listen, Handler handler)
    : socket_(executor, ToEndpoint(listen)), handler_(std::move(handler)) {
  socket_.non_blocking(true);
  asio::co_spawn(executor, Receive(Ref<DatagramSocket>(this)), asio::detached);
}

void DatagramSocket::Close() {
  error_code error;
  socket_.close(error);
}

Address DatagramSocket::address() const {
  return ToAddress(socket_.local_endpoint());
}

void DatagramSocket::Send(const Address& to, const std::string& bytes) {
  error_code error;
  socket_.send_to(asio::buffer(bytes), ToEndpoint(to), 0, error);
}

bool DatagramSocket::TakeOne(std::string& buffer) {
  udp::endpoint sender;
  error_code error;
  const std::size_t size =
      socket_.receive_from(asio::buffer(buffer), sender, 0, error);
  if (error) return false;
  handler_(buffer.substr(0, size), ToAddress(sender));
  return true;
}

asio::awaitable<void> DatagramSocket::Receive(Ref<DatagramSocket> self) {
  std::string buffer(kMaxDatagramBytes, '\0');
  while (self->socket_.is_open()) {
    error_code error;
    co_await self->socket_.async_wait(
        udp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    int taken = 0;
    while (taken < kMaxDatagramsPerTurn && self->socket_.is_open() &&
           self->TakeOne(buffer)) {
      ++taken;
    }
  }
}

}  // namespace carobmast::net
