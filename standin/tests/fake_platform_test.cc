#include <cppunit/extensions/HelperMacros.h>

#include "framework/base/error.h"
#include "standin/fake_log.h"
#include "standin/fake_vm_list.h"
#include "standin/fake_worker.h"
#include "standin/settings.h"

namespace carobmast::standin {

using contracts::AppendOutcome;
using contracts::CommandAnswer;
using contracts::CommandOutcome;
using contracts::TaskKind;
using contracts::TaskState;
using contracts::WorkerCommand;
using contracts::WorkerVerb;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Checks that the fakes keep the platform's guarantees under injected faults.
// Other tests trust them; a fake that broke a guarantee would hide faults of
// the scheduler or report false ones.
class FakePlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FakePlatformTest);
  CPPUNIT_TEST(LogKeepsOffsetsOverRetentionAndFaults);
  CPPUNIT_TEST(VmListShowsChangesAfterItsLag);
  CPPUNIT_TEST(WorkerRefusesLowerTokens);
  CPPUNIT_TEST(WorkerNeverExceedsItsCapacity);
  CPPUNIT_TEST(RepeatedStartsRunOnceAlsoAfterForget);
  CPPUNIT_TEST(StopBeforeStartKeepsTheStartFromRunning);
  CPPUNIT_TEST(LeaseExpiryEndsTasksAtItsExactTime);
  CPPUNIT_TEST(BatchResumesFromItsCheckpoint);
  CPPUNIT_TEST(LostAnswersTakeEffectAndLostRequestsDoNot);
  CPPUNIT_TEST(WorkerVmsAreSpreadOverZonesAndRacks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LogKeepsOffsetsOverRetentionAndFaults() {
    FakeLog log({.retention = seconds(10)});
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1}, Append(log, 0).offsets.at(0));
    log.faults().lost_answers = 1;
    CPPUNIT_ASSERT(Append(log, 5).outcome == AppendOutcome::kUnknown);
    log.faults().lost_requests = 1;
    CPPUNIT_ASSERT(Append(log, 5).outcome == AppendOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{3}, Append(log, 5).offsets.at(0));
    const contracts::ReadAnswer read = log.Read({.stream = "s"}, At(11));
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{2}, read.first_kept);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.records.size());
    CPPUNIT_ASSERT(
        log.Read({.stream = "s", .from = 9}, At(11)).records.empty());
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{4},
                         log.Read({.stream = "s"}, At(60)).first_kept);
    log.faults().unavailable = true;
    CPPUNIT_ASSERT(Append(log, 60).outcome == AppendOutcome::kNotSent);
    CPPUNIT_ASSERT_THROW(log.Read({.stream = "s"}, At(60)), Error);
  }

  void VmListShowsChangesAfterItsLag() {
    FakeVmList list({.lag = seconds(2), .vms = {{.name = "a"}}});
    list.Put({.name = "a", .state = contracts::VmState::kLeaving}, At(10));
    list.Remove("a", At(11));
    CPPUNIT_ASSERT(list.List(At(11)).vms.at(0).state ==
                   contracts::VmState::kLive);
    CPPUNIT_ASSERT(list.List(At(12)).vms.at(0).state ==
                   contracts::VmState::kLeaving);
    CPPUNIT_ASSERT(list.List(At(13)).vms.empty());
  }

  void WorkerRefusesLowerTokens() {
    CPPUNIT_ASSERT(Send(0, {.token = 5}) == CommandOutcome::kDone);
    CPPUNIT_ASSERT(Send(0, Start("t", 1, 4)) == CommandOutcome::kStale);
    CPPUNIT_ASSERT_EQUAL(contracts::FencingToken{5}, answer_.report.token);
    CPPUNIT_ASSERT(answer_.report.tasks.empty());
    CPPUNIT_ASSERT(Send(0, Start("t", 1, 5)) == CommandOutcome::kDone);
  }

  void WorkerNeverExceedsItsCapacity() {
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(Send(0, Start("t" + std::to_string(i), 1, 1)) ==
                     CommandOutcome::kDone);
    }
    CPPUNIT_ASSERT(Send(0, Start("t4", 1, 1)) == CommandOutcome::kNoRoom);
    CPPUNIT_ASSERT(Send(1, {.verb = WorkerVerb::kStop,
                            .token = 1,
                            .id = {.task = "t0", .attempt = 1}}) ==
                   CommandOutcome::kDone);
    CPPUNIT_ASSERT(Send(1, Start("t4", 1, 1)) == CommandOutcome::kDone);
  }

  void RepeatedStartsRunOnceAlsoAfterForget() {
    Send(0, Start("t", 1, 1));
    CPPUNIT_ASSERT(Send(1, Start("t", 1, 1)) == CommandOutcome::kDone);
    CPPUNIT_ASSERT(Send(3, Start("t", 1, 1)) == CommandOutcome::kDone);
    CPPUNIT_ASSERT(answer_.report.tasks.at(0).state == TaskState::kFinished);
    Send(3, {.verb = WorkerVerb::kForget,
             .token = 1,
             .id = {.task = "t", .attempt = 1}});
    CPPUNIT_ASSERT(answer_.report.tasks.empty());
    CPPUNIT_ASSERT(Send(3, Start("t", 1, 1)) == CommandOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, worker_.executions().size());
    CPPUNIT_ASSERT(worker_.executions().at(0).to == At(2));
  }

  // Guards against an attempt that runs after its stop because the start was
  // delayed in transit.
  void StopBeforeStartKeepsTheStartFromRunning() {
    Send(0, {.verb = WorkerVerb::kStop,
             .token = 1,
             .id = {.task = "t", .attempt = 1}});
    CPPUNIT_ASSERT(Send(0, Start("t", 1, 1)) == CommandOutcome::kRefused);
    CPPUNIT_ASSERT(Send(0, Start("t", 2, 1)) == CommandOutcome::kDone);
  }

  // Guards against tasks that outlive their lease on a paused worker: the last
  // renewal, at 4 s for 6 s, ends the task at 10 s although the worker answers
  // again only at 30 s.
  void LeaseExpiryEndsTasksAtItsExactTime() {
    WorkerCommand start = Start("t", 1, 1);
    start.kind = TaskKind::kStanding;
    Send(0, start);
    Send(4, {.verb = WorkerVerb::kRenew, .token = 1, .lease = seconds(6)});
    worker_.faults().paused = true;
    CPPUNIT_ASSERT(Send(12, {.token = 1}) == CommandOutcome::kUnknown);
    worker_.faults().paused = false;
    CPPUNIT_ASSERT(Send(30, {.token = 1}) == CommandOutcome::kDone);
    CPPUNIT_ASSERT(answer_.report.tasks.at(0).state ==
                   TaskState::kLeaseExpired);
    CPPUNIT_ASSERT(worker_.executions().at(0).to == At(10));
  }

  // 1 s at full speed and 1 s at half speed make 1.5 s of 4 s; the second
  // attempt has 2.5 s left.
  void BatchResumesFromItsCheckpoint() {
    WorkerCommand start = Start("t", 1, 1);
    start.program = "render:4s";
    Send(0, start);
    Send(1, {.verb = WorkerVerb::kThrottle,
             .token = 1,
             .id = start.id,
             .throttle = 500});
    Send(2, {.verb = WorkerVerb::kStop,
             .token = 1,
             .id = start.id,
             .take_checkpoint = true});
    CPPUNIT_ASSERT_EQUAL(std::string("done:1500ms"),
                         answer_.report.tasks.at(0).checkpoint);
    start.id.attempt = 2;
    start.checkpoint = "done:1500ms";
    Send(3, start);
    worker_.Advance(At(9));
    CPPUNIT_ASSERT(worker_.executions().at(1).to == At(5) + milliseconds(500));
  }

  void LostAnswersTakeEffectAndLostRequestsDoNot() {
    worker_.faults().lost_requests = 1;
    CPPUNIT_ASSERT(Send(0, Start("t", 1, 1)) == CommandOutcome::kUnknown);
    CPPUNIT_ASSERT(worker_.executions().empty());
    worker_.faults().lost_answers = 1;
    CPPUNIT_ASSERT(Send(0, Start("t", 1, 1)) == CommandOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, worker_.executions().size());
  }

  void WorkerVmsAreSpreadOverZonesAndRacks() {
    StandInSettings settings{.zones = {"zg-a", "zg-b", "zg-c"}, .workers = 48};
    CPPUNIT_ASSERT_EQUAL(std::string("zg-c-w16"),
                         MakeWorkerVms(settings).back().name);
    CPPUNIT_ASSERT_EQUAL(std::string("zg-c-r2"),
                         MakeWorkerVms(settings).back().rack);
    settings.workers = 66;
    CPPUNIT_ASSERT_EQUAL(std::size_t{66}, MakeWorkerVms(settings).size());
  }

 private:
  static MonotonicTime At(int second) {
    return MonotonicTime() + seconds(second);
  }

  static contracts::AppendAnswer Append(FakeLog& log, int second) {
    return log.Append({.stream = "s", .records = {{.id = "i", .data = "d"}}},
                      At(second));
  }

  // Starts a batch task that runs for 2 s and takes a quarter of the worker's
  // CPUs.
  static WorkerCommand Start(const std::string& task, std::uint32_t attempt,
                             contracts::FencingToken token) {
    return {.verb = WorkerVerb::kStart,
            .token = token,
            .id = {.task = task, .attempt = attempt},
            .lease = seconds(6),
            .resources = {.milli_cpus = 4000, .memory = {1}}};
  }

  CommandOutcome Send(int second, const WorkerCommand& command) {
    answer_ = worker_.Handle(command, At(second));
    return answer_.outcome;
  }

  FakeWorker worker_ = FakeWorker(
      {.name = "w", .capacity = {.milli_cpus = 16'000, .memory = {60}}});
  CommandAnswer answer_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FakePlatformTest, "fake_platform_test");

}  // namespace carobmast::standin
