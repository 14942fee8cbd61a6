#include "jobs/internal/failed_attempts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <vector>

#include "shard_bench.h"

namespace carobmast::jobs {
namespace {

using contracts::EndKind;
using std::chrono::milliseconds;

class FailedAttemptsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailedAttemptsTest);
  CPPUNIT_TEST(NextOwnerDoesNotCountALateFailure);
  CPPUNIT_TEST(NextOwnerCountsAFailureAgain);
  CPPUNIT_TEST(ManyFailuresFillTheRecord);
  CPPUNIT_TEST(RunningAttemptOfAnEarlierRecordIsNotCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an attempt beyond the limit: a worker that was given up
  // tells the next owner of a failure.
  void NextOwnerDoesNotCountALateFailure() {
    ShardBench bench;
    const SentStart first = bench.RunOneTask();
    const SentStart second = GiveUp(bench);
    bench.TakeOver();
    bench.AnswerHold("w", {}, {bench.EndedRow(1, first, EndKind::kFailed)});
    bench.AnswerHold("v", {}, {bench.EndedRow(1, second, EndKind::kFailed)});
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.starts.size());
    CPPUNIT_ASSERT(JobState::kFailed == bench.core->StoredState("j"));
  }

  // Guards against a job that fails too early: an end that was counted is
  // listed once more, as it was not acknowledged.
  void NextOwnerCountsAFailureAgain() {
    ShardBench bench;
    const SentStart first = bench.RunOneTask();
    const std::vector<contracts::EndedTask> ended = {
        bench.EndedRow(1, first, EndKind::kFailed)};
    bench.AnswerHold("w", {}, ended);
    bench.Store();
    bench.TakeOver();
    bench.AnswerHold("w", {}, ended);
    bench.Store();
    CPPUNIT_ASSERT(JobState::kRunning == bench.core->StoredState("j"));
  }

  // Guards against records that grow with each attempt, and against counting
  // one again that is no longer in the record.
  void ManyFailuresFillTheRecord() {
    FailedAttempts attempts;
    for (std::uint32_t attempt = 1; attempt <= 100; ++attempt) {
      CPPUNIT_ASSERT(attempts.Add(attempt));
      CPPUNIT_ASSERT(!attempts.Add(attempt));
    }
    proto::Task record;
    attempts.Encode(record);
    CPPUNIT_ASSERT_EQUAL(100U, record.failures());
    CPPUNIT_ASSERT(record.failed_attempts_size() < 50);
    FailedAttempts restored;
    restored.Decode(record);
    for (std::uint32_t attempt = 1; attempt <= 100; ++attempt) {
      CPPUNIT_ASSERT(!restored.Add(attempt));
    }
    CPPUNIT_ASSERT(restored.Add(101));
    CPPUNIT_ASSERT_EQUAL(101U, restored.count());
  }

  // Guards against an attempt beyond the limit after a change from an earlier
  // version.
  void RunningAttemptOfAnEarlierRecordIsNotCounted() {
    proto::Task record;
    record.set_attempt(3);
    record.set_failures(1);
    record.add_runs()->set_attempt(3);
    FailedAttempts restored;
    restored.Decode(record);
    CPPUNIT_ASSERT_EQUAL(1U, restored.count());
    CPPUNIT_ASSERT(restored.Add(3));
    CPPUNIT_ASSERT_EQUAL(2U, restored.count());
  }

 private:
  // Lets the leases of the silent worker "w" pass. Returns the start of the
  // next attempt, on worker "v".
  static SentStart GiveUp(ShardBench& bench) {
    bench.AddWorker("v");
    for (int i = 0; i < 3; ++i) bench.LoseHold("w");
    for (int i = 0; i < 200 && bench.starts.empty(); ++i) {
      bench.AdvanceTime(milliseconds(100));
      bench.AnswerHold("v");
      bench.Store();
    }
    SentStart start = bench.TakeStarts().at(0);
    CPPUNIT_ASSERT_EQUAL(2U, start.order.attempt);
    bench.ConfirmStart(start);
    return start;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FailedAttemptsTest,
                                      "failed_attempts_test");

}  // namespace
}  // namespace carobmast::jobs
