// ShardCore: storing before ordering, leases, recovery by a new owner,
// placement.
#include "jobs/shard_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ShardCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardCoreTest);
  CPPUNIT_TEST(StartsOnlyAfterTheIntentIsStored);
  CPPUNIT_TEST(ResubmittedIdIsTheSameJob);
  CPPUNIT_TEST(JobThatAnotherSubmissionWaitsForIsWithdrawn);
  CPPUNIT_TEST(WithdrawnAndResubmittedJobIsDroppedAsEnded);
  CPPUNIT_TEST(WithdrawnJobStaysInTheQueueOfReadySteps);
  CPPUNIT_TEST(EndIsAcknowledgedAfterItIsStored);
  CPPUNIT_TEST(CompletionIsReportedAfterItIsStored);
  CPPUNIT_TEST(StartsStayWithinCapacity);
  CPPUNIT_TEST(LaterStepWaitsForEarlierOnes);
  CPPUNIT_TEST(TaskThatFailsTooOftenFailsItsJob);
  CPPUNIT_TEST(JobFailsAtOnceWhileItsQueueIsNotConfigured);
  CPPUNIT_TEST(JobFailsAtOnceUnderAnOwnerWithoutConfiguration);
  CPPUNIT_TEST(JobsCountAsWorthlessUnderAnOwnerWithoutConfiguration);
  CPPUNIT_TEST(TicketIsNotAskedForWhileTheQueueIsNotConfigured);
  CPPUNIT_TEST(CancelStopsRunningTasks);
  CPPUNIT_TEST(UnansweredStartIsRepeatedUnderItsAttempt);
  CPPUNIT_TEST(SilentWorkerKeepsItsTasksUntilTheLeaseIsOver);
  CPPUNIT_TEST(OneLostAnswerDoesNotMakeAWorkerSilent);
  CPPUNIT_TEST(PausedOwnerTakesRunningTasksForStalled);
  CPPUNIT_TEST(TaskWithoutProgressIsStopped);
  CPPUNIT_TEST(HoldsWithoutAnAnswerRenewNoLease);
  CPPUNIT_TEST(NewOwnerAdoptsRunningTasks);
  CPPUNIT_TEST(NewOwnerRestartsTasksThatNeverArrived);
  CPPUNIT_TEST(NewOwnerAssumesMaxLeaseAtFirstContact);
  CPPUNIT_TEST(OrderAnswerBeforeFirstHoldDoesNotEndLeases);
  CPPUNIT_TEST(NewOwnerWaitsOutLeasesOfUnreachedWorker);
  CPPUNIT_TEST(StoppedFormerOwnersShortenTheWait);
  CPPUNIT_TEST(LostTasksWaitForAFormerOwnerThatNeverAnswers);
  CPPUNIT_TEST(MinorityOfTheWitnessesShortensTheWait);
  CPPUNIT_TEST(LeasesAreExtendedByAnOwnerThatMayBeReplaced);
  CPPUNIT_TEST(IdleOwnerIsNotConfirmed);
  CPPUNIT_TEST(WorkerRegisteredAfterItsCordonGetsTasks);
  CPPUNIT_TEST(DrainMovesStandingTasksWithinMaxAway);
  CPPUNIT_TEST(TasksOnSilentWorkersCountAsUnavailable);
  CPPUNIT_TEST(UnlistedWorkerIsHeldWhileItRunsTasks);
  CPPUNIT_TEST(RunningListFromBeforeTheStartDoesNotEndARun);
  CPPUNIT_TEST(RunBeyondTheListedEndsIsStartedAgain);
  CPPUNIT_TEST(RunBeyondTheListedEndsIsStoppedAsStalled);
  CPPUNIT_TEST(RestartedWorkerLosesItsTasks);
  CPPUNIT_TEST(LeaseOfAFormerLifeLastsByTheNewClock);
  CPPUNIT_TEST(GangStartsTogetherUnderOneAttempt);
  CPPUNIT_TEST(MaxPerWorkerIsKept);
  CPPUNIT_TEST(FillerIsNotStarvedWhileThePoolHasFreeCpus);
  CPPUNIT_TEST(GangOfFillersIsStarvedWhileThePoolHasFreeCpus);
  CPPUNIT_TEST(NothingIsAcknowledgedAfterAnUnansweredHold);
  CPPUNIT_TEST(FullLargePoolIsNotRescannedAfterEachEnd);
  CPPUNIT_TEST(WorkersOfALargePoolReportTooOften);
  CPPUNIT_TEST(WorkerWithManyRunsReportsAtEachEnd);
  CPPUNIT_TEST(LargePoolIsFilledUnevenly);
  CPPUNIT_TEST(StartsBeyondTheLimitWaitForAnswers);
  CPPUNIT_TEST(QueuedStartIsNotSentToADrainingWorker);
  CPPUNIT_TEST(JobIsPendingUntilAStartIsConfirmed);
  CPPUNIT_TEST(NewOwnerDoesNotCountARunningJobAsPending);
  CPPUNIT_TEST(OnlyDueOccurrencesStart);
  CPPUNIT_TEST(QueueWithAdviceStartsOnlyWithATicket);
  CPPUNIT_TEST(PausedOwnerStartsOnAnOldConfirmation);
  CPPUNIT_TEST(WaitOfANewStandingTaskCountsFromTheOwnersStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StartsOnlyAfterTheIntentIsStored() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(1));
    const Batch batch = bench.core->TakeBatch(bench.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, batch.records.size());
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.core->OnStored(batch.number, bench.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void ResubmittedIdIsTheSameJob() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    CPPUNIT_ASSERT(SubmitOutcome::kNewJob ==
                   bench.Submit("j", MakeJob(1)).outcome);
    bench.Store();
    CPPUNIT_ASSERT(SubmitOutcome::kKnownJob ==
                   bench.Submit("j", MakeJob(1)).outcome);
    bench.TakeOver();
    bench.AnswerHold("w");
    CPPUNIT_ASSERT(SubmitOutcome::kKnownJob ==
                   bench.Submit("j", MakeJob(1)).outcome);
  }

  // Guards against telling one caller "not run" and another "accepted" about
  // the same job, when both wait for a store that doesn't answer.
  void JobThatAnotherSubmissionWaitsForIsWithdrawn() {
    ShardBench bench;
    bench.Submit("j", MakeJob(1));
    const SubmitAnswer second = bench.Submit("j", MakeJob(1));
    CPPUNIT_ASSERT(SubmitOutcome::kKnownJob == second.outcome);
    CPPUNIT_ASSERT(!bench.core->Withdraw("j"));
    CPPUNIT_ASSERT(bench.core->StoredState("j").has_value());
    CPPUNIT_ASSERT(bench.core->Withdraw("j"));
    CPPUNIT_ASSERT(!bench.core->StoredState("j").has_value());
  }

  // Guards against forgetting a job because an earlier one of the same ID was
  // cancelled and withdrawn before it was stored.
  void WithdrawnAndResubmittedJobIsDroppedAsEnded() {
    ShardBench bench;
    bench.Submit("j", MakeJob(1));
    bench.core->Cancel("j", bench.now);
    CPPUNIT_ASSERT(bench.core->Withdraw("j"));
    bench.AdvanceTime(seconds(100));
    bench.Submit("j", MakeJob(1));
    bench.Store();
    bench.AdvanceTime(seconds(100));
    bench.core->Tick(bench.now);
    CPPUNIT_ASSERT(bench.core->StoredState("j").has_value());
  }

  // Guards against a crash when a job is withdrawn whose tasks are planned, but
  // in no batch.
  void WithdrawnJobStaysInTheQueueOfReadySteps() {
    ShardBench bench;
    bench.max_batch_bytes = 1;
    bench.TakeOver();
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(1));
    bench.Submit("k", MakeJob(2));
    const Batch batch = bench.core->TakeBatch(bench.now);
    CPPUNIT_ASSERT(bench.core->Withdraw("k"));
    bench.AdvanceTime(milliseconds(500));
    bench.core->OnStored(batch.number, bench.now);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("j"), bench.starts[0].order.task.job);
    // Its resources are free again.
    bench.Submit("l", MakeJob(3));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.starts.size());
  }

  void EndIsAcknowledgedAfterItIsStored() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.AnswerHold("w", {}, {bench.EndedRow(1, start)});
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{0},
        bench.core->PlanHold("w", bench.now).order.acknowledged_end);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        bench.core->PlanHold("w", bench.now).order.acknowledged_end);
  }

  void CompletionIsReportedAfterItIsStored() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.AnswerHold("w", {}, {bench.EndedRow(1, start)});
    CPPUNIT_ASSERT(JobState::kRunning == StoredStateOfJob(bench));
    bench.Store();
    CPPUNIT_ASSERT(JobState::kCompleted == StoredStateOfJob(bench));
  }

  void StartsStayWithinCapacity() {
    ShardBench bench;
    bench.AddWorker("w", 3000);
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(10));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.starts.size());
    // A task still uses its resources while it is being stopped.
    bench.core->Cancel("j", bench.now);
    bench.Submit("k", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.starts.size());
  }

  void LaterStepWaitsForEarlierOnes() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    JobSpec spec = MakeJob(1);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().depends_on = {0};
    bench.Submit("j", spec);
    bench.Store();
    const std::vector<SentStart> first = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
    bench.ConfirmStart(first[0]);
    bench.AnswerHold("w", {}, {bench.EndedRow(1, first[0])});
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(1U, bench.starts[0].order.task.step);
  }

  void TaskThatFailsTooOftenFailsItsJob() {
    ShardBench bench;
    SentStart start = bench.RunOneTask();
    bench.AnswerHold("w", {},
                     {bench.EndedRow(1, start, contracts::EndKind::kFailed)});
    bench.Store();
    start = bench.TakeStarts().at(0);
    CPPUNIT_ASSERT_EQUAL(2U, start.order.attempt);
    bench.ConfirmStart(start);
    bench.AnswerHold("w", {},
                     {bench.EndedRow(2, start, contracts::EndKind::kFailed)});
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    CPPUNIT_ASSERT(JobState::kFailed == StoredStateOfJob(bench));
  }

  // Guards against failing a job before its attempts are used up, because its
  // route is removed for a while.
  void JobFailsAtOnceWhileItsQueueIsNotConfigured() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.DropQueue();
    AssertFailsAtItsSecondFailure(bench, start);
  }

  // The same, because a new owner has not read the configuration.
  void JobFailsAtOnceUnderAnOwnerWithoutConfiguration() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.config_unread = true;
    bench.TakeOver();
    AssertFailsAtItsSecondFailure(bench, start);
  }

  // Guards against rejecting jobs for a backlog that only seems late, because
  // its objectives were not known.
  void JobsCountAsWorthlessUnderAnOwnerWithoutConfiguration() {
    ShardBench bench;
    for (int job = 0; job < 20; ++job) {
      JobSpec spec = MakeJob(1);
      spec.steps[0].estimate = seconds(60);
      bench.Submit("j" + std::to_string(job), spec);
    }
    bench.Store();
    bench.config_unread = true;
    bench.TakeOver();
    bench.AdvanceTime(seconds(1));
    bench.RestoreQueue();
    CPPUNIT_ASSERT(SubmitOutcome::kNewJob ==
                   bench.Submit("k", MakeJob(1)).outcome);
  }

  // Guards against starts without a ticket, which workers reject, while the
  // route that asks for it is removed.
  void TicketIsNotAskedForWhileTheQueueIsNotConfigured() {
    ShardBench bench;
    bench.EnableAdvice();
    bench.Submit("j", MakeJob(1));
    bench.Store();
    bench.DropQueue();
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AdvanceTime(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.advice_calls.size());
  }

  void CancelStopsRunningTasks() {
    ShardBench bench;
    bench.RunOneTask();
    CPPUNIT_ASSERT(CancelOutcome::kCancelled ==
                   bench.core->Cancel("j", bench.now).outcome);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.stops.size());
    CPPUNIT_ASSERT(JobState::kCancelled == StoredStateOfJob(bench));
    CPPUNIT_ASSERT(CancelOutcome::kUnknownJob ==
                   bench.core->Cancel("unknown", bench.now).outcome);
  }

  void UnansweredStartIsRepeatedUnderItsAttempt() {
    ShardBench bench;
    const SentStart start = bench.SubmitAndTakeStart();
    bench.core->OnStart("w", start.order,
                        {.outcome = contracts::OrderOutcome::kUnknown},
                        bench.now);
    bench.AnswerHold("w");
    bench.AdvanceTime(milliseconds(300));
    const std::vector<SentStart> again = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT_EQUAL(start.order.attempt, again[0].order.attempt);
    CPPUNIT_ASSERT_EQUAL(start.worker, again[0].worker);
  }

  void SilentWorkerKeepsItsTasksUntilTheLeaseIsOver() {
    ShardBench bench;
    bench.RunOneTask();
    bench.AddWorker("v");
    bench.AnswerHold("v");
    bench.LoseHold("w");
    bench.LoseHold("w");
    bench.AdvanceTime(seconds(5));
    bench.AnswerHold("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AdvanceTime(seconds(3));
    bench.Store();
    const std::vector<SentStart> moved = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), moved[0].worker);
    CPPUNIT_ASSERT_EQUAL(2U, moved[0].order.attempt);
  }

  // Guards against stopping all running tasks after a pause of the owner or a
  // gap in the reports, in which nobody could see their progress.
  void PausedOwnerTakesRunningTasksForStalled() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    contracts::RunningTask row = bench.RunningRow(start);
    row.percent = 10;
    bench.AnswerHold("w", {row});
    bench.now.steady += seconds(4);
    bench.now.wall += seconds(4);
    bench.core->Tick(bench.now);
    CPPUNIT_ASSERT(bench.stops.empty());
    row.percent = 60;
    bench.AnswerHold("w", {row});
    bench.AdvanceTime(milliseconds(100));
    CPPUNIT_ASSERT(bench.stops.empty());
  }

  void TaskWithoutProgressIsStopped() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    contracts::RunningTask row = bench.RunningRow(start);
    row.percent = 10;
    for (int i = 0; i < 6 && bench.stops.empty(); ++i) {
      bench.AnswerHold("w", {row});
      bench.AdvanceTime(milliseconds(500));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.stops.size());
  }

  // Guards against an owner that can't keep up with the reports of its workers:
  // their rate must not grow with the pool without bound.
  void WorkersOfALargePoolReportTooOften() {
    const milliseconds few = HoldWaitWithWorkers(100);
    const milliseconds many = HoldWaitWithWorkers(3000);
    CPPUNIT_ASSERT(few == milliseconds(1000));
    CPPUNIT_ASSERT(many == milliseconds(1500));
    // The longest wait that workers accept.
    CPPUNIT_ASSERT(HoldWaitWithWorkers(5800) == milliseconds(2000));
  }

  // Guards against reports of hundreds of runs at each end of one of them,
  // which take up a worker, its link and the owner.
  void WorkerWithManyRunsReportsAtEachEnd() {
    CPPUNIT_ASSERT(HoldPauseWithRuns(64) == milliseconds(0));
    CPPUNIT_ASSERT(HoldPauseWithRuns(964) == milliseconds(450));
  }

  // Guards against placing all work on the workers that a search finds first,
  // when it doesn't visit the whole pool.
  void LargePoolIsFilledUnevenly() {
    constexpr std::size_t kWorkers = 2000;
    ShardBench bench;
    AddWorkers(bench, kWorkers);
    for (std::size_t job = 0; job < 10; ++job) {
      bench.Submit("j" + std::to_string(job), MakeJob(200));
      bench.Store();
    }
    std::map<std::string, int> tasks;
    for (const SentStart& start : bench.starts) ++tasks[start.worker];
    CPPUNIT_ASSERT_EQUAL(kWorkers, bench.starts.size());
    CPPUNIT_ASSERT(tasks.size() > kWorkers / 2);
    for (const auto& [worker, count] : tasks) CPPUNIT_ASSERT(count <= 2);
  }

  void HoldsWithoutAnAnswerRenewNoLease() {
    ShardBench bench;
    bench.RunOneTask();
    bench.AddWorker("v");
    for (int i = 0; i < 40 && bench.starts.empty(); ++i) {
      bench.AnswerHold("v");
      bench.LoseHold("w");
      bench.AdvanceTime(milliseconds(250));
      bench.Store();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), bench.starts[0].worker);
  }

  void OneLostAnswerDoesNotMakeAWorkerSilent() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.LoseHold("w");
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t{0},
        std::int64_t{bench.core->PlanHold("w", bench.now).pause.count()});
    bench.Submit("j", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    bench.LoseHold("w");
    bench.Submit("k", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void NewOwnerAdoptsRunningTasks() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.TakeOver();
    bench.AnswerHold("w", {bench.RunningRow(start)});
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AnswerHold("w", {}, {bench.EndedRow(1, start)});
    bench.Store();
    CPPUNIT_ASSERT(JobState::kCompleted == StoredStateOfJob(bench));
  }

  void NewOwnerRestartsTasksThatNeverArrived() {
    ShardBench bench;
    bench.RunOneTask();
    bench.TakeOver();
    bench.AnswerHold("w");
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(2U, bench.starts[0].order.attempt);
  }

  void NewOwnerAssumesMaxLeaseAtFirstContact() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.AddWorker("v");
    bench.TakeOver();
    bench.AnswerHold("v");
    bench.AnswerHold("w", {bench.RunningRow(start)});
    bench.LoseHold("w");
    bench.LoseHold("w");
    bench.AdvanceTime(seconds(5));
    bench.AnswerHold("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void OrderAnswerBeforeFirstHoldDoesNotEndLeases() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.AddWorker("v");
    bench.TakeOver();
    bench.AnswerHold("v");
    bench.LoseHold("w");
    // The stop of another run is answered before the first hold.
    bench.core->OnStop(
        "w", {.task = start.order.task, .attempt = 1},
        {.outcome = contracts::OrderOutcome::kFenced, .clock = bench.Clock()},
        bench.now);
    bench.AdvanceTime(seconds(2));
    bench.AnswerHold("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void NewOwnerWaitsOutLeasesOfUnreachedWorker() {
    ShardBench bench;
    bench.RunOneTask();
    bench.AddWorker("v");
    bench.TakeOver();
    bench.AnswerHold("v");
    bench.LoseHold("w");
    bench.AdvanceTime(seconds(15));
    bench.AnswerHold("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AdvanceTime(seconds(2));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void StoppedFormerOwnersShortenTheWait() {
    ShardBench bench;
    bench.RunOneTask();
    bench.AddWorker("v");
    bench.TakeOver();
    bench.core->OnFormerOwnersStopped(bench.now);
    bench.AnswerHold("v");
    bench.LoseHold("w");
    bench.AdvanceTime(seconds(6));
    bench.AnswerHold("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AdvanceTime(milliseconds(500));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  // Guards against leaving the tasks of lost workers waiting for as long as a
  // former owner may be cut off, when its VM was removed for good.
  void LostTasksWaitForAFormerOwnerThatNeverAnswers() {
    ShardBench bench;
    RunOneTaskWithWitnesses(bench);
    bench.TakeOver();
    bench.LoseHold("w");
    for (const char* witness : {"v", "x"}) bench.AnswerHold(witness);
    bench.AdvanceTime(milliseconds(4900));
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    for (const char* witness : {"v", "x"}) bench.AnswerHold(witness);
    // The longest lease, by a clock that is 2% slow, and the margin.
    bench.AdvanceTime(milliseconds(1400));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  // Guards against starting a task again that a former owner, which reaches
  // the other witnesses, keeps running.
  void MinorityOfTheWitnessesShortensTheWait() {
    ShardBench bench;
    RunOneTaskWithWitnesses(bench);
    bench.TakeOver();
    bench.LoseHold("w");
    bench.LoseHold("x");
    bench.AnswerHold("v");
    bench.AdvanceTime(seconds(14));
    bench.AnswerHold("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void LeasesAreExtendedByAnOwnerThatMayBeReplaced() {
    ShardBench bench;
    RunOneTaskWithWitnesses(bench);
    bench.AnswerHold("w");
    const contracts::WorkerClock confirmed_at = bench.Clock();
    // Neither the store nor the other witnesses answer.
    for (int i = 0; i < 20; ++i) {
      bench.AdvanceTime(milliseconds(100));
      bench.AnswerHold("w");
    }
    const contracts::WorkerClock unconfirmed = LeaseEndOf(bench, "w");
    CPPUNIT_ASSERT(unconfirmed <= confirmed_at + ShardOptions{}.max_lease);
    bench.AnswerHold("v");
    bench.AnswerHold("w");
    CPPUNIT_ASSERT(LeaseEndOf(bench, "w") > unconfirmed + seconds(1));
  }

  // Guards against letting leases expire because there is nothing to store.
  void IdleOwnerIsNotConfirmed() {
    ShardBench bench;
    RunOneTaskWithWitnesses(bench);
    for (int i = 0; i < 100; ++i) {
      bench.AdvanceTime(milliseconds(100));
      bench.Store();
      bench.AnswerHold("w");
    }
    CPPUNIT_ASSERT(LeaseEndOf(bench, "w") > bench.Clock() + seconds(3));
  }

  // Guards against tasks on a worker whose VM waits for maintenance, but that
  // the owner did not know when it was told so.
  void WorkerRegisteredAfterItsCordonGetsTasks() {
    ShardBench bench;
    bench.core->SetCordoned({"w"}, bench.now);
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.core->SetCordoned({}, bench.now);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void DrainMovesStandingTasksWithinMaxAway() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    JobSpec spec = MakeJob(2);
    spec.steps[0].standing = true;
    spec.steps[0].max_away = 1;
    bench.Submit("j", spec);
    bench.Store();
    const std::vector<SentStart> both = bench.TakeStarts();
    std::vector<contracts::RunningTask> running;
    for (const SentStart& start : both) {
      bench.ConfirmStart(start);
      running.push_back(bench.RunningRow(start));
      running.back().percent = 100;
    }
    bench.AnswerHold("w", running);
    bench.AddWorker("v");
    bench.AnswerHold("v");
    bench.Drain("w");
    bench.AdvanceTime(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.stops.size());
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void TasksOnSilentWorkersCountAsUnavailable() {
    ShardBench bench;
    for (const char* id : {"v", "w"}) {
      bench.AddWorker(id);
      bench.AnswerHold(id);
    }
    JobSpec spec = MakeJob(2);
    spec.steps[0].standing = true;
    spec.steps[0].max_away = 1;
    spec.steps[0].max_per_worker = 1;
    bench.Submit("j", spec);
    bench.Store();
    for (const SentStart& start : bench.TakeStarts()) {
      bench.ConfirmStart(start);
      contracts::RunningTask running = bench.RunningRow(start);
      running.percent = 100;
      bench.AnswerHold(start.worker, {running});
    }
    bench.AddWorker("x");
    bench.AnswerHold("x");
    bench.LoseHold("v");
    bench.LoseHold("v");
    // The task on "v" may have ended, so no other may be stopped.
    bench.Drain("w");
    bench.AdvanceTime(milliseconds(100));
    CPPUNIT_ASSERT(bench.stops.empty());
  }

  void UnlistedWorkerIsHeldWhileItRunsTasks() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.core->SetWorkers({}, bench.now.steady, bench.now);
    CPPUNIT_ASSERT(bench.core->Target("w").has_value());
    bench.AnswerHold("w", {}, {bench.EndedRow(1, start)});
    bench.Submit("k", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    CPPUNIT_ASSERT(!bench.core->Target("w").has_value());
  }

  void RunningListFromBeforeTheStartDoesNotEndARun() {
    ShardBench bench;
    const SentStart start = bench.SubmitAndTakeStart();
    const MonotonicTime sent_at = bench.now.steady;
    bench.now.steady += milliseconds(5);
    bench.ConfirmStart(start);
    bench.core->OnHold("w", {},
                       {.outcome = contracts::OrderOutcome::kDone,
                        .clock = bench.Clock(),
                        .born_ms = 1},
                       sent_at, bench.now);
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  // Guards against starting tasks again whose ends are beyond the part of the
  // list that a worker returns, for example after an outage of the store.
  void RunBeyondTheListedEndsIsStartedAgain() {
    ShardBench bench;
    const std::vector<SentStart> runs = RunTwoTasks(bench);
    bench.AnswerHoldWithMoreEnded("w", {}, {bench.EndedRow(1, runs[0])});
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AnswerHold("w", {}, {bench.EndedRow(2, runs[1])});
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    CPPUNIT_ASSERT(JobState::kCompleted == StoredStateOfJob(bench));
  }

  // Guards against blaming a worker for tasks that have ended, but whose ends
  // it has not listed yet.
  void RunBeyondTheListedEndsIsStoppedAsStalled() {
    ShardBench bench;
    const std::vector<SentStart> runs = RunTwoTasks(bench);
    contracts::RunningTask row = bench.RunningRow(runs[1]);
    row.percent = 40;
    bench.AnswerHold("w", {bench.RunningRow(runs[0]), row});
    for (int i = 0; i < 8; ++i) {
      bench.AdvanceTime(milliseconds(500));
      bench.AnswerHoldWithMoreEnded("w", {}, {bench.EndedRow(1, runs[0])});
    }
    bench.AdvanceTime(milliseconds(100));
    CPPUNIT_ASSERT(bench.stops.empty());
  }

  void RestartedWorkerLosesItsTasks() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.AnswerHold("w", {bench.RunningRow(start)});
    const auto answer_as_next_incarnation = [&bench](milliseconds clock) {
      const HoldPlan plan = bench.core->PlanHold("w", bench.now);
      const MonotonicTime sent_at = bench.now.steady;
      bench.now.steady += milliseconds(1);
      bench.core->OnHold("w", plan.order,
                         {.outcome = contracts::OrderOutcome::kDone,
                          .clock = contracts::WorkerClock(clock),
                          .born_ms = 2},
                         sent_at, bench.now);
      bench.Store();
    };
    answer_as_next_incarnation(milliseconds(3));
    // Until it has seen a higher token it may still carry out the start.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bench.starts.size());
    answer_as_next_incarnation(milliseconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(2U, bench.starts[0].order.attempt);
  }

  // Guards against waiting for as long as a worker has lived, when it restarts,
  // answers one order and is lost before the next hold.
  void LeaseOfAFormerLifeLastsByTheNewClock() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.AnswerHold("w", {bench.RunningRow(start)});
    bench.core->Cancel("j", bench.now);
    bench.Submit("k", MakeJob(4));
    bench.Store();
    const SentStop stop = bench.stops.at(0);
    bench.core->OnStop("w", stop.order,
                       {.outcome = contracts::OrderOutcome::kDone,
                        .clock = contracts::WorkerClock(3)},
                       bench.now);
    bench.LoseHold("w");
    bench.LoseHold("w");
    bench.AddWorker("v");
    bench.AnswerHold("v");
    bench.starts.clear();
    // The starts that were in flight may be carried out for 12 s.
    bench.AdvanceTime(seconds(13));
    bench.AnswerHold("v");
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), bench.starts[0].worker);
  }

  void GangStartsTogetherUnderOneAttempt() {
    ShardBench bench;
    bench.AddWorker("v", 2000);
    bench.AnswerHold("v");
    JobSpec spec = MakeJob(4);
    spec.steps[0].gang = true;
    bench.Submit("j", spec);
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AddWorker("w", 2000);
    bench.AnswerHold("w");
    bench.Store();
    const std::vector<SentStart> members = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, members.size());
    for (const SentStart& member : members) {
      CPPUNIT_ASSERT_EQUAL(1U, member.order.attempt);
      bench.ConfirmStart(member);
    }
    // The end of one member finishes the whole gang.
    bench.AnswerHold(members[0].worker, {}, {bench.EndedRow(1, members[0])});
    bench.Store();
    CPPUNIT_ASSERT(JobState::kCompleted == StoredStateOfJob(bench));
  }

  void MaxPerWorkerIsKept() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    JobSpec spec = MakeJob(3);
    spec.steps[0].max_per_worker = 1;
    bench.Submit("j", spec);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  // Guards against scanning all workers after each end of a run, which would
  // take all the time of a large pool's owner.
  void FullLargePoolIsNotRescannedAfterEachEnd() {
    ShardBench bench;
    for (int i = 0; i < 200; ++i) {
      const std::string id = "w" + std::to_string(i);
      bench.AddWorker(id, 1000);
      bench.AnswerHold(id);
    }
    bench.Submit("j", MakeJob(200));
    bench.Store();
    const std::vector<SentStart> starts = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, starts.size());
    for (const SentStart& start : starts) bench.ConfirmStart(start);
    bench.Submit("k", MakeJob(1));
    bench.Store();
    bench.AnswerHold(starts[0].worker, {}, {bench.EndedRow(1, starts[0])});
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AdvanceTime(milliseconds(50));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void StartsBeyondTheLimitWaitForAnswers() {
    ShardBench bench;
    SubmitFourTasksWithStartLimit(bench, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.starts.size());
    const std::vector<SentStart> sent = bench.TakeStarts();
    bench.ConfirmStart(sent[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    bench.core->OnStart(sent[1].worker, sent[1].order,
                        {.outcome = contracts::OrderOutcome::kUnknown},
                        bench.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.starts.size());
  }

  void QueuedStartIsNotSentToADrainingWorker() {
    ShardBench bench;
    SubmitFourTasksWithStartLimit(bench, 1);
    const std::vector<SentStart> sent = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    bench.Drain("w");
    bench.ConfirmStart(sent[0]);
    CPPUNIT_ASSERT(bench.starts.empty());
    // The task is started on another worker.
    bench.AddWorker("v");
    bench.AnswerHold("v");
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), bench.starts[0].worker);
  }

  // The worker may have restarted and report ends that nobody has seen, under
  // numbers that were acknowledged before.
  void NothingIsAcknowledgedAfterAnUnansweredHold() {
    ShardBench bench;
    const SentStart start = bench.RunOneTask();
    bench.AnswerHold("w", {}, {bench.EndedRow(1, start)});
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        bench.core->PlanHold("w", bench.now).order.acknowledged_end);
    bench.LoseHold("w");
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{0},
        bench.core->PlanHold("w", bench.now).order.acknowledged_end);
  }

  void FillerIsNotStarvedWhileThePoolHasFreeCpus() {
    JobSpec filler = MakeJob(1);
    filler.steps[0].fills = true;
    StartBesideABusyStandingTask(filler);
  }

  // Guards against a gang that waits for good, as each worker has a standing
  // task near its target.
  void GangOfFillersIsStarvedWhileThePoolHasFreeCpus() {
    JobSpec fillers = MakeJob(2);
    fillers.steps[0].fills = true;
    fillers.steps[0].gang = true;
    StartBesideABusyStandingTask(fillers);
  }

  void JobIsPendingUntilAStartIsConfirmed() {
    ShardBench bench;
    const SentStart start = bench.SubmitAndTakeStart();
    CPPUNIT_ASSERT_EQUAL(1U, bench.core->PendingCounts().at("queue"));
    bench.core->OnStart(start.worker, start.order,
                        {.outcome = contracts::OrderOutcome::kNoRoom},
                        bench.now);
    CPPUNIT_ASSERT_EQUAL(1U, bench.core->PendingCounts().at("queue"));
    bench.AdvanceTime(milliseconds(400));
    bench.Store();
    bench.ConfirmStart(bench.TakeStarts().at(0));
    CPPUNIT_ASSERT_EQUAL(0U, bench.core->PendingCounts().at("queue"));
  }

  void NewOwnerDoesNotCountARunningJobAsPending() {
    ShardBench bench;
    const SentStart start = bench.SubmitAndTakeStart();
    bench.ConfirmStart(start);
    bench.TakeOver();
    bench.AddWorker("w");
    bench.AnswerHold("w", {bench.RunningRow(start)});
    CPPUNIT_ASSERT_EQUAL(0U, bench.core->PendingCounts().at("queue"));
  }

  void OnlyDueOccurrencesStart() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    JobSpec spec = MakeJob(1);
    spec.occurrences = 2;
    spec.first_due = bench.now.wall + seconds(1);
    spec.interval = seconds(10);
    bench.Submit("j", spec);
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AdvanceTime(milliseconds(1100));
    bench.AnswerHold("w");
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(0U, bench.starts[0].order.task.occurrence);
  }

  void QueueWithAdviceStartsOnlyWithATicket() {
    ShardBench bench;
    bench.EnableAdvice();
    bench.AddWorker("v");
    bench.AddWorker("w");
    bench.AnswerHold("v");
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AdvanceTime(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.advice_calls.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.advice_calls[0].workers.size());
    bench.core->OnAdvice(
        bench.advice_calls[0],
        {.ok = true, .tickets = {{"v", "ticket"}}, .valid = seconds(3)},
        bench.now);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), bench.starts[0].worker);
    CPPUNIT_ASSERT_EQUAL(std::string("ticket"), bench.starts[0].order.ticket);
  }

  void WaitOfANewStandingTaskCountsFromTheOwnersStart() {
    ShardBench bench;
    bench.AdvanceTime(seconds(20));
    JobSpec job = MakeJob(1);
    job.steps[0].standing = true;
    bench.Submit("j", job);
    bench.Store();
    bench.AdvanceTime(seconds(3));
    const StandingWaits& waits = bench.core->standing_waits();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, waits.count);
    CPPUNIT_ASSERT(waits.longest > seconds(1) && waits.longest <= seconds(3));
  }

  // Guards against a start by an owner that may have been replaced while it was
  // paused, to a worker that has restarted under its ID.
  void PausedOwnerStartsOnAnOldConfirmation() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(1));
    const Batch batch = bench.core->TakeBatch(bench.now);
    bench.now.steady += milliseconds(1500);
    bench.core->OnStored(batch.number, bench.now);
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AnswerHold("w");
    bench.AdvanceTime(milliseconds(100));
    CPPUNIT_ASSERT(bench.starts.empty());
    // The store confirms the owner.
    bench.Store();
    bench.AdvanceTime(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

 private:
  // Submits fillers beside a standing task near its target, and checks that all
  // start within 2 s.
  static void StartBesideABusyStandingTask(JobSpec filler) {
    ShardBench bench;
    bench.AddWorker("w");
    bench.AnswerHold("w");
    JobSpec standing = MakeJob(1);
    standing.steps[0].standing = true;
    standing.steps[0].image = "standing";
    standing.steps[0].latency_target = milliseconds(10);
    bench.Submit("s", standing);
    bench.Store();
    const SentStart start = bench.TakeStarts().at(0);
    bench.ConfirmStart(start);
    filler.steps[0].image = "filler";
    bench.Submit("f", filler);
    for (int i = 0; i < 40; ++i) {
      contracts::RunningTask row = bench.RunningRow(start);
      row.percent = 100;
      row.measured = 9;
      bench.now.steady += milliseconds(1);
      bench.AnswerHold("w", {row});
      bench.Store();
      if (!bench.starts.empty()) break;
      bench.AdvanceTime(milliseconds(50));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{filler.steps[0].count},
                         bench.starts.size());
  }

  // Submits four tasks that fit on one worker, with a limit of starts in
  // flight.
  static void SubmitFourTasksWithStartLimit(ShardBench& bench,
                                            std::size_t limit) {
    bench.max_starts_in_flight = limit;
    bench.TakeOver();
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(4));
    bench.Store();
  }

  // Lets the only task of job "j", which runs on worker "w", fail twice.
  static void AssertFailsAtItsSecondFailure(ShardBench& bench,
                                            const SentStart& first) {
    bench.AnswerHold("w", {},
                     {bench.EndedRow(1, first, contracts::EndKind::kFailed)});
    bench.Store();
    CPPUNIT_ASSERT(JobState::kRunning == StoredStateOfJob(bench));
    const SentStart second = bench.TakeStarts().at(0);
    bench.ConfirmStart(second);
    bench.AnswerHold("w", {},
                     {bench.EndedRow(2, second, contracts::EndKind::kFailed)});
    bench.Store();
    CPPUNIT_ASSERT(JobState::kFailed == StoredStateOfJob(bench));
  }

  // The stored state of job "j".
  static JobState StoredStateOfJob(const ShardBench& bench) {
    return bench.core->StoredState("j").value_or(JobState::kQueued);
  }

  static void AddWorkers(ShardBench& bench, std::size_t count) {
    std::vector<WorkerEntry> entries(count);
    for (std::size_t i = 0; i < count; ++i) {
      entries[i] = {.id = "w" + std::to_string(i),
                    .address = {.ip = "127.0.0.1", .port = 1},
                    .pool = "pool",
                    .capacity = {.milli_cpus = 4000, .memory = {1000}}};
    }
    bench.max_starts_in_flight = 10000;
    bench.TakeOver();
    bench.core->SetWorkers(entries, bench.now.steady, bench.now);
    for (const WorkerEntry& entry : entries) bench.AnswerHold(entry.id);
    bench.core->SetWorkers(entries, bench.now.steady, bench.now);
  }
  static milliseconds HoldPauseWithRuns(std::uint32_t count) {
    ShardBench bench;
    bench.AddWorker("w", std::uint64_t{1000} * count);
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(count));
    bench.Store();
    std::vector<contracts::RunningTask> rows;
    for (const SentStart& start : bench.TakeStarts()) {
      bench.ConfirmStart(start);
      rows.push_back(bench.RunningRow(start));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{count}, rows.size());
    bench.AnswerHold("w", rows);
    return bench.core->PlanHold("w", bench.now).pause;
  }
  static milliseconds HoldWaitWithWorkers(std::size_t count) {
    ShardBench bench;
    AddWorkers(bench, count);
    return bench.core->PlanHold("w0", bench.now).order.wait;
  }
  // The end of the lease that the worker's next hold asks for.
  static contracts::WorkerClock LeaseEndOf(ShardBench& bench,
                                           const std::string& worker) {
    return bench.core->PlanHold(worker, bench.now)
        .order.lease_end.value_or(contracts::WorkerClock(0));
  }
  // Runs the only task of job "j" on worker "w"; "v", "w" and "x" are the
  // witnesses.
  static void RunOneTaskWithWitnesses(ShardBench& bench) {
    bench.RunOneTask();
    bench.StoreWitnesses();
  }
  // Runs the two tasks of job "j" on worker "w".
  static std::vector<SentStart> RunTwoTasks(ShardBench& bench) {
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.Submit("j", MakeJob(2));
    bench.Store();
    std::vector<SentStart> runs = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
    for (const SentStart& run : runs) bench.ConfirmStart(run);
    bench.now.steady += milliseconds(1);
    return runs;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ShardCoreTest, "shard_core_test");

}  // namespace carobmast::jobs
