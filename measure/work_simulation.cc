#include "measure/work_simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>

namespace carobmast::measure {

using contracts::Resources;
using placement::Choice;
using placement::Remedy;
using placement::RemedyKind;
using placement::TaskEnd;
using placement::TaskRequest;

namespace {

constexpr Duration kTick = std::chrono::seconds(1);
constexpr Duration kFailureAfter = std::chrono::seconds(2);
// Time to stop a task with a checkpoint, and progress that is lost with it.
constexpr Duration kCheckpointTime = std::chrono::seconds(10);
constexpr Duration kCheckpointLoss = std::chrono::seconds(30);
constexpr Duration kMaxShortMean = std::chrono::minutes(5);
// Load from which samples count as peak load, as a fraction of the highest.
constexpr double kPeakLoadFraction = 0.95;
// Interference grows faster than linearly with the load.
constexpr double kLoadExponent = 1.5;
// Latency grows with the load even without batch tasks on the worker.
constexpr double kLoadSlowdown = 0.5;
constexpr double kP99Deviations = 2.326;
constexpr double kNanosecondsPerHour = 3.6e12;
constexpr double kMilliCpus = 1000;

// A histogram of weighted latencies, with logarithmic buckets of 0.5%.
class LatencyHistogram {
 public:
  // Adds a lognormal distribution, given by the logarithm of its median.
  void Add(double log_median, double sigma, double weight) {
    for (int i = 0; i < kPoints; ++i) {
      const double z = -4 + 8 * (i + 0.5) / kPoints;
      buckets_[static_cast<int>(std::floor(
          (log_median + sigma * z) / kStep))] += weight * std::exp(-z * z / 2);
    }
  }
  Duration Quantile(double quantile) const {
    double all = 0;
    for (const std::pair<const int, double>& bucket : buckets_) {
      all += bucket.second;
    }
    double sum = 0;
    for (const std::pair<const int, double>& bucket : buckets_) {
      sum += bucket.second;
      if (sum >= quantile * all) {
        return Duration(
            static_cast<Duration::rep>(std::exp((bucket.first + 0.5) * kStep)));
      }
    }
    return Duration::zero();
  }
  double ShareBelow(Duration limit) const {
    const double edge = std::log(static_cast<double>(limit.count())) / kStep;
    double all = 0;
    double below = 0;
    for (const std::pair<const int, double>& bucket : buckets_) {
      all += bucket.second;
      if (bucket.first < edge) below += bucket.second;
    }
    return all > 0 ? below / all : 1;
  }

 private:
  static constexpr int kPoints = 80;
  static constexpr double kStep = 0.005;
  std::map<int, double> buckets_;
};

struct Running {
  std::size_t task = 0;
  TaskRequest request;
  double throttle = 1;
  MonotonicTime started;
  MonotonicTime fails_at;
  bool fails = false;
  // Whether a move or a stop was ordered.
  bool stopping = false;
  bool keeps_progress = false;
  MonotonicTime stops_at;
};

struct Sample {
  MonotonicTime at;
  double log_p99 = 0;
  double utilization = 0;
};

struct FakeWorker {
  std::string name;
  Resources committed;
  std::vector<Running> running;
  // Whether the worker runs an instance of the service.
  bool has_instance = false;
  contracts::AttemptId instance;
  std::deque<Sample> samples;
};

struct TaskState {
  Duration remaining = Duration::zero();
  MonotonicTime waiting_since;
  std::uint32_t attempt = 1;
  bool started = false;
};

class Simulation {
 public:
  Simulation(const WorkWorkload& workload, const WorkPolicy& policy,
             std::uint64_t seed)
      : workload_(workload),
        policy_(policy),
        tasks_(GenerateBatchTasks(workload, seed)),
        random_(seed),
        states_(tasks_.size()) {}

