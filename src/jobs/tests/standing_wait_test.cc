// ShardCore: how long standing tasks have no run after the last one is over.
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Operators count a standing task as lost after this time without a run.
constexpr milliseconds kMaxWait{9000};
constexpr milliseconds kTestStep{100};

}  // namespace

class StandingWaitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandingWaitTest);
  CPPUNIT_TEST(WaitForLeasesBeginsAgainWithEachOwner);
  CPPUNIT_TEST(LeaseIsExtendedBeyondAStoredWait);
  CPPUNIT_TEST(WaitStoredBesideAnEarlierVersionIsTrusted);
  CPPUNIT_TEST(WorkerIsSetAsideForFailuresFarApart);
  CPPUNIT_TEST(StartIsRepeatedOnlyOnAWorkerThatDoesNotAnswerIt);
  CPPUNIT_TEST(TaskWaitsForARackThatIsGone);
  CPPUNIT_TEST(LeasesLapseWhenOneOfThreeNodesIsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The second owner hands over, as to a larger node, before it has waited for
  // the leases of the first one.
  void WaitForLeasesBeginsAgainWithEachOwner() {
    ShardBench bench;
    for (const char* worker : {"n", "v", "x"}) {
      bench.AddWorker(worker);
      bench.AnswerHold(worker);
    }
    SubmitStanding(bench, "j");
    const SentStart start = bench.TakeStarts().at(0);
    bench.ConfirmStart(start);
    bench.core->OnFormerOwnersStopped(bench.now);
    bench.AdvanceTime(milliseconds(1100));
    bench.Store();
    lost_ = start.worker;
    const MonotonicTime lost_at = bench.now.steady;
    bench.AdvanceTime(milliseconds(1200));
    bench.TakeOver();
    Serve(bench, milliseconds(4000));
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.TakeOver();
    Serve(bench, kMaxWait - std::chrono::duration_cast<milliseconds>(
                                bench.now.steady - lost_at));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  // Guards against a next owner that takes a lease for over which this owner
  // has extended since it stored how long the lease may last.
  void LeaseIsExtendedBeyondAStoredWait() {
    ShardBench bench;
    StoreWaitForSilentWorker(bench);
    bench.AnswerHold("w", {bench.RunningRow(start_)});
    CPPUNIT_ASSERT(!HasLease(bench));
    bench.Store();
    CPPUNIT_ASSERT(HasLease(bench));
    bench.TakeOver();
    bench.AddWorker("n");
    bench.AnswerHold("n");
    Serve(bench, ShardOptions{}.max_lease - milliseconds(1000));
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  // An owner of an earlier version may extend leases in spite of the record.
  void WaitStoredBesideAnEarlierVersionIsTrusted() {
    ShardBench bench;
    StoreWaitForSilentWorker(bench);
    bench.former_owners_need_nodes = false;
    bench.TakeOver();
    bench.AddWorker("n");
    bench.AnswerHold("n");
    Serve(bench, ShardOptions{}.max_lease);
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  // Standing tasks never finish, so that nothing resets the count of failures.
  void WorkerIsSetAsideForFailuresFarApart() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    SubmitStanding(bench, "a");
    SubmitStanding(bench, "b");
    std::map<std::string, SentStart> running;
    std::uint64_t end = 0;
    for (int failure = 0; failure < 7; ++failure) {
      TakeAndConfirm(bench, running);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, running.size());
      Hold(bench, running, {});
      for (int i = 0; i < 600; ++i) {
        bench.AdvanceTime(kTestStep);
        Hold(bench, running, {});
      }
      const std::string job = failure % 2 == 0 ? "a" : "b";
      const SentStart failed = running.at(job);
      running.erase(job);
      Hold(bench, running,
           {bench.EndedRow(++end, failed, contracts::EndKind::kFailed)});
      for (milliseconds passed{0}; passed < kMaxWait && bench.starts.empty();
           passed += kTestStep) {
        bench.AdvanceTime(kTestStep);
        bench.Store();
        Hold(bench, running, {});
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE("failure " + std::to_string(failure),
                                   std::size_t{1}, bench.starts.size());
    }
  }

  void StartIsRepeatedOnlyOnAWorkerThatDoesNotAnswerIt() {
    ShardBench bench;
    bench.AddWorker("v");
    bench.AnswerHold("v");
    bench.AddWorker("w");
    bench.AnswerHold("w");
    SubmitStanding(bench, "j");
    const std::string deaf = bench.starts.at(0).worker;
    bool started_elsewhere = false;
    for (milliseconds passed{0}; passed < kMaxWait; passed += kTestStep) {
      for (const SentStart& start : bench.TakeStarts()) {
        started_elsewhere = started_elsewhere || start.worker != deaf;
        bench.core->OnStart(start.worker, start.order, {}, bench.now);
      }
      for (const SentStop& stop : std::exchange(bench.stops, {})) {
        bench.core->OnStop(stop.worker, stop.order,
                           {.outcome = contracts::OrderOutcome::kDone},
                           bench.now);
      }
      bench.AdvanceTime(kTestStep);
      bench.AnswerHold("v");
      bench.AnswerHold("w");
      bench.Store();
    }
    CPPUNIT_ASSERT(started_elsewhere);
  }

  void TaskWaitsForARackThatIsGone() {
    ShardBench bench;
    bench.far_factor = 3;
    bench.TakeOver();
    bench.AddWorker("w", 4000, "r2");
    bench.AnswerHold("w");
    JobSpec spec = MakeJob(1);
    spec.steps[0].standing = true;
    spec.steps[0].preferred_rack = "r1";
    spec.steps[0].estimate = seconds(20);
    bench.Submit("j", spec);
    bench.Store();
    for (milliseconds passed{0}; passed < kMaxWait; passed += kTestStep) {
      bench.AdvanceTime(kTestStep);
      bench.AnswerHold("w");
      bench.Store();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  // The owner is on node "a". The store does not answer while "b" restarts.
  void LeasesLapseWhenOneOfThreeNodesIsLost() {
    ShardBench bench;
    bench.own_node = Witness{.id = "a", .incarnation = 1};
    bench.TakeOver();
    for (const char* worker : {"v", "w", "x"}) {
      bench.AddWorker(worker);
      bench.AnswerHold(worker);
    }
    bench.AnswerFromNodes({"b", "c"});
    bench.core->OnFormerOwnersStopped(bench.now);
    bench.AdvanceTime(milliseconds(1100));
    bench.Store();
    const contracts::WorkerClock stored_at = bench.Clock();
    for (int i = 0; i < 60; ++i) {
      bench.AdvanceTime(milliseconds(100));
      for (const char* worker : {"v", "w", "x"}) bench.AnswerHold(worker);
      bench.AnswerFromNodes({"c"});
      if (i > 10) bench.AnswerFromNodes({"b"}, 2);
    }
    const std::optional<contracts::WorkerClock> lease_end =
        bench.core->PlanHold("w", bench.now).order.lease_end;
    CPPUNIT_ASSERT(lease_end.has_value());
    CPPUNIT_ASSERT(*lease_end > stored_at + ShardOptions{}.max_lease);
  }

 private:
  static void SubmitStanding(ShardBench& bench, const std::string& id) {
    JobSpec spec = MakeJob(1);
    spec.steps[0].standing = true;
    bench.Submit(id, spec);
    bench.Store();
  }

  // Runs a task on "w", which then does not answer until that is stored.
  void StoreWaitForSilentWorker(ShardBench& bench) {
    bench.AddWorker("w");
    bench.AnswerHold("w");
    SubmitStanding(bench, "j");
    start_ = bench.TakeStarts().at(0);
    bench.ConfirmStart(start_);
    lost_ = "w";
    for (int i = 0; i < 2; ++i) bench.LoseHold("w");
    bench.AdvanceTime(milliseconds(2200));
    bench.Store();
  }

  static bool HasLease(ShardBench& bench) {
    return bench.core->PlanHold("w", bench.now).order.lease_end.has_value();
  }

  static void TakeAndConfirm(ShardBench& bench,
                             std::map<std::string, SentStart>& running) {
    for (const SentStart& start : bench.TakeStarts()) {
      bench.ConfirmStart(start);
      running.insert_or_assign(start.order.task.job, start);
    }
  }

  static void Hold(ShardBench& bench,
                   const std::map<std::string, SentStart>& running,
                   std::vector<contracts::EndedTask> ended) {
    std::vector<contracts::RunningTask> rows;
    for (const auto& [job, start] : running) {
      rows.push_back(bench.RunningRow(start));
      rows.back().percent = 100;
    }
    bench.AnswerHold("w", std::move(rows), std::move(ended));
  }

  // All workers but the lost one answer.
  void Serve(ShardBench& bench, milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kTestStep) {
      for (const char* worker : {"n", "v", "x"}) {
        if (worker == lost_) {
          bench.LoseHold(worker);
        } else {
          bench.AnswerHold(worker);
        }
      }
      bench.Store();
      bench.AdvanceTime(kTestStep - milliseconds(2));
    }
  }

  SentStart start_;
  std::string lost_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StandingWaitTest, "standing_wait_test");

}  // namespace carobmast::jobs
