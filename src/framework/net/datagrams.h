// Receipt of datagrams.
#ifndef CAROBMAST_FRAMEWORK_NET_DATAGRAMS_H_
#define CAROBMAST_FRAMEWORK_NET_DATAGRAMS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

namespace carobmast::net {

using DatagramHandler = std::function<void(
    const std::string& bytes, const boost::asio::ip::udp::endpoint& sender)>;

// Passes each datagram that `socket` receives to `handler`, until the socket is
// closed. Errors of single receipts, such as those that answer an earlier send,
// are ignored as lost datagrams.
boost::asio::awaitable<void> ReceiveDatagrams(
    boost::asio::ip::udp::socket& socket, DatagramHandler handler);

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_DATAGRAMS_H_
