// Tests of recovery: schedulers, workers, the log and the network fail. No task
// may run twice at a time, no worker may be overcommitted, and work must go on.
#include <cppunit/extensions/HelperMacros.h>

#include "work/tests/scenario.h"

namespace carobmast::work {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// The owner according to the scheduler that has read the newest claim.
std::string OwnerOf(FakeWorld& world, const std::string& cell) {
  contracts::FencingToken newest = 0;
  std::string owner;
  for (const std::string& name : world.scheduler_names()) {
    const FoldedCell* folded = world.scheduler(name)->fold().FindCell(cell);
    if (folded == nullptr || folded->token <= newest) continue;
    newest = folded->token;
    owner = folded->owner.substr(0, folded->owner.find('/'));
  }
  return owner;
}

bool RunsInOnePlace(const FakeWorld& world, const std::string& task) {
  return world.RunningOn(task).size() == 1;
}

TaskStage StageOf(FakeWorld& world, const std::string& task) {
  SchedulerCore* any = world.scheduler(world.scheduler_names().front());
  const FoldedTask* folded = any->fold().FindTask(task);
  return folded == nullptr ? TaskStage::kPending : folded->stage;
}

}  // namespace

class RecoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecoveryTest);
  CPPUNIT_TEST(BatchRunsOnceAndStandingWorkersRun);
  CPPUNIT_TEST(DeadOwnerIsReplaced);
  CPPUNIT_TEST(AllSchedulersReplaced);
  CPPUNIT_TEST(StoppingSchedulerHandsOver);
  CPPUNIT_TEST(DeadWorkerIsReplaced);
  CPPUNIT_TEST(ZombieOwnerKeepsTheWorkerItReaches);
  CPPUNIT_TEST(ZombieMustNotAssumeLeaseExpired);
  CPPUNIT_TEST(ExpiredLeaseMovesTaskOnce);
  CPPUNIT_TEST(ZombieStopsNothingWithLeaseFencing);
  CPPUNIT_TEST(OwnersNeverShareAttemptNumbers);
  CPPUNIT_TEST(EndedStandingWorkerIgnoresOldCheckpoint);
  CPPUNIT_TEST(EndedStandingWorkerRestartsOnceRoomIsFree);
  CPPUNIT_TEST(LostTaskResumesFromCheckpointUnderNextOwner);
  CPPUNIT_TEST(CellWithUnreachableWorkerIsNotRebalanced);
  CPPUNIT_TEST(TasksRestartDuringLogOutage);
  CPPUNIT_TEST(LostAnswersNeverOvercommit);
  CPPUNIT_TEST(LateStartIsIgnored);
  CPPUNIT_TEST(LeavingWorkerIsEmptiedByCheckpoint);
  CPPUNIT_TEST(DrainedWorkerIsEmptied);
  CPPUNIT_TEST(CancelledTasksAreNotStartedAgain);
  CPPUNIT_TEST(RecoversFromSnapshotAfterLogExpiry);
  CPPUNIT_TEST(FailingTaskIsHeld);
  CPPUNIT_TEST(JobsFinishDespiteWorkerThatFailsEverything);
  CPPUNIT_TEST(FailingJobDoesNotSetAsideAllWorkers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BatchRunsOnceAndStandingWorkersRun() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    AddZone(world, "zg-b");
    world.SetConfig(WatcherConfig(3));
    world.Submit("sub1", MakeJob(10, "run 5s"));
    CPPUNIT_ASSERT(world.RunUntil(
        [&] {
          return StageOf(world, "sub1/9") == TaskStage::kFinished &&
                 RunsInOnePlace(world, "watcher/0") &&
                 RunsInOnePlace(world, "watcher/2");
        },
        minutes(1)));
    world.RunFor(minutes(1));
    for (int i = 0; i < 10; ++i) {
      const std::string id = BatchTaskId("sub1", i);
      CPPUNIT_ASSERT(StageOf(world, id) == TaskStage::kFinished);
      CPPUNIT_ASSERT_EQUAL(1, world.Completed(id));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.Running());
    AssertNoViolation(world);
  }

  void DeadOwnerIsReplaced() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    world.SetConfig(WatcherConfig(2));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 2));
    const std::string first = OwnerOf(world, "zg-a/r0");
    const std::vector<std::string> before = world.RunningOn("watcher/0");
    world.KillScheduler(first);
    CPPUNIT_ASSERT(world.RunUntil(
        [&] {
          const std::string owner = OwnerOf(world, "zg-a/r0");
          return owner != first && world.scheduler(owner)->serving_cells() == 1;
        },
        seconds(10)));
    // The tasks must be adopted, not restarted, and renewed well beyond the
    // lease.
    world.RunFor(minutes(2));
    CPPUNIT_ASSERT(before == world.RunningOn("watcher/0"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, TotalStarts(world));
    AssertNoViolation(world);
  }

  void AllSchedulersReplaced() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    world.SetConfig(WatcherConfig(2));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 2));
    for (const std::string& name : world.scheduler_names()) {
      world.KillScheduler(name);
    }
    world.Submit("sub1", MakeJob(1, "run 1s"));
    world.AddScheduler({.name = "zg-a-n0", .zone = "zg-a"});
    world.AddScheduler({.name = "zg-a-n1", .zone = "zg-a"});
    CPPUNIT_ASSERT(world.RunUntil(
        [&] { return !world.RunningOn("sub1/0").empty(); }, seconds(10)));
    world.RunFor(minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, TotalStarts(world));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.Running());
    AssertNoViolation(world);
  }

  void StoppingSchedulerHandsOver() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    world.SetConfig(WatcherConfig(2));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 2));
    const std::string first = OwnerOf(world, "zg-a/r0");
    world.StopScheduler(first);
    // Must be faster than the detection of a dead owner.
    CPPUNIT_ASSERT(world.RunUntil(
        [&] {
          const std::string owner = OwnerOf(world, "zg-a/r0");
          return world.scheduler(first) == nullptr && !owner.empty() &&
                 owner != first && world.scheduler(owner)->serving_cells() == 1;
        },
        seconds(5)));
    world.RunFor(minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, TotalStarts(world));
    AssertNoViolation(world);
  }

  void DeadWorkerIsReplaced() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    world.SetConfig(WatcherConfig(2));
    world.Submit("sub1", MakeJob(2, "run 20s"));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 4));
    world.KillWorker(world.RunningOn("sub1/0").front());
    CPPUNIT_ASSERT(
        world.RunUntil([&] { return world.Running() == 4; }, minutes(1)));
    world.RunFor(minutes(1));
    CPPUNIT_ASSERT(StageOf(world, "sub1/0") == TaskStage::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.Running());
    AssertNoViolation(world);
  }

  // The old owner loses the log and all workers but one; the new owner reaches
  // all but that one. Each must keep what it reaches running, and start no
  // second copy of the rest.
  void ZombieOwnerKeepsTheWorkerItReaches() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    world.SetConfig(WatcherConfig(6));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 6));
    const std::string zombie = OwnerOf(world, "zg-a/r0");
    const std::string kept = world.RunningOn("watcher/0").front();
    world.CutLog(zombie, true);
    for (const std::string& worker : world.worker_names()) {
      if (worker != kept) world.CutWorker(zombie, worker, true);
    }
    for (const std::string& other : world.scheduler_names()) {
      if (other != zombie) world.CutWorker(other, kept, true);
    }
    world.RunFor(minutes(5));
    CPPUNIT_ASSERT(OwnerOf(world, "zg-a/r0") != zombie);
    CPPUNIT_ASSERT(RunsInOnePlace(world, "watcher/0"));
    AssertNoViolation(world);
    // A worker that both owners know dies. Only the old owner may start its
    // tasks elsewhere, because it can't know about the new owner.
    world.KillWorker(AnotherLiveWorker(world, kept));
    world.RunFor(minutes(5));
    AssertNoViolation(world);
    for (const std::string& other : world.scheduler_names()) {
      world.CutWorker(other, kept, false);
    }
    CPPUNIT_ASSERT(
        world.RunUntil([&] { return world.Running() == 6; }, seconds(30)));
    world.CutLog(zombie, false);
    world.RunFor(minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, world.Running());
    AssertNoViolation(world);
  }

  // The old owner doesn't reach the task's worker any more, and its own
  // renewals have expired. It must not start the task elsewhere, because the
  // new owner renews it there.
  void ZombieMustNotAssumeLeaseExpired() {
    FakeWorld world({});
    AddZone(world, "zg-a", 2, 1, 2);
    world.SetConfig(WatcherConfig(2));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 2));
    const std::string zombie = OwnerOf(world, "zg-a/r0");
    const std::string lost = world.RunningOn("watcher/0").front();
    world.CutLog(zombie, true);
    world.CutWorker(zombie, lost, true);
    for (const std::string& other : world.scheduler_names()) {
      if (other == zombie) continue;
      world.CutWorker(other, AnotherLiveWorker(world, lost), true);
    }
    world.RunFor(minutes(5));
    CPPUNIT_ASSERT(RunsInOnePlace(world, "watcher/0"));
    AssertNoViolation(world);
  }

  void ExpiredLeaseMovesTaskOnce() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    world.SetConfig(WatcherConfig(1));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 1));
    const std::string first = world.RunningOn("watcher/0").front();
    world.PauseWorker(first, minutes(3));
    CPPUNIT_ASSERT(world.RunUntil(
        [&] {
          const std::vector<std::string> now = world.RunningOn("watcher/0");
          return now.size() == 1 && now.front() != first;
        },
        minutes(2)));
    world.RunFor(minutes(3));
    CPPUNIT_ASSERT(RunsInOnePlace(world, "watcher/0"));
    AssertNoViolation(world);
  }

  // Workers that check no tokens refuse no command of a former owner. So it
  // must not send any command that ends an attempt.
  void ZombieStopsNothingWithLeaseFencing() {
    FakeWorld world({});
    AddZone(world, "zg-a", 0, 1, 0);
    for (const char* worker : {"zg-a-w0", "zg-a-w1"}) {
      world.AddWorker({.name = worker,
                       .zone = "zg-a",
                       .rack = "r0",
                       .pool = "pool",
                       .capacity = MakeResources(8, 32),
                       .checks_tokens = false});
    }
    for (const char* scheduler : {"zg-a-s0", "zg-a-s1"}) {
      world.AddScheduler(
          {.name = scheduler, .zone = "zg-a", .fencing = FencingMode::kLeases});
    }
    world.SetConfig(WatcherConfig(2));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 2));
    const std::string zombie = OwnerOf(world, "zg-a/r0");
    world.CutLog(zombie, true);
    CPPUNIT_ASSERT(world.RunUntil(
        [&] { return OwnerOf(world, "zg-a/r0") != zombie; }, minutes(2)));
    world.RunFor(minutes(2));
    const std::uint64_t before = TotalStarts(world);
    world.SetConfig(WatcherConfig(4));
    world.RunFor(minutes(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.Running());
    CPPUNIT_ASSERT_EQUAL(before + 2, TotalStarts(world));
    AssertNoViolation(world);
  }

  // A task that restarts all the time uses up the attempt numbers of a claim
  // (kAttemptsPerClaim). The owner must get new ones from the log, and the next
  // owner must not use any of them again.
  void OwnersNeverShareAttemptNumbers() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    config::Objects objects = WatcherConfig(1);
    objects.standing_workers["watcher"].program = "run 0s";
    world.SetConfig(objects);
    world.RunFor(minutes(95));
    CPPUNIT_ASSERT(TotalStarts(world) > kAttemptsPerClaim);
    world.KillScheduler(OwnerOf(world, "zg-a/r0"));
    world.RunFor(minutes(5));
    const std::uint64_t after = TotalStarts(world);
    world.RunFor(minutes(1));
    CPPUNIT_ASSERT(TotalStarts(world) > after);
    AssertNoViolation(world);
  }

  // A standing worker that ran to its end must restart without the checkpoint
  // that it was started from; otherwise it ends too early each time and is
  // restarted too often.
  void EndedStandingWorkerIgnoresOldCheckpoint() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    config::Objects objects = WatcherConfig(1);
    objects.standing_workers["watcher"].program = "run 20s";
    world.SetConfig(objects);
    CPPUNIT_ASSERT(ReachesRunningCount(world, 1));
    world.RunFor(seconds(15));
    world.SetLeaving(world.RunningOn("watcher/0").front());
    world.RunFor(minutes(1));
    const std::uint64_t before = TotalStarts(world);
    world.RunFor(minutes(2));
    CPPUNIT_ASSERT(TotalStarts(world) <= before + 7);
    AssertNoViolation(world);
  }

  // A standing worker ends while its worker, the only one, is leaving. Its cell
  // gives it up, but it must run again as soon as there is room.
  void EndedStandingWorkerRestartsOnceRoomIsFree() {
    FakeWorld world({});
    AddZone(world, "zg-a", 2, 1, 1);
    config::Objects objects = WatcherConfig(1);
    objects.standing_workers["watcher"].program = "run 20s";
    world.SetConfig(objects);
    CPPUNIT_ASSERT(ReachesRunningCount(world, 1));
    world.RunFor(milliseconds(17500));
    const std::string worker = world.RunningOn("watcher/0").front();
    world.SetLeaving(worker);
    world.RunFor(minutes(1));
    CPPUNIT_ASSERT(world.RunningOn("watcher/0").empty());
    world.ReviveWorker(worker);
    CPPUNIT_ASSERT(world.RunUntil(
        [&] { return RunsInOnePlace(world, "watcher/0"); }, minutes(1)));
    AssertNoViolation(world);
  }

  // Only the owner that fenced a worker knows when its leases expire. If the
  // cell moved to a scheduler that joined while a worker is paused, the tasks
  // of that worker could not be restarted in time.
  void CellWithUnreachableWorkerIsNotRebalanced() {
    FakeWorld world({});
    AddZone(world, "zg-a", 1);
    world.SetConfig(WatcherConfig(1));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 1));
    const std::string first = world.RunningOn("watcher/0").front();
    world.PauseWorker(first, minutes(5));
    world.RunFor(seconds(4));
    for (int i = 1; i <= 6; ++i) {
      world.AddScheduler(
          {.name = "joined-" + std::to_string(i), .zone = "zg-a"});
    }
    CPPUNIT_ASSERT(world.RunUntil(
        [&] {
          const std::vector<std::string> now = world.RunningOn("watcher/0");
          return now.size() == 1 && now.front() != first;
        },
        seconds(60)));
    AssertNoViolation(world);
  }

  // A worker dies, and the owner hands over its cell before it notices. The
  // next owner must resume the task from the checkpoint in the relinquish
  // record.
  void LostTaskResumesFromCheckpointUnderNextOwner() {
    FakeWorld world({});
    for (int i = 0; i < 3; ++i) {
      world.AddWorker({.name = "w" + std::to_string(i),
                       .zone = "zg-a",
                       .rack = "r0",
                       .pool = "pool",
                       .capacity = MakeResources(8, 32),
                       .reports_checkpoints = true});
    }
    world.AddScheduler({.name = "s0", .zone = "zg-a"});
    world.SetConfig(WatcherConfig(0));
    world.Submit("sub", MakeJob(1, "run 120s"));
    const std::string task = BatchTaskId("sub", 0);
    CPPUNIT_ASSERT(world.RunUntil([&] { return RunsInOnePlace(world, task); },
                                  minutes(1)));
    world.RunFor(seconds(100));
    world.AddScheduler({.name = "s1", .zone = "zg-a"});
    world.RunFor(seconds(3));
    world.KillWorker(world.RunningOn(task).front());
    world.StopScheduler("s0");
    // 20 s of work are left; from the beginning it would take 120 s.
    CPPUNIT_ASSERT(world.RunUntil(
        [&] { return StageOf(world, task) == TaskStage::kFinished; },
        seconds(90)));
    AssertNoViolation(world);
  }

  void TasksRestartDuringLogOutage() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    world.SetConfig(WatcherConfig(2));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 2));
    world.SetLogOutage(true);
    world.RunFor(seconds(20));
    world.KillWorker(world.RunningOn("watcher/0").front());
    CPPUNIT_ASSERT(
        world.RunUntil([&] { return world.Running() == 2; }, seconds(30)));
    world.RunFor(minutes(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.Running());
    world.SetLogOutage(false);
    world.RunFor(minutes(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.Running());
    AssertNoViolation(world);
  }

  void LostAnswersNeverOvercommit() {
    FakeWorld world({.seed = 7});
    AddZone(world, "zg-a", 2, 1, 2);
    world.SetLostAnswers(0.2);
    world.SetLateCommands(0.02);
    world.SetLostAppendAnswers(0.2);
    world.Submit("sub1", MakeJob(40, "run 7s"));
    world.SetConfig(WatcherConfig(4));
    for (int i = 0; i < 10; ++i) {
      world.RunFor(seconds(20));
      world.KillScheduler(OwnerOf(world, "zg-a/r0"));
      world.AddScheduler(
          {.name = "zg-a-n" + std::to_string(i), .zone = "zg-a"});
    }
    world.SetLostAnswers(0);
    world.SetLateCommands(0);
    CPPUNIT_ASSERT(
        world.RunUntil([&] { return world.Running() == 4; }, minutes(5)));
    AssertNoViolation(world);
  }

  // A start is delayed and its answer lost; meanwhile the attempt is started
  // again, ends and is recorded. The late start must have no effect.
  void LateStartIsIgnored() {
    FakeWorld world({.seed = 3});
    AddZone(world, "zg-a", 1, 1, 2);
    world.SetLateCommands(0.5);
    world.Submit("sub1", MakeJob(6, "run 2s"));
    world.RunFor(minutes(3));
    world.SetLateCommands(0);
    world.RunFor(minutes(3));
    for (int i = 0; i < 6; ++i) {
      const std::string id = BatchTaskId("sub1", i);
      CPPUNIT_ASSERT(StageOf(world, id) == TaskStage::kFinished);
      CPPUNIT_ASSERT_EQUAL(1, world.Completed(id));
    }
    AssertNoViolation(world);
  }

  void LeavingWorkerIsEmptiedByCheckpoint() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    world.SetConfig(WatcherConfig(1));
    world.Submit("sub1", MakeJob(1, "run 60s"));
    CPPUNIT_ASSERT(ReachesRunningCount(world, 2));
    world.RunFor(seconds(30));
    const std::string leaving = world.RunningOn("sub1/0").front();
    world.SetLeaving(leaving);
    CPPUNIT_ASSERT(world.RunUntil(
        [&] {
          const std::vector<std::string> now = world.RunningOn("sub1/0");
          return now.size() == 1 && now.front() != leaving;
        },
        seconds(10)));
    // It must resume from its checkpoint: 60 s of work end soon after 60 s, not
    // 90 s.
    CPPUNIT_ASSERT(world.RunUntil(
        [&] { return StageOf(world, "sub1/0") == TaskStage::kFinished; },
        seconds(35)));
    CPPUNIT_ASSERT_EQUAL(1, world.Completed("sub1/0"));
    AssertNoViolation(world);
  }

  void DrainedWorkerIsEmptied() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    config::Objects objects = WatcherConfig(3);
    world.SetConfig(objects);
    CPPUNIT_ASSERT(ReachesRunningCount(world, 3));
    const std::string drained = world.RunningOn("watcher/0").front();
    objects.drained_vms[drained] = {.name = drained};
    world.SetConfig(objects);
    world.RunFor(seconds(15));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, world.Running());
    CPPUNIT_ASSERT(world.worker(drained).Committed() == contracts::Resources{});
    AssertNoViolation(world);
  }

  void CancelledTasksAreNotStartedAgain() {
    // Cancels at different times around the start, in steps of 50 ms.
    for (int step = 0; step < 40; ++step) {
      FakeWorld world({});
      AddZone(world, "zg-a");
      world.RunFor(seconds(10));
      world.Submit("sub1", MakeJob(3, "run 30s"));
      world.RunFor(std::chrono::milliseconds(50) * step);
      world.Cancel("sub1");
      world.RunFor(seconds(10));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.Running());
      const std::uint64_t starts = TotalStarts(world);
      world.RunFor(minutes(1));
      CPPUNIT_ASSERT_EQUAL(starts, TotalStarts(world));
      CPPUNIT_ASSERT(StageOf(world, "sub1/2") == TaskStage::kCancelled);
    }
  }

  void RecoversFromSnapshotAfterLogExpiry() {
    FakeWorld world({});
    world.AddWorker({.name = "w0",
                     .zone = "zg-a",
                     .rack = "r0",
                     .pool = "pool",
                     .capacity = MakeResources(8, 32)});
    world.AddScheduler(
        {.name = "s0", .zone = "zg-a", .snapshot_every = seconds(30)});
    world.SetConfig(WatcherConfig(2));
    world.Submit("sub1", MakeJob(12, "run 100s"));
    world.RunFor(minutes(2));
    world.KillScheduler("s0");
    world.ExpireLog(40);
    world.AddScheduler({.name = "s1", .zone = "zg-a"});
    CPPUNIT_ASSERT(world.RunUntil(
        [&] { return StageOf(world, "sub1/11") == TaskStage::kFinished; },
        minutes(10)));
    world.RunFor(minutes(5));
    for (int i = 0; i < 12; ++i) {
      CPPUNIT_ASSERT_EQUAL(1, world.Completed(BatchTaskId("sub1", i)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.Running());
    AssertNoViolation(world);
  }

  void FailingTaskIsHeld() {
    FakeWorld world({});
    AddZone(world, "zg-a");
    world.Submit("sub1", MakeJob(1, "fail"));
    CPPUNIT_ASSERT(world.RunUntil(
        [&] { return StageOf(world, "sub1/0") == TaskStage::kHeld; },
        minutes(2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, TotalStarts(world));
  }

  // A worker that fails every task must not use up the attempts of the jobs,
  // whichever of the workers it is.
  void JobsFinishDespiteWorkerThatFailsEverything() {
    for (const std::string failing : {"w0", "w1", "w2"}) {
      FakeWorld world({});
      AddZone(world, "zg-a");
      world.worker("zg-a-r0-" + failing).set_fails_everything(true);
      for (const std::string submission : {"sub1", "sub2", "sub3"}) {
        world.Submit(submission, MakeJob(4, "run 1s"));
      }
      CPPUNIT_ASSERT_MESSAGE(
          failing, world.RunUntil(
                       [&world] {
                         return AllFinished(world, {"sub1", "sub2", "sub3"});
                       },
                       minutes(1)));
      AssertNoViolation(world);
    }
  }

  // A job that fails on every worker must not get all workers set aside: other
  // work must go on there.
  void FailingJobDoesNotSetAsideAllWorkers() {
    FakeWorld world({});
    AddZone(world, "zg-a", 1);
    world.Submit("broken", MakeJob(12, "fail"));
    world.RunFor(seconds(2));
    world.Submit("sub1", MakeJob(4, "run 1s"));
    CPPUNIT_ASSERT(world.RunUntil(
        [&world] { return AllFinished(world, {"sub1"}); }, seconds(8)));
  }

 private:
  // Whether these jobs, of four tasks each, have finished.
  static bool AllFinished(FakeWorld& world,
                          const std::vector<std::string>& submissions) {
    for (const std::string& submission : submissions) {
      for (int i = 0; i < 4; ++i) {
        if (StageOf(world, BatchTaskId(submission, i)) !=
            TaskStage::kFinished) {
          return false;
        }
      }
    }
    return true;
  }

  static bool ReachesRunningCount(FakeWorld& world, std::size_t running) {
    return world.RunUntil([&] { return world.Running() == running; },
                          minutes(1));
  }

  static std::uint64_t TotalStarts(FakeWorld& world) {
    std::uint64_t starts = 0;
    for (const std::string& name : world.worker_names()) {
      starts += world.worker(name).starts();
    }
    return starts;
  }

  static std::string AnotherLiveWorker(FakeWorld& world,
                                       const std::string& kept) {
    for (const std::string& name : world.worker_names()) {
      if (name != kept && world.alive(name)) return name;
    }
    return "";
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RecoveryTest, "recovery_test");

}  // namespace carobmast::work
