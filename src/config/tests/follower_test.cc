#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "config/tests/config_world.h"
#include "config/tests/test_sets.h"

namespace carobmast::config {
namespace {

// The users' bound for a change to be in force everywhere.
constexpr Duration kBound = std::chrono::seconds(19);

// Appends publishes that are accepted, as an operator's command does.
class TestPublisher {
 public:
  explicit TestPublisher(ConfigWorld& world) : world_(world) {}

  contracts::Offset Publish(const Change& change, std::uint32_t rules = 1) {
    while (fold_.head().through + 1 < world_.log.next()) {
      fold_.OnRecord(world_.log.all().at(fold_.head().through));
    }
    PublishRecord record = PublishOn(fold_, change);
    record.rules = std::max(rules, record.rules);
    const std::string id = "publish-" + std::to_string(world_.log.next());
    return world_.log.Append({.id = id, .data = EncodePublish(record)},
                             world_.wall());
  }

 private:
  ConfigWorld& world_;
  ConfigFold fold_{{{1, CheckChangeV1}, {2, CheckChangeV1}}};
};

bool NeverStepsBack(const ConfigWorld::Process& process) {
  return std::is_sorted(
      process.in_force.begin(), process.in_force.end(),
      [](const Head& a, const Head& b) { return a.offset < b.offset; });
}

}  // namespace

class FollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowerTest);
  CPPUNIT_TEST(PublishIsInForceEverywhere);
  CPPUNIT_TEST(NothingIsInForceBeforeTheFirstSet);
  CPPUNIT_TEST(LongOutageKeepsTheSet);
  CPPUNIT_TEST(RestartDuringOutageTakesTheNewestOfItsPeers);
  CPPUNIT_TEST(AllReplacedDuringOutageHaveNone);
  CPPUNIT_TEST(ZoneCutFromTheLogGetsTheSetFromPeers);
  CPPUNIT_TEST(ZoneCutOffKeepsItsSetAndCatchesUp);
  CPPUNIT_TEST(RestartInACutZoneTakesWhatTheZoneHas);
  CPPUNIT_TEST(SlowLogAndLostAnswers);
  CPPUNIT_TEST(CompactionIsWrittenBeforeRetentionEnds);
  CPPUNIT_TEST(ReaderThatFellBehindResumes);
  CPPUNIT_TEST(LargeSetComesInPages);
  CPPUNIT_TEST(PeerThatAsksIsAskedAtOnce);
  CPPUNIT_TEST(OlderProgramStopsAndSaysSo);
  CPPUNIT_TEST(OlderProgramThatStartsTakesNoSetItCannotRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PublishIsInForceEverywhere() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    CPPUNIT_ASSERT(
        world.RunUntilInForce(publisher.Publish(FirstChange()), kBound));
    CPPUNIT_ASSERT(
        world.RunUntilInForce(publisher.Publish(JobChange("sum", 2)), kBound));
  }

  void NothingIsInForceBeforeTheFirstSet() {
    ConfigWorld world({});
    world.RunFor(std::chrono::seconds(30));
    CPPUNIT_ASSERT(!world.process(0).core->in_force());
  }

  void LongOutageKeepsTheSet() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
    world.log.out = true;
    world.RunFor(std::chrono::hours(2));
    CPPUNIT_ASSERT(world.RunUntilInForce(first, Duration::zero()));
    CPPUNIT_ASSERT(!world.process(0).core->IsLogAvailable(world.now()));
    const contracts::Offset second = publisher.Publish(JobChange("sum", 2));
    world.log.out = false;
    CPPUNIT_ASSERT(world.RunUntilInForce(second, kBound));
  }

  void RestartDuringOutageTakesTheNewestOfItsPeers() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    CPPUNIT_ASSERT(
        world.RunUntilInForce(publisher.Publish(FirstChange()), kBound));
    // Process 1 alone has read the newest set when the log goes out.
    for (std::size_t i = 0; i < world.size(); ++i) world.CutFromLog(i, i != 1);
    const contracts::Offset newest = publisher.Publish(JobChange("sum", 2));
    world.RunFor(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(newest, world.process(1).core->head().offset);
    world.log.out = true;
    world.Start(0);
    world.RunFor(kBound);
    CPPUNIT_ASSERT_EQUAL(newest, world.process(0).in_force.front().offset);
    CPPUNIT_ASSERT(world.RunUntilInForce(newest, kBound));
    // All are replaced one after the other; the set stays.
    for (std::size_t i = 0; i < world.size(); ++i) {
      world.Start(i);
      world.RunFor(kBound);
      CPPUNIT_ASSERT_EQUAL(newest, world.process(i).core->head().offset);
    }
  }

  void AllReplacedDuringOutageHaveNone() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
    world.log.out = true;
    for (std::size_t i = 0; i < world.size(); ++i) world.Start(i);
    world.RunFor(std::chrono::minutes(5));
    for (std::size_t i = 0; i < world.size(); ++i) {
      CPPUNIT_ASSERT(!world.process(i).core->in_force());
    }
    world.log.out = false;
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
  }

  void ZoneCutFromTheLogGetsTheSetFromPeers() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    CPPUNIT_ASSERT(
        world.RunUntilInForce(publisher.Publish(FirstChange()), kBound));
    for (const std::size_t i : {0, 3}) world.CutFromLog(i, true);
    world.RunFor(std::chrono::minutes(1));
    const contracts::Offset second = publisher.Publish(JobChange("sum", 2));
    CPPUNIT_ASSERT(world.RunUntilInForce(second, kBound));
    CPPUNIT_ASSERT(world.process(0).core->counters().sets_from_peers > 0);
  }

  void ZoneCutOffKeepsItsSetAndCatchesUp() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
    world.CutZone(0, true);
    for (const std::size_t i : {0, 3}) world.CutFromLog(i, true);
    const contracts::Offset second = publisher.Publish(JobChange("sum", 2));
    world.RunFor(std::chrono::minutes(10));
    CPPUNIT_ASSERT_EQUAL(first, world.process(0).core->head().offset);
    CPPUNIT_ASSERT_EQUAL(second, world.process(1).core->head().offset);
    // The links come back before the log does.
    world.CutZone(0, false);
    CPPUNIT_ASSERT(world.RunUntilInForce(second, kBound));
  }

  void RestartInACutZoneTakesWhatTheZoneHas() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
    world.CutZone(0, true);
    for (const std::size_t i : {0, 3}) world.CutFromLog(i, true);
    world.Start(0);
    world.RunFor(kBound);
    CPPUNIT_ASSERT_EQUAL(first, world.process(0).core->head().offset);
  }

  void SlowLogAndLostAnswers() {
    ConfigWorld world({.seed = 7});
    world.lose_answers = true;
    world.log_delay = std::chrono::milliseconds(1500);
    TestPublisher publisher(world);
    CPPUNIT_ASSERT(
        world.RunUntilInForce(publisher.Publish(FirstChange()), kBound));
    for (std::uint32_t tasks = 2; tasks < 12; ++tasks) {
      const contracts::Offset offset =
          publisher.Publish(JobChange("sum", tasks));
      CPPUNIT_ASSERT(world.RunUntilInForce(offset, kBound));
    }
    for (std::size_t i = 0; i < world.size(); ++i) {
      CPPUNIT_ASSERT(NeverStepsBack(world.process(i)));
    }
  }

  void CompactionIsWrittenBeforeRetentionEnds() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
    world.RunFor(std::chrono::minutes(90));
    CPPUNIT_ASSERT(world.log.next() > 2);
    world.log.Expire(2);
    for (std::size_t i = 0; i < world.size(); ++i) world.Kill(i);
    world.Start(0);
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
    // It is written by few, not by all, of the processes.
    CPPUNIT_ASSERT(world.log.next() <= 4);
  }

  void ReaderThatFellBehindResumes() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    CPPUNIT_ASSERT(
        world.RunUntilInForce(publisher.Publish(FirstChange()), kBound));
    world.CutFromLog(0, true);
    for (const std::size_t zone : {0, 1, 2}) world.CutZone(zone, true);
    world.CutFromLog(3, true);
    publisher.Publish(JobChange("sum", 2));
    world.RunFor(std::chrono::minutes(90));
    world.log.Expire(3);
    const contracts::Offset newest = publisher.Publish(JobChange("sum", 3));
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1},
                         world.process(0).core->head().offset);
    world.CutFromLog(0, false);
    world.CutFromLog(3, false);
    CPPUNIT_ASSERT(world.RunUntilInForce(newest, kBound));
    CPPUNIT_ASSERT(NeverStepsBack(world.process(0)));
  }

  void LargeSetComesInPages() {
    ConfigWorld world({});
    TestPublisher publisher(world);
    Change change = FirstChange();
    for (int i = 0; i < 10'000; ++i) {
      Change job = JobChange("job-" + std::to_string(i), 2);
      change.put.push_back(std::move(job.put.front()));
    }
    const contracts::Offset first = publisher.Publish(change);
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
    world.log.out = true;
    world.Start(0);
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10'003},
                         world.process(0).core->fold().set().size());
  }

  void PeerThatAsksIsAskedAtOnce() {
    MonotonicTime now(std::chrono::hours(1));
    FollowerCore core({.name = "a", .peers = {{.name = "b", .zone = "z"}}},
                      now);
    now += std::chrono::minutes(1);
    CPPUNIT_ASSERT(core.NextPeerCall(now).action == PeerStep::Action::kHead);
    core.OnPeerError(now, 0);
    CPPUNIT_ASSERT(core.NextPeerCall(now).action == PeerStep::Action::kWait);
    core.OnHeadRequest(now, {.process = "b", .head = {.offset = 5}});
    CPPUNIT_ASSERT(core.NextPeerCall(now).action == PeerStep::Action::kFetch);
  }

  void OlderProgramStopsAndSaysSo() {
    ConfigWorld world({.first_with_rules_2 = 3});
    TestPublisher publisher(world);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(world.RunUntilInForce(first, kBound));
    const contracts::Offset second = publisher.Publish(JobChange("sum", 2), 2);
    world.RunFor(kBound);
    CPPUNIT_ASSERT_EQUAL(first, world.process(0).core->head().offset);
    const std::optional<Verdict>& stopped =
        world.process(0).core->fold().stopped();
    CPPUNIT_ASSERT_EQUAL(second, stopped.value_or(Verdict{}).offset);
    CPPUNIT_ASSERT_EQUAL(second, world.process(3).core->head().offset);
  }

  void OlderProgramThatStartsTakesNoSetItCannotRead() {
    ConfigWorld world({.first_with_rules_2 = 3});
    TestPublisher publisher(world);
    publisher.Publish(FirstChange());
    publisher.Publish(JobChange("sum", 2), 2);
    world.RunFor(kBound);
    world.Start(0);
    world.RunFor(kBound);
    CPPUNIT_ASSERT(!world.process(0).core->in_force());
    CPPUNIT_ASSERT(world.process(3).core->in_force());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FollowerTest, "follower_test");

}  // namespace carobmast::config