  WorkOutcome Run() {
    outcome_.policy = policy_.name;
    AddWorkers();
    for (Duration at = Duration::zero(); at < workload_.length; at += kTick) {
      now_ = kStart + at;
      utilization_ = workload_.UtilizationAt(at);
      PushArrivals(at);
      AdvanceTasks();
      SampleLatencies(at);
      SendReports(at);
      if (policy_.offer) {
        policy_.offer(now_,
                      [this](const TaskRequest& request, const Choice& choice) {
                        StartTask(request, choice);
                      });
      }
    }
    Finish();
    return outcome_;
  }

 private:
  static constexpr MonotonicTime kStart{std::chrono::hours(100)};

  void AddWorkers() {
    for (std::size_t i = 0; i < workload_.workers; ++i) {
      const std::string name = "worker-" + std::to_string(i);
      workers_.push_back({.name = name});
      worker_indices_[name] = i;
      if (policy_.add_worker) {
        const std::size_t rack = i / workload_.rack_size;
        policy_.add_worker(
            {.name = name,
             .pool = "pool",
             .zone = workload_.zones[rack % workload_.zones.size()],
             .rack = "rack-" + std::to_string(rack),
             .capacity = workload_.worker});
      }
    }
    PushInstances();
  }

  // Services arrive before batch tasks, so that capacity is free for them.
  // Without a policy they are assigned to workers round robin.
  void PushInstances() {
    now_ = kStart;
    for (std::size_t i = 0; i < workload_.instances; ++i) {
      const TaskRequest request{
          .id = {workload_.service + "-" + std::to_string(i), 1},
          .type = workload_.service,
          .kind = contracts::TaskKind::kService,
          .priority = config::Priority::kHigh,
          .pool = "pool",
          .need = workload_.instance};
      if (policy_.push) {
        policy_.push(request, Duration::zero(), now_);
      } else {
        StartTask(request, {.worker = workers_[i % workers_.size()].name});
      }
    }
  }

  void PushArrivals(Duration at) {
    while (next_arrival_ < tasks_.size() && tasks_[next_arrival_].at <= at) {
      states_[next_arrival_].remaining = tasks_[next_arrival_].run_time;
      ++outcome_.batch_arrived;
      PushTask(next_arrival_);
      ++next_arrival_;
    }
  }

  void PushTask(std::size_t task) {
    const BatchType& type = workload_.batch[tasks_[task].type];
    states_[task].waiting_since = now_;
    if (!policy_.push) return;
    policy_.push({.id = {std::to_string(task), states_[task].attempt},
                  .type = type.name,
                  .pool = "pool",
                  .need = type.need,
                  .checkpoints = type.checkpoints},
                 type.declared, now_);
  }

  void StartTask(const TaskRequest& request, const Choice& choice) {
    FakeWorker& worker = workers_[worker_indices_.at(choice.worker)];
    worker.committed.milli_cpus += request.need.milli_cpus;
    worker.committed.memory.bytes += request.need.memory.bytes;
    if (worker.committed.milli_cpus > workload_.worker.milli_cpus ||
        worker.committed.memory > workload_.worker.memory) {
      ++outcome_.overcommitted;
    }
    if (request.kind == contracts::TaskKind::kService) {
      worker.has_instance = true;
      worker.instance = request.id;
      return;
    }
    const std::size_t task = std::stoul(request.id.task);
    RecordWait(task);
    worker.running.push_back(
        {.task = task,
         .request = request,
         .throttle = choice.throttle / kMilliCpus,
         .started = now_,
         .fails_at = now_ + kFailureAfter,
         .fails = IsBad(worker_indices_.at(choice.worker))});
  }

  bool IsBad(std::size_t worker) const {
    const Duration at = now_ - kStart;
    return std::any_of(workload_.bad_workers.begin(),
                       workload_.bad_workers.end(), [&](const BadWorker& bad) {
                         return bad.worker == worker && at >= bad.from &&
                                at < bad.until;
                       });
  }

  void RecordWait(std::size_t task) {
    if (states_[task].started) return;
    states_[task].started = true;
    const Duration wait = now_ - states_[task].waiting_since;
    const bool is_short =
        workload_.batch[tasks_[task].type].mean <= kMaxShortMean;
    (is_short ? short_waits_ : long_waits_).push_back(wait);
  }

