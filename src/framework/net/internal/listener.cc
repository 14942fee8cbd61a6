#include "framework/net/listener.h"

#include "framework/base/error.h"

namespace carobmast::net {

using boost::asio::ip::tcp;

tcp::acceptor OpenListener(const boost::asio::any_io_executor& executor,
                           const Address& address) {
  try {
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip),
                                 address.port);
    tcp::acceptor listener(executor);
    listener.open(endpoint.protocol());
    listener.set_option(tcp::acceptor::reuse_address(true));
    listener.bind(endpoint);
    listener.listen();
    return listener;
  } catch (const boost::system::system_error& error) {
    throw Error("listen", address.ToString(), error.code().message());
  }
}

Address AddressOf(const tcp::acceptor& listener) {
  const tcp::endpoint endpoint = listener.local_endpoint();
  return {.ip = endpoint.address().to_string(), .port = endpoint.port()};
}

std::vector<tcp::socket> CloseListener(tcp::acceptor& listener) {
  std::vector<tcp::socket> completed;
  boost::system::error_code error;
  listener.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(listener.get_executor());
    listener.accept(socket, error);
    // A client may have given up a connection that waits in the queue.
    if (error == boost::asio::error::connection_aborted) {
      error.clear();
      continue;
    }
    if (!error) completed.push_back(std::move(socket));
  }
  listener.close(error);
  return completed;
}

}  // namespace carobmast::net
