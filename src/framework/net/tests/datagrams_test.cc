#include "framework/net/datagrams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/buffer.hpp>

#include "busy_loop.h"
#include "loopback.h"

namespace carobmast::net {

namespace asio = boost::asio;

class DatagramsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatagramsTest);
  CPPUNIT_TEST(EachTurnReceivesASingleDatagram);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Heartbeats of a hundred nodes, four a second each, would be missed by a
  // loop with fewer turns.
  void EachTurnReceivesASingleDatagram() {
    constexpr int kDatagrams = 100;
    constexpr std::size_t kTurnLimit = 4;
    const asio::any_io_executor executor = loopback_.context.get_executor();
    const asio::ip::udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    asio::ip::udp::socket receiver(executor, any);
    receiver.non_blocking(true);
    asio::ip::udp::socket sender(executor, any);
    for (int i = 0; i < kDatagrams; ++i) {
      sender.send_to(asio::buffer("hello", 5), receiver.local_endpoint());
    }
    int received = 0;
    loopback_.Run([&]() -> asio::awaitable<void> {
      const BusyLoop busy(executor);
      co_await ReceiveDatagrams(
          receiver,
          [&](const std::string& bytes, const asio::ip::udp::endpoint& from) {
            CPPUNIT_ASSERT_EQUAL(std::string("hello"), bytes);
            CPPUNIT_ASSERT(from == sender.local_endpoint());
            if (++received == kDatagrams) receiver.close();
          });
      CPPUNIT_ASSERT_LESS(kTurnLimit, busy.turns());
    });
  }

 private:
  Loopback loopback_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(DatagramsTest, "datagrams_test");

}  // namespace carobmast::net
