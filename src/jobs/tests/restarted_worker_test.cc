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
  CPPUNIT_TEST(EndsSeenByAFormerOwnerCountAsMissing);
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

  void EndsSeenByAFormerOwnerCountAsMissing() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.TakeOver();
    bench.AnswerHold("w", {}, {bench.EndedRow(5, start)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, bench.core->counters().end_gaps);
    bench.AnswerHold("w", {}, {bench.EndedRow(8, start)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bench.core->counters().end_gaps);
  }

 private:
  // The longest that a worker grants.
  static constexpr milliseconds kLongestLease{10000};
  static constexpr milliseconds kStep{50};

  SentStart SubmitTask(const std::string& job, const std::string& work) {
    JobSpec spec = MakeJob(1);
    spec.text = work;
    bench_->Submit(job, spec);
    bench_->Store();
    return bench_->TakeStarts().at(0);
  }

  void Deliver(const SentStart& start) {
    const contracts::OrderAnswer answer =
        worker_->Receives(start.order.incarnation)
            ? worker_->Start(start.order)
            : contracts::OrderAnswer{.outcome =
                                         contracts::OrderOutcome::kNotSent};
    bench_->core->OnStart(start.worker, start.order, answer, bench_->now);
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
    for (milliseconds passed{0}; passed < 2 * kLongestLease; passed += kStep) {
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
