// Runs random faults on the fake cluster and checks the guarantees to callers:
// a request that may be executed only once is not executed twice, what callers
// are told about the execution is true, and each answer is complete and belongs
// to the request.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "requests/fakes/fake_cluster.h"

namespace carobmast::requests::fakes {

namespace {

enum class StepKind {
  kSend,
  kSendMany,
  kRepeat,
  kMode,
  kSlowness,
  kLeave,
  kRejoin,
  kPause,
  kResume,
  kRestart,
  kPartition,
  kHeal,
  kLog,
  kWait,
};
constexpr int kStepKinds = 14;
constexpr int kModes = 6;
constexpr int kLogModes = 3;

// One event of a scenario. `target_choice` and `value_choice` are random
// numbers; their remainders choose the gateway or instance and the parameter.
struct Step {
  StepKind kind = StepKind::kSend;
  unsigned target_choice = 0;
  unsigned value_choice = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.kind) << "," << step.target_choice
             << "," << step.value_choice << "}";
}

rc::Gen<Step> GenerateStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind,
                   rc::gen::map(rc::gen::inRange(0, kStepKinds + 8),
                                [](int kind) {
                                  // Sending is more frequent than the other
                                  // events.
                                  return kind < kStepKinds
                                             ? static_cast<StepKind>(kind)
                                             : StepKind::kSendMany;
                                })),
      rc::gen::set(&Step::target_choice, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Step::value_choice, rc::gen::inRange(0U, 1000U)));
}

std::string FromEnvironment(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

constexpr std::size_t kInstances = 6;
constexpr std::size_t kGateways = 4;
constexpr Duration kDeadline = std::chrono::milliseconds(800);
// Time after the last fault; longer than any deadline, back-off or ejection.
constexpr Duration kRecovery = std::chrono::seconds(60);
// Time after which a leaving instance gets no new requests.
constexpr Duration kLeaveGrace = std::chrono::seconds(2);

// Runs steps on a fake cluster.
class Scenario {
 public:
  explicit Scenario(const std::string& policy)
      : cluster_({.gateways = kGateways,
                  .instances = kInstances,
                  .slots = 2,
                  .connections = 16,
                  .deadline = kDeadline,
                  .policy = policy,
                  .keys = true,
                  .on_outcome = [this](const Outcome& outcome) {
                    outcomes_.push_back(outcome);
                  }}) {}

  void Run(const Step& step) {
    const std::size_t gateway = step.target_choice % kGateways;
    const std::size_t instance = step.target_choice % kInstances;
    switch (step.kind) {
      case StepKind::kSend:
        return Send(gateway, step.value_choice);
      case StepKind::kSendMany:
        for (unsigned i = 0; i < 8; ++i) {
          Send((gateway + i) % kGateways, step.value_choice + i);
        }
        return;
      case StepKind::kRepeat:
        return Repeat(gateway, step.value_choice);
      case StepKind::kMode:
        return cluster_.SetMode(
            instance, static_cast<InstanceMode>(step.value_choice % kModes));
      case StepKind::kSlowness:
        return cluster_.SetSlowness(instance, 1 + step.value_choice % 50);
      case StepKind::kLeave:
        return cluster_.SetLeaving(instance, true);
      case StepKind::kRejoin:
        // The list no longer marks it as leaving; a gateway that has seen the
        // mark keeps it.
        return cluster_.SetLeaving(instance, false);
      case StepKind::kPause:
        return cluster_.Pause(gateway);
      case StepKind::kResume:
        return cluster_.Resume(gateway);
      case StepKind::kRestart:
        return cluster_.Restart(gateway);
      case StepKind::kPartition:
        return cluster_.Partition(cluster_.ZoneOfInstance(instance));
      case StepKind::kHeal:
        return cluster_.Heal(cluster_.ZoneOfInstance(instance));
      case StepKind::kLog:
        return cluster_.log().SetMode(
            static_cast<LogMode>(step.value_choice % kLogModes));
      case StepKind::kWait:
        return Wait(std::chrono::milliseconds(step.value_choice % 400));
    }
  }

  void Wait(Duration time) {
    cluster_.time().RunUntil(cluster_.time().now() + time);
  }

  // Ends all faults, and lets all requests end.
  void Recover() {
    cluster_.log().SetMode(LogMode::kHealthy);
    for (const std::string& zone : cluster_.options().zones) {
      cluster_.Heal(zone);
    }
    for (std::size_t i = 0; i < kGateways; ++i) cluster_.Resume(i);
    for (std::size_t i = 0; i < kInstances; ++i) {
      cluster_.SetMode(i, InstanceMode::kHealthy);
      cluster_.SetSlowness(i, 1);
    }
    Wait(kRecovery);
  }

  void CheckGuarantees() {
    for (const std::string& violation : cluster_.violations()) {
      RC_FAIL(violation);
    }
    RC_ASSERT(cluster_.pending_callers() == 0U);
    for (std::size_t i = 0; i < kGateways; ++i) {
      RC_ASSERT(cluster_.core(i).in_flight() == 0U);
    }
  }

  // Checks that each gateway answers a request once the leaving instances are
  // replaced.
  void CheckServesAll() {
    for (std::size_t i = 0; i < kInstances; ++i) cluster_.SetLeaving(i, false);
    // A gateway that saw an instance leaving avoids it until it restarts.
    for (std::size_t i = 0; i < kGateways; ++i) cluster_.Restart(i);
    outcomes_.clear();
    for (std::size_t i = 0; i < kGateways; ++i) Send(i, 1);
    Wait(std::chrono::seconds(2));
    RC_ASSERT(outcomes_.size() == kGateways);
    for (const Outcome& outcome : outcomes_) RC_ASSERT(outcome.whole);
  }

  void CheckLeavingGetNothing() {
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < kInstances; ++i) {
      cluster_.SetLeaving(i, i % 2 == 0);
    }
    Wait(kLeaveGrace);
    for (std::size_t i = 0; i < kInstances; i += 2) {
      before.push_back(cluster_.requests_after_leaving(i));
    }
    for (unsigned i = 0; i < 100; ++i) Send(i % kGateways, i);
    Wait(std::chrono::seconds(2));
    for (std::size_t i = 0; i < kInstances; i += 2) {
      RC_ASSERT(cluster_.requests_after_leaving(i) == before[i / 2]);
    }
  }

 private:
  void Send(std::size_t gateway, unsigned choice) {
    Work work{.number = ++last_work_,
              .operation = choice % 3 == 0 ? "POST /uploads" : "GET /checks",
              .idempotent = choice % 3 != 0,
              .length = std::chrono::milliseconds(1 + choice % 60)};
    // Two thirds of the requests that may be executed only once have a key.
    if (!work.idempotent && choice % 9 != 0) {
      work.key = "key-" + std::to_string(work.number);
      keyed_.push_back(work);
    }
    cluster_.Send(gateway, work);
  }

  void Repeat(std::size_t gateway, unsigned choice) {
    if (keyed_.empty()) return;
    cluster_.Send(gateway, keyed_[choice % keyed_.size()]);
  }

  std::vector<Outcome> outcomes_;
  FakeCluster cluster_;
  std::vector<Work> keyed_;
  std::uint64_t last_work_ = 0;
};

}  // namespace

class RequestsFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestsFuzzTest);
  CPPUNIT_TEST(KeepsGuaranteesLeastOutstanding);
  CPPUNIT_TEST(KeepsGuaranteesHomed);
  CPPUNIT_TEST(KeepsGuaranteesRoundRobin);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    // RapidCheck reads its parameters only once, so they are set before the
    // first check.
    const std::string parameters =
        "seed=" + FromEnvironment("CAROBMAST_SEED", "20261204") +
        " max_success=" + FromEnvironment("CAROBMAST_RUNS", "150") +
        " max_size=120";
    setenv("RC_PARAMS", parameters.c_str(), 1);
    std::cout << " " << parameters << " ";
  }

  void KeepsGuaranteesLeastOutstanding() {
    KeepsGuarantees("least_outstanding");
  }
  void KeepsGuaranteesHomed() { KeepsGuarantees("homed"); }
  void KeepsGuaranteesRoundRobin() { KeepsGuarantees("round_robin"); }

 private:
  static void KeepsGuarantees(const std::string& policy) {
    CPPUNIT_ASSERT(rc::check("guarantees under " + policy, [policy] {
      const std::vector<Step> steps =
          *rc::gen::container<std::vector<Step>>(GenerateStep());
      Scenario scenario(policy);
      for (const Step& step : steps) {
        scenario.Run(step);
        scenario.Wait(std::chrono::milliseconds(step.target_choice % 20));
      }
      scenario.Recover();
      scenario.CheckGuarantees();
      scenario.CheckServesAll();
      scenario.CheckLeavingGetNothing();
      scenario.CheckGuarantees();
    }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RequestsFuzzTest, "requests_fuzz_test");

}  // namespace carobmast::requests::fakes
