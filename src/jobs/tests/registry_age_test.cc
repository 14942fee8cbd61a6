// Starts rest on the registry of workers: none may go out on a view so old that
// a worker may have said in the meantime that it leaves.
#include <cppunit/extensions/HelperMacros.h>

#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;

namespace {

// After its word that it leaves, a worker gets starts for no longer than this:
// the shortest bound that operators set.
constexpr milliseconds kDrainBound{2000};
constexpr milliseconds kMoment{50};

contracts::OrderAnswer Unanswered() {
  return {.outcome = contracts::OrderOutcome::kUnknown};
}

}  // namespace

class RegistryAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryAgeTest);
  CPPUNIT_TEST(StartOnAnOldViewOfTheWorkers);
  CPPUNIT_TEST(QueuedStartOutlivesTheViewOfTheWorkers);
  CPPUNIT_TEST(UnansweredStartIsRepeatedToAWorkerThatLeaves);
  CPPUNIT_TEST(UnsentStartIsRepeatedToAWorkerThatLeaves);
  CPPUNIT_TEST(UnansweredStartIsRepeatedOnAnOldView);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StartOnAnOldViewOfTheWorkers() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    bench.registry_silent = true;
    bench.Pass(kDrainBound);
    bench.Submit("j", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    CheckOneStartOnceItIsRead(bench);
  }

  void QueuedStartOutlivesTheViewOfTheWorkers() {
    ShardBench bench;
    bench.max_starts_in_flight = 1;
    bench.TakeOver();
    bench.AddWorker("w");
    bench.Contact("w");
    bench.Submit("j", MakeJob(2));
    bench.Store();
    const SentStart first = bench.TakeStarts().at(0);
    bench.registry_silent = true;
    bench.Pass(kDrainBound);
    bench.Confirm(first);
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    CheckOneStartOnceItIsRead(bench);
  }

  void UnansweredStartIsRepeatedToAWorkerThatLeaves() {
    ShardBench bench;
    const SentStart start = bench.SendOne();
    bench.core->OnStart("w", start.order, Unanswered(), bench.now);
    bench.Drain("w");
    bench.Pass(kDrainBound);
    CPPUNIT_ASSERT(bench.starts.empty());
    // It may have arrived: only a stop keeps it from running.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.stops.size());
  }

  void UnsentStartIsRepeatedToAWorkerThatLeaves() {
    ShardBench bench;
    const SentStart start = bench.SendOne();
    bench.core->OnStart("w", start.order,
                        {.outcome = contracts::OrderOutcome::kNotSent},
                        bench.now);
    bench.Drain("w");
    bench.AddWorker("x");
    bench.Contact("x");
    bench.Pass(kMoment);
    bench.Store();
    for (const SentStart& sent : bench.starts) {
      CPPUNIT_ASSERT_EQUAL(std::string("x"), sent.worker);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void UnansweredStartIsRepeatedOnAnOldView() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    bench.registry_silent = true;
    bench.Pass(kDrainBound / 2);
    bench.Submit("j", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    // Each repetition gets no answer either.
    for (milliseconds passed{0}; passed < kDrainBound / 2; passed += kMoment) {
      for (const SentStart& start : bench.TakeStarts()) {
        bench.core->OnStart("w", start.order, Unanswered(), bench.now);
      }
      bench.Pass(kMoment);
    }
    CPPUNIT_ASSERT(bench.starts.empty());
  }

 private:
  static void CheckOneStartOnceItIsRead(ShardBench& bench) {
    bench.registry_silent = false;
    bench.Pass(kMoment);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RegistryAgeTest, "registry_age_test");

}  // namespace carobmast::jobs
