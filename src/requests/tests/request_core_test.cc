// Tests single decisions of the core, with hooks that record its commands.
#include "requests/request_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carobmast::requests {

namespace {

constexpr char kService[] = "portal";
constexpr Duration kDeadline = std::chrono::seconds(1);
constexpr Duration kStep = std::chrono::milliseconds(1);

Instance MakeInstance(const std::string& name, const std::string& zone = "a") {
  return {.service = kService, .name = name, .address = name, .zone = zone};
}

}  // namespace

class RequestCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestCoreTest);
  CPPUNIT_TEST(NotRunWhenConnectFails);
  CPPUNIT_TEST(UnknownWhenConnectionFailsAfterFirstByte);
  CPPUNIT_TEST(RefusalByTargetIsNotRunAndRetried);
  CPPUNIT_TEST(NonIdempotentAnswerIsNeverRetried);
  CPPUNIT_TEST(RetriesStayInBudget);
  CPPUNIT_TEST(RetryGoesToAnotherInstance);
  CPPUNIT_TEST(LateAnswerIsDropped);
  CPPUNIT_TEST(CutAnswerClosesCallersConnection);
  CPPUNIT_TEST(NothingIsSentAfterDeadline);
  CPPUNIT_TEST(ConnectionWithLateAnswerIsNotReused);
  CPPUNIT_TEST(DepartedCallerFreesSlot);
  CPPUNIT_TEST(TeamLimitRefuses);
  CPPUNIT_TEST(QueueIsBounded);
  CPPUNIT_TEST(WaitingRequestIsShedBeforeDeadline);
  CPPUNIT_TEST(UrgentGoesFirstWithoutStarvingLow);
  CPPUNIT_TEST(LongRequestsLeaveSlotsToShortOnes);
  CPPUNIT_TEST(FailingInstanceIsEjected);
  CPPUNIT_TEST(EjectionsAreIgnoredWhenMostInstancesFail);
  CPPUNIT_TEST(SlowInstanceGetsFewerSlots);
  CPPUNIT_TEST(LeavingInstanceStaysLeaving);
  CPPUNIT_TEST(LeavingHeaderStopsNewRequests);
  CPPUNIT_TEST(RefusalUnderKeyReportsRanUnknown);
  CPPUNIT_TEST(SpillsToOtherZoneWhenOwnIsFull);
  CPPUNIT_TEST(BorrowedSlotIsUsedAndReturned);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Start({}); }

  void NotRunWhenConnectFails() {
    Send(1, false);
    core_->OnAttemptFailed(last_.attempt, now_);
    // Nothing was sent, so the request may be retried at another instance.
    Wait(std::chrono::milliseconds(20));
    core_->OnAttemptFailed(last_.attempt, now_);
    Wait(std::chrono::milliseconds(40));
    core_->OnAttemptFailed(last_.attempt, now_);
    ExpectRefused(1, Reason::kInstanceFailed, Ran::kNo);
    CPPUNIT_ASSERT_EQUAL(3U, last_.number);
  }

  void UnknownWhenConnectionFailsAfterFirstByte() {
    Send(1, false);
    SendFirstByte();
    core_->OnAttemptFailed(last_.attempt, now_);
    ExpectRefused(1, Reason::kInstanceFailed, Ran::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders_.size());
  }

  void RefusalByTargetIsNotRunAndRetried() {
    Send(1, false);
    SendFirstByte();
    CPPUNIT_ASSERT(AnswerHandling::kDrain ==
                   Head({.status = 503, .refused = true}));
    core_->OnAnswerEnd(last_.attempt, AnswerEnd::kWhole, now_);
    Wait(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(2U, last_.number);
    SendFirstByte();
    Answer();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, core_->counters().answered);
  }

  void NonIdempotentAnswerIsNeverRetried() {
    Send(1, false);
    SendFirstByte();
    // Without the target's report a 503 does not tell whether the request was
    // executed.
    CPPUNIT_ASSERT(AnswerHandling::kForward == Head({.status = 503}));
    core_->OnAnswerEnd(last_.attempt, AnswerEnd::kWhole, now_);
    Wait(kDeadline);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders_.size());
  }

  void RetriesStayInBudget() {
    for (RequestId id = 1; id <= 200; ++id) {
      Send(id, true);
      const std::size_t first = orders_.size() - 1;
      for (std::size_t i = first; i < orders_.size(); ++i) {
        core_->OnConnected(orders_[i].attempt);
        core_->OnSent(orders_[i].attempt, now_);
        core_->OnAttemptFailed(orders_[i].attempt, now_);
        Wait(std::chrono::milliseconds(50));
      }
    }
    // A tenth of the requests, and the budget at the start.
    CPPUNIT_ASSERT(core_->counters().retries <= 200 / 10 + 10);
    CPPUNIT_ASSERT(core_->counters().retries >= 10);
  }

  void RetryGoesToAnotherInstance() {
    for (RequestId id = 1; id <= 20; ++id) {
      // With a new core, so that no instance is ejected.
      Start({.seed = id});
      SetInstances({MakeInstance("i1"), MakeInstance("i2")});
      Send(id, false);
      const std::string failed = last_.instance;
      core_->OnAttemptFailed(last_.attempt, now_);
      Wait(std::chrono::milliseconds(20));
      CPPUNIT_ASSERT_EQUAL(2U, last_.number);
      CPPUNIT_ASSERT(failed != last_.instance);
    }
  }

  void LateAnswerIsDropped() {
    Send(1, true);
    SendFirstByte();
    Wait(kDeadline);
    ExpectRefused(1, Reason::kDeadlinePassed, Ran::kUnknown);
    CPPUNIT_ASSERT(AnswerHandling::kDrop == Head({}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, core_->connections().open());
  }

  void CutAnswerClosesCallersConnection() {
    Send(1, true);
    SendFirstByte();
    CPPUNIT_ASSERT(AnswerHandling::kForward == Head({}));
    core_->OnAnswerEnd(last_.attempt, AnswerEnd::kCut, now_);
    CPPUNIT_ASSERT_EQUAL(std::vector<RequestId>{1}.size(), cut_.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, core_->counters().answered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, core_->connections().open());
  }

  void NothingIsSentAfterDeadline() {
    Send(1, false);
    core_->OnConnected(last_.attempt);
    // The process was paused: no timer has run.
    now_ += 2 * kDeadline;
    CPPUNIT_ASSERT(!core_->OnSent(last_.attempt, now_));
    ExpectRefused(1, Reason::kDeadlinePassed, Ran::kNo);
  }

  void ConnectionWithLateAnswerIsNotReused() {
    SetInstances({MakeInstance("i1")});
    Send(1, true);
    SendFirstByte();
    const ConnectionId first = last_.connection;
    Answer();
    Send(2, true);
    CPPUNIT_ASSERT_EQUAL(first, last_.connection);
    core_->OnSent(last_.attempt, now_);
    Wait(kDeadline);
    Send(3, true);
    CPPUNIT_ASSERT(first != last_.connection);
    CPPUNIT_ASSERT(last_.new_connection);
  }

  void DepartedCallerFreesSlot() {
    SetInstances({MakeInstance("i1")});
    for (RequestId id = 1; id <= 10; ++id) Send(id, true);
    const std::size_t sent = orders_.size();
    CPPUNIT_ASSERT(sent < 10);
    core_->OnCallerGone(1, now_);
    CPPUNIT_ASSERT_EQUAL(sent + 1, orders_.size());
    core_->OnCallerGone(10, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, core_->in_flight());
  }

  void TeamLimitRefuses() {
    SetRules({.name = kService, .team = "t", .team_max_requests = 2});
    for (RequestId id = 1; id <= 3; ++id) Send(id, true);
    ExpectRefused(3, Reason::kTeamLimit, Ran::kNo);
    SendFirstByte();
    Answer();
    Send(4, true);
    CPPUNIT_ASSERT(!refused_.contains(4));
  }

  void QueueIsBounded() {
    Start({.max_waiting = 5});
    SetInstances({MakeInstance("i1")});
    for (RequestId id = 1; id <= 30; ++id) Send(id, true);
    CPPUNIT_ASSERT_EQUAL(orders_.size() + 5, core_->in_flight());
    ExpectRefused(30, Reason::kQueueFull, Ran::kNo);
  }

  void WaitingRequestIsShedBeforeDeadline() {
    SetInstances({MakeInstance("i1")});
    for (RequestId id = 1; id <= 10; ++id) Send(id, true);
    // No request ends: the waiting ones are refused well before their deadline.
    Wait(kDeadline / 2);
    ExpectRefused(10, Reason::kDeadlineTooNear, Ran::kNo);
  }

  void UrgentGoesFirstWithoutStarvingLow() {
    RequestQueue queue(1);
    const auto any = [](std::size_t) { return true; };
    const MonotonicTime start = now_;
    queue.Push(1, 0, config::Priority::kLow, start);
    queue.Push(2, 0, config::Priority::kUrgent, start + kStep);
    CPPUNIT_ASSERT_EQUAL(RequestId{2}, queue.Front(any).value_or(0));
    queue.Push(3, 0, config::Priority::kUrgent,
               start + std::chrono::seconds(1));
    queue.Remove(2, {.effective_arrival = start + kStep});
    CPPUNIT_ASSERT_EQUAL(RequestId{1}, queue.Front(any).value_or(0));
  }

  void LongRequestsLeaveSlotsToShortOnes() {
    SetRules(
        {.name = kService,
         .deadline = std::chrono::seconds(60),
         .classes = {{.name = "short", .up_to = std::chrono::milliseconds(50)},
                     {.name = "long", .max_share = 50}}});
    SetInstances({MakeInstance("i1")});
    // The size class is learned from one answer, not from a declared size.
    Send(1, true, "GET /reports");
    SendFirstByte();
    now_ += std::chrono::milliseconds(500);
    Answer();
    orders_.clear();
    for (RequestId id = 2; id <= 20; ++id) Send(id, true, "GET /reports");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, orders_.size());
    for (RequestId id = 21; id <= 24; ++id) Send(id, true, "GET /checks");
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, orders_.size());
    // The next long request starts as soon as one ends.
    last_ = orders_[0];
    SendFirstByte();
    Answer();
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, orders_.size());
    CPPUNIT_ASSERT_EQUAL(RequestId{6}, orders_.back().request);
  }

  void FailingInstanceIsEjected() {
    std::map<std::string, int> sent;
    for (RequestId id = 1; id <= 60; ++id) {
      Send(id, false);
      ++sent[last_.instance];
      SendFirstByte();
      if (last_.instance == "i1") {
        Head({.status = 500});
        core_->OnAnswerEnd(last_.attempt, AnswerEnd::kWhole, now_);
      } else {
        Answer();
      }
    }
    CPPUNIT_ASSERT_EQUAL(3, sent["i1"]);
    CPPUNIT_ASSERT(sent["i2"] > 20);
  }

  void EjectionsAreIgnoredWhenMostInstancesFail() {
    for (RequestId id = 1; id <= 60; ++id) {
      Send(id, true);
      SendFirstByte();
      Head({.status = 500});
      core_->OnAnswerEnd(last_.attempt, AnswerEnd::kWhole, now_);
    }
    // All instances fail all requests, yet all requests are still sent.
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, orders_.size());
  }

  void SlowInstanceGetsFewerSlots() {
    InstanceHealth health;
    constexpr std::uint32_t kSlots = 8;
    constexpr Duration kUsual = std::chrono::milliseconds(10);
    for (int i = 0; i < 200; ++i) health.OnAnswer(4 * kUsual, kUsual, kSlots);
    CPPUNIT_ASSERT(health.is_slow());
    CPPUNIT_ASSERT_EQUAL(1U, health.Limit(kSlots));
    for (int i = 0; i < 200; ++i) health.OnAnswer(kUsual, kUsual, kSlots);
    CPPUNIT_ASSERT_EQUAL(kSlots, health.Limit(kSlots));
  }

  void LeavingInstanceStaysLeaving() {
    Instance leaving = MakeInstance("i1");
    leaving.leaving = true;
    SetInstances({leaving, MakeInstance("i2")});
    // The list no longer marks it as leaving.
    SetInstances({MakeInstance("i1"), MakeInstance("i2")});
    for (RequestId id = 1; id <= 8; ++id) Send(id, true);
    for (const SendOrder& order : orders_) {
      CPPUNIT_ASSERT_EQUAL(std::string("i2"), order.instance);
    }
  }

  void LeavingHeaderStopsNewRequests() {
    Send(1, true);
    const std::string leaving = last_.instance;
    SendFirstByte();
    Head({.leaving = true});
    core_->OnAnswerEnd(last_.attempt, AnswerEnd::kWhole, now_);
    for (RequestId id = 2; id <= 9; ++id) {
      Send(id, true);
      CPPUNIT_ASSERT(leaving != last_.instance);
    }
  }

  void RefusalUnderKeyReportsRanUnknown() {
    SetInstances({});
    core_->OnRequest({.id = 1, .service = kService, .key = "k"}, now_);
    ExpectRefused(1, Reason::kNoInstance, Ran::kUnknown);
    Send(2, false);
    ExpectRefused(2, Reason::kNoInstance, Ran::kNo);
  }

  void SpillsToOtherZoneWhenOwnIsFull() {
    SetInstances({MakeInstance("i1"), MakeInstance("i2", "b")});
    for (RequestId id = 1; id <= 8; ++id) Send(id, true);
    for (const SendOrder& order : orders_) {
      CPPUNIT_ASSERT_EQUAL(std::string("i1"), order.instance);
    }
    Send(9, true);
    CPPUNIT_ASSERT_EQUAL(std::string("i2"), last_.instance);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, core_->counters().spilled);
  }

  void BorrowedSlotIsUsedAndReturned() {
    Start({.policy = "homed"});
    core_->SetPeers({{.name = "g2", .zone = "a"}}, now_);
    SetInstances({MakeInstance("i1"), MakeInstance("i2")});
    for (RequestId id = 1; id <= 9; ++id) Send(id, true);
    // This gateway is the home of one instance; the ninth request waits for a
    // slot.
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, orders_.size());
    CPPUNIT_ASSERT(PeerVerb::kAsk == peer_messages_.back().verb);
    const std::string other = last_.instance == "i1" ? "i2" : "i1";
    core_->OnPeerMessage("g2",
                         {.verb = PeerVerb::kGrant,
                          .service = kService,
                          .slots = {{.instance = other, .count = 1}}},
                         now_);
    CPPUNIT_ASSERT_EQUAL(other, last_.instance);
    SendFirstByte();
    Answer();
    Wait(std::chrono::milliseconds(10));
    CPPUNIT_ASSERT(PeerVerb::kReturn == peer_messages_.back().verb);
  }

 private:
  void Start(CoreOptions options) {
    options.gateway = "g1";
    options.zone = "a";
    orders_.clear();
    refused_.clear();
    CoreHooks hooks;
    hooks.send = [this](const SendOrder& order) {
      last_ = order;
      orders_.push_back(order);
    };
    hooks.close_connection = [](ConnectionId) {};
    hooks.refuse = [this](RequestId id, const Refusal& refusal) {
      refused_[id] = refusal;
    };
    hooks.cut = [this](RequestId id) { cut_.push_back(id); };
    hooks.send_to_peer = [this](const std::string&,
                                const PeerMessage& message) {
      peer_messages_.push_back(message);
    };
    core_ = std::make_unique<RequestCore>(options, hooks);
    SetRules({.name = kService, .deadline = kDeadline});
    SetInstances({MakeInstance("i1"), MakeInstance("i2"), MakeInstance("i3")});
  }

  void SetRules(const ServiceRules& rules) {
    // Removes the service first, so that it starts without any state.
    core_->SetServices({}, now_);
    core_->SetServices({rules}, now_);
  }

  void SetInstances(const std::vector<Instance>& instances) {
    core_->SetInstances(instances, now_);
  }

  void Send(RequestId id, bool idempotent,
            const std::string& operation = "GET /checks") {
    core_->OnRequest({.id = id,
                      .service = kService,
                      .operation = operation,
                      .idempotent = idempotent},
                     now_);
  }

  // Reports that the last attempt is about to send its first byte.
  void SendFirstByte() {
    core_->OnConnected(last_.attempt);
    CPPUNIT_ASSERT(core_->OnSent(last_.attempt, now_));
  }

  AnswerHandling Head(const AnswerHead& head) {
    return core_->OnAnswerHead(last_.attempt, head, now_);
  }

  void Answer() {
    const AttemptId attempt = last_.attempt;
    CPPUNIT_ASSERT(AnswerHandling::kForward == Head({}));
    core_->OnAnswerEnd(attempt, AnswerEnd::kWhole, now_);
  }

  void Wait(Duration time) {
    const MonotonicTime end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      core_->Tick(now_);
    }
  }

  void ExpectRefused(RequestId id, Reason reason, Ran ran) {
    CPPUNIT_ASSERT(refused_.contains(id));
    CPPUNIT_ASSERT_EQUAL(std::string(ReasonName(reason)),
                         std::string(ReasonName(refused_[id].reason)));
    CPPUNIT_ASSERT_EQUAL(std::string(RanName(ran)),
                         std::string(RanName(refused_[id].ran)));
  }

  MonotonicTime now_{std::chrono::hours(1)};
  std::unique_ptr<RequestCore> core_;
  SendOrder last_;
  std::vector<SendOrder> orders_;
  std::map<RequestId, Refusal> refused_;
  std::vector<RequestId> cut_;
  std::vector<PeerMessage> peer_messages_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RequestCoreTest, "request_core_test");

}  // namespace carobmast::requests
