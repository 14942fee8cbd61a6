// Listening sockets.
#ifndef CAROBMAST_FRAMEWORK_NET_LISTENER_H_
#define CAROBMAST_FRAMEWORK_NET_LISTENER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <vector>

#include "framework/net/http_client.h"

namespace carobmast::net {

// Opens a socket that listens on `address`; port 0 selects a free port. Throws
// Error (step "listen") when the address can't be bound.
boost::asio::ip::tcp::acceptor OpenListener(
    const boost::asio::any_io_executor& executor, const Address& address);

// Returns the address that `listener` is bound to, with the actual port.
Address AddressOf(const boost::asio::ip::tcp::acceptor& listener);

// Closes `listener` and returns the connections that the kernel had completed
// but nobody had accepted. Closing alone would reset them, although the clients
// may have sent requests on them.
std::vector<boost::asio::ip::tcp::socket> CloseListener(
    boost::asio::ip::tcp::acceptor& listener);

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_LISTENER_H_