  void AdvanceTasks() {
    for (FakeWorker& worker : workers_) {
      for (std::size_t i = 0; i < worker.running.size();) {
        if (!AdvanceTask(worker, worker.running[i])) {
          ++i;
          continue;
        }
        worker.running.erase(worker.running.begin() +
                             static_cast<std::ptrdiff_t>(i));
      }
    }
  }

  // Returns whether the task has ended.
  bool AdvanceTask(FakeWorker& worker, Running& running) {
    TaskState& state = states_[running.task];
    if (running.fails) {
      if (now_ < running.fails_at) return false;
      ++outcome_.failures;
      EndTask(worker, running, TaskEnd::kFailed);
      return true;
    }
    if (running.stopping) {
      if (now_ < running.stops_at) return false;
      state.remaining = running.keeps_progress
                            ? std::min(state.remaining + kCheckpointLoss,
                                       tasks_[running.task].run_time)
                            : tasks_[running.task].run_time;
      EndTask(worker, running, TaskEnd::kStopped);
      return true;
    }
    const Duration done(static_cast<Duration::rep>(
        static_cast<double>(kTick.count()) * running.throttle));
    state.remaining -= std::min(done, state.remaining);
    if (state.remaining > Duration::zero()) return false;
    EndTask(worker, running, TaskEnd::kFinished);
    ++outcome_.batch_done;
    return true;
  }

  void EndTask(FakeWorker& worker, const Running& running, TaskEnd end) {
    const Resources& need = running.request.need;
    worker.committed.milli_cpus -= need.milli_cpus;
    worker.committed.memory.bytes -= need.memory.bytes;
    if (policy_.end) {
      policy_.end(running.request, end, now_ - running.started, now_);
    }
    if (end == TaskEnd::kFinished) return;
    ++states_[running.task].attempt;
    PushTask(running.task);
  }

  // Returns the logarithm of the factor by which batch tasks and load lengthen
  // the service's latency.
  double Slowdown(const FakeWorker& worker) const {
    double sum = std::log(1 + kLoadSlowdown * utilization_ * utilization_ *
                                  utilization_);
    for (const Running& running : worker.running) {
      const BatchType& type = workload_.batch[tasks_[running.task].type];
      const double share = running.throttle *
                           static_cast<double>(type.need.milli_cpus) /
                           static_cast<double>(workload_.worker.milli_cpus);
      sum += type.interference * share * std::pow(utilization_, kLoadExponent);
    }
    return sum;
  }

  void SampleLatencies(Duration /*at*/) {
    const double log_median =
        std::log(static_cast<double>(workload_.median.count()));
    for (FakeWorker& worker : workers_) {
      if (!worker.has_instance) continue;
      const double log_now = log_median + Slowdown(worker);
      all_latencies_.Add(log_now, workload_.sigma, utilization_);
      if (utilization_ >= kPeakLoadFraction * workload_.PeakUtilization()) {
        peak_latencies_.Add(log_now, workload_.sigma, utilization_);
      }
      worker.samples.push_back(
          {.at = now_,
           .log_p99 = log_now + kP99Deviations * workload_.sigma,
           .utilization = utilization_});
      while (worker.samples.front().at + workload_.report_lag < now_) {
        worker.samples.pop_front();
      }
    }
  }

  // Spreads the workers' reports over the report interval.
  void SendReports(Duration at) {
    const std::int64_t ticks = at / kTick;
    const std::int64_t every =
        std::max<std::int64_t>(1, workload_.report_every / kTick);
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      if ((ticks + static_cast<std::int64_t>(i)) % every != 0) continue;
      // Drawn even if the policy takes no reports, so that every policy sees
      // the same errors.
      const double noise = report_error_(random_) * workload_.report_noise;
      if (policy_.report) ReportWorker(workers_[i], noise);
    }
  }

