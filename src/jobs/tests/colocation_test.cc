// Standing tasks and fillers on the same workers, which interfere by rules that
// the owner has to learn.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <random>
#include <set>

#include "shard_bench.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTarget{100};
constexpr milliseconds kHoldInterval{250};
// Maximum time for which operators accept that a standing task is continuously
// over its target because of fillers.
constexpr milliseconds kMaxTimeOverTarget{4000};

// Workers that carry out each order at once. A standing task reports a latency
// of target x exp(load + sum of factor x share x pace of the fillers).
class SimulatedWorkers {
 public:
  // The factor of a filler job on a standing job.
  std::function<double(const std::string& standing, const std::string& filler)>
      factor;
  // log(latency / target) of a standing job without fillers, at a time in
  // seconds.
  std::function<double(const std::string& standing, double time)> load;

  void Add(const std::string& id) {
    bench.AddWorker(id, 16000);
    ids_.push_back(id);
    bench.AnswerHold(id);
  }

  void SubmitStanding(const std::string& job, std::uint32_t count,
                      std::uint32_t max_away) {
    JobSpec spec = MakeJob(count);
    spec.steps[0].standing = true;
    spec.steps[0].image = job;
    spec.steps[0].latency_target = kTarget;
    spec.steps[0].max_away = max_away;
    standing_.insert(job);
    bench.Submit(job, spec);
  }

  void SubmitFiller(const std::string& job, std::uint32_t count,
                    const std::string& image) {
    JobSpec spec = MakeJob(count);
    spec.steps[0].fills = true;
    spec.steps[0].image = image;
    bench.Submit(job, spec);
  }

  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kHoldInterval) {
      ExecuteOrders();
      for (const std::string& id : ids_) Hold(id);
      bench.AdvanceTime(kHoldInterval);
      time_ += kHoldInterval.count() / 1000.0;
    }
    ExecuteOrders();
  }

  std::vector<std::string> WorkersOf(const std::string& job) const {
    std::vector<std::string> workers;
    for (const auto& [key, run] : runs_) {
      if (key.job == job) workers.push_back(run.worker);
    }
    std::sort(workers.begin(), workers.end());
    return workers;
  }

  // Mean speed of the job's tasks, in percent.
  double MeanSpeedOf(const std::string& job) const {
    double sum = 0;
    int count = 0;
    for (const auto& [key, run] : runs_) {
      if (key.job != job) continue;
      sum += run.pace;
      ++count;
    }
    return count == 0 ? 0 : sum / count;
  }

  ShardBench bench;
  // Figures of standing tasks.
  milliseconds longest_over{0};
  std::uint32_t most_stopped_at_once = 0;
  std::size_t stops = 0;

 private:
  struct ActiveRun {
    SentStart start;
    std::string worker;
    std::uint32_t pace = 100;
    milliseconds over{0};
  };

  void ExecuteOrders() {
    bench.Store();
    for (const SentStart& start : bench.TakeStarts()) {
      runs_[start.order.task] = {.start = start, .worker = start.worker};
      bench.now.steady += milliseconds(1);
      bench.ConfirmStart(start);
    }
    std::map<std::string, std::uint32_t> stopped;
    for (const SentStop& stop : std::exchange(bench.stops, {})) {
      const std::string& job = stop.order.task.job;
      if (standing_.contains(job)) {
        ++stops;
        most_stopped_at_once = std::max(most_stopped_at_once, ++stopped[job]);
      }
      ended_[stop.worker].push_back(runs_.at(stop.order.task).start);
      runs_.erase(stop.order.task);
    }
    for (const SentPace& pace : std::exchange(bench.paces, {})) {
      const auto run = runs_.find(pace.order.task);
      if (run != runs_.end()) run->second.pace = pace.order.percent;
      bench.core->OnPace(pace.worker, pace.order,
                         {.outcome = contracts::OrderOutcome::kDone},
                         bench.now);
    }
    bench.Store();
  }

  double LatencyOf(const ActiveRun& standing) const {
    const std::string& job = standing.start.order.task.job;
    double level = load(job, time_);
    for (const auto& [key, run] : runs_) {
      if (run.worker != standing.worker || standing_.contains(key.job)) {
        continue;
      }
      level += factor(job, key.job) * run.pace / 100 / 16;
    }
    return static_cast<double>(kTarget.count()) * std::exp(level);
  }

  void Hold(const std::string& id) {
    std::vector<contracts::RunningTask> rows;
    for (auto& [key, run] : runs_) {
      if (run.worker != id) continue;
      contracts::RunningTask row = bench.RunningRow(run.start);
      row.percent = 100;
      row.measured = run.pace * 10;
      if (standing_.contains(key.job)) {
        const double latency = LatencyOf(run);
        run.over = latency > static_cast<double>(kTarget.count())
                       ? run.over + kHoldInterval
                       : milliseconds(0);
        longest_over = std::max(longest_over, run.over);
        row.measured =
            static_cast<std::uint32_t>(latency * std::exp(noise_(random_)));
      }
      rows.push_back(row);
    }
    std::vector<contracts::EndedTask> ended;
    for (const SentStart& start : std::exchange(ended_[id], {})) {
      ended.push_back(
          bench.EndedRow(++last_end_[id], start, contracts::EndKind::kStopped));
    }
    bench.AnswerHold(id, std::move(rows), std::move(ended));
  }

  std::mt19937 random_{3};
  std::normal_distribution<double> noise_{0, 0.1};
  double time_ = 0;
  std::vector<std::string> ids_;
  std::set<std::string> standing_;
  std::map<contracts::TaskKey, ActiveRun> runs_;
  std::map<std::string, std::vector<SentStart>> ended_;
  std::map<std::string, std::uint64_t> last_end_;
};

}  // namespace

class ColocationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColocationTest);
  CPPUNIT_TEST(HarmlessFillerJoinsATaskOverItsTarget);
  CPPUNIT_TEST(NoFillerStartsBesideATaskThatStaysOverItsTarget);
  CPPUNIT_TEST(FillersSlowDownAtLoadPeaksAndRecover);
  CPPUNIT_TEST(DissimilarStandingTasksAreSeparatedWithinMaxAway);
  CPPUNIT_TEST(StandingTasksWithZeroMaxAwayStay);
  CPPUNIT_TEST(LatenciesAreEvaluatedAtEachEndOfARun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HarmlessFillerJoinsATaskOverItsTarget() {
    const std::vector<std::string> workers = FillerWorkersBesideTaskOverTarget(
        0.3, milliseconds(500), milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, workers.size());
  }

  // Guards against short fillers that follow each other and end before they are
  // slowed down.
  void NoFillerStartsBesideATaskThatStaysOverItsTarget() {
    const std::vector<std::string> workers = FillerWorkersBesideTaskOverTarget(
        0.02, milliseconds(2500), milliseconds(500));
    CPPUNIT_ASSERT(workers.empty());
  }

  // Three fillers that raise the latency by a factor of 2.5 together, beside a
  // load that swings from a quarter to three quarters of the target.
  void FillersSlowDownAtLoadPeaksAndRecover() {
    SimulatedWorkers simulation;
    simulation.load = [](const std::string&, double time) {
      return -0.85 + 0.5 * std::sin(2 * std::numbers::pi * time / 10);
    };
    simulation.factor = [](const std::string&, const std::string&) {
      return 5.0;
    };
    simulation.Add("w");
    simulation.SubmitStanding("s", 1, 1);
    simulation.SubmitFiller("heavy", 3, "heavy");
    // The load is low at 27.5 s and high at 32.5 s.
    simulation.Run(milliseconds(27500));
    CPPUNIT_ASSERT(simulation.MeanSpeedOf("heavy") > 50);
    simulation.Run(milliseconds(5000));
    CPPUNIT_ASSERT(simulation.MeanSpeedOf("heavy") < 50);
    CPPUNIT_ASSERT(simulation.longest_over < kMaxTimeOverTarget);
  }

  // Guards against an owner whose processor time goes into reports that cover
  // the same half second.
  void LatenciesAreEvaluatedAtEachEndOfARun() {
    constexpr std::uint64_t kMaxUpdatesASecond = 4;
    ShardBench bench;
    bench.AddWorker("w");
    const std::uint64_t before = bench.core->counters().latency_updates;
    const MonotonicTime end = bench.now.steady + milliseconds(2000);
    while (bench.now.steady < end) {
      bench.now.steady += milliseconds(9);
      bench.AnswerHold("w");
    }
    const std::uint64_t updates =
        bench.core->counters().latency_updates - before;
    CPPUNIT_ASSERT(updates >= kMaxUpdatesASecond);
    CPPUNIT_ASSERT(updates <= 2 * kMaxUpdatesASecond + 1);
  }

  void DissimilarStandingTasksAreSeparatedWithinMaxAway() {
    SimulatedWorkers simulation;
    RunTwoDissimilarJobs(simulation, 1);
    CPPUNIT_ASSERT(simulation.stops > 0);
    CPPUNIT_ASSERT_EQUAL(1U, simulation.most_stopped_at_once);
    const std::vector<std::string> first = simulation.WorkersOf("a");
    const std::vector<std::string> second = simulation.WorkersOf("b");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, first.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, second.size());
    std::vector<std::string> workers_of_both;
    std::set_intersection(first.begin(), first.end(), second.begin(),
                          second.end(), std::back_inserter(workers_of_both));
    CPPUNIT_ASSERT(workers_of_both.empty());
  }

  void StandingTasksWithZeroMaxAwayStay() {
    SimulatedWorkers simulation;
    RunTwoDissimilarJobs(simulation, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.stops);
  }

 private:
  // Starts two standing jobs on one worker, with more tasks of the second; each
  // is slowed down by one of two fillers. A second worker is added later.
  static void RunTwoDissimilarJobs(SimulatedWorkers& simulation,
                                   std::uint32_t max_away) {
    simulation.load = [](const std::string&, double) { return -0.7; };
    simulation.factor = [](const std::string& standing,
                           const std::string& filler) {
      return (standing == "a") == (filler == "x") ? 5.0 : 0.0;
    };
    simulation.Add("w");
    simulation.SubmitStanding("a", 4, max_away);
    simulation.SubmitStanding("b", 10, max_away);
    simulation.Run(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, simulation.WorkersOf("a").size());
    // The fillers run one after the other, so that their effects can be told
    // apart.
    for (const std::string filler : {"x", "y"}) {
      simulation.SubmitFiller(filler, 2, filler);
      simulation.Run(milliseconds(6000));
      simulation.bench.core->Cancel(filler, simulation.bench.now);
      simulation.Run(milliseconds(1000));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, simulation.WorkersOf("b").size());
    simulation.Add("v");
    simulation.Run(milliseconds(12000));
  }

  // The workers of a harmless filler, `wait` after its submission, beside
  // standing tasks whose log(latency / target) has been at `level` for
  // `over_for`.
  static std::vector<std::string> FillerWorkersBesideTaskOverTarget(
      double level, milliseconds over_for, milliseconds wait) {
    SimulatedWorkers simulation;
    bool over = false;
    simulation.load = [&over, level](const std::string&, double) {
      return over ? level : -0.7;
    };
    simulation.factor = [](const std::string&, const std::string&) {
      return 0.0;
    };
    simulation.Add("w");
    simulation.SubmitStanding("s", 2, 1);
    simulation.SubmitFiller("light", 2, "light");
    simulation.Run(milliseconds(6000));
    simulation.bench.core->Cancel("light", simulation.bench.now);
    over = true;
    simulation.Run(over_for);
    simulation.SubmitFiller("more", 1, "light");
    simulation.Run(wait);
    return simulation.WorkersOf("more");
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ColocationTest, "colocation_test");

}  // namespace carobmast::jobs
