// Random faults in two zones with four schedulers. Checked against what the
// workers executed: exclusive tasks run in one place, no worker exceeds its
// capacity, no attempt is started twice, and no task is started after its
// result. After all faults have ended, everything that is wanted must run and
// every accepted job must end.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

#include "work/tests/scenario.h"

namespace carobmast::work {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr char kDefaultSeed[] = "20261204";
constexpr char kDefaultNumRuns[] = "60";
constexpr std::uint32_t kNumWatchers = 5;

enum class Fault {
  kNothing,
  kSubmit,
  kCancel,
  kKillScheduler,
  kStopScheduler,
  kPauseScheduler,
  kReplaceAll,
  kCutWorker,
  kCutLog,
  kCutZone,
  kZombie,
  kLogOutage,
  kVmListOutage,
  kLostAnswers,
  kLateCommands,
  kLostAppends,
  kKillWorker,
  kPauseWorker,
  kLeaveWorker,
  kHealNetwork,
  kCount,
};

constexpr const char* kFaultNames[] = {
    "nothing",        "submit",          "cancel",        "kill scheduler",
    "stop scheduler", "pause scheduler", "replace all",   "cut worker",
    "cut log",        "cut zone",        "zombie",        "log outage",
    "VM list outage", "lost answers",    "late commands", "lost appends",
    "kill worker",    "pause worker",    "leave worker",  "heal network"};

// One fault, its targets, and its length and the wait until the next fault in
// seconds.
struct Step {
  Fault fault = Fault::kNothing;
  int target = 0;
  int other = 0;
  int length = 0;
  int wait = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << kFaultNames[static_cast<int>(step.fault)] << "(" << step.target
             << "," << step.other << "," << step.length << "s), " << step.wait
             << "s";
}

rc::Gen<Fault> AnyFault() {
  return rc::gen::map(rc::gen::inRange(0, static_cast<int>(Fault::kCount)),
                      [](int fault) { return static_cast<Fault>(fault); });
}

// Draws from the full ranges, also in the early cases, for which RapidCheck
// uses a small size.
rc::Gen<Step> AnyStep() {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<Step>(
          rc::gen::set(
              &Step::fault,
              rc::gen::weightedOneOf<Fault>(
                  {{3, AnyFault()},
                   {1, rc::gen::element(Fault::kZombie, Fault::kKillWorker)}})),
          rc::gen::set(&Step::target, rc::gen::inRange(0, 100)),
          rc::gen::set(&Step::other, rc::gen::inRange(0, 1 << 16)),
          rc::gen::set(&Step::length, rc::gen::inRange(1, 90)),
          rc::gen::set(&Step::wait, rc::gen::inRange(0, 30))));
}

// With FencingMode::kLeases, safety relies on a maximum delay of messages
// (SchedulerOptions::max_command_delay), which includes the pauses of a worker.
constexpr seconds kMaxLateDelayWithLeases{10};
constexpr seconds kMaxWorkerPauseWithLeases{15};

Duration MaxLateDelay(FencingMode fencing) {
  return fencing == FencingMode::kTokens ? seconds(60)
                                         : kMaxLateDelayWithLeases;
}

