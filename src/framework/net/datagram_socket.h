// Sends and receives datagrams on one address.
#ifndef CAROBMAST_FRAMEWORK_NET_DATAGRAM_SOCKET_H_
#define CAROBMAST_FRAMEWORK_NET_DATAGRAM_SOCKET_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

#include "framework/base/intrusive.h"
#include "framework/net/http_client.h"

namespace carobmast::net {

// Never blocks. What can't be sent is as good as lost, as datagrams may be.
class DatagramSocket : public RefCounted<DatagramSocket> {
 public:
  using Handler =
      std::function<void(const std::string& bytes, const Address& sender)>;

  // Binds to `listen`; throws boost::system::system_error when it is taken.
  DatagramSocket(boost::asio::any_io_executor executor, const Address& listen,
                 Handler handler);
  void Close();

  void Send(const Address& to, const std::string& bytes);
  Address address() const;

 private:
  static boost::asio::awaitable<void> Receive(Ref<DatagramSocket> self);
  // Hands over one datagram that is there already; false when there is none.
  bool TakeOne(std::string& buffer);

  boost::asio::ip::udp::socket socket_;
  Handler handler_;
};

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_DATAGRAM_SOCKET_H_
