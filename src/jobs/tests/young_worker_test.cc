// ShardCore: how long a new owner waits for leases on young workers that it
// does not reach.
#include <cppunit/extensions/HelperMacros.h>

#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

class YoungWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(YoungWorkerTest);
  CPPUNIT_TEST(StandingTaskWaitsForTheLongestLease);
  CPPUNIT_TEST(StandingTaskWaitsForTheLongestLeaseUnderALaterOwner);
  CPPUNIT_TEST(LeaseOfAFormerIncarnationsOrderIsCutShort);
  CPPUNIT_TEST(LeaseOfAnIncarnationThatNobodyFollowedIsCutShort);
  CPPUNIT_TEST(LeaseOfAWorkerThatComesBackIsCutShort);
  CPPUNIT_TEST(LeaseIsCutShortByAnOwnerThatIsNotTheFirst);
  CPPUNIT_TEST(StandingTaskWaitsForTheLongestLeaseOfAnOldOwner);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    bench_ = std::make_unique<ShardBench>();
    bench_->is_first_owner = true;
    bench_->born_ms = BornBefore(seconds(5));
    bench_->TakeOver();
    bench_->is_first_owner = false;
  }

  // Guards against tasks that are away for longer than operators accept, as
  // the cluster is young.
  void StandingTaskWaitsForTheLongestLease() {
    RunStandingTask();
    CPPUNIT_ASSERT(TimeUntilRestart() < kMaxAway);
  }

  // Guards against the same after another change of owner.
  void StandingTaskWaitsForTheLongestLeaseUnderALaterOwner() {
    RunStandingTask();
    bench_->TakeOver();
    bench_->core->OnFormerOwnersStopped(bench_->now);
    Hold("w", {bench_->RunningRow(start_)});
    Hold("v");
    Pass(milliseconds(2100));
    CPPUNIT_ASSERT(TimeUntilRestart() < kMaxAway);
  }

  // Guards against a second run beside one on a worker that has restarted: an
  // order for its former incarnation may have set the longest lease.
  void LeaseOfAFormerIncarnationsOrderIsCutShort() {
    AddWorker("w");
    Hold("w");
    bench_->born_ms += 1000;
    Hold("w");
    RunStandingTask();
    CPPUNIT_ASSERT(TimeUntilRestart() > kLongestLease);
  }

  // Guards against the same when no owner has noticed the restart.
  void LeaseOfAnIncarnationThatNobodyFollowedIsCutShort() {
    RunStandingTask();
    bench_->SetEntryIncarnation("w", bench_->born_ms + 1000);
    CPPUNIT_ASSERT(TimeUntilRestart() > kLongestLease);
  }

  // Guards against the same on a worker that was not registered for a while.
  void LeaseOfAWorkerThatComesBackIsCutShort() {
    AddWorker("w");
    Hold("w");
    bench_->core->SetWorkers({}, bench_->now.steady, bench_->now);
    bench_->born_ms += 1000;
    RunStandingTask();
    CPPUNIT_ASSERT(TimeUntilRestart() > kLongestLease);
  }

  // Guards against the same when an owner before may have sent the order.
  void LeaseIsCutShortByAnOwnerThatIsNotTheFirst() {
    bench_->TakeOver();
    bench_->core->OnFormerOwnersStopped(bench_->now);
    RunStandingTask();
    CPPUNIT_ASSERT(TimeUntilRestart() > kLongestLease);
  }

  // Guards against waiting for orders of former owners that are long over.
  void StandingTaskWaitsForTheLongestLeaseOfAnOldOwner() {
    bench_->TakeOver();
    bench_->core->OnFormerOwnersStopped(bench_->now);
    bench_->AdvanceTime(seconds(23));
    bench_->born_ms = BornBefore(seconds(5));
    RunStandingTask();
    CPPUNIT_ASSERT(TimeUntilRestart() < kMaxAway);
  }

 private:
  // As accepted by operators; and the longest that a worker grants.
  static constexpr seconds kMaxAway{9};
  static constexpr seconds kLongestLease{10};

  contracts::Incarnation BornBefore(seconds age) const {
    return std::chrono::duration_cast<milliseconds>(
               (bench_->now.wall - age).time_since_epoch())
        .count();
  }

  void AddWorker(const std::string& worker) {
    bench_->AddWorker(worker);
    bench_->SetEntryIncarnation(worker, bench_->born_ms);
  }

  void Hold(const std::string& worker,
            std::vector<contracts::RunningTask> running = {}) {
    bench_->AnswerHold(worker, std::move(running));
  }

  // The workers answer all the while.
  void Pass(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
      bench_->AdvanceTime(milliseconds(100));
      Hold("w", {bench_->RunningRow(start_)});
      if (has_other_) Hold("v");
      bench_->Store();
    }
  }

  // Runs a standing task on "w" until the owner has stored what it knows of the
  // workers. "v" is free.
  void RunStandingTask() {
    AddWorker("w");
    Hold("w");
    JobSpec spec = MakeJob(1);
    spec.steps[0].standing = true;
    bench_->Submit("j", spec);
    bench_->Store();
    start_ = bench_->TakeStarts().at(0);
    bench_->ConfirmStart(start_);
    bench_->AdvanceTime(milliseconds(10));
    AddWorker("v");
    has_other_ = true;
    Pass(milliseconds(2100));
  }

  // The owner is lost together with worker "w". Returns the time until the next
  // owner starts the task on "v".
  Duration TimeUntilRestart() {
    bench_->TakeOver();
    const MonotonicTime lost_at = bench_->now.steady;
    bench_->core->OnFormerOwnersStopped(bench_->now);
    bench_->starts.clear();
    for (int i = 0; i < 200 && bench_->starts.empty(); ++i) {
      Hold("v");
      bench_->LoseHold("w");
      bench_->AdvanceTime(milliseconds(100));
      bench_->Store();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench_->starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), bench_->starts[0].worker);
    return bench_->now.steady - lost_at;
  }

  std::unique_ptr<ShardBench> bench_;
  SentStart start_;
  bool has_other_ = false;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(YoungWorkerTest, "young_worker_test");

}  // namespace carobmast::jobs
