#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <iostream>
#include <random>

#include "framework/link/tests/link_fixture.h"

namespace carobmast::link {

namespace asio = boost::asio;

// Malformed bytes must end the link that they arrive on, and no other link.
class LinkMalformedTest : public LinkFixture {
  CPPUNIT_TEST_SUITE(LinkMalformedTest);
  CPPUNIT_TEST(GarbageClosesOnlyItsLink);
  CPPUNIT_TEST(TruncatedFramesCloseTheLink);
  CPPUNIT_TEST(BadFramesCloseTheLinkWithAReason);
  CPPUNIT_TEST(LargeHeaderBlocksCloseTheLink);
  CPPUNIT_TEST(RandomBytesLeaveOtherLinksOpen);
  CPPUNIT_TEST(GarbageFromTheServerFailsTheCall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GarbageClosesOnlyItsLink() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("malformed bytes"),
        Reason(SendRaw("GET / HTTP/1.1\r\nhost: a\r\n\r\n")).substr(0, 15));
  }

  void TruncatedFramesCloseTheLink() {
    for (std::size_t length = 1; length < ClientPreface().size(); ++length) {
      SendRaw(ClientPreface().substr(0, length));
      CPPUNIT_ASSERT_EQUAL(0, calls_run_ - kHealthyCalls);
    }
  }

  void BadFramesCloseTheLinkWithAReason() {
    // DATA on stream 0, and a SETTINGS frame of a wrong length.
    const std::string data_on_zero("\0\0\1\0\0\0\0\0\0x", 10);
    const std::string bad_settings("\0\0\5\4\0\0\0\0\0abcde", 14);
    for (const std::string& frame : {data_on_zero, bad_settings}) {
      const std::string reason = Reason(SendRaw(ClientPreface() + frame));
      CPPUNIT_ASSERT_MESSAGE(reason, reason.starts_with("malformed frame: "));
    }
  }

  void LargeHeaderBlocksCloseTheLink() {
    // One header field with a literal value of 5,000 bytes, without indexing.
    std::string block("\0\1a\x7f\x89\x26", 6);
    block.append(5000, 'x');
    std::string frame("\0\x13\x8e\1\5\0\0\0\1", 9);
    const std::string reason = Reason(SendRaw(ClientPreface() + frame + block));
    CPPUNIT_ASSERT_EQUAL(std::string("a header block is over 4096 bytes"),
                         reason);
  }

  void RandomBytesLeaveOtherLinksOpen() {
    const std::uint64_t seed = FromEnvironment("CAROBMAST_SEED", 20261204);
    const std::uint64_t runs = FromEnvironment("CAROBMAST_RUNS", 200);
    std::cout << " seed " << seed << " runs " << runs << " ";
    std::mt19937_64 random(seed);
    for (std::uint64_t run = 0; run < runs; ++run) {
      std::string bytes = random() % 4 == 0 ? "" : ClientPreface();
      const std::uint64_t frames = 1 + random() % 6;
      for (std::uint64_t i = 0; i < frames; ++i) AppendFrame(bytes, random);
      SendRaw(bytes);
      CPPUNIT_ASSERT(calls_run_ <= kHealthyCalls + static_cast<int>(frames));
    }
  }

  void GarbageFromTheServerFailsTheCall() {
    asio::ip::tcp::acceptor acceptor(context_,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    const Ref<LinkClient> client = MakeRef<LinkClient>(
        context_.get_executor(),
        LinkClientOptions{
            .peer = {"127.0.0.1", acceptor.local_endpoint().port()}});
    asio::co_spawn(context_, AnswerGarbage(acceptor), asio::detached);
    Run([&]() -> Task {
      const std::string failure = co_await FailureOf(client, "echo");
      CPPUNIT_ASSERT(failure.starts_with("link call echo with 127.0.0.1:"));
    });
  }

 private:
  static constexpr int kHealthyCalls = 2;

  static std::uint64_t FromEnvironment(const char* name,
                                       std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
  }

  // The HTTP/2 client preface with an empty SETTINGS frame.
  static std::string ClientPreface() {
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
           std::string("\0\0\0\4\0\0\0\0\0", 9);
  }

  // Appends a frame with a plausible header and a random payload. Some frames
  // state another length than they have.
  static void AppendFrame(std::string& bytes, std::mt19937_64& random) {
    const std::uint64_t length = random() % 64;
    const std::uint64_t claimed = random() % 8 == 0 ? random() % 70000 : length;
    bytes.push_back(static_cast<char>(claimed >> 16));
    bytes.push_back(static_cast<char>(claimed >> 8));
    bytes.push_back(static_cast<char>(claimed));
    bytes.push_back(static_cast<char>(random() % 11));
    bytes.push_back(static_cast<char>(random()));
    bytes.append(3, '\0');
    bytes.push_back(static_cast<char>(random() % 4));
    for (std::uint64_t i = 0; i < length; ++i) {
      bytes.push_back(static_cast<char>(random()));
    }
  }

  static std::string Reason(const std::string& error) {
    const std::size_t colon = error.find(": ");
    return colon == std::string::npos ? error : error.substr(colon + 2);
  }

  static Task AnswerGarbage(asio::ip::tcp::acceptor& acceptor) {
    asio::ip::tcp::socket socket =
        co_await acceptor.async_accept(asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer("HTTP/1.1 400 Bad\r\n\r\n"),
                               asio::use_awaitable);
    co_await Pause(std::chrono::milliseconds(50));
  }

  // Sends `bytes` on a new connection and closes it; a healthy client makes a
  // call before and after. Returns the first link error that the server
  // reported.
  std::string SendRaw(const std::string& bytes) {
    link_errors_.clear();
    calls_run_ = 0;
    const Ref<LinkServer> server = Serve();
    const Ref<LinkClient> healthy = Connect(server);
    Run([&]() -> Task {
      co_await healthy->Call("echo", "a", kTimeout);
      asio::ip::tcp::socket socket(context_);
      co_await socket.async_connect(
          {asio::ip::make_address("127.0.0.1"), server->address().port},
          asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(bytes),
                                 asio::use_awaitable);
      socket.shutdown(asio::ip::tcp::socket::shutdown_send);
      // Reads until the server has closed the connection.
      std::array<char, 4096> rest{};
      boost::system::error_code error;
      while (!error) {
        co_await socket.async_read_some(
            asio::buffer(rest),
            asio::redirect_error(asio::use_awaitable, error));
      }
      while (server->links() > 1) co_await Pause(std::chrono::milliseconds(1));
      co_await healthy->Call("echo", "b", kTimeout);
    });
    return link_errors_.empty() ? "" : link_errors_.front();
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LinkMalformedTest, "link_malformed_test");

}  // namespace carobmast::link
