// ShardCore: orders and answers of a worker that restarts under its ID, so that
// only its time of birth tells its incarnations apart.
#include <cppunit/extensions/HelperMacros.h>

#include "fuzz_worker.h"
#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;

class RestartedWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestartedWorkerTest);
  CPPUNIT_TEST(StartForTheFormerIncarnationOutlivesItsLease);
  CPPUNIT_TEST(AcknowledgementForTheFormerIncarnationHidesAnEnd);
  CPPUNIT_TEST(AnswerOfTheFormerIncarnationDelaysTheNextRun);
  CPPUNIT_TEST(TaskStartsByALabelOfTheFormerIncarnation);
  CPPUNIT_TEST(StartIsRepeatedOnAnIncarnationWithoutTheLabel);
  CPPUNIT_TEST(QueuedStartGoesToAnIncarnationWithoutTheLabel);
  CPPUNIT_TEST(EndsSeenByAFormerOwnerCountAsMissing);
  CPPUNIT_TEST(OrderSentBeforeTheRestartIsCarriedOutAfterIt);
  CPPUNIT_TEST(RefusalOfAnEarlierOrderEndsTheOwner);
  CPPUNIT_TEST(StartOverAnOpenConnectionOutlivesItsLease);
  CPPUNIT_TEST(LateStartOutlivesItsLease);
  CPPUNIT_TEST(LateHoldExtendsTheLeaseOfTheNextIncarnation);
  CPPUNIT_TEST(StartOvertakenByAnAcknowledgementRunsTwice);
  CPPUNIT_TEST(LateAcknowledgementHidesAnEnd);
  CPPUNIT_TEST(LateCopyOfAStartRunsAgainAfterItsEndWasAcknowledged);
  CPPUNIT_TEST(LateStartRunsBesideTheNextAttempt);
  CPPUNIT_TEST(FinishedTaskOfAGivenUpRunRunsAgain);
  CPPUNIT_TEST(FailureOfAGivenUpRunIsNotCounted);
  CPPUNIT_TEST(LateAcknowledgementReachesAWorkerThatWasForgotten);
  CPPUNIT_TEST(LateHoldReachesAWorkerThatWasForgotten);
  CPPUNIT_TEST(WaitingAcknowledgementEndsAGangThatStarts);
  CPPUNIT_TEST(EndBeforeTheAnswerToItsStartDelaysTheNextAttempt);
  CPPUNIT_TEST(EndBeforeTheAnswerToACopyLetsThatRunBesideTheNextAttempt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    history_ = RunHistory();
    history_.max_attempts = 2;
    started_elsewhere_.clear();
    worker_ = std::make_unique<FuzzWorker>("w", history_);
    bench_ = std::make_unique<ShardBench>();
    bench_->AddWorker("w");
    bench_->AddWorker("v");
    Hold();
  }

  // Guards against a lease that ends on the clock of the former incarnation.
  void StartForTheFormerIncarnationOutlivesItsLease() {
    const SentStart start = SubmitTask("j", "runs 60000");
    worker_->Crash();
    Deliver(start);
    RunOnceAndCutOff();
  }

  // Guards against an end that the owner never sees, because the worker was
  // told that it had.
  void AcknowledgementForTheFormerIncarnationHidesAnEnd() {
    Deliver(SubmitTask("former", "runs 100"));
    Advance(milliseconds(150));
    Hold();
    bench_->Store();
    const SentStart start = SubmitTask("j", "runs 100");
    worker_->Crash();
    Deliver(start);
    Advance(milliseconds(150));
    Hold();
    Hold();
    RunOnceAndCutOff();
  }

  // Guards against the clock of the former incarnation, which may be hours
  // ahead.
  void AnswerOfTheFormerIncarnationDelaysTheNextRun() {
    const SentStart start = SubmitTask("former", "runs 100");
    const contracts::OrderAnswer answer = worker_->Start(start.order);
    worker_->Crash();
    // The first one is meant for the former incarnation.
    Hold();
    Hold();
    bench_->core->OnStart(start.worker, start.order, answer, bench_->now);
    Deliver(SubmitTask("j", "runs 60000"));
    RunOnceAndCutOff();
    CPPUNIT_ASSERT(started_elsewhere_.contains("j"));
  }

  void TaskStartsByALabelOfTheFormerIncarnation() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.SetEntryIncarnation("w", 2);
    bench.AnswerHold("w");
    JobSpec spec = MakeJob(1);
    spec.steps.front().required_label = "a";
    bench.Submit("j", spec);
    bench.Submit("k", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("k"),
                         bench.TakeStarts().front().order.task.job);
    bench.SetEntryIncarnation("w", 1);
    bench.AdvanceTime(milliseconds(500));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void StartIsRepeatedOnAnIncarnationWithoutTheLabel() {
    ShardBench bench;
    const SentStart start = SubmitLabelled(bench, 1).at(0);
    bench.core->OnStart(start.worker, start.order,
                        {.outcome = contracts::OrderOutcome::kNotSent},
                        bench.now);
    bench.SetLabels("w", {"b"});
    bench.AdvanceTime(milliseconds(1000));
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void QueuedStartGoesToAnIncarnationWithoutTheLabel() {
    ShardBench bench;
    bench.max_starts_in_flight = 1;
    bench.TakeOver();
    const std::vector<SentStart> starts = SubmitLabelled(bench, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    bench.SetLabels("w", {"b"});
    bench.ConfirmStart(starts.front());
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void EndsSeenByAFormerOwnerCountAsMissing() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.TakeOver();
    bench.AnswerHold("w", {}, {bench.EndedRow(5, start)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.core->counters().end_gaps);
    bench.AnswerHold("w", {}, {bench.EndedRow(8, start)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bench.core->counters().end_gaps);
  }

  void OrderSentBeforeTheRestartIsCarriedOutAfterIt() {
    const SentStart start = SubmitTask("j", "runs 60000");
    LoseAnswer(start);
    NoticeRestart();
    CPPUNIT_ASSERT(contracts::OrderOutcome::kFenced ==
                   worker_->Start(start.order).outcome);
  }

  void RefusalOfAnEarlierOrderEndsTheOwner() {
    const SentStart start = SubmitTask("j", "runs 60000");
    const HoldPlan late = bench_->core->PlanHold("w", bench_->now);
    NoticeRestart();
    DeliverToAny(start);
    bench_->core->OnHold("w", late.order, worker_->Hold(late.order),
                         bench_->now.steady, bench_->now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench_->fenced.size());
    // Another owner's token is higher than each of this one.
    const HoldPlan plan = bench_->core->PlanHold("w", bench_->now);
    bench_->core->OnHold("w", plan.order,
                         {.outcome = contracts::OrderOutcome::kFenced},
                         bench_->now.steady, bench_->now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_->fenced.size());
  }

  // Guards against a connection that outlives the process at its other end.
  void StartOverAnOpenConnectionOutlivesItsLease() {
    const SentStart start = SubmitTask("j", "runs 60000");
    worker_->Crash();
    DeliverToAny(start);
    RunOnceAndCutOff();
  }

  // Guards against a start that is carried out seconds later.
  void LateStartOutlivesItsLease() {
    const SentStart start = SubmitTask("j", "runs 60000");
    LoseAnswer(start);
    worker_->Crash();
    bench_->SetEntryIncarnation("w", 2);
    CutOff(milliseconds(3000));
    worker_->Start(start.order);
    CutOff(2 * kLongestLease);
    CheckHistory();
  }

  void LateHoldExtendsTheLeaseOfTheNextIncarnation() {
    Hold();
    const HoldPlan late = LoseHold();
    NoticeRestart();
    Deliver(SubmitTask("j", "runs 60000"));
    Hold();
    worker_->Hold(late.order);
    CutOff(2 * kLongestLease);
    CheckHistory();
    CPPUNIT_ASSERT(started_elsewhere_.contains("j"));
  }

  // Guards against a start that is sent while an acknowledgement is on its way.
  void StartOvertakenByAnAcknowledgementRunsTwice() {
    RunToAnUnacknowledgedEnd();
    const HoldPlan plan = bench_->core->PlanHold("w", bench_->now);
    const MonotonicTime sent_at = bench_->now.steady;
    SubmitJob("j", "runs 100");
    worker_->Crash();
    for (const SentStart& start : bench_->TakeStarts()) DeliverToAny(start);
    Advance(milliseconds(150));
    const contracts::HoldAnswer answer = worker_->Hold(plan.order);
    bench_->core->OnHold("w", plan.order, answer, sent_at, bench_->now);
    RunOnceAndCutOff();
  }

  void LateAcknowledgementHidesAnEnd() {
    RunToAnUnacknowledgedEnd();
    const HoldPlan late = LoseHold();
    Hold();
    const SentStart start = SubmitTask("j", "runs 100");
    worker_->Crash();
    DeliverToAny(start);
    Advance(milliseconds(150));
    worker_->Hold(late.order);
    RunOnceAndCutOff();
  }

  void LateCopyOfAStartRunsAgainAfterItsEndWasAcknowledged() {
    const SentStart start = SubmitTask("j", "runs 100");
    LoseAnswer(start);
    Advance(milliseconds(100));
    Deliver(bench_->TakeStarts().at(0));
    Advance(milliseconds(150));
    Hold();
    bench_->Store();
    Hold();
    worker_->Crash();
    worker_->Start(start.order);
    CheckHistory();
  }

  void LateStartRunsBesideTheNextAttempt() {
    const SentStart start = SubmitTask("j", "runs 60000");
    LoseAnswer(start);
    for (int i = 0; i < 60 && bench_->stops.empty(); ++i) {
      Hold();
      for (const SentStart& copy : bench_->TakeStarts()) LoseAnswer(copy);
    }
    bench_->core->OnStop("w", bench_->stops.at(0).order,
                         worker_->Stop(bench_->stops.at(0).order), bench_->now);
    Advance(kStep);
    Hold();
    worker_->Crash();
    worker_->Start(start.order);
    CutOff(milliseconds(5000));
    CheckHistory();
  }

  // Guards against running a task again whose end is then acknowledged.
  void FinishedTaskOfAGivenUpRunRunsAgain() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.AnswerHold("w", {bench.RunningRow(start)});
    // The worker has dropped the run, or so it seems.
    bench.AnswerHold("w");
    bench.AnswerHold("w", {}, {bench.EndedRow(1, start)});
    bench.AdvanceTime(milliseconds(500));
    bench.Store();
    CPPUNIT_ASSERT(JobState::kCompleted == bench.core->StoredState("j"));
  }

  void LateAcknowledgementReachesAWorkerThatWasForgotten() {
    RunToAnUnacknowledgedEnd();
    const HoldPlan late = bench_->core->PlanHold("w", bench_->now);
    CPPUNIT_ASSERT(late.order.acknowledged_end > 0);
    // Its registry entry expires, and then it is back.
    bench_->core->SetWorkers({}, bench_->now.steady, bench_->now);
    bench_->core->OnHold("w", late.order,
                         {.outcome = contracts::OrderOutcome::kUnknown},
                         bench_->now.steady, bench_->now);
    worker_->Crash();
    Advance(kStep);
    Hold();
    Hold();
    const SentStart start = SubmitTask("j", "runs 100");
    DeliverToAny(start);
    Advance(milliseconds(150));
    worker_->Hold(late.order);
    RunOnceAndCutOff();
  }

  // Guards against more attempts than the queue allows: the end is
  // acknowledged.
  void FailureOfAGivenUpRunIsNotCounted() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.AnswerHold("w", {bench.RunningRow(start)});
    // The worker has dropped the run, or so it seems.
    bench.AnswerHold("w");
    std::uint64_t number = 0;
    bench.AnswerHold(
        "w", {},
        {bench.EndedRow(++number, start, contracts::EndKind::kFailed)});
    std::size_t later_attempts = 0;
    for (int i = 0; i < 20; ++i) {
      bench.AdvanceTime(milliseconds(500));
      bench.AnswerHold("w");
      bench.Store();
      for (const SentStart& next : bench.TakeStarts()) {
        ++later_attempts;
        bench.ConfirmStart(next);
        bench.AnswerHold(
            "w", {},
            {bench.EndedRow(++number, next, contracts::EndKind::kFailed)});
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, later_attempts);
  }

  // Guards against a lease that a hold for the former incarnation extends.
  void LateHoldReachesAWorkerThatWasForgotten() {
    Hold();
    const HoldPlan late = bench_->core->PlanHold("w", bench_->now);
    CPPUNIT_ASSERT(late.order.lease_end.has_value());
    // Its registry entry expires, and then it is back.
    bench_->core->SetWorkers({}, bench_->now.steady, bench_->now);
    worker_->Crash();
    Advance(kStep);
    Hold();
    Hold();
    Deliver(SubmitTask("j", "runs 60000"));
    Hold();
    CutOff(milliseconds(5000));
    worker_->Hold(late.order);
    CutOff(2 * kLongestLease);
    CheckHistory();
  }

  // Guards against members that are planned and never sent, which ends the
  // others.
  void WaitingAcknowledgementEndsAGangThatStarts() {
    LoseAnswer(SubmitTask("j", "runs 100"));
    for (int i = 0; i < 60; ++i) {
      for (const SentStart& copy : bench_->TakeStarts()) Deliver(copy);
      Hold();
      bench_->Store();
    }
    JobSpec gang = MakeJob(2);
    gang.text = "runs 60000";
    gang.steps[0].gang = true;
    bench_->Submit("gang", gang);
    bench_->Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench_->stops.size());
    std::size_t sent = 0;
    for (int i = 0; i < 20; ++i) {
      for (const SentStart& start : bench_->TakeStarts()) {
        CPPUNIT_ASSERT_EQUAL(1U, start.order.attempt);
        ++sent;
        Deliver(start);
      }
      Hold();
      bench_->Store();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent);
  }

  // Guards against a wait for the only start that was sent, which has begun the
  // run.
  void EndBeforeTheAnswerToItsStartDelaysTheNextAttempt() {
    const SentStart start = SubmitTask("j", "fails 20");
    const contracts::OrderAnswer answer = worker_->Start(start.order);
    Advance(kStep);
    Hold();
    Answer(start, answer);
    bench_->Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_->starts.size());
    CPPUNIT_ASSERT_EQUAL(2U, bench_->starts[0].order.attempt);
  }

  // Guards against the opposite: the run began with an earlier start, so the
  // one on its way is left.
  void EndBeforeTheAnswerToACopyLetsThatRunBesideTheNextAttempt() {
    const SentStart start = SubmitTask("j", "fails 100");
    LoseAnswer(start);
    Advance(milliseconds(100));
    const SentStart copy = bench_->TakeStarts().at(0);
    CPPUNIT_ASSERT_EQUAL(1U, copy.order.attempt);
    Hold();
    bench_->Store();
    worker_->Crash();
    worker_->Start(copy.order);
    for (int i = 0; i < 20; ++i) {
      for (const SentStart& next : bench_->TakeStarts()) {
        CPPUNIT_ASSERT_EQUAL(1U, next.order.attempt);
      }
      Advance(kStep);
      bench_->Store();
    }
  }

 private:
  // The longest that a worker grants.
  static constexpr milliseconds kLongestLease{10000};
  static constexpr milliseconds kStep{50};

  void SubmitJob(const std::string& job, const std::string& work) {
    JobSpec spec = MakeJob(1);
    spec.text = work;
    bench_->Submit(job, spec);
    bench_->Store();
  }

  // Submits a job whose tasks need label "a", which worker "w" has.
  static std::vector<SentStart> SubmitLabelled(ShardBench& bench,
                                               std::uint32_t count) {
    bench.AddWorker("w");
    bench.AnswerHold("w");
    JobSpec spec = MakeJob(count);
    spec.steps.front().required_label = "a";
    bench.Submit("j", spec);
    bench.Store();
    return bench.TakeStarts();
  }

  SentStart SubmitTask(const std::string& job, const std::string& work) {
    SubmitJob(job, work);
    return bench_->TakeStarts().at(0);
  }

  // Leaves the worker with an end that is stored and not acknowledged.
  void RunToAnUnacknowledgedEnd() {
    Deliver(SubmitTask("former", "runs 100"));
    Advance(milliseconds(150));
    Hold();
    bench_->Store();
  }

  void Answer(const SentStart& start, const contracts::OrderAnswer& answer) {
    bench_->core->OnStart(start.worker, start.order, answer, bench_->now);
  }

  // Delivers the start to the incarnation that it is for.
  void Deliver(const SentStart& start) {
    if (worker_->Receives(start.order.incarnation)) {
      DeliverToAny(start);
    } else {
      Answer(start, {.outcome = contracts::OrderOutcome::kNotSent});
    }
  }

  void DeliverToAny(const SentStart& start) {
    Answer(start, worker_->Start(start.order));
  }

  void LoseAnswer(const SentStart& start) {
    Answer(start, {.outcome = contracts::OrderOutcome::kUnknown});
  }

  // The worker restarts, and the next incarnation answers holds.
  void NoticeRestart() {
    worker_->Crash();
    // The first one is meant for the former incarnation.
    for (int i = 0; i < 3; ++i) Hold();
  }

  // Returns a hold that got no answer.
  HoldPlan LoseHold() {
    HoldPlan plan = bench_->core->PlanHold("w", bench_->now);
    bench_->core->OnHold("w", plan.order,
                         {.outcome = contracts::OrderOutcome::kUnknown},
                         bench_->now.steady, bench_->now);
    return plan;
  }

  void Hold() {
    const HoldPlan plan = bench_->core->PlanHold("w", bench_->now);
    const MonotonicTime sent_at = bench_->now.steady;
    const contracts::HoldAnswer answer =
        worker_->Receives(plan.order.incarnation)
            ? worker_->Hold(plan.order)
            : contracts::HoldAnswer{.outcome =
                                        contracts::OrderOutcome::kNotSent};
    Advance(kStep);
    bench_->core->OnHold("w", plan.order, answer, sent_at, bench_->now);
  }

  void Advance(milliseconds time) {
    worker_->AdvanceTime(time);
    bench_->AdvanceTime(time);
  }

  // Repeats starts that were not carried out, cuts the worker off until no run
  // there can have a lease, and checks what ran.
  void RunOnceAndCutOff() {
    Advance(milliseconds(100));
    Hold();
    for (const SentStart& start : bench_->TakeStarts()) Deliver(start);
    Hold();
    CutOff(2 * kLongestLease);
    CheckHistory();
  }

  void CutOff(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      Advance(kStep);
      bench_->LoseHold("w");
      bench_->AnswerHold("v");
      bench_->Store();
      for (const SentStart& start : bench_->TakeStarts()) {
        if (start.worker != "v") continue;
        history_.OnStart(start.order.task, "v");
        started_elsewhere_.insert(start.order.task.job);
      }
    }
  }

  void CheckHistory() const {
    for (const std::string& violation : history_.violations) {
      CPPUNIT_FAIL(violation);
    }
  }

  RunHistory history_;
  // Jobs with a task that was started on "v".
  std::set<std::string> started_elsewhere_;
  std::unique_ptr<FuzzWorker> worker_;
  std::unique_ptr<ShardBench> bench_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RestartedWorkerTest,
                                      "restarted_worker_test");

}  // namespace carobmast::jobs
