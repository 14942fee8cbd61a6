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

// What happens to an append: the log stores it and answers, stores it but the
// answer is lost, never receives it, or it is known not to have been sent.
enum class AppendEffect { kStored, kAnswerLost, kRequestLost, kUnsent };

// Runs a flow against a fake log in simulated time.
template <typename Flow, typename Step>
class FlowRunner {
 public:
  FlowRunner(FakeLog& log, Flow& flow, MonotonicTime now)
      : log_(log), flow_(flow), now_(now) {}

  // What happens to each append in turn; later ones are stored and answered.
  std::vector<AppendEffect> append_effects;
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
    const AppendEffect effect = index < append_effects.size()
                                    ? append_effects[index]
                                    : AppendEffect::kStored;
    contracts::AppendAnswer answer{.error = "fault"};
    if (effect == AppendEffect::kStored ||
        effect == AppendEffect::kAnswerLost) {
      answer.offsets = {log_.Append(request.records.front(), {})};
    }
    if (effect == AppendEffect::kStored) {
      answer.outcome = contracts::AppendOutcome::kAppended;
    }
    if (effect == AppendEffect::kUnsent) {
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

config::Objects ObjectsWith(config::Objects objects, const Change& change) {
  for (const config::Object& object : change.put) PutObject(objects, object);
  return objects;
}

}  // namespace

class PublishFlowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishFlowTest);
  CPPUNIT_TEST(SecondPublishOfTheSameSetIsUnchanged);
  CPPUNIT_TEST(LostAppendAnswerPublishesOnce);
  CPPUNIT_TEST(LostRecordIsAppendedAgain);
  CPPUNIT_TEST(UnavailableLogMeansNotPublished);
  CPPUNIT_TEST(LogLostAfterAppendMeansUnknown);
  CPPUNIT_TEST(RefusalNamesTheConcurrentPublish);
  CPPUNIT_TEST(SetWithoutBaseIsRefused);
  CPPUNIT_TEST(RebaseAppliesDisjointChanges);
  CPPUNIT_TEST(RebaseRefusesConflictingChanges);
  CPPUNIT_TEST(RebaseRetriesAfterConcurrentPublish);
  CPPUNIT_TEST(InvalidSetIsRefusedBeforeAnyAppend);
  CPPUNIT_TEST(ChangeAppliesToTheNewestSet);
  CPPUNIT_TEST(RefusedWhenTheLogNeedsNewerRules);
  CPPUNIT_TEST(AppendFlowSearchesBeforeItRetries);
  CPPUNIT_TEST(AppendFlowFindsTheRecordOfAnEarlierRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SecondPublishOfTheSameSetIsUnchanged() {
    const PublishResult first = Publish(Wanted(FirstChange()), {});
    CPPUNIT_ASSERT(first.outcome == PublishOutcome::kPublished);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1}, first.offset);
    const PublishResult again = Publish(Wanted(FirstChange()), {});
    CPPUNIT_ASSERT(again.outcome == PublishOutcome::kUnchanged);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{2}, log_.next());
  }

  void LostAppendAnswerPublishesOnce() {
    const PublishResult result =
        Publish(Wanted(FirstChange()), {AppendEffect::kAnswerLost});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kPublished);
    CPPUNIT_ASSERT_EQUAL(1, appends_);
  }

  void LostRecordIsAppendedAgain() {
    const PublishResult result =
        Publish(Wanted(FirstChange()),
                {AppendEffect::kRequestLost, AppendEffect::kUnsent,
                 AppendEffect::kAnswerLost});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kPublished);
    CPPUNIT_ASSERT_EQUAL(3, appends_);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{2}, log_.next());
  }

  void UnavailableLogMeansNotPublished() {
    log_.unavailable = true;
    const PublishResult result = Publish(Wanted(FirstChange()), {});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kNotPublished);
    CPPUNIT_ASSERT_EQUAL(0, appends_);
  }

  void LogLostAfterAppendMeansUnknown() {
    log_fails_at_append_ = true;
    const PublishResult result =
        Publish(Wanted(FirstChange()), {AppendEffect::kAnswerLost});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(log_.all().front().id, result.id);
  }

  void RefusalNamesTheConcurrentPublish() {
    Publish(Wanted(FirstChange()), {});
    concurrent_change_ = JobChange("sum", 2);
    const PublishResult result =
        Publish(Wanted(FirstChange(), JobChange("sum", 3), 1), {});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(
        std::string("the set in force is that of offset 2 by ivo; made for "
                    "offset 1, but the set in force is that of offset 2; "
                    "changed by both: sum (changed at offset 2 by ivo)"),
        result.reason);
  }

  void SetWithoutBaseIsRefused() {
    Publish(Wanted(FirstChange()), {});
    const PublishResult result =
        Publish(Wanted(FirstChange(), JobChange("sum", 3)), {});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{2}, log_.next());
  }

  void RebaseAppliesDisjointChanges() {
    Publish(Wanted(FirstChange()), {});
    AppendConcurrent(JobChange("theirs", 2));
    PublishFlowOptions options = Wanted(FirstChange(), JobChange("mine", 3), 1);
    CPPUNIT_ASSERT(Publish(options, {}).outcome == PublishOutcome::kRefused);
    options.rebase = true;
    CPPUNIT_ASSERT_EQUAL(std::string(), Publish(options, {}).reason);
    ConfigFold fold = FoldAll();
    CPPUNIT_ASSERT(fold.set().Find("theirs") != nullptr);
    CPPUNIT_ASSERT(fold.set().Find("mine") != nullptr);
  }

  void RebaseRefusesConflictingChanges() {
    Publish(Wanted(FirstChange()), {});
    AppendConcurrent(JobChange("sum", 2));
    PublishFlowOptions options = Wanted(FirstChange(), JobChange("sum", 3), 1);
    options.rebase = true;
    const PublishResult result = Publish(options, {});
    CPPUNIT_ASSERT(result.outcome == PublishOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(
        std::string("the set in force is that of offset 2 by ivo; changed by "
                    "both: sum (changed at offset 2 by ivo)"),
        result.reason);
  }

  void RebaseRetriesAfterConcurrentPublish() {
    Publish(Wanted(FirstChange()), {});
    concurrent_change_ = JobChange("theirs", 2);
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

  void ChangeAppliesToTheNewestSet() {
    Publish(Wanted(FirstChange()), {});
    concurrent_change_ = JobChange("theirs", 2);
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

  void RefusedWhenTheLogNeedsNewerRules() {
    ConfigFold fold;
    config::PublishRecord record = PublishOn(fold, FirstChange());
    record.rules = 2;
    log_.Append({.id = "newer", .data = EncodePublish(record)}, {});
    CPPUNIT_ASSERT(Publish(Wanted(FirstChange()), {}).outcome ==
                   PublishOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(0, appends_);
  }

  void AppendFlowSearchesBeforeItRetries() {
    for (const bool reached : {true, false}) {
      AppendFlow flow({.stream = "work", .record = {.id = "a", .data = "x"}},
                      kStart);
      FakeLog log;
      AppendRunner runner(log, flow, kStart);
      runner.append_effects = {reached ? AppendEffect::kAnswerLost
                                       : AppendEffect::kRequestLost};
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

  void AppendFlowFindsTheRecordOfAnEarlierRun() {
    FakeLog log;
    log.Append({.id = "a", .data = "first"}, {});
    log.Append({.id = "b", .data = "other"}, {});
    AppendFlow flow({.stream = "work",
                     .record = {.id = "a", .data = "second"},
                     .search_first = true},
                    kStart);
    AppendRunner runner(log, flow, kStart);
    CPPUNIT_ASSERT_EQUAL(std::string("first"),
                         runner.Run().value_or(AppendResult{}).existing_data);
    CPPUNIT_ASSERT_EQUAL(0, runner.appends);
  }

 private:
  PublishFlowOptions Wanted(const Change& change, const Change& more = {},
                            std::optional<contracts::Offset> base = {}) {
    return {.wanted = ObjectsWith(ObjectsOf(change), more), .base = base};
  }

  ConfigFold FoldAll() {
    ConfigFold fold;
    for (const contracts::LogRecord& record : log_.all()) fold.OnRecord(record);
    return fold;
  }

  void AppendConcurrent(const Change& change) {
    const std::string id = "rival-" + std::to_string(log_.next());
    log_.Append(
        {.id = id, .data = EncodePublish(PublishOn(FoldAll(), change, "ivo"))},
        {});
  }

  PublishResult Publish(PublishFlowOptions options,
                        std::vector<AppendEffect> append_effects) {
    options.publisher = "ana";
    options.new_id = [this] { return "id-" + std::to_string(++ids_); };
    PublishFlow flow(options, kStart);
    PublishRunner runner(log_, flow, kStart);
    runner.append_effects = append_effects;
    runner.before_append = [this] {
      if (concurrent_change_.has_value()) AppendConcurrent(*concurrent_change_);
      concurrent_change_.reset();
      log_.unavailable = log_fails_at_append_;
    };
    const std::optional<PublishResult> result = runner.Run();
    appends_ = runner.appends;
    CPPUNIT_ASSERT(result.has_value());
    return result.value_or(PublishResult{});
  }

  FakeLog log_;
  int ids_ = 0;
  int appends_ = 0;
  // Another operator publishes this change just before the next append.
  std::optional<Change> concurrent_change_;
  bool log_fails_at_append_ = false;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PublishFlowTest, "publish_flow_test");

}  // namespace carobmast::operators
