#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "config/tests/config_world.h"
#include "config/tests/test_sets.h"

namespace carobmast::config {
namespace {

// Required time for a change to come into force everywhere.
constexpr Duration kPropagationBound = std::chrono::seconds(19);

// Appends valid publishes, as an operator's command does.
class TestPublisher {
 public:
  explicit TestPublisher(ConfigSimulation& simulation)
      : simulation_(simulation) {}

  contracts::Offset Publish(const Change& change, std::uint32_t rules = 1) {
    while (fold_.head().through + 1 < simulation_.log.next()) {
      fold_.OnRecord(simulation_.log.all().at(fold_.head().through));
    }
    PublishRecord record = PublishOn(fold_, change);
    record.rules = std::max(rules, record.rules);
    const std::string id = "publish-" + std::to_string(simulation_.log.next());
    return simulation_.log.Append({.id = id, .data = EncodePublish(record)},
                                  simulation_.wall());
  }

 private:
  ConfigSimulation& simulation_;
  ConfigFold fold_{{{1, CheckChangeV1}, {2, CheckChangeV1}}};
};

bool OffsetsOnlyGrow(const ConfigSimulation::Process& process) {
  return std::is_sorted(
      process.in_force.begin(), process.in_force.end(),
      [](const Head& a, const Head& b) { return a.offset < b.offset; });
}

}  // namespace

class FollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowerTest);
  CPPUNIT_TEST(PublishReachesAllProcesses);
  CPPUNIT_TEST(NothingIsInForceBeforeTheFirstSet);
  CPPUNIT_TEST(SetStaysInForceDuringLongLogOutage);
  CPPUNIT_TEST(RestartDuringOutageFetchesNewestSetFromPeers);
  CPPUNIT_TEST(FullRestartDuringOutageLeavesNoSetInForce);
  CPPUNIT_TEST(ZoneWithoutLogFetchesSetFromPeers);
  CPPUNIT_TEST(PartitionedZoneKeepsItsSetAndCatchesUp);
  CPPUNIT_TEST(RestartInPartitionedZoneFetchesSetFromZonePeers);
  CPPUNIT_TEST(SlowLogAndLostAnswersKeepPropagationBound);
  CPPUNIT_TEST(CompactionIsWrittenBeforeRetentionEnds);
  CPPUNIT_TEST(ReaderBehindExpiryResumesFromCompaction);
  CPPUNIT_TEST(LargeSetIsFetchedInPages);
  CPPUNIT_TEST(RequestFromFailedPeerEndsItsBackoff);
  CPPUNIT_TEST(OlderProgramStopsAtUnknownRulesAndReportsIt);
  CPPUNIT_TEST(OlderProgramDoesNotAdoptSetOfUnknownRules);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PublishReachesAllProcesses() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(publisher.Publish(FirstChange()),
                                              kPropagationBound));
    CPPUNIT_ASSERT(simulation.RunUntilInForce(
        publisher.Publish(JobChange("sum", 2)), kPropagationBound));
  }

  void NothingIsInForceBeforeTheFirstSet() {
    ConfigSimulation simulation({});
    simulation.RunFor(std::chrono::seconds(30));
    CPPUNIT_ASSERT(!simulation.process(0).core->in_force());
  }

  void SetStaysInForceDuringLongLogOutage() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
    simulation.log.unavailable = true;
    simulation.RunFor(std::chrono::hours(2));
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, Duration::zero()));
    CPPUNIT_ASSERT(
        !simulation.process(0).core->IsLogAvailable(simulation.now()));
    const contracts::Offset second = publisher.Publish(JobChange("sum", 2));
    simulation.log.unavailable = false;
    CPPUNIT_ASSERT(simulation.RunUntilInForce(second, kPropagationBound));
  }

  void RestartDuringOutageFetchesNewestSetFromPeers() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(publisher.Publish(FirstChange()),
                                              kPropagationBound));
    // Only process 1 has read the newest set when the log becomes unavailable.
    for (std::size_t i = 0; i < simulation.size(); ++i) {
      simulation.CutFromLog(i, i != 1);
    }
    const contracts::Offset newest = publisher.Publish(JobChange("sum", 2));
    simulation.RunFor(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(newest, simulation.process(1).core->head().offset);
    simulation.log.unavailable = true;
    simulation.Start(0);
    simulation.RunFor(kPropagationBound);
    CPPUNIT_ASSERT_EQUAL(newest, simulation.process(0).in_force.front().offset);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(newest, kPropagationBound));
    // A rolling restart of all processes keeps the set.
    for (std::size_t i = 0; i < simulation.size(); ++i) {
      simulation.Start(i);
      simulation.RunFor(kPropagationBound);
      CPPUNIT_ASSERT_EQUAL(newest, simulation.process(i).core->head().offset);
    }
  }

  void FullRestartDuringOutageLeavesNoSetInForce() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
    simulation.log.unavailable = true;
    for (std::size_t i = 0; i < simulation.size(); ++i) simulation.Start(i);
    simulation.RunFor(std::chrono::minutes(5));
    for (std::size_t i = 0; i < simulation.size(); ++i) {
      CPPUNIT_ASSERT(!simulation.process(i).core->in_force());
    }
    simulation.log.unavailable = false;
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
  }

  void ZoneWithoutLogFetchesSetFromPeers() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(publisher.Publish(FirstChange()),
                                              kPropagationBound));
    for (const std::size_t i : {0, 3}) simulation.CutFromLog(i, true);
    simulation.RunFor(std::chrono::minutes(1));
    const contracts::Offset second = publisher.Publish(JobChange("sum", 2));
    CPPUNIT_ASSERT(simulation.RunUntilInForce(second, kPropagationBound));
    CPPUNIT_ASSERT(simulation.process(0).core->counters().sets_from_peers > 0);
  }

  void PartitionedZoneKeepsItsSetAndCatchesUp() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
    simulation.CutZone(0, true);
    for (const std::size_t i : {0, 3}) simulation.CutFromLog(i, true);
    const contracts::Offset second = publisher.Publish(JobChange("sum", 2));
    simulation.RunFor(std::chrono::minutes(10));
    CPPUNIT_ASSERT_EQUAL(first, simulation.process(0).core->head().offset);
    CPPUNIT_ASSERT_EQUAL(second, simulation.process(1).core->head().offset);
    // The links to other zones recover before the log does.
    simulation.CutZone(0, false);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(second, kPropagationBound));
  }

  void RestartInPartitionedZoneFetchesSetFromZonePeers() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
    simulation.CutZone(0, true);
    for (const std::size_t i : {0, 3}) simulation.CutFromLog(i, true);
    simulation.Start(0);
    simulation.RunFor(kPropagationBound);
    CPPUNIT_ASSERT_EQUAL(first, simulation.process(0).core->head().offset);
  }

  void SlowLogAndLostAnswersKeepPropagationBound() {
    ConfigSimulation simulation({.seed = 7});
    simulation.lose_answers = true;
    simulation.log_delay = std::chrono::milliseconds(1500);
    TestPublisher publisher(simulation);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(publisher.Publish(FirstChange()),
                                              kPropagationBound));
    for (std::uint32_t tasks = 2; tasks < 12; ++tasks) {
      const contracts::Offset offset =
          publisher.Publish(JobChange("sum", tasks));
      CPPUNIT_ASSERT(simulation.RunUntilInForce(offset, kPropagationBound));
    }
    for (std::size_t i = 0; i < simulation.size(); ++i) {
      CPPUNIT_ASSERT(OffsetsOnlyGrow(simulation.process(i)));
    }
  }

  void CompactionIsWrittenBeforeRetentionEnds() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
    simulation.RunFor(std::chrono::minutes(90));
    CPPUNIT_ASSERT(simulation.log.next() > 2);
    simulation.log.Expire(2);
    for (std::size_t i = 0; i < simulation.size(); ++i) simulation.Kill(i);
    simulation.Start(0);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
    // The random delay keeps most processes from writing one as well.
    CPPUNIT_ASSERT(simulation.log.next() <= 4);
  }

  void ReaderBehindExpiryResumesFromCompaction() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(publisher.Publish(FirstChange()),
                                              kPropagationBound));
    simulation.CutFromLog(0, true);
    for (const std::size_t zone : {0, 1, 2}) simulation.CutZone(zone, true);
    simulation.CutFromLog(3, true);
    publisher.Publish(JobChange("sum", 2));
    simulation.RunFor(std::chrono::minutes(90));
    simulation.log.Expire(3);
    const contracts::Offset newest = publisher.Publish(JobChange("sum", 3));
    CPPUNIT_ASSERT_EQUAL(contracts::Offset{1},
                         simulation.process(0).core->head().offset);
    simulation.CutFromLog(0, false);
    simulation.CutFromLog(3, false);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(newest, kPropagationBound));
    CPPUNIT_ASSERT(OffsetsOnlyGrow(simulation.process(0)));
  }

  void LargeSetIsFetchedInPages() {
    ConfigSimulation simulation({});
    TestPublisher publisher(simulation);
    Change change = FirstChange();
    for (int i = 0; i < 10'000; ++i) {
      Change job = JobChange("job-" + std::to_string(i), 2);
      change.put.push_back(std::move(job.put.front()));
    }
    const contracts::Offset first = publisher.Publish(change);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
    simulation.log.unavailable = true;
    simulation.Start(0);
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10'003},
                         simulation.process(0).core->fold().set().size());
  }

  void RequestFromFailedPeerEndsItsBackoff() {
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

  void OlderProgramStopsAtUnknownRulesAndReportsIt() {
    ConfigSimulation simulation({.first_with_rules_2 = 3});
    TestPublisher publisher(simulation);
    const contracts::Offset first = publisher.Publish(FirstChange());
    CPPUNIT_ASSERT(simulation.RunUntilInForce(first, kPropagationBound));
    const contracts::Offset second = publisher.Publish(JobChange("sum", 2), 2);
    simulation.RunFor(kPropagationBound);
    CPPUNIT_ASSERT_EQUAL(first, simulation.process(0).core->head().offset);
    const std::optional<Verdict>& stopped =
        simulation.process(0).core->fold().stopped();
    CPPUNIT_ASSERT_EQUAL(second, stopped.value_or(Verdict{}).offset);
    CPPUNIT_ASSERT_EQUAL(second, simulation.process(3).core->head().offset);
  }

  void OlderProgramDoesNotAdoptSetOfUnknownRules() {
    ConfigSimulation simulation({.first_with_rules_2 = 3});
    TestPublisher publisher(simulation);
    publisher.Publish(FirstChange());
    publisher.Publish(JobChange("sum", 2), 2);
    simulation.RunFor(kPropagationBound);
    simulation.Start(0);
    simulation.RunFor(kPropagationBound);
    CPPUNIT_ASSERT(!simulation.process(0).core->in_force());
    CPPUNIT_ASSERT(simulation.process(3).core->in_force());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FollowerTest, "follower_test");

}  // namespace carobmast::config
