// The owner of a shard: what it starts, when, and what it believes of workers.
#include "jobs/shard_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ShardCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardCoreTest);
  CPPUNIT_TEST(StartsOnlyAfterTheIntentIsStored);
  CPPUNIT_TEST(SameIdIsTheSameJob);
  CPPUNIT_TEST(EndIsAcknowledgedAfterItIsStored);
  CPPUNIT_TEST(CompletedIsToldAfterItIsStored);
  CPPUNIT_TEST(NeverBeyondTheCapacity);
  CPPUNIT_TEST(LaterStepWaitsForEarlierOnes);
  CPPUNIT_TEST(TaskThatFailsTooOftenFailsItsJob);
  CPPUNIT_TEST(CancelStopsWhatRuns);
  CPPUNIT_TEST(UnansweredStartIsRepeatedUnderItsAttempt);
  CPPUNIT_TEST(SilentWorkerKeepsItsTasksUntilTheLeaseIsOver);
  CPPUNIT_TEST(OneLostAnswerDoesNotMakeAWorkerSilent);
  CPPUNIT_TEST(HoldsWithoutAnAnswerRenewNoLease);
  CPPUNIT_TEST(SuccessorAdoptsWhatRuns);
  CPPUNIT_TEST(SuccessorStartsAnewWhatNeverArrived);
  CPPUNIT_TEST(SuccessorAssumesTheLongestLeaseAtFirstContact);
  CPPUNIT_TEST(AnswerBeforeTheFirstHoldTellsNothingOfLeases);
  CPPUNIT_TEST(SuccessorWaitsForAWorkerItNeverReached);
  CPPUNIT_TEST(FormerOwnerThatStoppedShortensTheWait);
  CPPUNIT_TEST(DrainingWorkerIsEmptiedOfStandingTasks);
  CPPUNIT_TEST(TasksOnSilentWorkersCountAsAtWork);
  CPPUNIT_TEST(WorkerWithoutAnEntryIsHeldWhileItRunsSomething);
  CPPUNIT_TEST(StaleListDoesNotEndARun);
  CPPUNIT_TEST(RebornWorkerLosesItsTasks);
  CPPUNIT_TEST(GangStartsWholeUnderOneAttempt);
  CPPUNIT_TEST(NoMoreThanAllowedOnOneWorker);
  CPPUNIT_TEST(FillerIsNotStarvedWhileThereIsRoom);
  CPPUNIT_TEST(NothingIsAcknowledgedAfterAnUnansweredHold);
  CPPUNIT_TEST(FullLargePoolIsNotLookedAtForEachEnd);
  CPPUNIT_TEST(StartsBeyondTheLimitWaitForAnswers);
  CPPUNIT_TEST(WaitingStartIsNotSentToAWorkerThatLeaves);
  CPPUNIT_TEST(JobIsNotCountedAsWaitingOnceAStartIsPlanned);
  CPPUNIT_TEST(SuccessorCountsARunningJobAsWaiting);
  CPPUNIT_TEST(DueOccurrencesOnly);
  CPPUNIT_TEST(StartsWithATicketWhereAdviceIsAskedFor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StartsOnlyAfterTheIntentIsStored() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    bench.Submit("j", MakeJob(1));
    const Batch batch = bench.core->TakeBatch(bench.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, batch.records.size());
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.core->OnStored(batch.number, bench.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void SameIdIsTheSameJob() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    CPPUNIT_ASSERT(SubmitOutcome::kNewJob ==
                   bench.Submit("j", MakeJob(1)).outcome);
    bench.Store();
    CPPUNIT_ASSERT(SubmitOutcome::kKnownJob ==
                   bench.Submit("j", MakeJob(1)).outcome);
    bench.TakeOver();
    bench.Contact("w");
    CPPUNIT_ASSERT(SubmitOutcome::kKnownJob ==
                   bench.Submit("j", MakeJob(1)).outcome);
  }

  void EndIsAcknowledgedAfterItIsStored() {
    ShardBench bench;
    const SentStart start = StartOne(bench);
    bench.Contact("w", {}, {bench.Ended(1, start)});
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{0},
        bench.core->PlanHold("w", bench.now).order.acknowledged_end);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        bench.core->PlanHold("w", bench.now).order.acknowledged_end);
  }

  void CompletedIsToldAfterItIsStored() {
    ShardBench bench;
    const SentStart start = StartOne(bench);
    bench.Contact("w", {}, {bench.Ended(1, start)});
    CPPUNIT_ASSERT(JobState::kRunning == StateOf(bench));
    bench.Store();
    CPPUNIT_ASSERT(JobState::kCompleted == StateOf(bench));
  }

  void NeverBeyondTheCapacity() {
    ShardBench bench;
    bench.AddWorker("w", 3000);
    bench.Contact("w");
    bench.Submit("j", MakeJob(10));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.starts.size());
    // What is being stopped still counts.
    bench.core->Cancel("j", bench.now);
    bench.Submit("k", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.starts.size());
  }

  void LaterStepWaitsForEarlierOnes() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    JobSpec spec = MakeJob(1);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().depends_on = {0};
    bench.Submit("j", spec);
    bench.Store();
    const std::vector<SentStart> first = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
    bench.Confirm(first[0]);
    bench.Contact("w", {}, {bench.Ended(1, first[0])});
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(1U, bench.starts[0].order.task.step);
  }

  void TaskThatFailsTooOftenFailsItsJob() {
    ShardBench bench;
    SentStart start = StartOne(bench);
    bench.Contact("w", {},
                  {bench.Ended(1, start, contracts::EndKind::kFailed)});
    bench.Store();
    start = bench.TakeStarts().at(0);
    CPPUNIT_ASSERT_EQUAL(2U, start.order.attempt);
    bench.Confirm(start);
    bench.Contact("w", {},
                  {bench.Ended(2, start, contracts::EndKind::kFailed)});
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    CPPUNIT_ASSERT(JobState::kFailed == StateOf(bench));
  }

  void CancelStopsWhatRuns() {
    ShardBench bench;
    StartOne(bench);
    CPPUNIT_ASSERT(bench.core->Cancel("j", bench.now).known);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.stops.size());
    CPPUNIT_ASSERT(JobState::kCancelled == StateOf(bench));
    CPPUNIT_ASSERT(!bench.core->Cancel("unknown", bench.now).known);
  }

  void UnansweredStartIsRepeatedUnderItsAttempt() {
    ShardBench bench;
    const SentStart start = bench.SendOne();
    bench.core->OnStart("w", start.order,
                        {.outcome = contracts::OrderOutcome::kUnknown},
                        bench.now);
    bench.Contact("w");
    bench.Pass(milliseconds(300));
    const std::vector<SentStart> again = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT_EQUAL(start.order.attempt, again[0].order.attempt);
    CPPUNIT_ASSERT_EQUAL(start.worker, again[0].worker);
  }

  void SilentWorkerKeepsItsTasksUntilTheLeaseIsOver() {
    ShardBench bench;
    StartOne(bench);
    bench.AddWorker("v");
    bench.Contact("v");
    bench.Silence("w");
    bench.Silence("w");
    bench.Pass(seconds(5));
    bench.Contact("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.Pass(seconds(3));
    bench.Store();
    const std::vector<SentStart> moved = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, moved.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), moved[0].worker);
    CPPUNIT_ASSERT_EQUAL(2U, moved[0].order.attempt);
  }

  void HoldsWithoutAnAnswerRenewNoLease() {
    ShardBench bench;
    StartOne(bench);
    bench.AddWorker("v");
    for (int i = 0; i < 40 && bench.starts.empty(); ++i) {
      bench.Contact("v");
      bench.Silence("w");
      bench.Pass(milliseconds(250));
      bench.Store();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), bench.starts[0].worker);
  }

  void OneLostAnswerDoesNotMakeAWorkerSilent() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    bench.Silence("w");
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t{0},
        std::int64_t{bench.core->PlanHold("w", bench.now).pause.count()});
    bench.Submit("j", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    bench.Silence("w");
    bench.Submit("k", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void SuccessorAdoptsWhatRuns() {
    ShardBench bench;
    const SentStart start = StartOne(bench);
    bench.TakeOver();
    bench.Contact("w", {bench.Running(start)});
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.Contact("w", {}, {bench.Ended(1, start)});
    bench.Store();
    CPPUNIT_ASSERT(JobState::kCompleted == StateOf(bench));
  }

  void SuccessorStartsAnewWhatNeverArrived() {
    ShardBench bench;
    StartOne(bench);
    bench.TakeOver();
    bench.Contact("w");
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(2U, bench.starts[0].order.attempt);
  }

  void SuccessorAssumesTheLongestLeaseAtFirstContact() {
    ShardBench bench;
    const SentStart start = StartOne(bench);
    bench.AddWorker("v");
    bench.TakeOver();
    bench.Contact("v");
    bench.Contact("w", {bench.Running(start)});
    bench.Silence("w");
    bench.Silence("w");
    bench.Pass(seconds(5));
    bench.Contact("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void AnswerBeforeTheFirstHoldTellsNothingOfLeases() {
    ShardBench bench;
    const SentStart start = StartOne(bench);
    bench.AddWorker("v");
    bench.TakeOver();
    bench.Contact("v");
    bench.Silence("w");
    // A stop of some other run is answered first.
    bench.core->OnStop(
        "w", {.task = start.order.task, .attempt = 1},
        {.outcome = contracts::OrderOutcome::kFenced, .clock = bench.Clock()},
        bench.now);
    bench.Pass(seconds(2));
    bench.Contact("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void SuccessorWaitsForAWorkerItNeverReached() {
    ShardBench bench;
    StartOne(bench);
    bench.AddWorker("v");
    bench.TakeOver();
    bench.Contact("v");
    bench.Silence("w");
    bench.Pass(seconds(15));
    bench.Contact("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.Pass(seconds(2));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void FormerOwnerThatStoppedShortensTheWait() {
    ShardBench bench;
    StartOne(bench);
    bench.AddWorker("v");
    bench.TakeOver();
    bench.core->OnFormerOwnersStopped(bench.now);
    bench.Contact("v");
    bench.Silence("w");
    bench.Pass(seconds(6));
    bench.Contact("v");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.Pass(milliseconds(500));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void DrainingWorkerIsEmptiedOfStandingTasks() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    JobSpec spec = MakeJob(2);
    spec.steps[0].standing = true;
    spec.steps[0].max_away = 1;
    bench.Submit("j", spec);
    bench.Store();
    const std::vector<SentStart> both = bench.TakeStarts();
    std::vector<contracts::RunningTask> running;
    for (const SentStart& start : both) {
      bench.Confirm(start);
      running.push_back(bench.Running(start));
      running.back().percent = 100;
    }
    bench.Contact("w", running);
    bench.AddWorker("v");
    bench.Contact("v");
    bench.Drain("w");
    bench.Pass(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.stops.size());
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void TasksOnSilentWorkersCountAsAtWork() {
    ShardBench bench;
    for (const char* id : {"v", "w"}) {
      bench.AddWorker(id);
      bench.Contact(id);
    }
    JobSpec spec = MakeJob(2);
    spec.steps[0].standing = true;
    spec.steps[0].max_away = 1;
    spec.steps[0].max_per_worker = 1;
    bench.Submit("j", spec);
    bench.Store();
    for (const SentStart& start : bench.TakeStarts()) {
      bench.Confirm(start);
      contracts::RunningTask running = bench.Running(start);
      running.percent = 100;
      bench.Contact(start.worker, {running});
    }
    bench.AddWorker("x");
    bench.Contact("x");
    bench.Silence("v");
    bench.Silence("v");
    // The task on "v" may be over: no other may be taken away.
    bench.Drain("w");
    bench.Pass(milliseconds(100));
    CPPUNIT_ASSERT(bench.stops.empty());
  }

  void WorkerWithoutAnEntryIsHeldWhileItRunsSomething() {
    ShardBench bench;
    const SentStart start = StartOne(bench);
    bench.core->SetWorkers({}, bench.now.steady, bench.now);
    CPPUNIT_ASSERT(bench.core->Target("w").has_value());
    bench.Contact("w", {}, {bench.Ended(1, start)});
    bench.Submit("k", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    CPPUNIT_ASSERT(!bench.core->Target("w").has_value());
  }

  void StaleListDoesNotEndARun() {
    ShardBench bench;
    const SentStart start = bench.SendOne();
    const MonotonicTime sent_at = bench.now.steady;
    bench.now.steady += milliseconds(5);
    bench.Confirm(start);
    bench.core->OnHold("w", {},
                       {.outcome = contracts::OrderOutcome::kDone,
                        .clock = bench.Clock(),
                        .born_ms = 1},
                       sent_at, bench.now);
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
  }

  void RebornWorkerLosesItsTasks() {
    ShardBench bench;
    const SentStart start = StartOne(bench);
    bench.Contact("w", {bench.Running(start)});
    const HoldPlan plan = bench.core->PlanHold("w", bench.now);
    const MonotonicTime sent_at = bench.now.steady;
    bench.now.steady += milliseconds(1);
    bench.core->OnHold("w", plan.order,
                       {.outcome = contracts::OrderOutcome::kDone,
                        .clock = contracts::WorkerClock(3),
                        .born_ms = 2},
                       sent_at, bench.now);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(2U, bench.starts[0].order.attempt);
  }

  void GangStartsWholeUnderOneAttempt() {
    ShardBench bench;
    bench.AddWorker("v", 2000);
    bench.Contact("v");
    JobSpec spec = MakeJob(4);
    spec.steps[0].gang = true;
    bench.Submit("j", spec);
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AddWorker("w", 2000);
    bench.Contact("w");
    bench.Store();
    const std::vector<SentStart> members = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, members.size());
    for (const SentStart& member : members) {
      CPPUNIT_ASSERT_EQUAL(1U, member.order.attempt);
      bench.Confirm(member);
    }
    // The end of one represents all.
    bench.Contact(members[0].worker, {}, {bench.Ended(1, members[0])});
    bench.Store();
    CPPUNIT_ASSERT(JobState::kCompleted == StateOf(bench));
  }

  void NoMoreThanAllowedOnOneWorker() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    JobSpec spec = MakeJob(3);
    spec.steps[0].max_per_worker = 1;
    bench.Submit("j", spec);
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  // A look at all workers for each end would take a large pool's owner whole.
  void FullLargePoolIsNotLookedAtForEachEnd() {
    ShardBench bench;
    for (int i = 0; i < 200; ++i) {
      const std::string id = "w" + std::to_string(i);
      bench.AddWorker(id, 1000);
      bench.Contact(id);
    }
    bench.Submit("j", MakeJob(200));
    bench.Store();
    const std::vector<SentStart> starts = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, starts.size());
    for (const SentStart& start : starts) bench.Confirm(start);
    bench.Submit("k", MakeJob(1));
    bench.Store();
    bench.Contact(starts[0].worker, {}, {bench.Ended(1, starts[0])});
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.Pass(milliseconds(50));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void StartsBeyondTheLimitWaitForAnswers() {
    ShardBench bench;
    FillWithLimit(bench, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.starts.size());
    const std::vector<SentStart> sent = bench.TakeStarts();
    bench.Confirm(sent[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    bench.core->OnStart(sent[1].worker, sent[1].order,
                        {.outcome = contracts::OrderOutcome::kUnknown},
                        bench.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.starts.size());
  }

  void WaitingStartIsNotSentToAWorkerThatLeaves() {
    ShardBench bench;
    FillWithLimit(bench, 1);
    const std::vector<SentStart> sent = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    bench.Drain("w");
    bench.Confirm(sent[0]);
    CPPUNIT_ASSERT(bench.starts.empty());
    // It goes elsewhere.
    bench.AddWorker("v");
    bench.Contact("v");
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), bench.starts[0].worker);
  }

  // The next life of the worker may answer, with ends that nobody has seen.
  void NothingIsAcknowledgedAfterAnUnansweredHold() {
    ShardBench bench;
    const SentStart start = StartOne(bench);
    bench.Contact("w", {}, {bench.Ended(1, start)});
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        bench.core->PlanHold("w", bench.now).order.acknowledged_end);
    bench.Silence("w");
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{0},
        bench.core->PlanHold("w", bench.now).order.acknowledged_end);
  }

  void FillerIsNotStarvedWhileThereIsRoom() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    JobSpec standing = MakeJob(1);
    standing.steps[0].standing = true;
    standing.steps[0].image = "standing";
    standing.steps[0].latency_target = milliseconds(10);
    bench.Submit("s", standing);
    bench.Store();
    const SentStart start = bench.TakeStarts().at(0);
    bench.Confirm(start);
    JobSpec filler = MakeJob(1);
    filler.steps[0].fills = true;
    filler.steps[0].image = "filler";
    bench.Submit("f", filler);
    // The standing task is near its target all the time.
    for (int i = 0; i < 40; ++i) {
      contracts::RunningTask row = bench.Running(start);
      row.percent = 100;
      row.measured = 9;
      bench.now.steady += milliseconds(1);
      bench.Contact("w", {row});
      bench.Store();
      if (!bench.starts.empty()) break;
      bench.Pass(milliseconds(50));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
  }

  void JobIsNotCountedAsWaitingOnceAStartIsPlanned() {
    ShardBench bench;
    const SentStart start = bench.SendOne();
    CPPUNIT_ASSERT_EQUAL(1U, bench.core->PendingCounts().at("queue"));
    bench.core->OnStart(start.worker, start.order,
                        {.outcome = contracts::OrderOutcome::kNoRoom},
                        bench.now);
    CPPUNIT_ASSERT_EQUAL(1U, bench.core->PendingCounts().at("queue"));
    bench.Pass(milliseconds(400));
    bench.Store();
    bench.Confirm(bench.TakeStarts().at(0));
    CPPUNIT_ASSERT_EQUAL(0U, bench.core->PendingCounts().at("queue"));
  }

  void SuccessorCountsARunningJobAsWaiting() {
    ShardBench bench;
    const SentStart start = bench.SendOne();
    bench.Confirm(start);
    bench.TakeOver();
    bench.AddWorker("w");
    bench.Contact("w", {bench.Running(start)});
    CPPUNIT_ASSERT_EQUAL(0U, bench.core->PendingCounts().at("queue"));
  }

  void DueOccurrencesOnly() {
    ShardBench bench;
    bench.AddWorker("w");
    bench.Contact("w");
    JobSpec spec = MakeJob(1);
    spec.occurrences = 2;
    spec.first_due = bench.now.wall + seconds(1);
    spec.interval = seconds(10);
    bench.Submit("j", spec);
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.Pass(milliseconds(1100));
    bench.Contact("w");
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(0U, bench.starts[0].order.task.occurrence);
  }

  void StartsWithATicketWhereAdviceIsAskedFor() {
    ShardBench bench;
    bench.AskForAdvice();
    bench.AddWorker("v");
    bench.AddWorker("w");
    bench.Contact("v");
    bench.Contact("w");
    bench.Submit("j", MakeJob(1));
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.Pass(milliseconds(50));
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

 private:
  // Four tasks on one worker with room for them.
  static void FillWithLimit(ShardBench& bench, std::size_t limit) {
    bench.max_starts_in_flight = limit;
    bench.TakeOver();
    bench.AddWorker("w");
    bench.Contact("w");
    bench.Submit("j", MakeJob(4));
    bench.Store();
  }

  // Of job "j".
  static JobState StateOf(const ShardBench& bench) {
    return bench.core->StoredState("j").value_or(JobState::kQueued);
  }

  // One worker "w" that runs the only task of job "j".
  static SentStart StartOne(ShardBench& bench) {
    SentStart start = bench.SendOne();
    bench.now.steady += milliseconds(1);
    bench.Confirm(start);
    bench.now.steady += milliseconds(1);
    return start;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ShardCoreTest, "shard_core_test");

}  // namespace carobmast::jobs
