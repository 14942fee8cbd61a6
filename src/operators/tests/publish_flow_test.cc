#include "operators/publish_flow.h"

#include <cppunit/extensions/HelperMacros.h>

#include "config/tests/fake_log.h"
#include "config/tests/test_sets.h"
#include "operators/append_flow.h"

namespace carobmast::operators {
namespace {

using config::Change;
using config::ConfigFold;
using config::FakeLog;
using config::FirstChange;
using config::JobChange;

// What becomes of an append.
enum class Fate { kDone, kAnswerLost, kLostOnTheWay, kRefused };

// Runs a flow against a fake log in virtual time.
template <typename Flow, typename Step>
class FlowRunner {
 public:
  FlowRunner(FakeLog& log, Flow& flow, MonotonicTime now)
      : log_(log), flow_(flow), now_(now) {}

  // The fates of the appends, in turn; later ones are done.
  std::vector<Fate> fates;
  // Called before each append.
  std::function<void()> before_append;
  int appends = 0;

  auto Run() -> decltype(Step().result) {
    for (int i = 0; i < 1000; ++i) {
      const Step step = flow_.Next(now_);
      if (step.result.has_value()) return step.result;
      if (step.read.has_value()) {
        Read(*step.read);
      } else if (step.append.has_value()) {
        Append(*step.append);
      } else {
        now_ = std::max(now_, step.at);
      }
    }
    return {};
  }

 private:
  void Read(const contracts::ReadRequest& request) {
    now_ += std::chrono::milliseconds(100);
    if (log_.unavailable) {
      flow_.OnReadError(now_, "the log is out");
    } else {
      flow_.OnRead(now_, request.from, log_.Read(request));
    }
  }

  void Append(const contracts::AppendRequest& request) {
    if (before_append) before_append();
    now_ += std::chrono::milliseconds(100);
    const std::size_t index = static_cast<std::size_t>(appends++);
    const Fate fate = index < fates.size() ? fates[index] : Fate::kDone;
    contracts::AppendAnswer answer{.error = "fault"};
    if (fate == Fate::kDone || fate == Fate::kAnswerLost) {
      answer.offsets = {log_.Append(request.records.front(), {})};
    }
    if (fate == Fate::kDone) {
      answer.outcome = contracts::AppendOutcome::kAppended;
    }
    if (fate == Fate::kRefused) {
      answer.outcome = contracts::AppendOutcome::kNotSent;
    }
    flow_.OnAppend(now_, answer);
  }