// The simulated deployment, and what the steps did to it.
class FuzzRun {
 public:
  FuzzRun(std::uint64_t seed, FencingMode fencing)
      : world_({.seed = seed, .max_late_delay = MaxLateDelay(fencing)}),
        fencing_(fencing) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> rate(0.995, 1.005);
    for (const std::string zone : {"zg-a", "zg-b"}) {
      zones_.push_back(zone);
      for (int i = 0; i < 4; ++i) {
        world_.AddWorker({.name = zone + "-w" + std::to_string(i),
                          .zone = zone,
                          .rack = "r" + std::to_string(i / 2),
                          .pool = "pool",
                          .capacity = MakeResources(4, 16),
                          .clock_rate = rate(random),
                          .checks_tokens = fencing == FencingMode::kTokens});
      }
    }
    for (int i = 0; i < 4; ++i) AddScheduler(rate(random));
    config::Objects objects = WatcherConfig(kNumWatchers);
    // A standing worker that ends from time to time must be started again.
    config::StandingWorker ending_watcher = objects.standing_workers["watcher"];
    ending_watcher.name = "restless";
    ending_watcher.program = "run 20s";
    objects.standing_workers["restless"] = ending_watcher;
    world_.SetConfig(std::move(objects));
    world_.RunFor(seconds(15));
  }

  void Apply(const Step& step) {
    Inject(step);
    world_.RunFor(seconds(step.wait));
  }

  // Ends all faults and gives the cluster time to recover.
  void Heal() {
    HealNetwork();
    world_.SetLogOutage(false);
    world_.SetVmListOutage(false);
    world_.SetLostAnswers(0);
    world_.SetLateCommands(0);
    world_.SetLostAppendAnswers(0);
    for (const std::string& name : world_.worker_names()) {
      world_.ReviveWorker(name);
    }
    world_.RunFor(minutes(8));
  }

  void AssertHealthy() {
    for (std::uint32_t i = 0; i < kNumWatchers; ++i) {
      const std::string id = "watcher/" + std::to_string(i);
      if (world_.RunningOn(id).size() != 1) RC_FAIL(id + " does not run");
    }
    SchedulerCore& any = *world_.scheduler(world_.scheduler_names().front());
    RC_ASSERT(any.fold().jobs().size() == submitted_);
    for (const auto& [submission, job] : any.fold().jobs()) {
      if (!job.Ended()) RC_FAIL("job " + submission + " did not end");
      for (std::uint32_t i = 0; i < job.submit.spec.tasks; ++i) {
        AssertTask(job, BatchTaskId(submission, i));
      }
    }
    AssertNoViolation();
  }

  void AssertNoViolation() {
    for (const Violation& violation : world_.violations()) {
      RC_FAIL(violation.what + " at " + FormatDuration(violation.at));
    }
  }

 private:
  void AssertTask(const FoldedJob& job, const std::string& id) {
    SchedulerCore& any = *world_.scheduler(world_.scheduler_names().front());
    const TaskStage stage = any.fold().FindTask(id)->stage;
    RC_ASSERT(world_.RunningOn(id).empty());
    if (job.cancelled) return;
    if (stage != TaskStage::kFinished) RC_FAIL(id + " did not finish");
    RC_ASSERT(world_.Completed(id) >= 1);
    if (!may_run_twice_ && world_.Completed(id) > 1) {
      RC_FAIL(id + " ran to its end twice");
    }
  }

  void AddScheduler(double clock_rate) {
    const std::string& zone = zones_[schedulers_ % zones_.size()];
    world_.AddScheduler({.name = "s" + std::to_string(schedulers_++),
                         .zone = zone,
                         .fencing = fencing_},
                        clock_rate);
  }

  std::string Scheduler(int index) {
    const std::vector<std::string> names = world_.scheduler_names();
    return names[static_cast<std::size_t>(index) % names.size()];
  }

  std::string Worker(int index) {
    const std::vector<std::string> names = world_.worker_names();
    return names[static_cast<std::size_t>(index) % names.size()];
  }

  Duration WorkerPause(const Step& step) const {
    const seconds length(step.length);
    if (fencing_ == FencingMode::kTokens) return length;
    return std::min(length, kMaxWorkerPauseWithLeases);
  }

  void HealNetwork() {
    for (const std::string& scheduler : world_.scheduler_names()) {
      world_.CutLog(scheduler, false);
      world_.CutVmList(scheduler, false);
      for (const std::string& worker : world_.worker_names()) {
        world_.CutWorker(scheduler, worker, false);
      }
    }
  }

  // Calls `set(true)`, and `set(false)` after the step's length.
  void SetDuring(const Step& step, const std::function<void(bool)>& set) {
    set(true);
    world_.RunFor(seconds(step.length));
    set(false);
  }

  void CutZone(const std::string& zone, bool cut) {
    for (const std::string& name : world_.scheduler_names()) {
      const bool inside = world_.scheduler(name)->Status({}).zone == zone;
      if (!inside) continue;
      world_.CutLog(name, cut);
      world_.CutVmList(name, cut);
    }
  }

  // Cuts a scheduler from the log and from some workers of its zone, and all
  // other schedulers from some other workers.
  void MakeZombie(const std::string& zombie, int pattern) {
    const std::string zone = world_.scheduler(zombie)->Status({}).zone;
    world_.CutLog(zombie, true);
    int index = 0;
    for (const std::string& worker : world_.worker_names()) {
      if (!worker.starts_with(zone)) continue;
      // 0 and 3: all schedulers reach it; 1: all but the zombie; 2: only the
      // zombie.
      const int reach = (pattern >> (2 * index++)) & 3;
      for (const std::string& name : world_.scheduler_names()) {
        const bool cut = name == zombie ? reach == 1 : reach == 2;
        if (cut) world_.CutWorker(name, worker, true);
      }
    }
  }

  void Inject(const Step& step) {
    switch (step.fault) {
      case Fault::kNothing:
      case Fault::kCount:
        break;
      case Fault::kSubmit:
        world_.Submit("sub" + std::to_string(submitted_++),
                      MakeJob(1 + static_cast<std::uint32_t>(step.target) % 6,
                              "run " + std::to_string(step.length) + "s"));
        break;
      case Fault::kCancel:
        if (submitted_ == 0) break;
        world_.Cancel(
            "sub" +
            std::to_string(static_cast<std::size_t>(step.target) % submitted_));
        break;
      case Fault::kKillScheduler:
        world_.KillScheduler(Scheduler(step.target));
        AddScheduler(1.0);
        break;
      case Fault::kStopScheduler:
        world_.StopScheduler(Scheduler(step.target));
        AddScheduler(1.0);
        break;
      case Fault::kPauseScheduler:
        world_.PauseScheduler(Scheduler(step.target), seconds(step.length));
        break;
      case Fault::kReplaceAll:
        for (const std::string& name : world_.scheduler_names()) {
          world_.KillScheduler(name);
        }
        for (int i = 0; i < 4; ++i) AddScheduler(1.0);
        break;
      case Fault::kCutWorker:
        may_run_twice_ = true;
        world_.CutWorker(Scheduler(step.target), Worker(step.other), true);
        break;
      case Fault::kCutLog:
        world_.CutLog(Scheduler(step.target), true);
        break;
      case Fault::kCutZone:
        SetDuring(step, [&](bool cut) {
          CutZone(zones_[static_cast<std::size_t>(step.target) % 2], cut);
        });
        break;
      case Fault::kZombie:
        may_run_twice_ = true;
        MakeZombie(Scheduler(step.target), step.other);
        break;
      case Fault::kLogOutage:
        SetDuring(step, [&](bool out) { world_.SetLogOutage(out); });
        break;
      case Fault::kVmListOutage:
        SetDuring(step, [&](bool out) { world_.SetVmListOutage(out); });
        break;
      case Fault::kLostAnswers:
        SetDuring(step, [&](bool on) { world_.SetLostAnswers(on ? 0.3 : 0); });
        break;
      case Fault::kLateCommands:
        SetDuring(step, [&](bool on) { world_.SetLateCommands(on ? 0.1 : 0); });
        break;
      case Fault::kLostAppends:
        SetDuring(step,
                  [&](bool on) { world_.SetLostAppendAnswers(on ? 0.5 : 0); });
        break;
      case Fault::kKillWorker: {
        may_run_twice_ = true;
        const std::string name = Worker(step.target);
        SetDuring(step, [&](bool dead) {
          if (dead) {
            world_.KillWorker(name);
          } else {
            world_.ReviveWorker(name);
          }
        });
        break;
      }
      case Fault::kPauseWorker:
        may_run_twice_ = true;
        world_.PauseWorker(Worker(step.target), WorkerPause(step));
        break;
      case Fault::kLeaveWorker:
        world_.SetLeaving(Worker(step.target));
        break;
      case Fault::kHealNetwork:
        HealNetwork();
        break;
    }
  }

  FakeWorld world_;
  FencingMode fencing_;
  std::vector<std::string> zones_;
  std::size_t schedulers_ = 0;
  std::size_t submitted_ = 0;
  // A task may have ended on a worker without any scheduler learning of it, so
  // that it may run to its end twice.
  bool may_run_twice_ = false;
};

