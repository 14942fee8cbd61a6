// Choice of workers, quarantine, remedies against interference, preemption.
#include "placement/placement.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <set>

namespace carobmast::placement {

using contracts::Resources;
using contracts::TaskKind;

namespace {

constexpr std::uint64_t kGigabyte = 1000000000;

Resources Cpus(std::uint64_t cpus, std::uint32_t accelerators = 0) {
  return {.milli_cpus = cpus * 1000,
          .memory = {cpus * 3 * kGigabyte},
          .accelerators = accelerators};
}

std::string FromEnvironment(const char* name, const char* fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : text;
}

// RapidCheck reads its parameters from the environment at the first check.
void SeedRapidCheck() {
  const std::string parameters =
      "seed=" + FromEnvironment("CAROBMAST_SEED", "20261204") +
      " max_success=" + FromEnvironment("CAROBMAST_RUNS", "200");
  std::cout << " " << parameters << " ";
  setenv("RC_PARAMS", parameters.c_str(), 0);
}

std::string WorkerName(int i) { return "w" + std::to_string(i); }

}  // namespace

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(CommittedNeverExceedsCapacity);
  CPPUNIT_TEST(ServicesSpreadOverWorkersAndRacks);
  CPPUNIT_TEST(BatchPacksFullestWorker);
  CPPUNIT_TEST(TeamsStayWithinQuota);
  CPPUNIT_TEST(TooLargeTasksAreToldFromWaitingOnes);
  CPPUNIT_TEST(NoTaskStartsOnUnusableWorker);
  CPPUNIT_TEST(FailingWorkerIsQuarantined);
  CPPUNIT_TEST(BrokenTaskQuarantinesNoWorker);
  CPPUNIT_TEST(QuarantinedShareOfPoolIsBounded);
  CPPUNIT_TEST(LearnsWhichTypeInterferes);
  CPPUNIT_TEST(RemediesEscalateWithPauses);
  CPPUNIT_TEST(GuardsKeepReserveAtLowLoad);
  CPPUNIT_TEST(LongTasksLeaveCapacityForShortOnes);
  CPPUNIT_TEST(PreemptionStopsLowerPriorityOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CommittedNeverExceedsCapacity() {
    // Random starts and ends; compares with the sum over the running tasks.
    SeedRapidCheck();
    const bool passed = rc::check("committed stays within capacity", [this] {
      setUp();
      std::map<std::string, std::pair<int, TaskRequest>> running;
      const int workers = *rc::gen::inRange(1, 6);
      for (int i = 0; i < workers; ++i) AddWorker(i, 8, i % 2 == 0 ? 2 : 0);
      const int steps = *rc::gen::inRange(1, 120);
      for (int step = 0; step < steps; ++step) {
        if (*rc::gen::inRange(0, 3) > 0 || running.empty()) {
          TaskRequest task = Batch("j", step, 1);
          task.need = {
              .milli_cpus = *rc::gen::inRange<std::uint64_t>(0, 9000),
              .memory = {*rc::gen::inRange<std::uint64_t>(0, 25) * kGigabyte},
              .accelerators = *rc::gen::inRange<std::uint32_t>(0, 3)};
          const Choice choice = placement_->Choose(task, now_);
          if (choice.worker.empty()) continue;
          RC_ASSERT(placement_->Commit(choice, task, now_));
          RC_ASSERT(!placement_->Commit(choice, task, now_));
          running[task.id.task] = {std::stoi(choice.worker.substr(1)), task};
        } else {
          const std::map<std::string, std::pair<int, TaskRequest>>::iterator
              ended = running.begin();
          placement_->End(ended->second.second.id, TaskEnd::kFinished, now_);
          running.erase(ended);
        }
        CheckCommitted(running, workers);
      }
    });
    CPPUNIT_ASSERT(passed);
  }

  void ServicesSpreadOverWorkersAndRacks() {
    for (int i = 0; i < 16; ++i) AddWorker(i, 16);
    std::set<std::string> workers;
    std::map<int, int> racks;
    for (int i = 0; i < 8; ++i) {
      const std::string worker = Start(Service("portal", i));
      workers.insert(worker);
      ++racks[std::stoi(worker.substr(1)) / kRackSize];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, workers.size());
    CPPUNIT_ASSERT_EQUAL(4, racks[0]);
    CPPUNIT_ASSERT_EQUAL(4, racks[1]);
  }

  void BatchPacksFullestWorker() {
    for (int i = 0; i < 4; ++i) AddWorker(i, 16);
    const std::string first = Start(Batch("j", 0, 4));
    CPPUNIT_ASSERT_EQUAL(first, Start(Batch("j", 1, 4)));
    CPPUNIT_ASSERT_EQUAL(first, Start(Batch("j", 2, 8)));
    CPPUNIT_ASSERT(first != Start(Batch("j", 3, 1)));
  }

  void TeamsStayWithinQuota() {
    AddWorker(0, 16);
    placement_->SetQuota("t", Cpus(6));
    Start(Batch("j", 0, 4));
    CPPUNIT_ASSERT(HoldReason::kQuota == HoldReasonOf(Batch("j", 1, 4)));
    Start(Batch("j", 2, 2));
    placement_->End({"j-0", 1}, TaskEnd::kFinished, now_);
    Start(Batch("j", 1, 4));
    CPPUNIT_ASSERT(Cpus(6) == placement_->TeamCommitted("t"));
  }

  void TooLargeTasksAreToldFromWaitingOnes() {
    CPPUNIT_ASSERT(HoldReason::kNoSuchPool == HoldReasonOf(Batch("j", 0, 4)));
    AddWorker(0, 16);
    Start(Batch("j", 0, 16));
    CPPUNIT_ASSERT(HoldReason::kNoFreeCapacity ==
                   HoldReasonOf(Batch("j", 1, 16)));
    CPPUNIT_ASSERT(HoldReason::kTooLarge == HoldReasonOf(Batch("j", 1, 17)));
    TaskRequest accelerated = Batch("j", 1, 1);
    accelerated.need.accelerators = 1;
    CPPUNIT_ASSERT(HoldReason::kTooLarge == HoldReasonOf(accelerated));
    // Larger workers make the tasks runnable.
    AddWorker(1, 32, 1);
    Start(accelerated);
    Start(Batch("j", 2, 17));
  }

  void NoTaskStartsOnUnusableWorker() {
    AddWorker(0, 16);
    placement_->SetUsable("w0", false);
    CPPUNIT_ASSERT(HoldReason::kNoFreeCapacity ==
                   HoldReasonOf(Batch("j", 0, 1)));
    placement_->SetUsable("w0", true);
    Start(Batch("j", 0, 1));
  }

  void FailingWorkerIsQuarantined() {
    for (int i = 0; i < 8; ++i) AddWorker(i, 16);
    RunEverywhere("good", 3);
    // w3 fails every task at once.
    for (int i = 0; i < 3; ++i) RunOn(3, "good", TaskEnd::kFailed);
    CPPUNIT_ASSERT(placement_->IsQuarantined("w3"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, placement_->counters().quarantines);
    // On probation a single failure renews the quarantine.
    now_ += std::chrono::seconds(61);
    placement_->Choose(Batch("good", 900, 1), now_);
    CPPUNIT_ASSERT(!placement_->IsQuarantined("w3"));
    RunOn(3, "good", TaskEnd::kFailed);
    CPPUNIT_ASSERT(placement_->IsQuarantined("w3"));
    // The second quarantine lasts twice as long. A success ends the probation,
    // so that one failure is no longer enough.
    now_ += std::chrono::seconds(61);
    placement_->Choose(Batch("good", 901, 1), now_);
    CPPUNIT_ASSERT(placement_->IsQuarantined("w3"));
    now_ += std::chrono::seconds(60);
    placement_->Choose(Batch("good", 902, 1), now_);
    RunOn(3, "good", TaskEnd::kFinished);
    RunOn(3, "good", TaskEnd::kFailed);
    CPPUNIT_ASSERT(!placement_->IsQuarantined("w3"));
  }

  void BrokenTaskQuarantinesNoWorker() {
    for (int i = 0; i < 8; ++i) AddWorker(i, 16);
    TaskRequest task = Batch("broken", 0, 1);
    std::set<std::string> tried;
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
      task.id.attempt = attempt;
      tried.insert(Start(task));
      placement_->End(task.id, TaskEnd::kFailed, now_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, tried.size());
    const Choice choice = placement_->Choose(task, now_);
    CPPUNIT_ASSERT(HoldReason::kFailsEverywhere == choice.hold);
    CPPUNIT_ASSERT_EQUAL(std::string("failed on 3 workers"), choice.reason);
    // Many failures of the type on every worker.
    for (int i = 0; i < 8; ++i) {
      for (int n = 0; n < 5; ++n) RunOn(i, "broken", TaskEnd::kFailed);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, placement_->counters().quarantines);
    placement_->ReleaseHeld(task.id.task);
    Start(task);
  }

  void QuarantinedShareOfPoolIsBounded() {
    for (int i = 0; i < 8; ++i) AddWorker(i, 16);
    RunEverywhere("good", 1);
    for (int i = 0; i < 8; ++i) {
      for (int n = 0; n < 6; ++n) {
        RunOn(i, i % 2 == 0 ? "good" : "new", TaskEnd::kFailed);
      }
    }
    CPPUNIT_ASSERT(placement_->counters().quarantines <= 2);
  }

  void LearnsWhichTypeInterferes() {
    for (int i = 0; i < 16; ++i) AddWorker(i, 16);
    for (int i = 0; i < 16; ++i) Start(Service("portal", i));
    // Eight workers get a noisy neighbour, all sixteen a quiet one.
    for (int i = 0; i < 16; ++i) {
      placement_->Adopt(WorkerName(i), Batch("quiet", i, 4), now_);
      if (i < 8) placement_->Adopt(WorkerName(i), Batch("noisy", i, 4), now_);
    }
    Reports(120, 0.7, 0.8);
    for (int i = 0; i < 16; ++i) {
      placement_->End({"noisy-" + std::to_string(i), 1}, TaskEnd::kStopped,
                      now_);
      placement_->End({"quiet-" + std::to_string(i), 1}, TaskEnd::kStopped,
                      now_);
    }
    const Choice noisy = placement_->Choose(Batch("noisy", 100, 4), now_);
    CPPUNIT_ASSERT(noisy.throttle < 1000);
    const Choice quiet = placement_->Choose(Batch("quiet", 100, 4), now_);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1000}, quiet.throttle);
    // On a worker without services the task is not throttled.
    AddWorker(16, 16);
    const Choice on_empty_worker =
        placement_->Choose(Batch("noisy", 100, 4), now_);
    CPPUNIT_ASSERT_EQUAL(std::string("w16"), on_empty_worker.worker);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1000}, on_empty_worker.throttle);
  }

  void RemediesEscalateWithPauses() {
    SetUpOneNoisyNeighbour();
    std::vector<RemedyKind> kinds;
    std::vector<MonotonicTime> times;
    for (int i = 0; i < 400; ++i) {
      // The interference stays the same when the task is throttled, so the
      // remedies must escalate to a move.
      for (const Remedy& remedy : Reports(1, 0.7, 0.8, 1.0)) {
        kinds.push_back(remedy.kind);
        times.push_back(now_);
        CPPUNIT_ASSERT_EQUAL(std::string("noisy-0"), remedy.id.task);
      }
    }
    CPPUNIT_ASSERT(kinds.size() >= 2);
    for (std::size_t i = 0; i + 1 < kinds.size(); ++i) {
      CPPUNIT_ASSERT(RemedyKind::kThrottle == kinds[i]);
      CPPUNIT_ASSERT(times[i + 1] - times[i] >= std::chrono::seconds(20));
    }
    CPPUNIT_ASSERT(RemedyKind::kMove == kinds.back());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, placement_->counters().moves);
  }

  void GuardsKeepReserveAtLowLoad() {
    for (const bool guards : {false, true}) {
      setUp();
      placement_->SetGuards("p", guards);
      SetUpOneNoisyNeighbour();
      Reports(200, 1.0, 1.0);
      placement_->End({"noisy-0", 1}, TaskEnd::kStopped, now_);
      // After the peak, with little load.
      Reports(40, 0, 0.1);
      const Choice choice = placement_->Choose(Batch("noisy", 1, 8), now_);
      CPPUNIT_ASSERT_EQUAL(guards, choice.throttle < 1000);
    }
  }

  void LongTasksLeaveCapacityForShortOnes() {
    for (int i = 0; i < 4; ++i) AddWorker(i, 16);
    Start(Batch("short", 0, 1));
    int started = 0;
    for (int i = 0; i < 100; ++i) {
      TaskRequest task = Batch("long", i, 1);
      task.is_long = true;
      const Choice choice = placement_->Choose(task, now_);
      if (choice.worker.empty()) {
        CPPUNIT_ASSERT(HoldReason::kLongShare == choice.hold);
        break;
      }
      placement_->Commit(choice, task, now_);
      ++started;
    }
    CPPUNIT_ASSERT_EQUAL(58, started);
    for (int i = 1; i < 6; ++i) Start(Batch("short", i, 1));
  }

  void PreemptionStopsLowerPriorityOnly() {
    AddWorker(0, 16);
    TaskRequest low = Batch("low", 0, 8);
    low.priority = config::Priority::kLow;
    Start(low);
    Start(Batch("normal", 0, 8));
    TaskRequest urgent = Batch("urgent", 0, 8);
    urgent.priority = config::Priority::kUrgent;
    CPPUNIT_ASSERT(HoldReason::kNoFreeCapacity == HoldReasonOf(urgent));
    const std::vector<Remedy> remedies = placement_->Preempt(urgent, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, remedies.size());
    CPPUNIT_ASSERT_EQUAL(std::string("low-0"), remedies[0].id.task);
    // The capacity stays committed until the stop is confirmed.
    CPPUNIT_ASSERT(HoldReason::kNoFreeCapacity == HoldReasonOf(urgent));
    placement_->End(low.id, TaskEnd::kStopped, now_);
    Start(urgent);
    CPPUNIT_ASSERT(placement_->Preempt(low, now_).empty());
  }

  void setUp() override {
    placement_ = std::make_unique<Placement>(PlacementOptions{});
    instances_.clear();
    throttles_.assign(16, 1.0);
    now_ = MonotonicTime(std::chrono::hours(1));
    next_task_ = 0;
    one_noisy_neighbour_ = false;
  }

 private:
  static constexpr int kRackSize = 8;

  void AddWorker(int i, std::uint64_t cpus, std::uint32_t accelerators = 0) {
    Resources capacity = Cpus(cpus, accelerators);
    placement_->AddWorker({.name = WorkerName(i),
                           .pool = "p",
                           .zone = "zg-a",
                           .rack = "r" + std::to_string(i / kRackSize),
                           .capacity = capacity});
    placement_->SetUsable(WorkerName(i), true);
  }

  static TaskRequest Batch(const std::string& type, int i, std::uint64_t cpus) {
    return {.id = {type + "-" + std::to_string(i), 1},
            .type = type,
            .team = "t",
            .pool = "p",
            .need = Cpus(cpus),
            .checkpoints = true};
  }

  static TaskRequest Service(const std::string& type, int i) {
    TaskRequest request = Batch(type, i, 4);
    request.kind = TaskKind::kService;
    return request;
  }

  HoldReason HoldReasonOf(const TaskRequest& request) {
    return placement_->Choose(request, now_).hold;
  }

  std::string Start(const TaskRequest& request) {
    const Choice choice = placement_->Choose(request, now_);
    CPPUNIT_ASSERT_MESSAGE(choice.reason, !choice.worker.empty());
    CPPUNIT_ASSERT(placement_->Commit(choice, request, now_));
    if (request.kind == TaskKind::kService) {
      instances_[choice.worker] = request.id;
    }
    return choice.worker;
  }

  void RunOn(int worker, const std::string& type, TaskEnd end) {
    const TaskRequest task = Batch(type, 1000 + next_task_++, 1);
    placement_->Adopt(WorkerName(worker), task, now_);
    placement_->End(task.id, end, now_);
  }

  void RunEverywhere(const std::string& type, int times) {
    for (int i = 0; i < 8 * times; ++i) {
      RunOn(i % 8, type, TaskEnd::kFinished);
    }
  }

  void SetUpOneNoisyNeighbour() {
    for (int i = 0; i < 8; ++i) AddWorker(i, 16);
    for (int i = 0; i < 8; ++i) Start(Service("portal", i));
    placement_->Adopt("w0", Batch("noisy", 0, 8), now_);
    one_noisy_neighbour_ = true;
  }

  // Reports from all workers with services in `rounds` rounds, 5 s apart. The
  // noisy type multiplies the latency of its neighbours by
  // exp(slowdown_per_share * share * utilization), where the share follows from
  // its throttle unless `share` is given.
  std::vector<Remedy> Reports(int rounds, double slowdown_per_share,
                              double utilization, double share = 0) {
    std::vector<Remedy> remedies;
    for (int round = 0; round < rounds; ++round) {
      now_ += std::chrono::seconds(5);
      for (const std::pair<const std::string, contracts::AttemptId>& entry :
           instances_) {
        const int worker = std::stoi(entry.first.substr(1));
        const bool noisy = one_noisy_neighbour_ ? worker == 0 : worker < 8;
        const double cpu_share =
            share > 0
                ? share
                : (one_noisy_neighbour_ ? 0.5 : 0.25) * throttles_[worker];
        const double slowdown =
            std::exp(noisy ? slowdown_per_share * cpu_share * utilization : 0);
        const contracts::TaskReport task{
            .id = entry.second,
            .used = {.milli_cpus =
                         static_cast<std::uint64_t>(4000 * utilization)},
            .latency_p99 = std::chrono::microseconds(
                static_cast<int>(20000 * slowdown * (1 + utilization)))};
        const std::vector<Remedy> new_remedies = placement_->OnReport(
            {.worker = entry.first, .tasks = {task}}, now_);
        remedies.insert(remedies.end(), new_remedies.begin(),
                        new_remedies.end());
        for (const Remedy& remedy : new_remedies) {
          if (remedy.kind == RemedyKind::kThrottle) {
            throttles_[worker] = remedy.throttle / 1000.0;
          }
        }
      }
    }
    return remedies;
  }

  void CheckCommitted(
      const std::map<std::string, std::pair<int, TaskRequest>>& running,
      int workers) {
    for (int i = 0; i < workers; ++i) {
      Resources sum;
      for (const std::pair<const std::string, std::pair<int, TaskRequest>>&
               entry : running) {
        if (entry.second.first != i) continue;
        const Resources& need = entry.second.second.need;
        sum.milli_cpus += need.milli_cpus;
        sum.memory.bytes += need.memory.bytes;
        sum.accelerators += need.accelerators;
      }
      RC_ASSERT(sum == placement_->Committed(WorkerName(i)));
      RC_ASSERT(sum.milli_cpus <= 8000U);
      RC_ASSERT(sum.memory.bytes <= 24 * kGigabyte);
      RC_ASSERT(sum.accelerators <= (i % 2 == 0 ? 2U : 0U));
    }
  }

  std::unique_ptr<Placement> placement_;
  std::map<std::string, contracts::AttemptId> instances_;
  std::vector<double> throttles_;
  MonotonicTime now_;
  int next_task_ = 0;
  bool one_noisy_neighbour_ = false;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlacementTest, "placement_test");

}  // namespace carobmast::placement