  FakeLog& log_;
  Flow& flow_;
  MonotonicTime now_;
};

using PublishRunner = FlowRunner<PublishFlow, PublishStep>;
using AppendRunner = FlowRunner<AppendFlow, AppendStep>;

const MonotonicTime kStart(std::chrono::hours(1));

config::Objects ObjectsOf(const Change& change) {
  config::Objects objects;
  for (const config::Object& object : change.put) PutObject(objects, object);
  return objects;
}

config::Objects With(config::Objects objects, const Change& change) {
  for (const config::Object& object : change.put) PutObject(objects, object);
  return objects;
}

}  // namespace

class PublishFlowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishFlowTest);
  CPPUNIT_TEST(PublishesAndSaysUnchangedAfterwards);
  CPPUNIT_TEST(LostAnswerPublishesOnce);
  CPPUNIT_TEST(LostRecordIsAppendedAgain);
  CPPUNIT_TEST(LogOutMeansNotPublished);
  CPPUNIT_TEST(LogOutAfterAppendMeansUnknown);
  CPPUNIT_TEST(LoserOfARaceLearnsTheWinner);
  CPPUNIT_TEST(FileWithoutBaseIsRefused);
  CPPUNIT_TEST(RebaseReplaysWhatNobodyElseTouched);
  CPPUNIT_TEST(RebaseRefusesWhatBothTouched);
  CPPUNIT_TEST(RebaseAfterALostRace);
  CPPUNIT_TEST(InvalidSetIsRefusedBeforeAnyAppend);
  CPPUNIT_TEST(ChangeIsMadeOnTheNewestSet);
  CPPUNIT_TEST(TooOldProgramIsRefused);
  CPPUNIT_TEST(AppendFlowLooksBeforeItRetries);
  CPPUNIT_TEST(AppendFlowFindsEarlierRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PublishesAndSaysUnchangedAfterwards() {
    const PublishResult first = Publish(Wanted(FirstChange()), {});
    CPPUNIT_ASSERT(first.outcome == PublishOutcome::kPublished);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1}, first.offset);
    const PublishResult again = Publish(Wanted(FirstChange()), {});
    CPPUNIT_ASSERT(again.outcome == PublishOutcome::kUnchanged);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{2}, log_.next());
  }

  void LostAnswerPublishesOnce() {
    const PublishResult result =
        Publish(Wanted(FirstChange()), {Fate::kAnswerLost});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kPublished);
    CPPUNIT_ASSERT_EQUAL(1, appends_);
  }

  void LostRecordIsAppendedAgain() {
    const PublishResult result =
        Publish(Wanted(FirstChange()),
                {Fate::kLostOnTheWay, Fate::kRefused, Fate::kAnswerLost});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kPublished);
    CPPUNIT_ASSERT_EQUAL(3, appends_);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{2}, log_.next());
  }

  void LogOutMeansNotPublished() {
    log_.unavailable = true;
    const PublishResult result = Publish(Wanted(FirstChange()), {});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kNotPublished);
    CPPUNIT_ASSERT_EQUAL(0, appends_);
  }

  void LogOutAfterAppendMeansUnknown() {
    goes_out_with_append_ = true;
    const PublishResult result =
        Publish(Wanted(FirstChange()), {Fate::kAnswerLost});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(log_.all().front().id, result.id);
  }

  void LoserOfARaceLearnsTheWinner() {
    Publish(Wanted(FirstChange()), {});
    rival_ = JobChange("sum", 2);
    const PublishResult result =
        Publish(Wanted(FirstChange(), JobChange("sum", 3), 1), {});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(
        std::string("the set in force is that of offset 2 by ivo; made for "
                    "offset 1, but the set in force is that of offset 2; "
                    "changed by both: sum (changed at offset 2 by ivo)"),
        result.reason);
  }

  void FileWithoutBaseIsRefused() {
    Publish(Wanted(FirstChange()), {});
    const PublishResult result =
        Publish(Wanted(FirstChange(), JobChange("sum", 3)), {});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{2}, log_.next());
  }

  void RebaseReplaysWhatNobodyElseTouched() {
    Publish(Wanted(FirstChange()), {});
    AppendRival(JobChange("theirs", 2));
    PublishFlowOptions options = Wanted(FirstChange(), JobChange("mine", 3), 1);
    CPPUNIT_ASSERT(Publish(options, {}).outcome == PublishOutcome::kRefused);
    options.rebase = true;
    CPPUNIT_ASSERT_EQUAL(std::string(), Publish(options, {}).reason);
    ConfigFold fold = FoldAll();
    CPPUNIT_ASSERT(fold.set().Find("theirs") != nullptr);
    CPPUNIT_ASSERT(fold.set().Find("mine") != nullptr);
  }

  void RebaseRefusesWhatBothTouched() {
    Publish(Wanted(FirstChange()), {});
    AppendRival(JobChange("sum", 2));
    PublishFlowOptions options = Wanted(FirstChange(), JobChange("sum", 3), 1);
    options.rebase = true;
    const PublishResult result = Publish(options, {});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(
        std::string("the set in force is that of offset 2 by ivo; changed by "
                    "both: sum (changed at offset 2 by ivo)"),
        result.reason);
  }

  void RebaseAfterALostRace() {
    Publish(Wanted(FirstChange()), {});
    rival_ = JobChange("theirs", 2);
    PublishFlowOptions options = Wanted(FirstChange(), JobChange("mine", 3), 1);
    options.rebase = true;
    CPPUNIT_ASSERT(Publish(options, {}).outcome == PublishOutcome::kPublished);
    ConfigFold fold = FoldAll();
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{4}, fold.head().offset);
    CPPUNIT_ASSERT(fold.set().Find("theirs") != nullptr);
  }

  void InvalidSetIsRefusedBeforeAnyAppend() {
    Change change = FirstChange();
    change.put.pop_back();
    change.put.emplace_back(
        config::BatchJob{.name = "sum",
                         .team = "sales",
                         .pool = "pool",
                         .program = "sum",
                         .task = config::SmallResources(17)});
    const PublishResult result = Publish(Wanted(change), {});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(0, appends_);
  }

  void ChangeIsMadeOnTheNewestSet() {
    Publish(Wanted(FirstChange()), {});
    rival_ = JobChange("theirs", 2);
    PublishFlowOptions options;
    options.change.put.emplace_back(
        config::DrainedVm{.name = "w-1", .reason = "disk"});
    CPPUNIT_ASSERT(Publish(options, {}).outcome == PublishOutcome::kPublished);
    CPPUNIT_ASSERT(Publish(options, {}).outcome == PublishOutcome::kUnchanged);
    PublishFlowOptions undo{.remove_kind = config::Kind::kDrainedVm};
    undo.change.remove = {"w-1", "theirs"};
    CPPUNIT_ASSERT(Publish(undo, {}).outcome == PublishOutcome::kPublished);
    ConfigFold fold = FoldAll();
    CPPUNIT_ASSERT(fold.set().Find("w-1") == nullptr);
    CPPUNIT_ASSERT(fold.set().Find("theirs") != nullptr);
  }

  void TooOldProgramIsRefused() {
    ConfigFold fold;
    config::PublishRecord record = PublishOn(fold, FirstChange());
    record.rules = 2;
    log_.Append({.id = "newer", .data = EncodePublish(record)}, {});
    CPPUNIT_ASSERT(Publish(Wanted(FirstChange()), {}).outcome ==
                   PublishOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(0, appends_);
  }

  void AppendFlowLooksBeforeItRetries() {
    for (const bool reached : {true, false}) {
      AppendFlow flow({.stream = "work", .record = {.id = "a", .data = "x"}},
                      kStart);
      FakeLog log;
      AppendRunner runner(log, flow, kStart);
      runner.fates = {reached ? Fate::kAnswerLost : Fate::kLostOnTheWay};
      CPPUNIT_ASSERT(runner.Run()->kind == AppendResultKind::kAppended);
      CPPUNIT_ASSERT_EQUAL(contracts::Offset{2}, log.next());
    }
    AppendFlow flow({.stream = "work", .record = {.id = "a", .data = "x"}},
                    kStart);
    FakeLog log;
    log.unavailable = true;
    AppendRunner runner(log, flow, kStart);
    CPPUNIT_ASSERT(runner.Run()->kind == AppendResultKind::kNotAppended);
  }

  void AppendFlowFindsEarlierRuns() {
    FakeLog log;
    log.Append({.id = "a", .data = "first"}, {});
    log.Append({.id = "b", .data = "other"}, {});
    AppendFlow flow({.stream = "work",
                     .record = {.id = "a", .data = "second"},
                     .search_first = true},
                    kStart);
    AppendRunner runner(log, flow, kStart);
    CPPUNIT_ASSERT_EQUAL(std::string("first"),
                         runner.Run().value_or(AppendResult{}).found);
    CPPUNIT_ASSERT_EQUAL(0, runner.appends);
  }

 private:
  PublishFlowOptions Wanted(const Change& change, const Change& more = {},
                            std::optional<contracts::Offset> base = {}) {
    return {.wanted = With(ObjectsOf(change), more), .base = base};
  }

  ConfigFold FoldAll() {
    ConfigFold fold;
    for (const contracts::LogRecord& record : log_.all()) fold.OnRecord(record);
    return fold;
  }

  void AppendRival(const Change& change) {
    const std::string id = "rival-" + std::to_string(log_.next());
    log_.Append(
        {.id = id, .data = EncodePublish(PublishOn(FoldAll(), change, "ivo"))},
        {});
  }

  PublishResult Publish(PublishFlowOptions options, std::vector<Fate> fates) {
    options.publisher = "ana";
    options.new_id = [this] { return "id-" + std::to_string(++ids_); };
    PublishFlow flow(options, kStart);
    PublishRunner runner(log_, flow, kStart);
    runner.fates = fates;
    runner.before_append = [this] {
      if (rival_.has_value()) AppendRival(*rival_);
      rival_.reset();
      log_.unavailable = goes_out_with_append_;
    };
    const std::optional<PublishResult> result = runner.Run();
    appends_ = runner.appends;
    CPPUNIT_ASSERT(result.has_value());
    return result.value_or(PublishResult{});
  }

  FakeLog log_;
  int ids_ = 0;
  int appends_ = 0;
  // Published by another operator just before the next append.
  std::optional<Change> rival_;
  bool goes_out_with_append_ = false;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PublishFlowTest, "publish_flow_test");

}  // namespace carobmast::operators
