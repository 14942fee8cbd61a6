// ShardCore: tasks and witnesses on incarnations of workers that are over.
#include <cppunit/extensions/HelperMacros.h>

#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;

class ReplacedIncarnationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplacedIncarnationTest);
  CPPUNIT_TEST(TasksOfAReplacedIncarnationWaitForItsLease);
  CPPUNIT_TEST(NewOwnerWaitsForLeasesOfAReplacedIncarnation);
  CPPUNIT_TEST(ReplacedWitnessesCountAsSilent);
  CPPUNIT_TEST(StartOrderedAfterTheHoldIsOver);
  CPPUNIT_TEST(WorkerThatHasMovedIsOver);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TasksOfAReplacedIncarnationWaitForItsLease() {
    ShardBench bench;
    bench.RunOneTask();
    bench.AddWorker("v");
    bench.AnswerHold("v");
    bench.AnswerHoldAsLaterIncarnation("w");
    bench.AdvanceTime(milliseconds(50));
    bench.Store();
    AssertStartedOn(bench, "v");
  }

  void NewOwnerWaitsForLeasesOfAReplacedIncarnation() {
    ShardBench bench;
    bench.RunOneTask();
    bench.AddWorker("v");
    bench.TakeOver();
    bench.AnswerHold("v");
    bench.AnswerHoldAsLaterIncarnation("w");
    bench.AdvanceTime(milliseconds(50));
    bench.Store();
    AssertStartedOn(bench, "v");
  }

  // Guards against waiting until a former owner may no longer be confirmed by
  // witnesses that no longer exist.
  void ReplacedWitnessesCountAsSilent() {
    ShardBench bench;
    bench.RunOneTask();
    bench.StoreWitnesses();
    bench.TakeOver();
    bench.LoseHold("w");
    bench.AnswerHoldAsLaterIncarnation("v");
    bench.AnswerHoldAsLaterIncarnation("x");
    bench.AddWorker("n");
    // The longest lease, by a clock that is 2% slow, and the margin.
    bench.AdvanceTime(ShardOptions{}.max_lease + milliseconds(300));
    bench.AnswerHold("n");
    bench.AdvanceTime(milliseconds(50));
    bench.Store();
    AssertStartedOn(bench, "n");
  }

  // Guards against ending a run of an incarnation that began after the hold was
  // answered, under the ID that the hold named.
  void StartOrderedAfterTheHoldIsOver() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    const HoldPlan plan = bench.core->PlanHold("w", bench.now);
    const MonotonicTime sent_at = bench.now.steady;
    bench.AdvanceTime(milliseconds(50));
    bench.Submit("j", MakeJob(1));
    bench.Store();
    bench.ConfirmStart(bench.TakeStarts().at(0));
    bench.core->OnHold("w", plan.order,
                       {.outcome = contracts::OrderOutcome::kOtherIncarnation},
                       sent_at, bench.now);
    CPPUNIT_ASSERT(!bench.core->IsEmpty("w"));
    bench.AnswerHoldAsLaterIncarnation("w");
    CPPUNIT_ASSERT(bench.core->IsEmpty("w"));
  }

  void WorkerThatHasMovedIsOver() {
    ShardBench bench;
    bench.RunOneTask();
    const HoldPlan plan = bench.core->PlanHold("w", bench.now);
    const MonotonicTime sent_at = bench.now.steady;
    bench.AdvanceTime(milliseconds(50));
    bench.MoveWorker("w");
    bench.core->OnHold("w", plan.order,
                       {.outcome = contracts::OrderOutcome::kOtherIncarnation},
                       sent_at, bench.now);
    CPPUNIT_ASSERT(!bench.core->IsEmpty("w"));
  }

 private:
  static void AssertStartedOn(const ShardBench& bench,
                              const std::string& worker) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(worker, bench.starts.front().worker);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ReplacedIncarnationTest,
                                      "replaced_incarnation_test");

}  // namespace carobmast::jobs
