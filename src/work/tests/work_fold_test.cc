// Tests of the work stream's fold: duplicate records, competing claims and
// takes, records of a former owner, malformed records, and snapshots.
#include "work/work_fold.h"

#include <cppunit/extensions/HelperMacros.h>

#include "work/work_record.h"

namespace carobmast::work {
namespace {

// A log that the test fills record by record.
class TestLog {
 public:
  contracts::Offset Add(const WorkRecord& record) {
    return AddText(EncodeRecord(record));
  }
  contracts::Offset AddText(const std::string& text) {
    const contracts::Offset offset = records_.size() + 1;
    records_.push_back(
        {.offset = offset,
         .appended_at = WallTime(std::chrono::milliseconds(offset)),
         .id = std::to_string(offset),
         .data = text});
    return offset;
  }
  contracts::ReadAnswer Read(contracts::Offset first_kept = 1) const {
    contracts::ReadAnswer answer{.first_kept = first_kept,
                                 .next = records_.size() + 1};
    for (const contracts::LogRecord& record : records_) {
      if (record.offset >= first_kept) answer.records.push_back(record);
    }
    return answer;
  }

 private:
  std::vector<contracts::LogRecord> records_;
};

ClaimRecord MakeClaim(const std::string& scheduler,
                      contracts::FencingToken previous) {
  return {.cell = "zg-a/r0",
          .zone = "zg-a",
          .scheduler = scheduler,
          .previous = previous};
}

// The complete state of a fold, as text.
std::string SnapshotText(const WorkFold& fold) {
  std::string text;
  for (const SnapshotRecord& part : fold.MakeSnapshot("x")) {
    text += EncodeRecord(part);
  }
  return text;
}

}  // namespace

class WorkFoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkFoldTest);
  CPPUNIT_TEST(FirstClaimWins);
  CPPUNIT_TEST(FirstTakeWins);
  CPPUNIT_TEST(RepeatedRecordsChangeNothing);
  CPPUNIT_TEST(RecordsOfFormerOwnerAreIgnored);
  CPPUNIT_TEST(SnapshotRestoresTheSameState);
  CPPUNIT_TEST(WaitsForSnapshotAfterRetentionGap);
  CPPUNIT_TEST(MalformedRecordsAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstClaimWins() {
    TestLog log;
    const contracts::Offset first = log.Add(MakeClaim("s0/1", 0));
    log.Add(MakeClaim("s1/2", 0));
    WorkFold fold;
    fold.Apply(log.Read());
    CPPUNIT_ASSERT_EQUAL(std::string("s0/1"), fold.FindCell("zg-a/r0")->owner);
    CPPUNIT_ASSERT_EQUAL(first, fold.FindCell("zg-a/r0")->token);
  }

  void FirstTakeWins() {
    TestLog log;
    const contracts::Offset a = log.Add(MakeClaim("s0/1", 0));
    ClaimRecord other = MakeClaim("s1/2", 0);
    other.cell = "zg-b/r0";
    const contracts::Offset b = log.Add(other);
    log.Add(TakeRecord{.cell = "zg-b/r0", .token = b, .tasks = {"watch/0"}});
    log.Add(TakeRecord{.cell = "zg-a/r0", .token = a, .tasks = {"watch/0"}});
    WorkFold fold;
    fold.Apply(log.Read());
    CPPUNIT_ASSERT_EQUAL(std::string("zg-b/r0"),
                         fold.FindTask("watch/0")->cell);
  }

  void RepeatedRecordsChangeNothing() {
    TestLog log;
    log.AddText(MakeSubmit("sub1", {.name = "job", .tasks = 2}).data);
    const contracts::Offset token = log.Add(MakeClaim("s0/1", 0));
    const MembersRecord add{
        .cell = "zg-a/r0", .token = token, .add = {{.worker = "w0"}}};
    const contracts::Offset added = log.Add(add);
    const TakeRecord take{
        .cell = "zg-a/r0", .token = token, .tasks = {"sub1/0", "sub1/1"}};
    log.Add(take);
    const ResultsRecord results{
        .cell = "zg-a/r0",
        .token = token,
        .results = {{.id = {.task = "sub1/0", .attempt = 1},
                     .result = TaskResult::kFinished},
                    {.id = {.task = "sub1/1", .attempt = 1},
                     .result = TaskResult::kReleased,
                     .checkpoint = "half"}}};
    log.Add(results);
    WorkFold fold;
    fold.Apply(log.Read());
    // The task is taken again, then the earlier result is repeated.
    log.Add(TakeRecord{.cell = "zg-a/r0", .token = token, .tasks = {"sub1/1"}});
    log.Add(results);
    log.Add(add);
    log.AddText(MakeSubmit("sub1", {.name = "job", .tasks = 2}).data);
    fold.Apply(log.Read());
    CPPUNIT_ASSERT(fold.FindTask("sub1/1")->stage == TaskStage::kAssigned);
    CPPUNIT_ASSERT_EQUAL(std::string("half"),
                         fold.FindTask("sub1/1")->checkpoint);
    CPPUNIT_ASSERT_EQUAL(1U, fold.jobs().at("sub1").finished);
    CPPUNIT_ASSERT_EQUAL(added,
                         fold.FindCell("zg-a/r0")->members.at("w0").added_at);
  }

  void RecordsOfFormerOwnerAreIgnored() {
    TestLog log;
    const contracts::Offset old = log.Add(MakeClaim("s0/1", 0));
    log.Add(MakeClaim("s1/2", old));
    log.Add(TakeRecord{.cell = "zg-a/r0", .token = old, .tasks = {"watch/0"}});
    log.Add(RelinquishRecord{.cell = "zg-a/r0", .token = old});
    log.Add(MembersRecord{
        .cell = "zg-a/r0", .token = old, .add = {{.worker = "w0"}}});
    WorkFold fold;
    fold.Apply(log.Read());
    CPPUNIT_ASSERT_EQUAL(std::string("s1/2"), fold.FindCell("zg-a/r0")->owner);
    CPPUNIT_ASSERT(fold.FindCell("zg-a/r0")->members.empty());
    CPPUNIT_ASSERT(fold.FindTask("watch/0") == nullptr);
  }

  void SnapshotRestoresTheSameState() {
    TestLog log;
    WorkFold complete;
    const contracts::Offset snapshot = WriteHistory(log, complete);
    WorkFold resumed;
    resumed.Apply(log.Read(snapshot));
    CPPUNIT_ASSERT(resumed.ready());
    complete.Apply(log.Read());
    CPPUNIT_ASSERT_EQUAL(SnapshotText(complete), SnapshotText(resumed));
    log.Add(HeartbeatRecord{.scheduler = "s2/3", .zone = "zg-a"});
    complete.Apply(log.Read());
    resumed.Apply(log.Read());
    CPPUNIT_ASSERT_EQUAL(SnapshotText(complete), SnapshotText(resumed));
  }

  void WaitsForSnapshotAfterRetentionGap() {
    TestLog log;
    WorkFold complete;
    WriteHistory(log, complete);
    const contracts::Offset after = log.Read().next;
    log.Add(HeartbeatRecord{.scheduler = "s2/3", .zone = "zg-a"});
    WorkFold resumed;
    resumed.Apply(log.Read(after));
    CPPUNIT_ASSERT(!resumed.ready());
    complete.Apply(log.Read());
    for (const SnapshotRecord& part : complete.MakeSnapshot("later")) {
      log.Add(part);
    }
    resumed.Apply(log.Read(after));
    CPPUNIT_ASSERT(resumed.ready());
    complete.Apply(log.Read());
    CPPUNIT_ASSERT_EQUAL(SnapshotText(complete), SnapshotText(resumed));
  }

  void MalformedRecordsAreCounted() {
    TestLog log;
    log.AddText("{");
    log.AddText(R"({"format":99,"kind":"claim"})");
    log.AddText(R"({"format":1,"kind":"of a later version"})");
    log.Add(SubmitRecord{.submission = "sub1",
                         .spec = {.tasks = kMaxTasksPerJob + 1}});
    WorkFold fold;
    fold.Apply(log.Read());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fold.malformed());
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{5}, fold.next());
  }

 private:
  // Fills the log and the fold, and returns the offset of the first part of a
  // snapshot.
  static contracts::Offset WriteHistory(TestLog& log, WorkFold& fold) {
    log.AddText(MakeSubmit("sub1", {.name = "job", .tasks = 1500}).data);
    const contracts::Offset token = log.Add(MakeClaim("s0/1", 0));
    log.Add(MembersRecord{
        .cell = "zg-a/r0", .token = token, .add = {{.worker = "w0"}}});
    log.Add(TakeRecord{
        .cell = "zg-a/r0", .token = token, .tasks = {"sub1/0", "watch/0"}});
    log.Add(ResultsRecord{.cell = "zg-a/r0",
                          .token = token,
                          .results = {{.id = {.task = "sub1/0", .attempt = 1},
                                       .result = TaskResult::kFinished}}});
    fold.Apply(log.Read());
    const contracts::Offset snapshot = fold.next();
    for (const SnapshotRecord& part : fold.MakeSnapshot("first")) {
      log.Add(part);
    }
    return snapshot;
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(WorkFoldTest, "work_fold_test");

}  // namespace carobmast::work
