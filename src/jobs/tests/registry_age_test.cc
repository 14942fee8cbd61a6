// Guards against starts on a stale view of the registry, in which a worker that
// has announced that it leaves still looks available.
#include <cppunit/extensions/HelperMacros.h>

#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;

namespace {

// Time after its announcement for which a leaving worker may still get starts:
// the shortest bound that operators set.
constexpr milliseconds kDrainBound{2000};
constexpr milliseconds kShortTime{50};

contracts::OrderAnswer Unanswered() {
  return {.outcome = contracts::OrderOutcome::kUnknown};
}

}  // namespace

class RegistryAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryAgeTest);
  CPPUNIT_TEST(NoStartOnAStaleRegistry);
  CPPUNIT_TEST(QueuedStartWaitsForACurrentRegistry);
  CPPUNIT_TEST(UnansweredStartIsNotRepeatedToADrainingWorker);
  CPPUNIT_TEST(UnsentStartIsNotRepeatedToADrainingWorker);
  CPPUNIT_TEST(UnansweredStartIsNotRepeatedOnAStaleRegistry);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoStartOnAStaleRegistry() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.registry_unread = true;
    bench.AdvanceTime(kDrainBound);
    bench.Submit("j", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    CheckOneStartAfterRegistryRead(bench);
  }

  void QueuedStartWaitsForACurrentRegistry() {
    ShardBench bench;
    bench.max_starts_in_flight = 1;
    bench.TakeOver();
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(2));
    bench.Store();
    const SentStart first = bench.TakeStarts().at(0);
    bench.registry_unread = true;
    bench.AdvanceTime(kDrainBound);
    bench.ConfirmStart(first);
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    CheckOneStartAfterRegistryRead(bench);
  }

  void UnansweredStartIsNotRepeatedToADrainingWorker() {
    ShardBench bench;
    const SentStart start = bench.SubmitAndTakeStart();
    bench.core->OnStart("w", start.order, Unanswered(), bench.now);
    bench.Drain("w");
    bench.AdvanceTime(kDrainBound);
    CPPUNIT_ASSERT(bench.starts.empty());
    // The start may have arrived: only a stop keeps the task from running.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.stops.size());
  }

  void UnsentStartIsNotRepeatedToADrainingWorker() {
    ShardBench bench;
    const SentStart start = bench.SubmitAndTakeStart();
    bench.core->OnStart("w", start.order,
                        {.outcome = contracts::OrderOutcome::kNotSent},
                        bench.now);
    bench.Drain("w");
    bench.AddWorker("x");
    bench.AnswerHold("x");
    bench.AdvanceTime(kShortTime);
    bench.Store();
    for (const SentStart& sent : bench.starts) {
      CPPUNIT_ASSERT_EQUAL(std::string("x"), sent.worker);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void UnansweredStartIsNotRepeatedOnAStaleRegistry() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.registry_unread = true;
    bench.AdvanceTime(kDrainBound / 2);
    bench.Submit("j", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    // No repetition is answered either.
    for (milliseconds passed{0}; passed < kDrainBound / 2;
         passed += kShortTime) {
      for (const SentStart& start : bench.TakeStarts()) {
        bench.core->OnStart("w", start.order, Unanswered(), bench.now);
      }
      bench.AdvanceTime(kShortTime);
    }
    CPPUNIT_ASSERT(bench.starts.empty());
  }

 private:
  static void CheckOneStartAfterRegistryRead(ShardBench& bench) {
    bench.registry_unread = false;
    bench.AdvanceTime(kShortTime);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RegistryAgeTest, "registry_age_test");

}  // namespace carobmast::jobs
