#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "framework/base/error.h"
#include "framework/net/http_client.h"

namespace carobmast::net {

Address ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw Error("address", text, "expected IP:PORT");
  }
  Address address{.ip = text.substr(0, colon)};
  boost::system::error_code error;
  boost::asio::ip::make_address(address.ip, error);
  if (error) throw Error("address", text, "expected a numeric IP");
  const char* last = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data() + colon + 1, last, address.port);
  if (parsed.ec != std::errc() || parsed.ptr != last) {
    throw Error("address", text, "expected a port from 0 to 65535");
  }
  return address;
}

}  // namespace carobmast::net
