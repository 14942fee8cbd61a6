#include "operators/explain.h"

#include <cppunit/extensions/HelperMacros.h>

#include "config/codec.h"
#include "config/tests/test_sets.h"

namespace carobmast::operators {
namespace {

namespace json = boost::json;

using config::Change;
using config::ConfigFold;
using config::FirstChange;
using config::JobChange;

Change WatcherChange(std::uint32_t replicas, const std::string& program) {
  Change change;
  change.put.emplace_back(
      config::StandingWorker{.name = "watcher",
                             .team = "sales",
                             .pool = "pool",
                             .program = program,
                             .replicas = replicas,
                             .task = config::SmallResources(1)});
  return change;
}

}  // namespace

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(ExplainListsReferencesAndLastChange);
  CPPUNIT_TEST(ExplainOfRemovedOrUnknownNameIsNotFound);
  CPPUNIT_TEST(DifferenceListsFieldsAndStoppedTasks);
  CPPUNIT_TEST(HistoryKeepsTheNewestEntries);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExplainListsReferencesAndLastChange() {
    Publish(FirstChange(), "ana");
    Publish(JobChange("sum", 2), "ivo");
    const json::object pool = Explain(fold_, history_, "pool");
    CPPUNIT_ASSERT_EQUAL(std::string(R"(["batch job sum"])"),
                         json::serialize(pool.at("referred_to_by")));
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"offset":1,"at":"1970-01-01T00:00:01.000Z","publisher":"ana"})"),
        json::serialize(pool.at("last_change")));
    const json::object job = Explain(fold_, history_, "sum");
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"([{"field":"team","object":"team sales"},)"
                    R"({"field":"pool","object":"vm pool pool"}])"),
        json::serialize(job.at("refers_to")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, job.at("changes").as_array().size());
  }

  void ExplainOfRemovedOrUnknownNameIsNotFound() {
    Publish(FirstChange(), "ana");
    Publish({.remove = {"sum"}}, "ivo");
    const json::object removed = Explain(fold_, history_, "sum");
    CPPUNIT_ASSERT(!removed.at("found").as_bool());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         removed.at("changes").as_array().size());
    const json::object unknown = Explain(fold_, history_, "nothing");
    CPPUNIT_ASSERT(!unknown.at("found").as_bool());
  }

  void DifferenceListsFieldsAndStoppedTasks() {
    Publish(FirstChange(), "ana");
    Publish(WatcherChange(3, "watch"), "ana");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         StoppedTasksFor(WatcherChange(2, "watch")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         StoppedTasksFor(WatcherChange(5, "watch")));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                         StoppedTasksFor(WatcherChange(5, "other")));
    config::Objects wanted = fold_.set().objects();
    PutObject(wanted, JobChange("sum", 7).put.front());
    wanted.standing_workers.clear();
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"([{"object":"batch job sum","change":"changed",)"
                    R"("fields":[{"field":"tasks","to":7}]},)"
                    R"({"object":"standing worker watcher","change":"removed",)"
                    R"("tasks_stopped":3}])"),
        json::serialize(Difference(fold_, wanted).at("changes")));
  }

  void HistoryKeepsTheNewestEntries() {
    Publish(FirstChange(), "ana");
    for (std::uint32_t tasks = 2; tasks < 8; ++tasks) {
      Publish(JobChange("sum", tasks), "ana");
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, history_.entries().size());
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{7},
                         history_.entries().back().offset);
  }

 private:
  void Publish(const Change& change, const std::string& publisher) {
    contracts::LogRecord record =
        config::RecordAt(fold_.head().through + 1, "id",
                         EncodePublish(PublishOn(fold_, change, publisher)));
    record.appended_at = WallTime(std::chrono::seconds(record.offset));
    const config::Verdict verdict = fold_.OnRecord(record);
    CPPUNIT_ASSERT_EQUAL(std::string(), verdict.reason);
    history_.Add(verdict, record);
  }

  std::uint64_t StoppedTasksFor(const Change& change) {
    config::Objects wanted = fold_.set().objects();
    for (const config::Object& object : change.put) PutObject(wanted, object);
    return Difference(fold_, wanted).at("tasks_stopped").as_uint64();
  }

  ConfigFold fold_;
  History history_{4};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ExplainTest, "explain_test");

}  // namespace carobmast::operators
