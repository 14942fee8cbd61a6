// Random faults against the oracle of the fake cluster: ran at most once, told
// the truth, got a whole answer, and its own.
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
  kReturn,
  kPause,
  kResume,
  kRestart,
  kCut,
  kHeal,
  kLog,
  kWait,
};
constexpr int kStepKinds = 14;
constexpr int kModes = 6;
constexpr int kLogModes = 3;

// One thing that happens; `a` and `b` choose among what there is.
struct Step {
  StepKind kind = StepKind::kSend;
  unsigned a = 0;
  unsigned b = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.kind) << "," << step.a << ","
             << step.b << "}";
}

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind,
                   rc::gen::map(rc::gen::inRange(0, kStepKinds + 8),
                                [](int kind) {
                                  // Sending is more frequent than the rest.
                                  return kind < kStepKinds
                                             ? static_cast<StepKind>(kind)
                                             : StepKind::kSendMany;
                                })),
      rc::gen::set(&Step::a, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Step::b, rc::gen::inRange(0U, 1000U)));
}

std::string FromEnvironment(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

constexpr std::size_t kInstances = 6;
constexpr std::size_t kGateways = 4;
constexpr Duration kDeadline = std::chrono::milliseconds(800);
// After the last fault: longer than any deadline, back-off or ejection.
constexpr Duration kRecovery = std::chrono::seconds(60);
// A leaving instance gets nothing new after this time.
constexpr Duration kLeaveGrace = std::chrono::seconds(2);

// Runs the steps on a cluster.
class Play {
 public:
  explicit Play(const std::string& policy)
      : cluster_({.gateways = kGateways,
                  .instances = kInstances,
                  .slots = 2,
                  .connections = 16,
                  .deadline = kDeadline,
                  .policy = policy,
                  .keys = true,
                  .on_outcome = [this](const Outcome& outcome) {
                    ended_.push_back(outcome);
                  }}) {}

  void Run(const Step& step) {
    const std::size_t gateway = step.a % kGateways;
    const std::size_t instance = step.a % kInstances;
    switch (step.kind) {
      case StepKind::kSend:
        return Send(gateway, step.b);
      case StepKind::kSendMany:
        for (unsigned i = 0; i < 8; ++i) {
          Send((gateway + i) % kGateways, step.b + i);
        }
        return;
      case StepKind::kRepeat:
        return Repeat(gateway, step.b);
      case StepKind::kMode:
        return cluster_.SetMode(instance,
                                static_cast<InstanceMode>(step.b % kModes));
      case StepKind::kSlowness:
        return cluster_.SetSlowness(instance, 1 + step.b % 50);
      case StepKind::kLeave:
        return cluster_.SetLeaving(instance, true);
      case StepKind::kReturn:
        // The list forgets it; a gateway that was told does not.
        return cluster_.SetLeaving(instance, false);
      case StepKind::kPause:
        return cluster_.Pause(gateway);
      case StepKind::kResume:
        return cluster_.Resume(gateway);
      case StepKind::kRestart:
        return cluster_.Restart(gateway);
      case StepKind::kCut:
        return cluster_.Cut(cluster_.ZoneOfInstance(instance));
      case StepKind::kHeal:
        return cluster_.Heal(cluster_.ZoneOfInstance(instance));
      case StepKind::kLog:
        return cluster_.log().SetMode(static_cast<LogMode>(step.b % kLogModes));
      case StepKind::kWait:
        return Wait(std::chrono::milliseconds(step.b % 400));
    }
  }

  void Wait(Duration time) {
    cluster_.time().RunUntil(cluster_.time().now() + time);
  }

  // Ends all faults, and lets everything end.
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

  void CheckEnd() {
    for (const std::string& violation : cluster_.violations()) {
      RC_FAIL(violation);
    }
    RC_ASSERT(cluster_.callers_waiting() == 0U);
    for (std::size_t i = 0; i < kGateways; ++i) {
      RC_ASSERT(cluster_.core(i).in_flight() == 0U);
    }
  }

  // New instances in place of those that left, and a request at each gateway.
  void CheckServes() {
    for (std::size_t i = 0; i < kInstances; ++i) cluster_.SetLeaving(i, false);
    // What a gateway holds for leaving stays so until it is replaced.
    for (std::size_t i = 0; i < kGateways; ++i) cluster_.Restart(i);
    ended_.clear();
    for (std::size_t i = 0; i < kGateways; ++i) Send(i, 1);
    Wait(std::chrono::seconds(2));
    RC_ASSERT(ended_.size() == kGateways);
    for (const Outcome& outcome : ended_) RC_ASSERT(outcome.whole);
  }

  void CheckLeaving() {
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < kInstances; ++i) {
      cluster_.SetLeaving(i, i % 2 == 0);
    }
    Wait(kLeaveGrace);
    for (std::size_t i = 0; i < kInstances; i += 2) {
      before.push_back(cluster_.after_leaving(i));
    }
    for (unsigned i = 0; i < 100; ++i) Send(i % kGateways, i);
    Wait(std::chrono::seconds(2));
    for (std::size_t i = 0; i < kInstances; i += 2) {
      RC_ASSERT(cluster_.after_leaving(i) == before[i / 2]);
    }
  }

 private:
  void Send(std::size_t gateway, unsigned choice) {
    Work work{.number = ++last_work_,
              .operation = choice % 3 == 0 ? "POST /uploads" : "GET /checks",
              .idempotent = choice % 3 != 0,
              .length = std::chrono::milliseconds(1 + choice % 60)};
    // Two of three that may run only once carry a key.
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

  std::vector<Outcome> ended_;
  FakeCluster cluster_;
  std::vector<Work> keyed_;
  std::uint64_t last_work_ = 0;
};

}  // namespace

class RequestsFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestsFuzzTest);
  CPPUNIT_TEST(KeepsPromisesLeastOutstanding);
  CPPUNIT_TEST(KeepsPromisesHomed);
  CPPUNIT_TEST(KeepsPromisesRoundRobin);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    // RapidCheck reads its parameters once.
    const std::string parameters =
        "seed=" + FromEnvironment("CAROBMAST_SEED", "20261204") +
        " max_success=" + FromEnvironment("CAROBMAST_RUNS", "150") +
        " max_size=120";
    setenv("RC_PARAMS", parameters.c_str(), 1);
    std::cout << " " << parameters << " ";
  }

  void KeepsPromisesLeastOutstanding() { KeepsPromises("least_outstanding"); }
  void KeepsPromisesHomed() { KeepsPromises("homed"); }
  void KeepsPromisesRoundRobin() { KeepsPromises("round_robin"); }

 private:
  static void KeepsPromises(const std::string& policy) {
    CPPUNIT_ASSERT(rc::check("promises under " + policy, [policy] {
      const std::vector<Step> steps =
          *rc::gen::container<std::vector<Step>>(AnyStep());
      Play play(policy);
      for (const Step& step : steps) {
        play.Run(step);
        play.Wait(std::chrono::milliseconds(step.a % 20));
      }
      play.Recover();
      play.CheckEnd();
      play.CheckServes();
      play.CheckLeaving();
      play.CheckEnd();
    }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RequestsFuzzTest, "requests_fuzz_test");

}  // namespace carobmast::requests::fakes