  void ReportWorker(FakeWorker& worker, double noise) {
    contracts::WorkerReport report{.worker = worker.name,
                                   .capacity = workload_.worker};
    if (worker.has_instance && !worker.samples.empty()) {
      const Sample& sample = worker.samples.front();
      report.tasks.push_back(
          {.id = worker.instance,
           .reserved = workload_.instance,
           .used = {.milli_cpus = static_cast<std::uint64_t>(
                        sample.utilization *
                        static_cast<double>(workload_.instance.milli_cpus))},
           .latency_p99 = Duration(
               static_cast<Duration::rep>(std::exp(sample.log_p99 + noise)))});
    }
    for (const Remedy& remedy : policy_.report(report, now_)) {
      ApplyRemedy(worker, remedy);
    }
  }

  void ApplyRemedy(FakeWorker& worker, const Remedy& remedy) {
    for (Running& running : worker.running) {
      if (running.request.id != remedy.id) continue;
      if (remedy.kind == RemedyKind::kThrottle) {
        ++outcome_.throttles;
        running.throttle = remedy.throttle / kMilliCpus;
        return;
      }
      ++outcome_.evictions;
      running.stopping = true;
      running.keeps_progress = remedy.kind == RemedyKind::kMove;
      running.stops_at =
          now_ + (running.keeps_progress ? kCheckpointTime : kTick);
    }
  }

  static Duration Mean(const std::vector<Duration>& waits) {
    Duration sum = Duration::zero();
    for (const Duration wait : waits) sum += wait;
    return waits.empty() ? sum : sum / static_cast<std::int64_t>(waits.size());
  }

  void Finish() {
    outcome_.service_p99 = all_latencies_.Quantile(0.99);
    outcome_.peak_p99 = peak_latencies_.Quantile(0.99);
    outcome_.peak_within_deadline =
        peak_latencies_.ShareBelow(workload_.deadline);
    // Tasks that never started count with their waiting time so far.
    for (std::size_t task = 0; task < next_arrival_; ++task) RecordWait(task);
    outcome_.short_wait_mean = Mean(short_waits_);
    outcome_.long_wait_mean = Mean(long_waits_);
    std::sort(short_waits_.begin(), short_waits_.end());
    if (!short_waits_.empty()) {
      outcome_.short_wait_p99 = short_waits_[short_waits_.size() * 99 / 100];
    }
    CountCoreHours();
  }

  void CountCoreHours() {
    double wanted = 0;
    for (std::size_t task = 0; task < next_arrival_; ++task) {
      const double cpus =
          static_cast<double>(
              workload_.batch[tasks_[task].type].need.milli_cpus) /
          kMilliCpus;
      const Duration done = tasks_[task].run_time - states_[task].remaining;
      outcome_.batch_core_hours +=
          cpus * static_cast<double>(done.count()) / kNanosecondsPerHour;
      // A task can run at most from its arrival to the end of the simulation.
      const Duration possible =
          std::min(tasks_[task].run_time, workload_.length - tasks_[task].at);
      wanted +=
          cpus * static_cast<double>(possible.count()) / kNanosecondsPerHour;
    }
    const double remaining =
        (static_cast<double>(workload_.workers * workload_.worker.milli_cpus) -
         static_cast<double>(workload_.instances *
                             workload_.instance.milli_cpus)) /
        kMilliCpus * static_cast<double>(workload_.length.count()) /
        kNanosecondsPerHour;
    outcome_.attainable_core_hours = std::min(wanted, remaining);
  }

  const WorkWorkload& workload_;
  const WorkPolicy& policy_;
  std::vector<BatchTask> tasks_;
  std::mt19937_64 random_;
  std::normal_distribution<double> report_error_;
  std::vector<TaskState> states_;
  std::size_t next_arrival_ = 0;
  std::vector<FakeWorker> workers_;
  std::map<std::string, std::size_t> worker_indices_;
  MonotonicTime now_;
  double utilization_ = 0;
  LatencyHistogram all_latencies_;
  LatencyHistogram peak_latencies_;
  std::vector<Duration> short_waits_;
  std::vector<Duration> long_waits_;
  WorkOutcome outcome_;
};

}  // namespace

WorkOutcome Simulate(const WorkWorkload& workload, const WorkPolicy& policy,
                     std::uint64_t seed) {
  return Simulation(workload, policy, seed).Run();
}

}  // namespace carobmast::measure
