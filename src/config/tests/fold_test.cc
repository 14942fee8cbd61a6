#include "config/fold.h"

#include <cppunit/extensions/HelperMacros.h>

#include "config/log_replay.h"
#include "config/tests/fake_log.h"
#include "config/tests/test_sets.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

// Digest of the set of FirstChange() under rule version 1. It must never
// change, because all versions of the program must reach the same verdicts.
constexpr char kFirstChangeDigest[] =
    "144a7ab295ae2dabdaf9707493ff2e01d3f5a5b2617cab2e7e9894ab99dac068";

Verdict Fold(ConfigFold& fold, const PublishRecord& record,
             const std::string& id = "id") {
  return fold.OnRecord(
      RecordAt(fold.head().through + 1, id, EncodePublish(record)));
}

void AssertRefused(const Verdict& verdict, const std::string& reason) {
  CPPUNIT_ASSERT(verdict.kind == VerdictKind::kRefused);
  CPPUNIT_ASSERT_EQUAL(reason, verdict.reason);
}

// Reads the log to its end in steps of three records.
void ReadAll(const FakeLog& log, LogReplay& replay) {
  for (int i = 0; i < 100; ++i) {
    const contracts::Offset from = replay.NextRead();
    replay.OnRead(from, log.Read({.from = from, .max_records = 3}));
  }
}

void AppendCompaction(FakeLog& log, const ConfigFold& fold) {
  for (const contracts::NewRecord& record :
       EncodeCompaction(fold.head(), fold.set(), "group")) {
    log.Append(record, WallTime());
  }
}

void AppendPublish(FakeLog& log, ConfigFold& fold, const Change& change) {
  const std::string data = EncodePublish(PublishOn(fold, change));
  const contracts::Offset offset =
      log.Append({.id = "p" + std::to_string(log.next()), .data = data}, {});
  fold.OnRecord(log.all().at(offset - 1));
}

}  // namespace

class FoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FoldTest);
  CPPUNIT_TEST(AcceptsAChangeOfTheSetInForce);
  CPPUNIT_TEST(SecondPublishOnTheSameBaseIsRefused);
  CPPUNIT_TEST(DuplicateRecordChangesNothing);
  CPPUNIT_TEST(RefusedPublishLeavesTheSetUnchanged);
  CPPUNIT_TEST(MalformedRecordsAreRefused);
  CPPUNIT_TEST(StopsAtUnknownRules);
  CPPUNIT_TEST(RefusesRulesOlderThanInForce);
  CPPUNIT_TEST(NewerRulesCheckTheWholeSet);
  CPPUNIT_TEST(ResumesFromACompaction);
  CPPUNIT_TEST(PublishBetweenSnapshotAndCompactionIsNotLost);
  CPPUNIT_TEST(ExpiredRecordsWithoutCompactionGiveNoSet);
  CPPUNIT_TEST(AdoptionDuringSearchSkipsNoRecord);
  CPPUNIT_TEST(DoesNotAdoptOlderOrDamagedSets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptsAChangeOfTheSetInForce() {
    ConfigFold fold;
    const Verdict first = Fold(fold, PublishOn(fold, FirstChange()));
    CPPUNIT_ASSERT_EQUAL(std::string(), first.reason);
    CPPUNIT_ASSERT(first.kind == VerdictKind::kAccepted);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1}, fold.head().offset);
    CPPUNIT_ASSERT_EQUAL(std::string(kFirstChangeDigest), fold.head().digest);
    const Verdict second = Fold(fold, PublishOn(fold, JobChange("sum", 9)));
    CPPUNIT_ASSERT(second.kind == VerdictKind::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{9},
                         fold.set().objects().batch_jobs.at("sum").tasks);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{2},
                         fold.set().Find("sum")->stamp.offset);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1},
                         fold.set().Find("pool")->stamp.offset);
  }

  void SecondPublishOnTheSameBaseIsRefused() {
    ConfigFold fold;
    Fold(fold, PublishOn(fold, FirstChange()));
    const PublishRecord ana = PublishOn(fold, JobChange("sum", 2), "ana");
    const PublishRecord ivo = PublishOn(fold, JobChange("sum", 3), "ivo");
    CPPUNIT_ASSERT(Fold(fold, ivo).kind == VerdictKind::kAccepted);
    AssertRefused(Fold(fold, ana),
                  "made for offset 1, but the set in force is that of offset "
                  "2");
    CPPUNIT_ASSERT_EQUAL(ivo.digest, fold.head().digest);
  }

  void DuplicateRecordChangesNothing() {
    ConfigFold fold;
    const PublishRecord record = PublishOn(fold, FirstChange());
    Fold(fold, record, "same");
    const Head head = fold.head();
    CPPUNIT_ASSERT(Fold(fold, record, "same").kind == VerdictKind::kRefused);
    CPPUNIT_ASSERT_EQUAL(head.offset, fold.head().offset);
    CPPUNIT_ASSERT_EQUAL(head.digest, fold.set().Digest());
    const contracts::LogRecord again =
        RecordAt(1, "same", EncodePublish(record));
    CPPUNIT_ASSERT(fold.OnRecord(again).kind == VerdictKind::kNoEffect);
  }

  void RefusedPublishLeavesTheSetUnchanged() {
    ConfigFold fold;
    Fold(fold, PublishOn(fold, FirstChange()));
    const std::string digest = fold.head().digest;
    Change change;
    change.remove = {"pool"};
    AssertRefused(Fold(fold, PublishOn(fold, change)),
                  "batch job sum: field 'pool': no vm pool is named 'pool' "
                  "(and 1 more)");
    change.remove = {"nothing"};
    AssertRefused(Fold(fold, PublishOn(fold, change)),
                  "removes 'nothing', which is not in the set");
    PublishRecord record = PublishOn(fold, JobChange("sum", 2));
    record.digest = digest;
    AssertRefused(Fold(fold, record),
                  "the set after the change has another digest");
    CPPUNIT_ASSERT_EQUAL(digest, fold.set().Digest());
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1}, fold.head().offset);
    CPPUNIT_ASSERT(Fold(fold, PublishOn(fold, JobChange("sum", 2))).kind ==
                   VerdictKind::kAccepted);
  }

  void MalformedRecordsAreRefused() {
    ConfigFold fold;
    for (const char* data :
         {"", "nonsense", "[]", "{}", R"({"format":1,"rules":0})",
          R"({"format":1,"rules":1,"type":"other"})",
          R"({"format":1,"rules":1,"type":"publish","base":0})"}) {
      const Verdict verdict =
          fold.OnRecord(RecordAt(fold.head().through + 1, "id", data));
      CPPUNIT_ASSERT_MESSAGE(data, verdict.kind == VerdictKind::kRefused);
    }
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{0}, fold.head().offset);
    PublishRecord twice = PublishOn(fold, FirstChange());
    twice.change.put.push_back(twice.change.put.front());
    CPPUNIT_ASSERT(Fold(fold, twice).kind == VerdictKind::kRefused);
  }

  void StopsAtUnknownRules() {
    ConfigFold fold;
    Fold(fold, PublishOn(fold, FirstChange()));
    PublishRecord newer = PublishOn(fold, JobChange("sum", 2));
    newer.rules = 2;
    CPPUNIT_ASSERT(Fold(fold, newer).kind == VerdictKind::kUnknown);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{2},
                         fold.stopped().value_or(Verdict{}).offset);
    const PublishRecord next = PublishOn(fold, JobChange("sum", 3));
    CPPUNIT_ASSERT(fold.OnRecord(RecordAt(3, "id", EncodePublish(next))).kind ==
                   VerdictKind::kUnknown);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1}, fold.head().offset);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1}, fold.head().through);
  }

  void RefusesRulesOlderThanInForce() {
    ConfigFold fold({{1, CheckChangeV1}, {2, CheckChangeV1}});
    PublishRecord newer = PublishOn(fold, FirstChange());
    newer.rules = 2;
    CPPUNIT_ASSERT(Fold(fold, newer).kind == VerdictKind::kAccepted);
    PublishRecord older = PublishOn(fold, JobChange("sum", 2));
    older.rules = 1;
    AssertRefused(Fold(fold, older),
                  "checked by rules 1, but the set in force follows rules 2");
  }

  // Rule version 2 of this test allows only one task per job. A publish by it
  // that changes a valid job is refused, because another job in the set is
  // invalid.
  void NewerRulesCheckTheWholeSet() {
    const CheckChange rules_2 = [](const ObjectSet&, const Change& change,
                                   const std::vector<StampedObject>&) {
      std::vector<CheckError> errors;
      for (const Object& object : change.put) {
        const BatchJob* job = std::get_if<BatchJob>(&object);
        if (job != nullptr && job->tasks > 1) errors.push_back({});
      }
      return errors;
    };
    ConfigFold fold({{1, CheckChangeV1}, {2, rules_2}});
    Fold(fold, PublishOn(fold, FirstChange()));
    Fold(fold, PublishOn(fold, JobChange("old", 2)));
    PublishRecord newer = PublishOn(fold, JobChange("new", 1));
    newer.rules = 2;
    CPPUNIT_ASSERT(Fold(fold, newer).kind == VerdictKind::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, fold.head().rules);
  }

  void ResumesFromACompaction() {
    FakeLog log;
    ConfigFold fold;
    AppendPublish(log, fold, FirstChange());
    AppendPublish(log, fold, JobChange("sum", 2));
    AppendCompaction(log, fold);
    AppendPublish(log, fold, JobChange("sum", 3));
    log.Expire(3);
    LogReplay replay;
    ReadAll(log, replay);
    CPPUNIT_ASSERT(replay.caught_up());
    CPPUNIT_ASSERT(replay.fold().head() == fold.head());
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1},
                         replay.fold().set().Find("pool")->stamp.offset);
  }

  // A compaction can be appended after publishes that its set does not contain.
  // While these are still in the log they are folded as well; once one has
  // expired, the compaction must not be used.
  void PublishBetweenSnapshotAndCompactionIsNotLost() {
    FakeLog log;
    ConfigFold fold;
    AppendPublish(log, fold, FirstChange());
    const std::vector<contracts::NewRecord> late =
        EncodeCompaction(fold.head(), fold.set(), "late");
    AppendPublish(log, fold, JobChange("sum", 2));
    for (const contracts::NewRecord& record : late) log.Append(record, {});
    log.Expire(2);
    LogReplay with_publish;
    ReadAll(log, with_publish);
    CPPUNIT_ASSERT_EQUAL(fold.head().digest, with_publish.fold().head().digest);
    log.Expire(3);
    LogReplay without_publish;
    ReadAll(log, without_publish);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{0},
                         without_publish.fold().head().offset);
    CPPUNIT_ASSERT(!without_publish.caught_up());
  }

  void ExpiredRecordsWithoutCompactionGiveNoSet() {
    FakeLog log;
    ConfigFold fold;
    AppendPublish(log, fold, FirstChange());
    AppendPublish(log, fold, JobChange("sum", 2));
    log.Expire(2);
    LogReplay replay;
    ReadAll(log, replay);
    CPPUNIT_ASSERT(replay.searching());
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{0}, replay.fold().head().offset);
  }

  // A reader that searches for a compaction reads records without folding them.
  // If it then adopts a set from a peer, it must go back and fold those
  // records.
  void AdoptionDuringSearchSkipsNoRecord() {
    FakeLog log;
    ConfigFold fold;
    AppendPublish(log, fold, FirstChange());
    WholeSet whole{.head = fold.head()};
    fold.set().ForEachAfter("", [&](const StampedObject& object) {
      whole.objects.push_back(object);
      return true;
    });
    AppendPublish(log, fold, JobChange("sum", 2));
    log.Expire(2);
    LogReplay replay;
    ReadAll(log, replay);
    CPPUNIT_ASSERT(replay.searching());
    replay.fold().Adopt(whole);
    log.Append({.id = "last", .data = "nonsense"}, {});
    ReadAll(log, replay);
    CPPUNIT_ASSERT(replay.caught_up());
    CPPUNIT_ASSERT_EQUAL(fold.head().digest, replay.fold().head().digest);
  }

  void DoesNotAdoptOlderOrDamagedSets() {
    ConfigFold fold;
    Fold(fold, PublishOn(fold, FirstChange()));
    WholeSet whole{.head = fold.head()};
    fold.set().ForEachAfter("", [&](const StampedObject& object) {
      whole.objects.push_back(object);
      return true;
    });
    ConfigFold fresh;
    WholeSet damaged = whole;
    damaged.objects.pop_back();
    CPPUNIT_ASSERT_THROW(fresh.Adopt(damaged), Error);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{0}, fresh.head().offset);
    fresh.Adopt(whole);
    CPPUNIT_ASSERT(fresh.head() == fold.head());
    Fold(fold, PublishOn(fold, JobChange("sum", 2)));
    const Head newer = fold.head();
    CPPUNIT_ASSERT_THROW(fold.Adopt(whole), Error);
    CPPUNIT_ASSERT(fold.head() == newer);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FoldTest, "fold_test");

}  // namespace carobmast::config
