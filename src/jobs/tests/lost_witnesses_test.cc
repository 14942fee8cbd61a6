// ShardCore: owners and their successors when most of the workers that witness
// leases are lost, and nodes do.
#include <cppunit/extensions/HelperMacros.h>

#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LostWitnessesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostWitnessesTest);
  CPPUNIT_TEST(TasksWaitForAnOwnerLostWithMostWorkers);
  CPPUNIT_TEST(RestartedNodesCountAsSilent);
  CPPUNIT_TEST(MinorityOfTheNodesShortensTheWait);
  CPPUNIT_TEST(OwnerOfAnEarlierVersionCountsAsStopped);
  CPPUNIT_TEST(LeasesAreExtendedWithoutNodes);
  CPPUNIT_TEST(SilentNodesStayWitnesses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TasksWaitForAnOwnerLostWithMostWorkers() {
    ShardBench bench;
    LoseWorkersWithTheOwner(bench);
    bench.AnswerFromNodes({"a", "b"});
    AssertStartsAfterTheLongestLease(bench);
  }

  void RestartedNodesCountAsSilent() {
    ShardBench bench;
    LoseWorkersWithTheOwner(bench);
    bench.AnswerFromNodes({"a", "b"}, 2);
    AssertStartsAfterTheLongestLease(bench);
  }

  // Guards against starting a task again that a former owner, which the other
  // nodes and the workers stand by, keeps running.
  void MinorityOfTheNodesShortensTheWait() {
    ShardBench bench;
    LoseWorkersWithTheOwner(bench);
    bench.AnswerFromNodes({"a"});
    AssertNoStartDuringFormerOwnership(bench);
  }

  void OwnerOfAnEarlierVersionCountsAsStopped() {
    ShardBench bench;
    bench.former_owners_need_nodes = false;
    LoseWorkersWithTheOwner(bench);
    bench.AnswerFromNodes({"a", "b", "c"});
    AssertNoStartDuringFormerOwnership(bench);
  }

  // Guards against an owner that extends leases after its successor has relied
  // on the nodes.
  void LeasesAreExtendedWithoutNodes() {
    ShardBench bench;
    RunOneTaskWithWitnesses(bench);
    const contracts::WorkerClock confirmed_at = bench.Clock();
    // The store does not answer.
    for (int i = 0; i < 20; ++i) {
      bench.AdvanceTime(milliseconds(100));
      AnswerHolds(bench);
      bench.AnswerFromNodes({"a"});
    }
    CPPUNIT_ASSERT(LeaseEnd(bench) <= confirmed_at + ShardOptions{}.max_lease);
    bench.AnswerFromNodes({"b"});
    AnswerHolds(bench);
    CPPUNIT_ASSERT(LeaseEnd(bench) >
                   confirmed_at + seconds(1) + ShardOptions{}.max_lease);
  }

  void SilentNodesStayWitnesses() {
    ShardBench bench;
    RunOneTaskWithWitnesses(bench);
    for (int i = 0; i < 30; ++i) {
      bench.AdvanceTime(milliseconds(100));
      AnswerHolds(bench);
      bench.AnswerFromNodes({"c"});
      bench.Store();
    }
    bench.TakeOver();
    bench.AnswerFromNodes({"c"});
    AssertStartsAfterTheLongestLease(bench);
  }

 private:
  static void AnswerHolds(ShardBench& bench) {
    for (const char* worker : {"v", "w", "x"}) bench.AnswerHold(worker);
  }

  // Runs a task on "w"; the workers "v", "w" and "x" and the nodes "a", "b" and
  // "c" are witnesses.
  static void RunOneTaskWithWitnesses(ShardBench& bench) {
    bench.RunOneTask();
    bench.AnswerFromNodes({"a", "b", "c"});
    bench.StoreWitnesses();
  }

  static void LoseWorkersWithTheOwner(ShardBench& bench) {
    RunOneTaskWithWitnesses(bench);
    bench.TakeOver();
    for (const char* worker : {"v", "w", "x"}) bench.LoseHold(worker);
  }

  static void AssertStartsAfterTheLongestLease(ShardBench& bench) {
    bench.AddWorker("n");
    bench.AnswerHold("n");
    // The longest lease, by a clock that is 2% slow, and the margin.
    bench.AdvanceTime(ShardOptions{}.max_lease - milliseconds(100));
    bench.AnswerHold("n");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AdvanceTime(milliseconds(400));
    bench.AnswerHold("n");
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  static void AssertNoStartDuringFormerOwnership(ShardBench& bench) {
    bench.AddWorker("n");
    bench.AdvanceTime(ShardOptions{}.former_owner_timeout +
                      ShardOptions{}.max_lease - milliseconds(500));
    bench.AnswerHold("n");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  static contracts::WorkerClock LeaseEnd(ShardBench& bench) {
    return bench.core->PlanHold("w", bench.now)
        .order.lease_end.value_or(contracts::WorkerClock(0));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LostWitnessesTest, "lost_witnesses_test");

}  // namespace carobmast::jobs
