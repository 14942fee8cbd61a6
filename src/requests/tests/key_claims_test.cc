// Claims of idempotency keys by several gateways, while the log, gateways or
// zones fail. Guards against requests with the same key being executed twice
// and against false reports about their execution.
#include "requests/key_claims.h"

#include <cppunit/extensions/HelperMacros.h>

#include "requests/fakes/fake_cluster.h"

namespace carobmast::requests::fakes {

class KeyClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyClaimsTest);
  CPPUNIT_TEST(RepeatAtAnotherGatewayIsNotSent);
  CPPUNIT_TEST(ConcurrentRequestsWithOneKeyRunOnce);
  CPPUNIT_TEST(LostAppendAnswerStillRunsOnce);
  CPPUNIT_TEST(LogOutageRefusesAndSendsNothing);
  CPPUNIT_TEST(KnownLogOutageRefusesAtOnce);
  CPPUNIT_TEST(RepeatAfterGatewayRestartIsNotSent);
  CPPUNIT_TEST(PausedGatewaySendsNothingAfterResume);
  CPPUNIT_TEST(RepeatInPartitionedZoneIsNotSent);
  CPPUNIT_TEST(KeyOfRequestNotRunIsReleased);
  CPPUNIT_TEST(DuplicateClaimAfterReleaseCountsOnce);
  CPPUNIT_TEST(KeysAreForgottenAfterWindow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RepeatAtAnotherGatewayIsNotSent() {
    Send(0);
    Wait();
    Send(1);
    Wait();
    CPPUNIT_ASSERT(outcomes_.at(0).whole);
    ExpectRefused(1, Reason::kKeyClaimed, Ran::kYes);
  }

  void ConcurrentRequestsWithOneKeyRunOnce() {
    Send(0);
    Send(1);
    Wait();
    CPPUNIT_ASSERT(outcomes_.at(0).whole != outcomes_.at(1).whole);
    CPPUNIT_ASSERT(cluster_.violations().empty());
  }

  void LostAppendAnswerStillRunsOnce() {
    cluster_.log().SetMode(LogMode::kLosesAnswers);
    Send(0);
    Wait();
    CPPUNIT_ASSERT(outcomes_.at(0).whole);
    // The claim is appended again with the same id.
    CPPUNIT_ASSERT(cluster_.log().appends() > 1);
    Send(1);
    Wait();
    ExpectRefused(1, Reason::kKeyClaimed, Ran::kYes);
  }

  void LogOutageRefusesAndSendsNothing() {
    cluster_.log().SetMode(LogMode::kOutage);
    Send(0);
    Wait();
    ExpectRefused(0, Reason::kKeyUnavailable, Ran::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster_.Counters().attempts);
    cluster_.log().SetMode(LogMode::kHealthy);
    // The claim that arrives late is released, so that a repeated request can
    // be executed.
    Wait();
    Send(1);
    Wait();
    CPPUNIT_ASSERT(outcomes_.at(1).whole);
  }

  void KnownLogOutageRefusesAtOnce() {
    cluster_.log().SetMode(LogMode::kOutage);
    Send(0);
    Wait();
    Send(0);
    Wait(std::chrono::milliseconds(10));
    ExpectRefused(1, Reason::kKeyUnavailable, Ran::kUnknown);
  }

  void RepeatAfterGatewayRestartIsNotSent() {
    Send(0, std::chrono::milliseconds(300));
    Wait(std::chrono::milliseconds(200));
    cluster_.Restart(0);
    Send(0);
    Send(1);
    Wait();
    ExpectRefused(1, Reason::kKeyClaimed, Ran::kUnknown);
    ExpectRefused(2, Reason::kKeyClaimed, Ran::kUnknown);
    CPPUNIT_ASSERT(cluster_.violations().empty());
  }

  void PausedGatewaySendsNothingAfterResume() {
    Send(0);
    // Its claim is in transit to the log.
    Wait(std::chrono::milliseconds(2));
    cluster_.Pause(0);
    Wait(std::chrono::seconds(5));
    Send(1);
    Wait();
    cluster_.Resume(0);
    Wait();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster_.Counters().attempts);
    CPPUNIT_ASSERT(cluster_.violations().empty());
  }

  void RepeatInPartitionedZoneIsNotSent() {
    Send(0);
    Wait();
    cluster_.Partition(cluster_.ZoneOfGateway(1));
    Send(1);
    Wait();
    CPPUNIT_ASSERT(outcomes_.at(1).refusal.has_value());
    CPPUNIT_ASSERT(Ran::kNo != outcomes_.at(1).refusal.value_or(Refusal{}).ran);
    CPPUNIT_ASSERT(cluster_.violations().empty());
  }

  void KeyOfRequestNotRunIsReleased() {
    for (std::size_t i = 0; i < 48; ++i) {
      cluster_.SetMode(i, InstanceMode::kRefusing);
    }
    Send(0);
    Wait();
    ExpectRefused(0, Reason::kRefused, Ran::kNo);
    for (std::size_t i = 0; i < 48; ++i) {
      cluster_.SetMode(i, InstanceMode::kHealthy);
    }
    Send(1);
    Wait();
    CPPUNIT_ASSERT(outcomes_.at(1).whole);
  }

  void DuplicateClaimAfterReleaseCountsOnce() {
    std::vector<ClaimOutcome> decided;
    KeyClaims claims({.incarnation = "x"},
                     {.append = [](const contracts::AppendRequest&) {},
                      .read = [](const contracts::ReadRequest&) {},
                      .decided =
                          [&](RequestId, ClaimOutcome outcome) {
                            decided.push_back(outcome);
                            return true;
                          }});
    const MonotonicTime now{std::chrono::hours(1)};
    claims.OnRead({.records = {{.offset = 1, .id = "a", .data = "claim K"},
                               {.offset = 2, .id = "b", .data = "released a"},
                               {.offset = 3, .id = "a", .data = "claim K"}}},
                  now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, claims.keys());
  }

  void KeysAreForgottenAfterWindow() {
    KeyClaims claims({.incarnation = "x", .window = std::chrono::hours(1)},
                     {.append = [](const contracts::AppendRequest&) {},
                      .read = [](const contracts::ReadRequest&) {},
                      .decided = [](RequestId, ClaimOutcome) { return true; }});
    const MonotonicTime now{std::chrono::hours(1)};
    const WallTime start{std::chrono::hours(100)};
    claims.OnRead(
        {.records =
             {{.offset = 1, .appended_at = start, .id = "a", .data = "claim K"},
              {.offset = 2,
               .appended_at = start + std::chrono::hours(2),
               .id = "b",
               .data = "claim L"}}},
        now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.keys());
  }

 private:
  void Send(std::size_t gateway,
            Duration length = std::chrono::milliseconds(10)) {
    cluster_.Send(gateway, {.number = 1,
                            .operation = "POST /billing",
                            .idempotent = false,
                            .key = "invoice-7",
                            .length = length});
  }

  void Wait(Duration time = std::chrono::seconds(10)) {
    cluster_.time().RunUntil(cluster_.time().now() + time);
  }

  void ExpectRefused(std::size_t index, Reason reason, Ran ran) {
    const Outcome& outcome = outcomes_.at(index);
    CPPUNIT_ASSERT(outcome.refusal.has_value());
    const Refusal refusal = outcome.refusal.value_or(Refusal{});
    CPPUNIT_ASSERT_EQUAL(std::string(ReasonName(reason)),
                         std::string(ReasonName(refusal.reason)));
    CPPUNIT_ASSERT_EQUAL(std::string(RanName(ran)),
                         std::string(RanName(refusal.ran)));
    CPPUNIT_ASSERT(cluster_.violations().empty());
  }

  // In the order in which the requests ended.
  std::vector<Outcome> outcomes_;
  FakeCluster cluster_{
      {.keys = true, .on_outcome = [this](const Outcome& outcome) {
         outcomes_.push_back(outcome);
       }}};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(KeyClaimsTest, "key_claims_test");

}  // namespace carobmast::requests::fakes
