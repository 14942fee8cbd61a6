// Cancelled jobs, and what arrives after their cancellation.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "jobs/job_record.h"
#include "shard_bench.h"

namespace carobmast::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kKeepEnded{120};

bool HasStartOfJob(const std::vector<SentStart>& starts) {
  return std::any_of(starts.begin(), starts.end(), [](const SentStart& start) {
    return start.order.task.job == "j";
  });
}

// Whether a submission of job "j" that arrives now starts a task of it, under
// this owner or under the next one.
bool RunsWhenSubmitted(ShardBench& bench) {
  bench.AddWorker("w");
  bench.AnswerHold("w");
  bench.Submit("j", MakeJob(1));
  bench.Store();
  if (HasStartOfJob(bench.TakeStarts())) return true;
  bench.TakeOver();
  bench.AnswerHold("w");
  bench.Store();
  return HasStartOfJob(bench.TakeStarts());
}

}  // namespace

class CancelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CancelTest);
  CPPUNIT_TEST(JobRunsThatWasCancelledBeforeItArrived);
  CPPUNIT_TEST(JobRunsUnderANewOwnerThatWasCancelledBeforeItArrived);
  CPPUNIT_TEST(CancelledAndWithdrawnJobRunsWhenSubmittedAgain);
  CPPUNIT_TEST(CancelledAndWithdrawnJobRunsUnderANewOwner);
  CPPUNIT_TEST(CancelOfAnUnknownJobIsAnsweredBeforeItIsStored);
  CPPUNIT_TEST(CancelledUnknownJobIsShown);
  CPPUNIT_TEST(ReplacedOwnerDeniesJobsOfItsSuccessor);
  CPPUNIT_TEST(WitnessesLetAReplacedOwnerDenyJobs);
  CPPUNIT_TEST(IdleOwnerWithoutWorkersMayNotDenyJobs);
  CPPUNIT_TEST(RunIsNotStoppedAgainThatOutlivesAConfirmedStop);
  CPPUNIT_TEST(RestoredJobRunsWhoseCancelIsOnRecord);
  CPPUNIT_TEST(CancelledIdIsForgottenBeforeAnEndedJob);
  CPPUNIT_TEST(SecondCancelOfAnUnknownJobIsForgottenEarly);
  CPPUNIT_TEST(CancelledIdsAreKeptForEver);
  CPPUNIT_TEST(EndedJobWithAnUnstoredChangeIsKeptForEver);
  CPPUNIT_TEST(NewOwnerWhoseClockIsAheadForgetsACancelledJob);
  CPPUNIT_TEST(FloodOfCancelsDropsAnEarlierOne);
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

  // An owner that was replaced must not answer for jobs of its successor.
  void CancelOfAnUnknownJobIsAnsweredBeforeItIsStored() {
    ShardBench bench;
    bench.Store();
    const CancelAnswer cancelled = bench.core->Cancel("j", bench.now);
    CPPUNIT_ASSERT(CancelOutcome::kUnknownJob == cancelled.outcome);
    CPPUNIT_ASSERT(bench.core->stored_changes() < cancelled.change);
    CPPUNIT_ASSERT(bench.core->HasChanges());
    bench.Store();
    CPPUNIT_ASSERT(bench.core->stored_changes() >= cancelled.change);
  }

  void CancelledUnknownJobIsShown() {
    ShardBench bench;
    bench.core->Cancel("j", bench.now);
    bench.Store();
    CPPUNIT_ASSERT(!bench.core->StoredState("j").has_value());
    CPPUNIT_ASSERT(SubmitOutcome::kNewJob ==
                   bench.Submit("j", MakeJob(1)).outcome);
    bench.Store();
    CPPUNIT_ASSERT(JobState::kCancelled == bench.core->StoredState("j"));
    CPPUNIT_ASSERT_EQUAL(0U, bench.core->PendingCounts().at("queue"));
  }

  void ReplacedOwnerDeniesJobsOfItsSuccessor() {
    ShardBench bench;
    bench.AddWorker("w");
    for (int i = 0; i < 5; ++i) {
      bench.AdvanceTime(milliseconds(1000));
      CPPUNIT_ASSERT(bench.core->MayDenyJobs(bench.now));
      bench.Store();
    }
    // The store refuses its appends from here on.
    bench.AdvanceTime(seconds(3));
    CPPUNIT_ASSERT(!bench.core->MayDenyJobs(bench.now));
  }

  // Witnesses show that no later owner has used workers, not that none has
  // accepted jobs.
  void WitnessesLetAReplacedOwnerDenyJobs() {
    ShardBench bench;
    bench.StoreWitnesses();
    // The store refuses its appends from here on.
    for (int i = 0; i < 50; ++i) {
      bench.AdvanceTime(milliseconds(100));
      for (const char* worker : {"v", "x"}) bench.AnswerHold(worker);
    }
    CPPUNIT_ASSERT(!bench.core->MayDenyJobs(bench.now));
  }

  void IdleOwnerWithoutWorkersMayNotDenyJobs() {
    ShardBench bench;
    for (int i = 0; i < 5; ++i) {
      bench.AdvanceTime(milliseconds(1000));
      CPPUNIT_ASSERT(bench.core->MayDenyJobs(bench.now));
      bench.Store();
    }
  }

  void RunIsNotStoppedAgainThatOutlivesAConfirmedStop() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.core->Cancel("j", bench.now);
    bench.Store();
    for (std::size_t stops = 1; stops < 4; ++stops) {
      CPPUNIT_ASSERT_EQUAL(stops, bench.stops.size());
      bench.core->OnStop(
          "w", bench.stops.back().order,
          {.outcome = contracts::OrderOutcome::kDone, .clock = bench.Clock()},
          bench.now);
      // The worker may still be ending it.
      bench.AnswerHold("w", {bench.RunningRow(start)});
      bench.AdvanceTime(milliseconds(100));
      CPPUNIT_ASSERT_EQUAL(stops, bench.stops.size());
      bench.AdvanceTime(ShardOptions{}.stop_time);
      bench.AnswerHold("w", {bench.RunningRow(start)});
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.core->leftover_runs());
    }
    bench.AnswerHold("w");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.core->leftover_runs());
  }

  void RestoredJobRunsWhoseCancelIsOnRecord() {
    ShardBench other;
    other.core->Cancel("j", other.now);
    other.Store();
    ShardBench bench;
    bench.SubmitAndTakeStart();
    bench.stored.insert(other.stored.begin(), other.stored.end());
    bench.TakeOver();
    bench.AnswerHold("w");
    bench.AdvanceTime(seconds(12));
    bench.Store();
    CPPUNIT_ASSERT(bench.TakeStarts().empty());
    CPPUNIT_ASSERT(JobState::kCancelled == bench.core->StoredState("j"));
  }

  void CancelledIdIsForgottenBeforeAnEndedJob() {
    ShardBench bench;
    bench.core->Cancel("j", bench.now);
    bench.Store();
    for (int i = 0; i < 3; ++i) {
      bench.AdvanceTime(kKeepEnded - seconds(1));
      bench.Store();
      bench.TakeOver();
    }
    CPPUNIT_ASSERT(!RunsWhenSubmitted(bench));
  }

  void SecondCancelOfAnUnknownJobIsForgottenEarly() {
    ShardBench bench;
    bench.core->Cancel("j", bench.now);
    bench.Store();
    bench.AdvanceTime(kKeepEnded - seconds(1));
    const CancelAnswer again = bench.core->Cancel("j", bench.now);
    CPPUNIT_ASSERT(CancelOutcome::kUnknownJob == again.outcome);
    bench.Store();
    CPPUNIT_ASSERT(bench.core->stored_changes() >= again.change);
    bench.AdvanceTime(seconds(30));
    bench.Store();
    CPPUNIT_ASSERT(!RunsWhenSubmitted(bench));
  }

  void EndedJobWithAnUnstoredChangeIsKeptForEver() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.core->Cancel("j", bench.now);
    bench.Store();
    bench.AdvanceTime(kKeepEnded - milliseconds(100));
    bench.Store();
    bench.AnswerHold("w", {},
                     {bench.EndedRow(1, start, contracts::EndKind::kStopped)});
    bench.AdvanceTime(milliseconds(200));
    bench.Store();
    bench.AdvanceTime(milliseconds(100));
    bench.Store();
    CPPUNIT_ASSERT(!bench.stored.contains(kJobPrefix + std::string("j")));
  }

  void NewOwnerWhoseClockIsAheadForgetsACancelledJob() {
    ShardBench bench;
    bench.SubmitAndTakeStart();
    bench.core->Cancel("j", bench.now);
    bench.Store();
    bench.AdvanceTime(kKeepEnded - seconds(5));
    bench.now.wall += seconds(10);
    bench.TakeOver();
    bench.AdvanceTime(milliseconds(100));
    bench.Store();
    CPPUNIT_ASSERT(bench.core->StoredState("j").has_value());
  }

  void CancelledIdsAreKeptForEver() {
    ShardBench bench;
    for (int i = 0; i < 200; ++i) {
      bench.core->Cancel("j" + std::to_string(i), bench.now);
      bench.Store();
    }
    CPPUNIT_ASSERT(CountCancelledRecords(bench) >= 1);
    bench.AdvanceTime(kKeepEnded + seconds(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, CountCancelledRecords(bench));
  }

  void FloodOfCancelsDropsAnEarlierOne() {
    ShardBench bench;
    bench.core->Cancel("j", bench.now);
    int refused = 0;
    for (int i = 0; i < 100000; ++i) {
      const CancelAnswer cancelled =
          bench.core->Cancel("flood-" + std::to_string(i), bench.now);
      if (cancelled.outcome == CancelOutcome::kNoRoom) ++refused;
    }
    CPPUNIT_ASSERT(refused > 0);
    bench.Store();
    CPPUNIT_ASSERT(!RunsWhenSubmitted(bench));
    // A job that is known can still be cancelled.
    bench.Submit("k", MakeJob(1));
    CPPUNIT_ASSERT(CancelOutcome::kCancelled ==
                   bench.core->Cancel("k", bench.now).outcome);
  }

 private:
  static std::ptrdiff_t CountCancelledRecords(const ShardBench& bench) {
    return std::count_if(bench.stored.begin(), bench.stored.end(),
                         [](const auto& record) {
                           return record.first.starts_with(kCancelledIdsPrefix);
                         });
  }

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
