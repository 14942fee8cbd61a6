// Who owns the shard, as seen by one node.
#include "node/election_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace carobmast::node {
namespace {

using std::chrono::milliseconds;

NodeInfo Name(const std::string& name, std::uint32_t rank = 100) {
  return {
      .name = name, .address = {.ip = "127.0.0.1", .port = 1}, .rank = rank};
}

OwnerClaim ClaimOf(const std::string& node, std::uint64_t token) {
  return {.token = token, .node = node, .address = {.ip = "127.0.0.1"}};
}

// One node with a record of what it wanted done.
struct Bench {
  explicit Bench(const std::string& name = "b", std::uint32_t rank = 100)
      : core({.self = Name(name, rank)},
             {.send =
                  [this](const net::Address&, const NodeMessage& message) {
                    sent.push_back(message);
                  },
              .claim = [this] { ++claims; },
              .stop_owning =
                  [this](const std::string& reason) { stopped = reason; },
              .write_log = [](const std::string&, const std::string&) {}}) {}

  void Pass(Duration time) {
    for (Duration passed = Duration::zero(); passed < time;
         passed += milliseconds(50)) {
      now += milliseconds(50);
      core.Tick(now);
    }
  }
  void Hear(const std::string& owner, std::uint64_t token,
            std::vector<NodeInfo> members = {}) {
    core.OnMessage({.kind = MessageKind::kOwnerState,
                    .sender = Name(owner),
                    .claim = ClaimOf(owner, token),
                    .store_reached = true,
                    .members = std::move(members)},
                   now);
  }
  void AnswerProbe(const std::string& from, bool hears_owner,
                   std::uint32_t rank = 1) {
    core.OnMessage({.kind = MessageKind::kProbeAnswer,
                    .sender = Name(from, rank),
                    .claim = core.claim(),
                    .store_reached = true,
                    .hears_owner = hears_owner,
                    .round = sent.back().round},
                   now);
  }

  MonotonicTime now{std::chrono::hours(1)};
  std::vector<NodeMessage> sent;
  int claims = 0;
  std::string stopped;
  ElectionCore core;
};

}  // namespace

class ElectionCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ElectionCoreTest);
  CPPUNIT_TEST(FirstNodeClaims);
  CPPUNIT_TEST(SmallOwnerMakesWayForAMuchLargerNode);
  CPPUNIT_TEST(OwnerStaysBesideALittleLargerNode);
  CPPUNIT_TEST(OwnsThoughTheStreamToldTheClaimFirst);
  CPPUNIT_TEST(ClaimOfAnEarlierLifeIsFollowedByANewOne);
  CPPUNIT_TEST(SilentOwnerIsReplaced);
  CPPUNIT_TEST(OwnerThatOthersHearIsNotReplaced);
  CPPUNIT_TEST(IsolatedNodeWaits);
  CPPUNIT_TEST(NewerClaimEndsOwnership);
  CPPUNIT_TEST(OwnerWithoutTheStoreHandsOver);
  CPPUNIT_TEST(OwnerWithoutProofStops);
  CPPUNIT_TEST(RefusedCallersWaitLongerTheLongerTheOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallOwnerMakesWayForAMuchLargerNode() {
    CPPUNIT_ASSERT(AsksForATakeOver(500));
  }

  void OwnerStaysBesideALittleLargerNode() {
    CPPUNIT_ASSERT(!AsksForATakeOver(150));
  }

  void FirstNodeClaims() {
    Bench bench;
    bench.core.OnClaimsRead(bench.now);
    CPPUNIT_ASSERT_EQUAL(1, bench.claims);
    bench.core.OnClaimed(ClaimOf("b", 1), bench.now);
    CPPUNIT_ASSERT(bench.core.owns());
  }

  void OwnsThoughTheStreamToldTheClaimFirst() {
    Bench bench;
    bench.core.OnClaimsRead(bench.now);
    bench.core.OnClaim(ClaimOf("b", 1), bench.now);
    bench.core.OnClaimed(ClaimOf("b", 1), bench.now);
    CPPUNIT_ASSERT(bench.core.owns());
  }

  void ClaimOfAnEarlierLifeIsFollowedByANewOne() {
    Bench bench;
    bench.core.OnClaim(ClaimOf("b", 7), bench.now);
    bench.core.OnClaimsRead(bench.now);
    CPPUNIT_ASSERT(!bench.core.owns());
    CPPUNIT_ASSERT_EQUAL(1, bench.claims);
  }

  void SilentOwnerIsReplaced() {
    Bench bench;
    Follow(bench);
    bench.Pass(milliseconds(800));
    bench.AnswerProbe("c", false);
    bench.Pass(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(1, bench.claims);
  }

  void OwnerThatOthersHearIsNotReplaced() {
    Bench bench;
    Follow(bench);
    bench.Pass(milliseconds(800));
    for (int i = 0; i < 100; ++i) {
      if (bench.sent.back().kind == MessageKind::kProbe) {
        bench.AnswerProbe("c", true);
      }
      bench.Pass(milliseconds(50));
    }
    CPPUNIT_ASSERT_EQUAL(0, bench.claims);
  }

  void IsolatedNodeWaits() {
    Bench bench;
    Follow(bench);
    bench.Pass(milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(0, bench.claims);
    bench.Pass(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(1, bench.claims);
  }

  void NewerClaimEndsOwnership() {
    Bench bench;
    Own(bench);
    bench.core.OnClaim(ClaimOf("c", 9), bench.now);
    CPPUNIT_ASSERT(!bench.core.owns());
    CPPUNIT_ASSERT(!bench.stopped.empty());
  }

  void OwnerWithoutTheStoreHandsOver() {
    Bench bench;
    Own(bench);
    bench.core.OnStoreResult(false, bench.now);
    for (int i = 0; i < 20; ++i) {
      Hello(bench, "c");
      bench.Pass(milliseconds(50));
    }
    const auto asked = std::count_if(
        bench.sent.begin(), bench.sent.end(), [](const NodeMessage& message) {
          return message.kind == MessageKind::kTakeOver;
        });
    CPPUNIT_ASSERT(asked > 0);
    CPPUNIT_ASSERT(bench.core.owns());
  }

  void OwnerWithoutProofStops() {
    Bench bench;
    Own(bench);
    bench.core.OnStoreResult(false, bench.now);
    bench.Pass(std::chrono::seconds(9));
    CPPUNIT_ASSERT(bench.core.owns());
    bench.Pass(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!bench.core.owns());
  }

 private:
  static void Follow(Bench& bench) {
    bench.core.OnClaim(ClaimOf("a", 1), bench.now);
    bench.core.OnClaimsRead(bench.now);
    bench.Pass(milliseconds(1000));
    bench.Hear("a", 1, {Name("b"), Name("c", 1)});
  }
  static void Own(Bench& bench) {
    bench.core.OnClaimsRead(bench.now);
    bench.core.OnClaimed(ClaimOf("b", 1), bench.now);
  }
  static void Hello(Bench& bench, const std::string& from) {
    bench.core.OnMessage({.kind = MessageKind::kHello,
                          .sender = Name(from),
                          .claim = bench.core.claim(),
                          .store_reached = true},
                         bench.now);
  }

 private:
  // Whether an owner of rank 100 asks a node of `rank` to take over.
  static bool AsksForATakeOver(std::uint32_t rank) {
    Bench bench;
    bench.core.OnClaimsRead(bench.now);
    bench.core.OnClaimed(ClaimOf("b", 1), bench.now);
    for (int i = 0; i < 20; ++i) {
      bench.core.OnMessage({.kind = MessageKind::kHello,
                            .sender = Name("a", rank),
                            .claim = ClaimOf("b", 1),
                            .store_reached = true},
                           bench.now);
      bench.Pass(milliseconds(250));
    }
    return std::any_of(bench.sent.begin(), bench.sent.end(),
                       [](const NodeMessage& message) {
                         return message.kind == MessageKind::kTakeOver;
                       });
  }

  void RefusedCallersWaitLongerTheLongerTheOutage() {
    Bench bench;
    // Not yet told of any owner.
    CPPUNIT_ASSERT(bench.core.RetryAfter(bench.now) == std::chrono::seconds(1));
    bench.core.OnClaim(ClaimOf("a", 1), bench.now);
    bench.core.OnClaimsRead(bench.now);
    bench.Hear("a", 1);
    bench.Pass(milliseconds(100));
    CPPUNIT_ASSERT(bench.core.RetryAfter(bench.now) == std::chrono::seconds(1));
    bench.core.OnStoreResult(false, bench.now);
    bench.now += milliseconds(2500);
    bench.Hear("a", 1);
    CPPUNIT_ASSERT(bench.core.RetryAfter(bench.now) == milliseconds(2500));
    bench.core.OnStoreResult(true, bench.now);
    CPPUNIT_ASSERT(bench.core.RetryAfter(bench.now) == std::chrono::seconds(1));
    // The owner falls silent, for long.
    bench.Pass(std::chrono::seconds(4));
    CPPUNIT_ASSERT(bench.core.RetryAfter(bench.now) > std::chrono::seconds(2));
    bench.Pass(std::chrono::seconds(9));
    CPPUNIT_ASSERT(bench.core.RetryAfter(bench.now) == std::chrono::seconds(4));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ElectionCoreTest, "election_core_test");

}  // namespace carobmast::node
