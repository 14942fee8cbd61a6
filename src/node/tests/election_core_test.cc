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
              .claim =
                  [this](const ClaimBasis& basis) {
                    ++claim_attempts;
                    claim_reason = basis.reason;
                  },
              .stop_owning =
                  [this](const std::string& reason) { stop_reason = reason; },
              .node_answered =
                  [this](const NodeMessage& answer) {
                    answers.push_back(answer);
                  },
              .log_change =
                  [this](const std::string& event, const std::string& detail) {
                    if (event == "hand over") successors.push_back(detail);
                  }}) {}

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
  std::string claim_reason;
  std::string stop_reason;
  std::vector<NodeMessage> answers;
  // The nodes that were asked to take over, in this order.
  std::vector<std::string> successors;
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
  CPPUNIT_TEST(NodeThatWasCutOffClaimsBesideALivingOwner);
  CPPUNIT_TEST(NodeAloneWithTheStoreWaitsForAnswersForever);
  CPPUNIT_TEST(NewerClaimEndsOwnership);
  CPPUNIT_TEST(SecondClaimOfANodeStartsASecondOwner);
  CPPUNIT_TEST(LateAnswerToAnOldClaimStartsASecondOwner);
  CPPUNIT_TEST(StateThatWasHeldUpSetsTheOwnersClockBack);
  CPPUNIT_TEST(ClockOfAFormerOwnerIsTakenForThatOfItsSuccessor);
  CPPUNIT_TEST(OwnerThatLosesTheStoreHandsOver);
  CPPUNIT_TEST(FirstNodeToReachTheStoreTakesOverBeforeALargerOne);
  CPPUNIT_TEST(LeavingNodeIsAskedToTakeOver);
  CPPUNIT_TEST(NodeThatDoesNotClaimIsAskedForever);
  CPPUNIT_TEST(NodeAskedInAnOutageIsPassedOverAfterIt);
  CPPUNIT_TEST(NodeThatRegainsTheStoreAndDoesNotClaimIsAskedForever);
  CPPUNIT_TEST(NodeThatKeepsLosingTheStoreIsAskedForever);
  CPPUNIT_TEST(NodeThatRestartsNextTakesOver);
  CPPUNIT_TEST(SmallNodeOwnsTheShardAgainAfterARestart);
  CPPUNIT_TEST(RestartedNodeWaitsForLargerNodesInVain);
  CPPUNIT_TEST(EachHelloIsAnsweredWithAllMembers);
  CPPUNIT_TEST(OwnerStopsWhenClaimCannotBeConfirmed);
  CPPUNIT_TEST(RetryAfterGrowsWithTheOutage);
  CPPUNIT_TEST(NodeThatKnowsALaterOwnerConfirmsThisOne);
  CPPUNIT_TEST(OwnerTimeOfAFormerOwnerIsReturnedToItsSuccessor);
  CPPUNIT_TEST(NewOwnerWaitsForTheNextHello);
  CPPUNIT_TEST(FirstOwnerCountsAsSucceedingAnEarlierVersion);
  CPPUNIT_TEST(FormerOwnerOfAnEarlierVersionIsForgotten);
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
    CPPUNIT_ASSERT_EQUAL(std::string("no owner yet"), fixture.claim_reason);
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
    CPPUNIT_ASSERT_EQUAL(std::string("owner before its restart"),
                         fixture.claim_reason);
  }

  void SilentOwnerIsReplacedAfterProbe() {
    NodeFixture fixture;
    FollowOwner(fixture);
    fixture.Advance(milliseconds(800));
    fixture.AnswerProbe("c", false);
    fixture.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(1, fixture.claim_attempts);
    CPPUNIT_ASSERT_EQUAL(std::string("no node hears the owner"),
                         fixture.claim_reason);
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
    CPPUNIT_ASSERT_EQUAL(std::string("no node answers"), fixture.claim_reason);
  }

  // Guards against a probe that was sent while the node was cut off and ends
  // once the store is back: nobody could answer it.
  void NodeThatWasCutOffClaimsBesideALivingOwner() {
    for (int phase = 0; phase < kProbePhases; ++phase) {
      for (const bool owner_answers : {false, true}) {
        NodeFixture fixture;
        RegainStore(fixture, phase);
        fixture.Advance(milliseconds(50));
        const auto hello =
            std::find_if(fixture.sent.begin(), fixture.sent.end(),
                         [](const NodeMessage& message) {
                           return message.kind == MessageKind::kHello;
                         });
        CPPUNIT_ASSERT(hello != fixture.sent.end());
        if (owner_answers) {
          fixture.ReceiveOwnerState("a", 1);
        } else {
          fixture.AnswerProbe("c", true);
        }
        fixture.Advance(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(0, fixture.claim_attempts);
      }
    }
  }

  void NodeAloneWithTheStoreWaitsForAnswersForever() {
    const ElectionOptions options;
    for (int phase = 0; phase < kProbePhases; ++phase) {
      NodeFixture fixture;
      RegainStore(fixture, phase);
      fixture.Advance(options.probe_pause + options.probe_wait);
      CPPUNIT_ASSERT_EQUAL(1, fixture.claim_attempts);
    }
  }

  void NewerClaimEndsOwnership() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    fixture.core.OnClaim(MakeClaim("c", 9), fixture.now);
    CPPUNIT_ASSERT(!fixture.core.owns());
    CPPUNIT_ASSERT(!fixture.stop_reason.empty());
  }

  // Guards against two owners in one process, the first of which is never
  // stopped.
  void SecondClaimOfANodeStartsASecondOwner() {
    NodeFixture fixture;
    ClaimTwice(fixture);
    CPPUNIT_ASSERT(fixture.core.OnClaimed(MakeClaim("b", 6), fixture.now));
    CPPUNIT_ASSERT(fixture.stop_reason.empty());
    CPPUNIT_ASSERT(fixture.core.OnClaimed(MakeClaim("b", 7), fixture.now));
    CPPUNIT_ASSERT(!fixture.stop_reason.empty());
    CPPUNIT_ASSERT(fixture.core.owns());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fixture.core.claim().token);
  }

  void LateAnswerToAnOldClaimStartsASecondOwner() {
    NodeFixture fixture;
    ClaimTwice(fixture);
    CPPUNIT_ASSERT(fixture.core.OnClaimed(MakeClaim("b", 7), fixture.now));
    CPPUNIT_ASSERT(!fixture.core.OnClaimed(MakeClaim("b", 6), fixture.now));
    CPPUNIT_ASSERT(fixture.stop_reason.empty());
    CPPUNIT_ASSERT(fixture.core.owns());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, fixture.core.claim().token);
  }

  void StateThatWasHeldUpSetsTheOwnersClockBack() {
    NodeFixture fixture;
    FollowOwner(fixture);
    const Duration ahead = std::chrono::hours(5);
    const auto receive_state = [&fixture, ahead](Duration delay) {
      fixture.core.OnMessage({.kind = MessageKind::kOwnerState,
                              .sender = MakeNode("a"),
                              .claim = MakeClaim("a", 1),
                              .owner_time = fixture.now + ahead - delay},
                             fixture.now);
    };
    receive_state(Duration::zero());
    fixture.now += milliseconds(3000);
    receive_state(milliseconds(2500));
    const std::optional<MonotonicTime> clock =
        fixture.core.OwnerClock(fixture.now);
    CPPUNIT_ASSERT(clock.has_value());
    CPPUNIT_ASSERT(clock <= fixture.now + ahead);
    CPPUNIT_ASSERT(clock >= fixture.now + ahead - milliseconds(10));
  }

  void ClockOfAFormerOwnerIsTakenForThatOfItsSuccessor() {
    NodeFixture fixture;
    FollowOwner(fixture);
    const MonotonicTime owner_time{std::chrono::hours(7)};
    fixture.core.OnMessage({.kind = MessageKind::kOwnerState,
                            .sender = MakeNode("a"),
                            .claim = MakeClaim("a", 1),
                            .owner_time = owner_time},
                           fixture.now);
    CPPUNIT_ASSERT(fixture.core.HasHeardClaim());
    CPPUNIT_ASSERT(owner_time + milliseconds(300) ==
                   fixture.core.OwnerClock(fixture.now + milliseconds(300)));
    fixture.core.OnClaim(MakeClaim("c", 2), fixture.now);
    CPPUNIT_ASSERT(!fixture.core.HasHeardClaim());
    CPPUNIT_ASSERT(!fixture.core.OwnerClock(fixture.now).has_value());
  }

  void OwnerThatLosesTheStoreHandsOver() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    fixture.core.OnStoreResult(false, fixture.now);
    for (int i = 0; i < 20; ++i) {
      ReceiveHello(fixture, MakeNode("c"));
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

  // Guards against handing over to the smallest node, which needs seconds to
  // restore the shard, because it is the first to report after an outage.
  void FirstNodeToReachTheStoreTakesOverBeforeALargerOne() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    for (int i = 0; i < 10; ++i) {
      const bool large_reaches_store = i >= 4;
      ReceiveHello(fixture, {.name = "small", .rank = 60});
      ReceiveHello(fixture, {.name = "large", .rank = 500},
                   large_reaches_store);
      fixture.core.Leave(fixture.now);
      fixture.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT(!fixture.successors.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("large"), fixture.successors.front());
  }

  // Guards against asking nodes that are shutting down as well.
  void LeavingNodeIsAskedToTakeOver() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    for (int i = 0; i < 10; ++i) {
      fixture.core.OnMessage({.kind = MessageKind::kHello,
                              .sender = MakeNode("large", 500),
                              .claim = fixture.core.claim(),
                              .store_reached = true,
                              .leaving = true},
                             fixture.now);
      ReceiveHello(fixture, {.name = "small", .rank = 60});
      fixture.core.Leave(fixture.now);
      fixture.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT(!fixture.successors.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("small"), fixture.successors.front());
  }

  // Guards against an owner that asks one node until its time to stop is over.
  void NodeThatDoesNotClaimIsAskedForever() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    for (int i = 0; i < 30; ++i) {
      ReceiveHello(fixture, {.name = "large", .rank = 500});
      ReceiveHello(fixture, {.name = "small", .rank = 60});
      fixture.core.Leave(fixture.now);
      fixture.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("large"), fixture.successors.front());
    CPPUNIT_ASSERT_EQUAL(std::string("small"), fixture.successors.back());
  }

  // Guards against handing over to the smallest node after an outage, because
  // the large one was asked before it had noticed that the store was out.
  void NodeAskedInAnOutageIsPassedOverAfterIt() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    AskLargeNodeInAnOutage(fixture);
    for (int i = 0; i < 10; ++i) {
      const bool large_reaches_store = i >= 2;
      ReceiveHello(fixture, {.name = "small", .rank = 60});
      ReceiveHello(fixture, {.name = "large", .rank = 500},
                   large_reaches_store);
      fixture.core.Leave(fixture.now);
      fixture.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT(!fixture.successors.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("large"), fixture.successors.front());
  }

  void NodeThatRegainsTheStoreAndDoesNotClaimIsAskedForever() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    AskLargeNodeInAnOutage(fixture);
    for (int i = 0; i < 30; ++i) {
      ReceiveHello(fixture, {.name = "large", .rank = 500});
      ReceiveHello(fixture, {.name = "small", .rank = 60});
      fixture.core.Leave(fixture.now);
      fixture.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("large"), fixture.successors.front());
    CPPUNIT_ASSERT_EQUAL(std::string("small"), fixture.successors.back());
  }

  void NodeThatKeepsLosingTheStoreIsAskedForever() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    for (int i = 0; i < 30; ++i) {
      const bool large_reaches_store = i % 10 < 5;
      ReceiveHello(fixture, {.name = "large", .rank = 500},
                   large_reaches_store);
      ReceiveHello(fixture, {.name = "small", .rank = 60});
      fixture.core.Leave(fixture.now);
      fixture.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("large"), fixture.successors.front());
    CPPUNIT_ASSERT(std::find(fixture.successors.begin(),
                             fixture.successors.end(),
                             "small") != fixture.successors.end());
  }

  // Guards against one hand-over for each node of a rolling restart: nodes that
  // have come back already stay.
  void NodeThatRestartsNextTakesOver() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    ReceiveHello(fixture, MakeNode("c"));
    ReceiveHello(fixture, MakeNode("d"));
    // Node "d" restarts meanwhile.
    for (int i = 0; i < 20; ++i) {
      fixture.Advance(milliseconds(250));
      ReceiveHello(fixture, MakeNode("c"));
    }
    ReceiveHello(fixture, MakeNode("d"));
    fixture.core.Leave(fixture.now);
    CPPUNIT_ASSERT_EQUAL(std::string("d"), fixture.successors.front());
  }

  // Guards against a node that is too small for the fleet and, after all nodes
  // lost power, owns the shard again because it was the last owner.
  void SmallNodeOwnsTheShardAgainAfterARestart() {
    NodeFixture fixture("b", 60);
    RestartAsOwner(fixture);
    fixture.Advance(milliseconds(100));
    ReceiveHello(fixture, {.name = "middle", .rank = 200});
    ReceiveHello(fixture, {.name = "large", .rank = 500});
    fixture.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(0, fixture.claim_attempts);
    CPPUNIT_ASSERT_EQUAL(std::string("large"), fixture.successors.front());
  }

  void RestartedNodeWaitsForLargerNodesInVain() {
    NodeFixture fixture("b", 60);
    RestartAsOwner(fixture);
    CPPUNIT_ASSERT_EQUAL(0, fixture.claim_attempts);
    fixture.Advance(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(1, fixture.claim_attempts);
  }

  // Guards against answers that grow with the number of nodes: the owner of a
  // large cluster would spend its link and processor on them.
  void EachHelloIsAnsweredWithAllMembers() {
    NodeFixture fixture;
    BecomeOwner(fixture);
    for (int round = 0; round < 2; ++round) {
      for (std::uint32_t i = 0; i < 100; ++i) {
        ReceiveHello(fixture, MakeNode("n" + std::to_string(i), 100 + i));
      }
      fixture.Advance(milliseconds(250));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, fixture.sent.size());
    std::size_t listed = 0;
    for (std::size_t i = 0; i < fixture.sent.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(i < 100, fixture.sent[i].has_details);
      listed = std::max(listed, fixture.sent[i].members.size());
    }
    CPPUNIT_ASSERT(listed <= ElectionOptions().max_listed_members);
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

  void NodeThatKnowsALaterOwnerConfirmsThisOne() {
    NodeFixture owner;
    owner.core.OnClaimsRead(owner.now);
    owner.core.OnClaimed(MakeClaim("b", 5), owner.now);
    const MonotonicTime asked_at = owner.now;
    const auto say_hello = [&owner, asked_at](std::uint64_t token) {
      owner.core.OnMessage({.kind = MessageKind::kHello,
                            .sender = MakeNode("a"),
                            .claim = MakeClaim("b", token),
                            .owner_time = asked_at},
                           owner.now);
    };
    // It does not know this owner yet.
    say_hello(4);
    CPPUNIT_ASSERT(owner.answers.empty());
    say_hello(5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.answers.size());
    say_hello(6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.answers.size());
    CPPUNIT_ASSERT(!owner.core.owns());
  }

  void OwnerTimeOfAFormerOwnerIsReturnedToItsSuccessor() {
    NodeFixture node;
    node.core.OnClaim(MakeClaim("a", 1), node.now);
    node.core.OnClaimsRead(node.now);
    SendOwnerTime(node, "a", 1, node.now);
    CPPUNIT_ASSERT(node.sent.back().owner_time == node.now);
    // The claim is known from the stream; its owner has not been heard.
    node.core.OnClaim(MakeClaim("c", 2), node.now);
    node.Advance(milliseconds(300));
    CPPUNIT_ASSERT(node.sent.back().claim.token == 2);
    CPPUNIT_ASSERT(!node.sent.back().owner_time.has_value());
    // A late message of the former owner.
    SendOwnerTime(node, "a", 1, node.now);
    node.Advance(milliseconds(300));
    CPPUNIT_ASSERT(!node.sent.back().owner_time.has_value());
  }

  void NewOwnerWaitsForTheNextHello() {
    NodeFixture node;
    node.core.OnClaim(MakeClaim("a", 1), node.now);
    node.core.OnClaimsRead(node.now);
    node.sent.clear();
    SendOwnerTime(node, "a", 1, node.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.sent.size());
    CPPUNIT_ASSERT(node.sent.back().kind == MessageKind::kHello);
    SendOwnerTime(node, "a", 1, node.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.sent.size());
  }

  void FirstOwnerCountsAsSucceedingAnEarlierVersion() {
    const WallTime now{std::chrono::hours(1)};
    FormerOwners former = FindFormerOwners(std::nullopt, "a", now);
    CPPUNIT_ASSERT(former.names.empty() && former.need_nodes && !former.any);
    const OwnerClaim first{.token = 1,
                           .node = "a",
                           .claimed_at = now,
                           .needs_nodes = true,
                           .former_need_nodes = former.need_nodes};
    // The process before may have sent orders that are still on their way.
    former = FindFormerOwners(first, "a", now + std::chrono::seconds(1));
    CPPUNIT_ASSERT(former.names.empty() && former.any);
    former = FindFormerOwners(first, "b", now + std::chrono::seconds(1));
    CPPUNIT_ASSERT(former.names == std::set<std::string>{"a"});
    CPPUNIT_ASSERT(former.need_nodes);
  }

  // Guards against relying on nodes while an owner that does not need them may
  // extend leases.
  void FormerOwnerOfAnEarlierVersionIsForgotten() {
    const WallTime now{std::chrono::hours(1)};
    const OwnerClaim earlier_version{
        .token = 1, .node = "a", .claimed_at = now};
    FormerOwners former = FindFormerOwners(earlier_version, "b", now);
    CPPUNIT_ASSERT(!former.need_nodes);
    const OwnerClaim next{.token = 2,
                          .node = "b",
                          .former = {"a"},
                          .claimed_at = now,
                          .needs_nodes = true,
                          .former_need_nodes = former.need_nodes};
    former = FindFormerOwners(next, "c", now + std::chrono::seconds(29));
    CPPUNIT_ASSERT(former.names.contains("a") && !former.need_nodes);
    former = FindFormerOwners(next, "c", now + std::chrono::seconds(31));
    CPPUNIT_ASSERT(former.names == std::set<std::string>{"b"});
    CPPUNIT_ASSERT(former.need_nodes);
  }

 private:
  // Ticks in which a node that does not hear the owner probes once.
  static constexpr int kProbePhases = 7;

  static void SendOwnerTime(NodeFixture& node, const std::string& owner,
                            std::uint64_t token, MonotonicTime owner_time) {
    node.core.OnMessage({.kind = MessageKind::kOwnerState,
                         .sender = MakeNode(owner),
                         .claim = MakeClaim(owner, token),
                         .owner_time = owner_time},
                        node.now);
  }

  // The claim of the first attempt is not answered yet when another owner asks
  // this node to take over.
  static void ClaimTwice(NodeFixture& fixture) {
    fixture.core.OnClaimsRead(fixture.now);
    fixture.core.OnClaim(MakeClaim("a", 5), fixture.now);
    fixture.core.OnMessage({.kind = MessageKind::kTakeOver,
                            .sender = MakeNode("a"),
                            .claim = MakeClaim("a", 5)},
                           fixture.now);
    CPPUNIT_ASSERT_EQUAL(2, fixture.claim_attempts);
  }

  static void FollowOwner(NodeFixture& fixture) {
    fixture.core.OnClaim(MakeClaim("a", 1), fixture.now);
    fixture.core.OnClaimsRead(fixture.now);
    fixture.Advance(milliseconds(1000));
    fixture.ReceiveOwnerState("a", 1, {MakeNode("b"), MakeNode("c", 1)});
  }
  // A node that has been cut off from all others and the store for 5 s, and
  // `phase` ticks more, reaches the store again. Forgets what it sent before.
  static void RegainStore(NodeFixture& fixture, int phase) {
    FollowOwner(fixture);
    fixture.core.OnStoreResult(false, fixture.now);
    fixture.Advance(milliseconds(5000 + 50 * phase));
    CPPUNIT_ASSERT_EQUAL(0, fixture.claim_attempts);
    fixture.sent.clear();
    fixture.core.OnStoreResult(true, fixture.now);
  }
  // The newest claim is from an earlier run of this node, which knew a node of
  // rank 500.
  static void RestartAsOwner(NodeFixture& fixture) {
    OwnerClaim claim = MakeClaim("b", 7);
    claim.highest_rank = 500;
    fixture.core.OnClaim(claim, fixture.now);
    fixture.core.OnClaimsRead(fixture.now);
  }
  static void BecomeOwner(NodeFixture& fixture) {
    fixture.core.OnClaimsRead(fixture.now);
    fixture.core.OnClaimed(MakeClaim("b", 1), fixture.now);
  }
  static void ReceiveHello(NodeFixture& fixture, const NodeInfo& from,
                           bool store_reached = true) {
    fixture.core.OnMessage({.kind = MessageKind::kHello,
                            .sender = MakeNode(from.name, from.rank),
                            .claim = fixture.core.claim(),
                            .store_reached = store_reached},
                           fixture.now);
  }
  // The owner leaves and asks the large node, which still reports that it
  // reaches the store. Both nodes notice the outage 0.4 s later; it ends 2 s
  // after the request. Forgets the requests made so far.
  static void AskLargeNodeInAnOutage(NodeFixture& fixture) {
    for (int i = 0; i < 20; ++i) {
      const bool outage_is_noticed = i >= 4;
      ReceiveHello(fixture, {.name = "large", .rank = 500}, !outage_is_noticed);
      ReceiveHello(fixture, {.name = "small", .rank = 60}, !outage_is_noticed);
      fixture.core.Leave(fixture.now);
      fixture.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT(!fixture.successors.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("large"), fixture.successors.front());
    fixture.successors.clear();
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