std::string FromEnvironment(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

}  // namespace

class WorkFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkFuzzTest);
  CPPUNIT_TEST(InvariantsHoldWithTokens);
  CPPUNIT_TEST(InvariantsHoldWithLeases);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvariantsHoldWithTokens() {
    CheckProperty("promises hold with tokens", FencingMode::kTokens);
  }

  void InvariantsHoldWithLeases() {
    CheckProperty("promises hold with leases", FencingMode::kLeases);
  }

 private:
  static void CheckProperty(const std::string& property, FencingMode fencing) {
    const std::string seed = FromEnvironment("CAROBMAST_SEED", kDefaultSeed);
    const std::string runs = FromEnvironment("CAROBMAST_RUNS", kDefaultNumRuns);
    std::cout << "\nseed " << seed << ", runs " << runs << std::endl;
    // RC_PARAMS as given by the caller, e.g. noshrink=1. The variable is
    // replaced below.
    static const std::string given = FromEnvironment("RC_PARAMS", "");
    const std::string parameters =
        "seed=" + seed + " max_success=" + runs + " max_size=30 " + given;
    setenv("RC_PARAMS", parameters.c_str(), 1);
    const bool holds = rc::check(property, [fencing] {
      const std::uint64_t seed_of_run = *rc::gen::arbitrary<std::uint32_t>();
      const std::vector<Step> steps =
          *rc::gen::container<std::vector<Step>>(AnyStep());
      FuzzRun run(seed_of_run, fencing);
      for (const Step& step : steps) {
        run.Apply(step);
        run.AssertNoViolation();
      }
      run.Heal();
      run.AssertHealthy();
    });
    CPPUNIT_ASSERT(holds);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(WorkFuzzTest, "work_fuzz_test");

}  // namespace carobmast::work
