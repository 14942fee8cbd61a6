// Guards against HTTP messages that take too long on a busy event loop: each
// turn of such a loop is slow, and one turn reads at most one piece of a
// message.
#include "busy_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include "loopback.h"

namespace carobmast::net {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kLargeBytes = std::size_t{256} * 1024;
// Takes far longer than kShortTimeout to read, whatever the size of the pieces.
constexpr std::size_t kHugeBytes = std::size_t{16} * 1024 * 1024;
constexpr milliseconds kShortTimeout{20};
// A large message must take fewer turns than this: a turn of a busy owner on a
// large site takes 13 ms, and a follower of a stream waits for 600 ms.
constexpr std::size_t kLargeTurnLimit = 600 / 13;

// A small call must take fewer turns than this: one turn reads the request,
// another one the answer.
constexpr std::size_t kSmallTurnLimit = 3;

asio::awaitable<ServerAnswer> Large(ServerRequest) {
  co_return ServerAnswer{.body = std::string(kLargeBytes, 'x')};
}

asio::awaitable<ServerAnswer> Huge(ServerRequest) {
  co_return ServerAnswer{.body = std::string(kHugeBytes, 'x')};
}

asio::awaitable<ServerAnswer> Size(ServerRequest request) {
  co_return ServerAnswer{.body = std::to_string(request.body.size())};
}

}  // namespace

class BusyLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BusyLoopTest);
  CPPUNIT_TEST(ContinuousAnswerTimesOutAtTheDeadline);
  CPPUNIT_TEST(SmallMessagesAreReadInOneTurnEach);
  CPPUNIT_TEST(LargeAnswerIsReadInFewTurns);
  CPPUNIT_TEST(LargeRequestIsReadInFewTurns);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The data of each read is available at once, so the reader never waits and
  // the timer of the stream does not end the call.
  void ContinuousAnswerTimesOutAtTheDeadline() {
    Ref<HttpServer> server = loopback_.Serve(Huge);
    loopback_.Run([&]() -> asio::awaitable<void> {
      const BusyLoop busy(loopback_.context.get_executor());
      const HttpAnswer answer = co_await loopback_.client->Call(
          server->address(), {.timeout = kShortTimeout});
      CPPUNIT_ASSERT(answer.outcome == CallOutcome::kUnknown);
    });
  }

  void SmallMessagesAreReadInOneTurnEach() {
    Ref<HttpServer> server = loopback_.Serve(Size);
    loopback_.Run([&]() -> asio::awaitable<void> {
      // The first call connects.
      co_await loopback_.client->Call(server->address(), {.method = "POST"});
      const BusyLoop busy(loopback_.context.get_executor());
      const HttpAnswer answer = co_await loopback_.client->Call(
          server->address(), {.method = "POST", .body = "order"});
      CPPUNIT_ASSERT_EQUAL(std::string("5"), answer.body);
      CPPUNIT_ASSERT_LESS(kSmallTurnLimit, busy.turns());
    });
  }

  void LargeAnswerIsReadInFewTurns() {
    Ref<HttpServer> server = loopback_.Serve(Large);
    loopback_.Run([&]() -> asio::awaitable<void> {
      const BusyLoop busy(loopback_.context.get_executor());
      const HttpAnswer answer =
          co_await loopback_.client->Call(server->address(), {});
      CPPUNIT_ASSERT_EQUAL(kLargeBytes, answer.body.size());
      CPPUNIT_ASSERT_LESS(kLargeTurnLimit, busy.turns());
    });
  }

  void LargeRequestIsReadInFewTurns() {
    Ref<HttpServer> server = loopback_.Serve(Size);
    loopback_.Run([&]() -> asio::awaitable<void> {
      const BusyLoop busy(loopback_.context.get_executor());
      const HttpAnswer answer = co_await loopback_.client->Call(
          server->address(),
          {.method = "POST", .body = std::string(kLargeBytes, 'x')});
      CPPUNIT_ASSERT_EQUAL(std::to_string(kLargeBytes), answer.body);
      CPPUNIT_ASSERT_LESS(kLargeTurnLimit, busy.turns());
    });
  }

 private:
  Loopback loopback_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BusyLoopTest, "busy_loop_test");

}  // namespace carobmast::net
