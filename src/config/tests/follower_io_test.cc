#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "config/follower.h"
#include "config/peer_codec.h"
#include "config/tests/fake_log.h"
#include "config/tests/test_sets.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

namespace asio = boost::asio;

constexpr Duration kTimeout = std::chrono::seconds(30);
constexpr Duration kPollInterval = std::chrono::milliseconds(5);

asio::awaitable<void> Sleep(asio::io_context& context, Duration time) {
  asio::steady_timer timer(context, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

// Runs followers with real coroutines and timers, a fake log and direct calls
// between peers.
class FollowerIoTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowerIoTest);
  CPPUNIT_TEST(FollowsTheLogAndStops);
  CPPUNIT_TEST(FetchesSetFromPeerDuringLogOutage);
  CPPUNIT_TEST(CompactionEndsSilentlyAfterAnAppendThatThrows);
  CPPUNIT_TEST(MalformedPeerMessagesAreErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    for (Ref<ConfigFollower>& follower : followers_) {
      if (follower) follower->Stop();
    }
    context_.restart();
    context_.run();
    followers_.clear();
  }

  void FollowsTheLogAndStops() {
    StartAll(2);
    Append(FirstChange());
    CPPUNIT_ASSERT(RunUntil([&] { return AllHoldOffset(1); }));
    Append(JobChange("sum", 2));
    CPPUNIT_ASSERT(RunUntil([&] { return AllHoldOffset(2); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, followers_[0]
                                               ->Status()
                                               .at("in_force")
                                               .at("offset")
                                               .to_number<std::uint64_t>());
  }

  void FetchesSetFromPeerDuringLogOutage() {
    StartAll(3);
    Append(FirstChange());
    CPPUNIT_ASSERT(RunUntil([&] { return AllHoldOffset(1); }));
    log_.unavailable = true;
    Start(0);
    CPPUNIT_ASSERT(!followers_[0]->in_force());
    CPPUNIT_ASSERT(RunUntil([&] { return AllHoldOffset(1); }));
    CPPUNIT_ASSERT_EQUAL(followers_[1]->head().digest,
                         followers_[0]->set().Digest());
  }

  // Guards against records that expire because no compaction is written.
  void CompactionEndsSilentlyAfterAnAppendThatThrows() {
    compact_after_ = Duration::zero();
    appends_to_fail_ = 1;
    StartAll(1);
    Append(FirstChange());
    CPPUNIT_ASSERT(RunUntil([&] { return !compaction_failures_.empty(); }));
    CPPUNIT_ASSERT(compaction_failures_[0].find("out") != std::string::npos);
    CPPUNIT_ASSERT(RunUntil([&] {
      return followers_[0]->core().counters().compactions_written > 0;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, compaction_failures_.size());
  }

  void MalformedPeerMessagesAreErrors() {
    CPPUNIT_ASSERT_THROW(DecodeHeadRequest("\xff\xff", "peer"), Error);
    CPPUNIT_ASSERT_THROW(DecodeFetchRequest("\xff\xff", "peer"), Error);
    CPPUNIT_ASSERT_THROW(DecodeFetchAnswer("\xff\xff", "peer"), Error);
    const FetchAnswer answer{
        .head = {.offset = 7, .digest = "d", .through = 9, .rules = 1},
        .records = {RecordAt(7, "id", "data")},
        .whole = true,
        .objects = {"object"},
        .page_after = "name"};
    const FetchAnswer again =
        DecodeFetchAnswer(EncodeFetchAnswer(answer), "peer");
    CPPUNIT_ASSERT(again.head == answer.head);
    CPPUNIT_ASSERT_EQUAL(answer.records[0].data, again.records[0].data);
    CPPUNIT_ASSERT(again.whole && !again.last_page);
    CPPUNIT_ASSERT_EQUAL(answer.objects[0], again.objects[0]);
  }

 private:
  contracts::LogService MakeLog() {
    contracts::LogService service;
    service.read = [this](contracts::ReadRequest request)
        -> asio::awaitable<contracts::ReadAnswer> {
      const MonotonicTime end = MonotonicClock::now() + request.wait;
      while (log_.next() <= request.from && MonotonicClock::now() < end) {
        co_await Sleep(context_, kPollInterval);
      }
      if (log_.unavailable) throw Error("log read", "fake", "out");
      co_return log_.Read(request);
    };
    service.append = [this](contracts::AppendRequest request)
        -> asio::awaitable<contracts::AppendAnswer> {
      if (appends_to_fail_ > 0) {
        --appends_to_fail_;
        throw Error("log append", "fake", "out");
      }
      contracts::AppendAnswer answer{.outcome =
                                         contracts::AppendOutcome::kAppended};
      for (const contracts::NewRecord& record : request.records) {
        answer.offsets.push_back(log_.Append(record, WallTime()));
      }
      co_return answer;
    };
    return service;
  }

  CallPeer MakeCallPeer(std::size_t caller) {
    return [this, caller](std::size_t peer, std::string method,
                          std::string request,
                          Duration) -> asio::awaitable<std::string> {
      const std::size_t to = peer < caller ? peer : peer + 1;
      if (method == kHeadCall) {
        co_return co_await followers_[to]->AnswerHead(std::move(request));
      }
      co_return co_await followers_[to]->AnswerFetch(std::move(request));
    };
  }

  void Start(std::size_t i) {
    if (followers_[i]) followers_[i]->Stop();
    FollowerCoreOptions core{
        .name = std::to_string(i),
        .timing = {.log_wait = std::chrono::milliseconds(50),
                   .log_silence = std::chrono::milliseconds(200),
                   .peer_interval_urgent = std::chrono::milliseconds(20),
                   .compact_after = compact_after_,
                   .compaction_pause = std::chrono::milliseconds(20)},
        .seed = i};
    for (std::size_t peer = 0; peer < followers_.size(); ++peer) {
      if (peer != i) core.peers.push_back({.name = std::to_string(peer)});
    }
    followers_[i] = MakeRef<ConfigFollower>(
        context_.get_executor(),
        ConfigFollowerOptions{
            .core = std::move(core),
            .log = MakeLog(),
            .call_peer = MakeCallPeer(i),
            .on_compaction_failed = [this](const std::string& reason) {
              compaction_failures_.push_back(reason);
            }});
    followers_[i]->Start();
  }

  void StartAll(std::size_t count) {
    followers_.resize(count);
    for (std::size_t i = 0; i < count; ++i) Start(i);
  }

  void Append(const Change& change) {
    const std::string data = EncodePublish(PublishOn(fold_, change));
    // With the current time no compaction is due.
    log_.Append({.id = "id", .data = data},
                std::chrono::time_point_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now()));
    fold_.OnRecord(log_.all().back());
  }

  bool AllHoldOffset(contracts::Offset offset) const {
    for (const Ref<ConfigFollower>& follower : followers_) {
      if (follower->head().offset != offset) return false;
    }
    return true;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const MonotonicTime end = MonotonicClock::now() + kTimeout;
    while (!condition()) {
      if (MonotonicClock::now() > end) return false;
      context_.run_for(kPollInterval);
    }
    return true;
  }

  asio::io_context context_{1};
  FakeLog log_;
  ConfigFold fold_;
  Duration compact_after_ = FollowerTiming().compact_after;
  int appends_to_fail_ = 0;
  std::vector<std::string> compaction_failures_;
  std::vector<Ref<ConfigFollower>> followers_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FollowerIoTest, "follower_io_test");

}  // namespace carobmast::config
