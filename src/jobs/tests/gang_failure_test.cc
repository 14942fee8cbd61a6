#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jobs/generated/jobs.pb.h"
#include "shard_bench.h"

namespace carobmast::jobs {
namespace {

using contracts::EndKind;
using std::chrono::milliseconds;

// How the failures of a gang's members count. The queue allows two attempts.
class GangFailureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangFailureTest);
  CPPUNIT_TEST(MembersThatFailTogetherUseUpTheAttempts);
  CPPUNIT_TEST(FailuresToldOneByOneUseUpTheAttempts);
  CPPUNIT_TEST(NextOwnerCountsAnAttemptAgain);
  CPPUNIT_TEST(NextOwnerCountsAnAttemptAgainAfterAPartOfABatch);
  CPPUNIT_TEST(FailureToldLateCountsAnAttemptAgain);
  CPPUNIT_TEST(GangThatAlwaysFailsIsTriedOn);
  CPPUNIT_TEST(EarlierVersionCountedEachMember);
  CPPUNIT_TEST(FaultyWorkerUsesUpTheAttempts);
  CPPUNIT_TEST(FaultyWorkerUsesUpTheAttemptsOfAnotherOwner);
  CPPUNIT_TEST(FaultyWorkerHasTheOnlyRoomAndUsesUpTheAttempts);
  CPPUNIT_TEST(GangWaitsForRoomThatNeverComes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gang that is given up after one attempt, as each of its
  // members on one faulty worker counts as a failure of the gang.
  void MembersThatFailTogetherUseUpTheAttempts() {
    const std::vector<SentStart> members = BeginGang(6);
    EndMembersOn("v", members, EndKind::kFailed);
    EndMembersOn("w", members, EndKind::kGangBroken);
    CheckNextAttemptFinishes(2);
  }

  // Guards against counting each report of the same attempt.
  void FailuresToldOneByOneUseUpTheAttempts() {
    const std::vector<SentStart> members = BeginGang(6);
    std::vector<contracts::EndedTask> ended;
    for (const SentStart& member : members) {
      if (member.worker != "v") continue;
      ended.push_back(
          bench_.EndedRow(ended.size() + 1, member, EndKind::kFailed));
      bench_.AnswerHold("v", {}, ended);
      bench_.Store();
    }
    last_ends_["v"] = ended.size();
    EndMembersOn("w", members, EndKind::kGangBroken);
    CheckNextAttemptFinishes(2);
  }

  // Guards against an owner that counts an attempt which the owner before has
  // counted.
  void NextOwnerCountsAnAttemptAgain() {
    const std::vector<SentStart> members = BeginGang(6);
    EndOneMember(members);
    bench_.Store();
    bench_.TakeOver();
    EndMembersOn("v", members, EndKind::kFailed);
    EndMembersOn("w", members, EndKind::kGangBroken);
    CheckNextAttemptFinishes(2);
  }

  // Guards against the same in a divided job of whose batch only the first
  // blocks were stored: there the members that failed still run.
  void NextOwnerCountsAnAttemptAgainAfterAPartOfABatch() {
    bench_.max_undivided_bytes = 100;
    bench_.TakeOver();
    const std::vector<SentStart> members = BeginGang(80);
    EndMembersOn("v", members, EndKind::kFailed);
    bench_.StorePart(1);
    bench_.TakeOver();
    last_ends_.clear();
    EndMembersOn("v", members, EndKind::kFailed);
    EndMembersOn("w", members, EndKind::kGangBroken);
    CheckNextAttemptFinishes(2);
  }

  // Guards against counting an attempt again when a worker that was silent
  // tells of its members later.
  void FailureToldLateCountsAnAttemptAgain() {
    const std::vector<SentStart> members = BeginGang(6);
    EndMembersOn("v", members, EndKind::kFailed);
    for (int i = 0; i < 3; ++i) bench_.LoseHold("w");
    bench_.AddWorker("x", 6000);
    bench_.AnswerHold("x");
    // Until the leases of the silent worker are over.
    std::vector<SentStart> next;
    for (int i = 0; i < 200 && next.empty(); ++i) {
      bench_.AdvanceTime(milliseconds(100));
      bench_.AnswerHold("v");
      bench_.AnswerHold("x");
      bench_.Store();
      next = bench_.TakeStarts();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, next.size());
    EndMembersOn("w", members, EndKind::kFailed);
    CPPUNIT_ASSERT(JobState::kRunning == bench_.core->StoredState("j"));
    FinishGang(next, 2);
  }

  // Guards against attempts without end, and against a job that is given up
  // before its last attempt.
  void GangThatAlwaysFailsIsTriedOn() {
    std::vector<SentStart> members = BeginGang(6);
    for (std::uint32_t attempt = 1; attempt <= 2; ++attempt) {
      CPPUNIT_ASSERT(JobState::kRunning == bench_.core->StoredState("j"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{6}, members.size());
      CPPUNIT_ASSERT_EQUAL(attempt, members[0].order.attempt);
      EndMembersOn("v", members, EndKind::kFailed);
      EndMembersOn("w", members, EndKind::kFailed);
      members = TakeStarts();
    }
    CPPUNIT_ASSERT(members.empty());
    CPPUNIT_ASSERT(JobState::kFailed == bench_.core->StoredState("j"));
  }

  // Guards against a gang that fails at its first report to an owner of this
  // version, as one of an earlier version has counted each member.
  void EarlierVersionCountedEachMember() {
    const std::vector<SentStart> members = BeginGang(6);
    proto::Progress progress;
    std::string& stored = bench_.stored["p/j"];
    CPPUNIT_ASSERT(progress.ParseFromString(stored));
    proto::StepProgress& step =
        *progress.mutable_occurrences(0)->mutable_steps(0);
    // The first member's end was the one that was counted.
    step.mutable_tasks(0)->clear_runs();
    step.mutable_tasks(0)->set_failures(5);
    stored = progress.SerializeAsString();
    bench_.TakeOver();
    EndMembersOn("v", members, EndKind::kFailed);
    EndMembersOn("w", members, EndKind::kFailed);
    CheckNextAttemptFinishes(2);
  }

  // Guards against a next attempt on the worker that has just failed a member,
  // while others have room.
  void FaultyWorkerUsesUpTheAttempts() {
    const std::vector<SentStart> members = BeginGang(6);
    AddWorker("x", 6000);
    FailOnV(members);
    CheckAvoidsV(TakeStarts());
  }

  // Guards against the same when the owner changes between the attempts.
  void FaultyWorkerUsesUpTheAttemptsOfAnotherOwner() {
    const std::vector<SentStart> members = BeginGang(6);
    AddWorker("x", 6000);
    EndMembersOn("v", members, EndKind::kFailed);
    bench_.TakeOver();
    bench_.AnswerHold("v");
    bench_.AnswerHold("x");
    EndMembersOn("w", members, EndKind::kGangBroken);
    CheckAvoidsV(TakeStarts());
  }

  // Guards against the same when the others are busy: a worker that fails all
  // that it starts has room at any time.
  void FaultyWorkerHasTheOnlyRoomAndUsesUpTheAttempts() {
    const std::vector<SentStart> members = BeginGang(6);
    FillOtherWorkers();
    FailOnV(members);
    for (int i = 0; i < 10; ++i) {
      KeepOthersRunning();
      bench_.Store();
      CPPUNIT_ASSERT(bench_.starts.empty());
    }
    const std::vector<SentStart> others = std::exchange(others_, {});
    for (const char* worker : {"w", "x", "v"}) {
      EndMembersOn(worker, others, EndKind::kFinished);
    }
    CheckAvoidsV(TakeStarts());
  }

  // Guards against a gang that waits for good: no other worker gets room.
  void GangWaitsForRoomThatNeverComes() {
    const std::vector<SentStart> members = BeginGang(6);
    FillOtherWorkers();
    FailOnV(members);
    for (int i = 0; i < 60 && bench_.starts.empty(); ++i) {
      KeepOthersRunning();
      bench_.Store();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, bench_.starts.size());
  }

 private:
  void AddWorker(const std::string& worker, std::uint64_t milli_cpus) {
    bench_.AddWorker(worker, milli_cpus);
    bench_.AnswerHold(worker);
  }

  // Adds worker "x", and runs so many tasks of another job that the gang has no
  // room without worker "v".
  void FillOtherWorkers() {
    AddWorker("x", 6000);
    bench_.Submit("k", MakeJob(11));
    bench_.Store();
    others_ = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, others_.size());
  }

  void FailOnV(const std::vector<SentStart>& members) {
    EndMembersOn("v", members, EndKind::kFailed);
    EndMembersOn("w", members, EndKind::kGangBroken);
  }

  static void CheckAvoidsV(const std::vector<SentStart>& members) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, members.size());
    for (const SentStart& member : members) {
      CPPUNIT_ASSERT_EQUAL(2U, member.order.attempt);
      CPPUNIT_ASSERT(member.worker != "v");
    }
  }

  void KeepOthersRunning() {
    bench_.AdvanceTime(milliseconds(200));
    for (const char* worker : {"v", "w", "x"}) {
      bench_.AnswerHold(worker, ListOthers(worker));
    }
  }

  std::vector<contracts::RunningTask> ListOthers(const std::string& worker) {
    std::vector<contracts::RunningTask> running;
    for (const SentStart& start : others_) {
      if (start.worker != worker) continue;
      running.push_back(bench_.RunningRow(start));
      running.back().percent = ++percent_ % 100;
    }
    return running;
  }

  // Starts a gang on the workers "v" and "w", each of which has room for half
  // of it twice over.
  std::vector<SentStart> BeginGang(std::uint32_t count) {
    for (const char* worker : {"v", "w"}) {
      bench_.AddWorker(worker, std::uint64_t{count} * 1000);
      bench_.AnswerHold(worker);
    }
    JobSpec spec = MakeJob(count);
    spec.steps[0].gang = true;
    bench_.Submit("j", spec);
    bench_.Store();
    std::vector<SentStart> members = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{count}, members.size());
    for (const char* worker : {"v", "w"}) {
      CPPUNIT_ASSERT(std::any_of(members.begin(), members.end(),
                                 [worker](const SentStart& member) {
                                   return member.worker == worker;
                                 }));
    }
    return members;
  }

  // Confirms the starts that were sent.
  std::vector<SentStart> TakeStarts() {
    std::vector<SentStart> members = bench_.TakeStarts();
    for (const SentStart& member : members) bench_.ConfirmStart(member);
    bench_.now.steady += milliseconds(1);
    return members;
  }

  // The worker lists its members as ended.
  void EndMembersOn(const std::string& worker,
                    const std::vector<SentStart>& members, EndKind kind) {
    std::vector<contracts::EndedTask> ended;
    std::uint64_t number = last_ends_[worker];
    for (const SentStart& member : members) {
      if (member.worker != worker) continue;
      ended.push_back(bench_.EndedRow(++number, member, kind));
    }
    last_ends_[worker] = number;
    bench_.AnswerHold(worker, ListOthers(worker), ended);
    bench_.Store();
  }

  // Worker "v" lists the first of its members as failed, the others as running.
  void EndOneMember(const std::vector<SentStart>& members) {
    std::vector<contracts::EndedTask> ended;
    std::vector<contracts::RunningTask> running;
    for (const SentStart& member : members) {
      if (member.worker != "v") continue;
      if (ended.empty()) {
        ended.push_back(bench_.EndedRow(1, member, EndKind::kFailed));
      } else {
        running.push_back(bench_.RunningRow(member));
      }
    }
    bench_.AnswerHold("v", running, ended);
  }

  void CheckNextAttemptFinishes(std::uint32_t attempt) {
    CPPUNIT_ASSERT(JobState::kRunning == bench_.core->StoredState("j"));
    for (int i = 0; i < 100 && bench_.starts.empty(); ++i) {
      bench_.AdvanceTime(milliseconds(100));
      bench_.AnswerHold("v");
      bench_.AnswerHold("w");
      bench_.Store();
    }
    FinishGang(TakeStarts(), attempt);
  }

  void FinishGang(const std::vector<SentStart>& members,
                  std::uint32_t attempt) {
    CPPUNIT_ASSERT(!members.empty());
    CPPUNIT_ASSERT_EQUAL(attempt, members[0].order.attempt);
    const std::string worker = members[0].worker;
    EndMembersOn(worker, members, EndKind::kFinished);
    CPPUNIT_ASSERT(JobState::kCompleted == bench_.core->StoredState("j"));
  }

  ShardBench bench_;
  // Runs of another job.
  std::vector<SentStart> others_;
  // Of the last run that was listed: it changes from report to report.
  std::uint32_t percent_ = 0;
  // By worker.
  std::map<std::string, std::uint64_t> last_ends_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(GangFailureTest, "gang_failure_test");

}  // namespace
}  // namespace carobmast::jobs
