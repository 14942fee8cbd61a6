// Calls of a process whose event loop is busy: each turn takes a while, and no
// more than one piece of an answer is read in a turn.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/post.hpp>
#include <memory>
#include <thread>

#include "loopback.h"

namespace carobmast::net {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kLargeBytes = std::size_t{256} * 1024;
// Takes far longer than kShortTimeout, whatever the size of the pieces.
constexpr std::size_t kHugeBytes = std::size_t{16} * 1024 * 1024;
constexpr milliseconds kShortTimeout{20};
// A large message must be through within as many turns: those of a busy owner
// of a large site take 13 ms, and a follower of a stream waits for 600 ms.
constexpr std::size_t kMaxTurns = 600 / 13;

// More than two turns: the request is read in one, its answer in another.
constexpr std::size_t kMaxSmallTurns = 3;

// Posts itself again and again; each turn of the loop takes a millisecond.
class Busy {
 public:
  explicit Busy(asio::any_io_executor executor)
      : executor_(std::move(executor)) {
    Post();
  }
  ~Busy() { *stopped_ = true; }
  Busy(const Busy&) = delete;
  Busy& operator=(const Busy&) = delete;
  std::size_t turns() const { return turns_; }

 private:
  void Post() {
    asio::post(executor_, [this, stopped = stopped_] {
      if (*stopped) return;
      ++turns_;
      std::this_thread::sleep_for(milliseconds(1));
      Post();
    });
  }

  asio::any_io_executor executor_;
  std::shared_ptr<bool> stopped_ = std::make_shared<bool>(false);
  std::size_t turns_ = 0;
};

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
  CPPUNIT_TEST(AnswerThatNeverPausesOutlivesTheDeadline);
  CPPUNIT_TEST(SmallAnswerTakesATurnForHeadAndBodyEach);
  CPPUNIT_TEST(LargeAnswerTakesATurnForEachSmallPiece);
  CPPUNIT_TEST(LargeRequestTakesATurnForEachSmallPiece);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Whatever is read at once is there already, so the reader never waits.
  void AnswerThatNeverPausesOutlivesTheDeadline() {
    Ref<HttpServer> server = loopback_.Serve(Huge);
    loopback_.Run([&]() -> asio::awaitable<void> {
      const Busy busy(loopback_.context.get_executor());
      const HttpAnswer answer = co_await loopback_.client->Call(
          server->address(), {.timeout = kShortTimeout});
      CPPUNIT_ASSERT(answer.outcome == CallOutcome::kUnknown);
    });
  }

  void SmallAnswerTakesATurnForHeadAndBodyEach() {
    Ref<HttpServer> server = loopback_.Serve(Size);
    loopback_.Run([&]() -> asio::awaitable<void> {
      // The first call connects.
      co_await loopback_.client->Call(server->address(), {.method = "POST"});
      const Busy busy(loopback_.context.get_executor());
      const HttpAnswer answer = co_await loopback_.client->Call(
          server->address(), {.method = "POST", .body = "order"});
      CPPUNIT_ASSERT_EQUAL(std::string("5"), answer.body);
      CPPUNIT_ASSERT_LESS(kMaxSmallTurns, busy.turns());
    });
  }

  void LargeAnswerTakesATurnForEachSmallPiece() {
    Ref<HttpServer> server = loopback_.Serve(Large);
    loopback_.Run([&]() -> asio::awaitable<void> {
      const Busy busy(loopback_.context.get_executor());
      const HttpAnswer answer =
          co_await loopback_.client->Call(server->address(), {});
      CPPUNIT_ASSERT_EQUAL(kLargeBytes, answer.body.size());
      CPPUNIT_ASSERT_LESS(kMaxTurns, busy.turns());
    });
  }

  void LargeRequestTakesATurnForEachSmallPiece() {
    Ref<HttpServer> server = loopback_.Serve(Size);
    loopback_.Run([&]() -> asio::awaitable<void> {
      const Busy busy(loopback_.context.get_executor());
      const HttpAnswer answer = co_await loopback_.client->Call(
          server->address(),
          {.method = "POST", .body = std::string(kLargeBytes, 'x')});
      CPPUNIT_ASSERT_EQUAL(std::to_string(kLargeBytes), answer.body);
      CPPUNIT_ASSERT_LESS(kMaxTurns, busy.turns());
    });
  }

 private:
  Loopback loopback_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BusyLoopTest, "busy_loop_test");

}  // namespace carobmast::net
