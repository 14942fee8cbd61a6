// Cancelled jobs, and what arrives after their cancellation.
#include <cppunit/extensions/HelperMacros.h>

#include "shard_bench.h"

namespace carobmast::jobs {
namespace {

using contracts::OrderOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Whether a submission of job "j" that arrives now starts a task, under this
// owner or under the next one.
bool RunsWhenSubmitted(ShardBench& bench) {
  bench.AddWorker("w");
  bench.AnswerHold("w");
  bench.Submit("j", MakeJob(1));
  bench.Store();
  if (!bench.TakeStarts().empty()) return true;
  bench.TakeOver();
  bench.AnswerHold("w");
  bench.Store();
  return !bench.TakeStarts().empty();
}

}  // namespace

class CancelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CancelTest);
  CPPUNIT_TEST(JobRunsThatWasCancelledBeforeItArrived);
  CPPUNIT_TEST(JobRunsUnderANewOwnerThatWasCancelledBeforeItArrived);
  CPPUNIT_TEST(CancelledAndWithdrawnJobRunsWhenSubmittedAgain);
  CPPUNIT_TEST(CancelledAndWithdrawnJobRunsUnderANewOwner);
  CPPUNIT_TEST_SUITE_END();

 public:
  void JobRunsThatWasCancelledBeforeItArrived() {
    ShardBench bench;
    bench.core->Cancel("j", bench.now);
    bench.Store();
    CPPUNIT_ASSERT(!RunsWhenSubmitted(bench));
  }

  void JobRunsUnderANewOwnerThatWasCancelledBeforeItArrived() {
    ShardBench bench;
    bench.core->Cancel("j", bench.now);
    bench.Store();
    bench.TakeOver();
    CPPUNIT_ASSERT(!RunsWhenSubmitted(bench));
  }

  void CancelledAndWithdrawnJobRunsWhenSubmittedAgain() {
    ShardBench bench;
    CancelAndWithdraw(bench);
    CPPUNIT_ASSERT(!RunsWhenSubmitted(bench));
  }

  void CancelledAndWithdrawnJobRunsUnderANewOwner() {
    ShardBench bench;
    CancelAndWithdraw(bench);
    bench.TakeOver();
    CPPUNIT_ASSERT(!RunsWhenSubmitted(bench));
  }

 private:
  // The cancellation counts as stored afterwards.
  static void CancelAndWithdraw(ShardBench& bench) {
    bench.Submit("j", MakeJob(1));
    const CancelAnswer cancelled = bench.core->Cancel("j", bench.now);
    bench.core->Withdraw("j");
    bench.Submit("other", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT(bench.core->stored_changes() >= cancelled.change);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CancelTest, "cancel_test");

}  // namespace carobmast::jobs
