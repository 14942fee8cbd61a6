// When a follower of a stream reads, and how long its reads wait.
#include "node/stream_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

namespace carobmast::node {
namespace {

namespace asio = boost::asio;
using contracts::ReadOutcome;
using std::chrono::milliseconds;

// Ends a test whose follower does not read as often as it should.
constexpr Duration kTestTimeout = std::chrono::seconds(5);
constexpr Duration kRunStep = milliseconds(5);
constexpr milliseconds kReadWait{70};

// An empty stream. Reads have the outcomes in `outcomes` and then succeed; none
// of them waits.
class FakeKeyedLog : public contracts::KeyedLog {
 public:
  asio::awaitable<contracts::KeyedAppendAnswer> Append(
      contracts::AppendCall) override {
    co_return contracts::KeyedAppendAnswer{};
  }
  asio::awaitable<contracts::KeyedReadAnswer> Read(
      contracts::ReadCall call) override {
    const std::size_t read = waits.size();
    waits.push_back(call.wait);
    co_return contracts::KeyedReadAnswer{
        .outcome = read < outcomes.size() ? outcomes[read] : ReadOutcome::kRead,
        .end = call.from};
  }
  asio::awaitable<contracts::NewestAnswer> Newest(contracts::StreamId,
                                                  std::string,
                                                  Duration) override {
    co_return contracts::NewestAnswer{.ok = true};
  }

  std::vector<ReadOutcome> outcomes;
  // Of the reads so far.
  std::vector<Duration> waits;
};

}  // namespace

class StreamFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamFollowerTest);
  CPPUNIT_TEST(FirstReadAfterAFailedOneWaitsForARecord);
  CPPUNIT_TEST(FirstReadAfterAFailedOneIsHeldBackByTheReadInterval);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a view that stays old, and a store that counts as
  // unreachable, for a whole wait after the store is back.
  void FirstReadAfterAFailedOneWaitsForARecord() {
    log_->outcomes = {ReadOutcome::kRead, ReadOutcome::kFailed,
                      ReadOutcome::kFailed, ReadOutcome::kRead};
    CPPUNIT_ASSERT(Follow(5, milliseconds(1)));
    CPPUNIT_ASSERT(log_->waits[0] == kReadWait);
    CPPUNIT_ASSERT(log_->waits[1] == kReadWait);
    CPPUNIT_ASSERT(log_->waits[2] == Duration::zero());
    CPPUNIT_ASSERT(log_->waits[3] == Duration::zero());
    CPPUNIT_ASSERT(log_->waits[4] == kReadWait);
  }

  void FirstReadAfterAFailedOneIsHeldBackByTheReadInterval() {
    log_->outcomes = {ReadOutcome::kFailed};
    CPPUNIT_ASSERT(Follow(2, std::chrono::hours(1)));
  }

 private:
  // Follows the stream until it has been read `reads` times; false when that
  // doesn't happen.
  bool Follow(std::size_t reads, Duration read_interval) {
    const Ref<StreamFollower> follower = MakeRef<StreamFollower>(
        context_.get_executor(), log_,
        StreamFollowerOptions{.read_wait = kReadWait,
                              .read_interval = read_interval,
                              .retry_delay = milliseconds(1)},
        StreamFollowerHooks{.on_restart = [] {},
                            .on_record = [](const contracts::KeyedRecord&) {},
                            .on_caught_up = [](std::uint64_t) {},
                            .on_call = [](bool, const std::string&) {}});
    follower->Start();
    const MonotonicTime end = MonotonicClock::now() + kTestTimeout;
    while (log_->waits.size() < reads && MonotonicClock::now() < end) {
      context_.run_for(kRunStep);
    }
    follower->Stop();
    context_.restart();
    context_.run();
    return log_->waits.size() >= reads;
  }

  asio::io_context context_{1};
  Ref<FakeKeyedLog> log_ = MakeRef<FakeKeyedLog>();
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StreamFollowerTest,
                                      "stream_follower_test");

}  // namespace carobmast::node
