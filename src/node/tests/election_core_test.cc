// When a node claims the shard, keeps it and gives it up.
#include "node/election_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace carobmast::node {
namespace {

using std::chrono::milliseconds;

NodeInfo MakeNode(const std::string& name, std::uint32_t rank = 100) {
  return {
      .name = name, .address = {.ip = "127.0.0.1", .port = 1}, .rank = rank};
}

OwnerClaim MakeClaim(const std::string& node, std::uint64_t token) {
  return {.token = token, .node = node, .address = {.ip = "127.0.0.1"}};
}

// One node; records the calls of its hooks.
struct NodeFixture {
  explicit NodeFixture(const std::string& name = "b", std::uint32_t rank = 100)
      : core({.self = MakeNode(name, rank)},
             {.send =
                  [this](const net::Address&, const NodeMessage& message) {
                    sent.push_back(message);
                  },
              .claim = [this] { ++claim_attempts; },
              .stop_owning =
                  [this](const std::string& reason) { stop_reason = reason; },
              .log_change = [](const std::string&, const std::string&) {}}) {}

  void Advance(Duration time) {
    for (Duration passed = Duration::zero(); passed < time;
         passed += milliseconds(50)) {
      now += milliseconds(50);
      core.Tick(now);
    }
  }
  void ReceiveOwnerState(const std::string& owner, std::uint64_t token,
                         std::vector<NodeInfo> members = {}) {
    core.OnMessage({.kind = MessageKind::kOwnerState,
                    .sender = MakeNode(owner),
                    .claim = MakeClaim(owner, token),
                    .store_reached = true,
                    .members = std::move(members)},
                   now);
  }
  void AnswerProbe(const std::string& from, bool hears_owner,
                   std::uint32_t rank = 1) {
    core.OnMessage({.kind = MessageKind::kProbeAnswer,
                    .sender = MakeNode(from, rank),
                    .claim = core.claim(),
                    .store_reached = true,
                    .hears_owner = hears_owner,
                    .round = sent.back().round},
                   now);
  }

  MonotonicTime now{std::chrono::hours(1)};
  std::vector<NodeMessage> sent;
  int claim_attempts = 0;
  std::string stop_reason;
  ElectionCore core;
};

}  // namespace

class ElectionCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ElectionCoreTest);
  CPPUNIT_TEST(FirstNodeClaimsTheShard);
  CPPUNIT_TEST(SmallOwnerHandsOverToMuchLargerNode);
  CPPUNIT_TEST(OwnerKeepsShardBesideSlightlyLargerNode);
  CPPUNIT_TEST(OwnsWhenStreamDeliversClaimBeforeAppendAnswer);
  CPPUNIT_TEST(RestartedNodeClaimsAgain);
  CPPUNIT_TEST(SilentOwnerIsReplacedAfterProbe);
  CPPUNIT_TEST(OwnerHeardByOthersIsNotReplaced);
  CPPUNIT_TEST(IsolatedNodeWaitsBeforeClaiming);
  CPPUNIT_TEST(NewerClaimEndsOwnership);
  CPPUNIT_TEST(OwnerThatLosesTheStoreHandsOver);
  CPPUNIT_TEST(OwnerStopsWhenClaimCannotBeConfirmed);
  CPPUNIT_TEST(RetryAfterGrowsWithTheOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallOwnerHandsOverToMuchLargerNode() {
    CPPUNIT_ASSERT(RequestsTakeover(500));
  }

  void OwnerKeepsShardBesideSlightlyLargerNode() {
    CPPUNIT_ASSERT(!RequestsTakeover(150));
  }

  void FirstNodeClaimsTheShard() {
    NodeFixture fixture;
    fixture.core.OnClaimsRead(fixture.now);
    CPPUNIT_ASSERT_EQUAL(1, fixture.claim_attempts);
    fixture.core.OnClaimed(MakeClaim("b", 1), fixture.now);
    CPPUNIT_ASSERT(fixture.core.owns());
  }

  void OwnsWhenStreamDeliversClaimBeforeAppendAnswer() {
    NodeFixture fixture;
    fixture.core.OnClaimsRead(fixture.now);
    fixture.core.OnClaim(MakeClaim("b", 1), fixture.now);
    fixture.core.OnClaimed(MakeClaim("b", 1), fixture.now);
    CPPUNIT_ASSERT(fixture.core.owns());
  }

  void RestartedNodeClaimsAgain() {
    NodeFixture fixture;
    fixture.core.OnClaim(MakeClaim("b", 7), fixture.now);
    fixture.core.OnClaimsRead(fixture.now);
    CPPUNIT_ASSERT(!fixture.core.owns());
    CPPUNIT_ASSERT_EQUAL(1, fixture.claim_attempts);
  }

  void SilentOwnerIsReplacedAfterProbe() {
    NodeFixture fixture;
    FollowOwner(fixture);
    fixture.Advance(milliseconds(800));
    fixture.AnswerProbe("c", false);
    fixture.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(1, fixture.claim_attempts);
  }

  void OwnerHeardByOthersIsNotReplaced() {
    NodeFixture fixture;
    FollowOwner(fixture);
    fixture.Advance(milliseconds(800));
    for (int i = 0; i < 100; ++i) {
      if (fixture.sent.back().kind == MessageKind::kProbe) {
        fixture.AnswerProbe("c", true);
      }
      fixture.Advance(milliseconds(50));
    }
    CPPUNIT_ASSERT_EQUAL(0, fixture.claim_attempts);
  }

  void IsolatedNodeWaitsBeforeClaiming() {
    NodeFixture fixture;
    FollowOwner(fixture);
    fixture.Advance(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(0, fixture.claim_attempts);
    fixture.Advance(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(1, fixture.claim_attempts);
  }

  void NewerClaimEndsOwnership() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    fixture.core.OnClaim(MakeClaim("c", 9), fixture.now);
    CPPUNIT_ASSERT(!fixture.core.owns());
    CPPUNIT_ASSERT(!fixture.stop_reason.empty());
  }

  void OwnerThatLosesTheStoreHandsOver() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    fixture.core.OnStoreResult(false, fixture.now);
    for (int i = 0; i < 20; ++i) {
      ReceiveHello(fixture, "c");
      fixture.Advance(milliseconds(50));
    }
    const auto takeover_requests =
        std::count_if(fixture.sent.begin(), fixture.sent.end(),
                      [](const NodeMessage& message) {
                        return message.kind == MessageKind::kTakeOver;
                      });
    CPPUNIT_ASSERT(takeover_requests > 0);
    CPPUNIT_ASSERT(fixture.core.owns());
  }

  void OwnerStopsWhenClaimCannotBeConfirmed() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    fixture.core.OnStoreResult(false, fixture.now);
    fixture.Advance(std::chrono::seconds(9));
    CPPUNIT_ASSERT(fixture.core.owns());
    fixture.Advance(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!fixture.core.owns());
  }

 private:
  static void FollowOwner(NodeFixture& fixture) {
    fixture.core.OnClaim(MakeClaim("a", 1), fixture.now);
    fixture.core.OnClaimsRead(fixture.now);
    fixture.Advance(milliseconds(1000));
    fixture.ReceiveOwnerState("a", 1, {MakeNode("b"), MakeNode("c", 1)});
  }
  static void BecomeOwner(NodeFixture& fixture) {
    fixture.core.OnClaimsRead(fixture.now);
    fixture.core.OnClaimed(MakeClaim("b", 1), fixture.now);
  }
  static void ReceiveHello(NodeFixture& fixture, const std::string& from) {
    fixture.core.OnMessage({.kind = MessageKind::kHello,
                            .sender = MakeNode(from),
                            .claim = fixture.core.claim(),
                            .store_reached = true},
                           fixture.now);
  }

 private:
  // Whether an owner of rank 100 asks a node of rank `rank` to take over.
  static bool RequestsTakeover(std::uint32_t rank) {
    NodeFixture fixture;
    fixture.core.OnClaimsRead(fixture.now);
    fixture.core.OnClaimed(MakeClaim("b", 1), fixture.now);
    for (int i = 0; i < 20; ++i) {
      fixture.core.OnMessage({.kind = MessageKind::kHello,
                              .sender = MakeNode("a", rank),
                              .claim = MakeClaim("b", 1),
                              .store_reached = true},
                             fixture.now);
      fixture.Advance(milliseconds(250));
    }
    return std::any_of(fixture.sent.begin(), fixture.sent.end(),
                       [](const NodeMessage& message) {
                         return message.kind == MessageKind::kTakeOver;
                       });
  }

  void RetryAfterGrowsWithTheOutage() {
    NodeFixture fixture;
    // No owner is known yet.
    CPPUNIT_ASSERT(fixture.core.RetryAfter(fixture.now) ==
                   std::chrono::seconds(1));
    fixture.core.OnClaim(MakeClaim("a", 1), fixture.now);
    fixture.core.OnClaimsRead(fixture.now);
    fixture.ReceiveOwnerState("a", 1);
    fixture.Advance(milliseconds(100));
    CPPUNIT_ASSERT(fixture.core.RetryAfter(fixture.now) ==
                   std::chrono::seconds(1));
    fixture.core.OnStoreResult(false, fixture.now);
    fixture.now += milliseconds(2500);
    fixture.ReceiveOwnerState("a", 1);
    CPPUNIT_ASSERT(fixture.core.RetryAfter(fixture.now) == milliseconds(2500));
    fixture.core.OnStoreResult(true, fixture.now);
    CPPUNIT_ASSERT(fixture.core.RetryAfter(fixture.now) ==
                   std::chrono::seconds(1));
    // The owner falls silent.
    fixture.Advance(std::chrono::seconds(4));
    CPPUNIT_ASSERT(fixture.core.RetryAfter(fixture.now) >
                   std::chrono::seconds(2));
    fixture.Advance(std::chrono::seconds(9));
    CPPUNIT_ASSERT(fixture.core.RetryAfter(fixture.now) ==
                   std::chrono::seconds(4));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ElectionCoreTest, "election_core_test");

}  // namespace carobmast::node
