#include "measure/starts_measure.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <deque>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "framework/base/error.h"
#include "placement/placement.h"

namespace carobmast::measure {

namespace {

using placement::Choice;
using placement::Placement;
using placement::TaskRequest;

constexpr std::uint64_t kGigabyte = 1000000000;
constexpr std::size_t kWorkersPerRack = 8;
constexpr std::size_t kServices = 600;
constexpr std::size_t kJobs = 1000;
constexpr std::size_t kTeams = 610;
constexpr int kMeasuredStarts = 20000;
// Three of seven tasks are instances of services, the others are batch.
constexpr std::size_t kServicesPerSevenTasks = 3;

struct Figures {
  std::size_t workers = 0;
  std::size_t tasks = 0;
  double start_us = 0;
  double unplaced_us = 0;
  double end_us = 0;
  double report_us = 0;
  double bytes_per_worker = 0;
  double bytes_per_task = 0;
  // Memory for what the placement learns from reports, per reporting instance.
  double bytes_per_instance = 0;
};

Duration ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

double Microseconds(Duration duration, int count) {
  return count == 0 ? 0 : static_cast<double>(duration.count()) / 1000 / count;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

class StartsMeasure {
 public:
  StartsMeasure(std::size_t workers, std::size_t tasks, std::uint64_t seed)
      : random_(seed) {
    figures_.workers = workers;
    figures_.tasks = tasks;
  }

  Figures Run() {
    const double before = HeapBytes();
    AddWorkers();
    const double with_workers = HeapBytes();
    PlaceInitialTasks();
    const double with_tasks = HeapBytes();
    const double workers = static_cast<double>(figures_.workers);
    figures_.tasks = running_.size() + services_.size();
    figures_.bytes_per_worker = (with_workers - before) / workers;
    figures_.bytes_per_task =
        (with_tasks - with_workers) / static_cast<double>(figures_.tasks);
    MeasureReports();
    figures_.bytes_per_instance =
        (HeapBytes() - with_tasks) / static_cast<double>(services_.size());
    MeasureChurn();
    return figures_;
  }

 private:
  void AddWorkers() {
    placement_ = std::make_unique<Placement>(placement::PlacementOptions{});
    placement_->SetGuards("pool", true);
    for (std::size_t i = 0; i < figures_.workers; ++i) {
      const std::string name = "worker-" + std::to_string(i);
      placement_->AddWorker(
          {.name = name,
           .pool = "pool",
           .zone = "zone",
           .rack = "rack-" + std::to_string(i / kWorkersPerRack),
           .capacity = {.milli_cpus = 16000,
                        .memory = {60 * kGigabyte},
                        .accelerators = i % 2 == 0 ? 2U : 0U}});
      placement_->SetUsable(name, true);
    }
  }

  TaskRequest MakeRequest(bool service) {
    const std::uint64_t number = random_();
    TaskRequest request{
        .id = {"task-" + std::to_string(next_task_number_++), 1},
        .type = service ? "service-" + std::to_string(number % kServices)
                        : "job-" + std::to_string(number % kJobs),
        .kind = service ? contracts::TaskKind::kService
                        : contracts::TaskKind::kBatch,
        .team = "team-" + std::to_string(number % kTeams),
        .pool = "pool"};
    request.need = {.milli_cpus = 500 + 500 * (random_() % 3),
                    .memory = {(1 + random_() % 4) * kGigabyte},
                    .accelerators = !service && random_() % 10 == 0 ? 1U : 0U};
    return request;
  }

  void PlaceInitialTasks() {
    for (std::size_t i = 0; i < figures_.tasks; ++i) {
      const bool service = i % 7 < kServicesPerSevenTasks;
      const TaskRequest request = MakeRequest(service);
      const Choice choice = placement_->Choose(request, now_);
      if (!placement_->Commit(choice, request, now_)) continue;
      if (service) {
        services_.emplace_back(choice.worker, request.id);
      } else {
        running_.push_back(request.id);
      }
    }
  }

  // Sends two rounds of reports, one from each instance per round.
  void MeasureReports() {
    constexpr int kRounds = 2;
    const Duration before = ProcessorTime();
    for (int round = 0; round < kRounds; ++round) {
      now_ += std::chrono::seconds(5);
      for (const std::pair<std::string, contracts::AttemptId>& service :
           services_) {
        placement_->OnReport(
            {.worker = service.first,
             .tasks = {{.id = service.second,
                        .used = {.milli_cpus = 300},
                        .latency_p99 = std::chrono::microseconds(
                            20000 + random_() % 4000)}}},
            now_);
      }
    }
    figures_.report_us = Microseconds(
        ProcessorTime() - before, kRounds * static_cast<int>(services_.size()));
  }

  // Repeatedly ends the oldest batch task and tries to start a new one. Starts
  // for which no worker is found are timed apart.
  void MeasureChurn() {
    Duration start_time = Duration::zero();
    Duration end_time = Duration::zero();
    Duration unplaced_time = Duration::zero();
    int starts = 0;
    int unplaced = 0;
    for (int i = 0; i < kMeasuredStarts && !running_.empty(); ++i) {
      now_ += std::chrono::milliseconds(1);
      const contracts::AttemptId oldest = running_.front();
      running_.pop_front();
      const TaskRequest request = MakeRequest(false);
      const Duration t0 = ProcessorTime();
      placement_->End(oldest, placement::TaskEnd::kFinished, now_);
      const Duration t1 = ProcessorTime();
      const Choice choice = placement_->Choose(request, now_);
      const bool started = placement_->Commit(choice, request, now_);
      const Duration t2 = ProcessorTime();
      end_time += t1 - t0;
      (started ? start_time : unplaced_time) += t2 - t1;
      ++(started ? starts : unplaced);
      if (started) running_.push_back(request.id);
    }
    figures_.start_us = Microseconds(start_time, starts);
    figures_.unplaced_us = Microseconds(unplaced_time, unplaced);
    figures_.end_us = Microseconds(end_time, starts + unplaced);
  }

  std::mt19937_64 random_;
  std::unique_ptr<Placement> placement_;
  std::deque<contracts::AttemptId> running_;
  std::vector<std::pair<std::string, contracts::AttemptId>> services_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t next_task_number_ = 0;
  Figures figures_;
};

std::vector<std::size_t> ParseList(const std::string& text) {
  std::vector<std::size_t> list;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    try {
      list.push_back(std::stoul(part));
    } catch (const std::logic_error&) {
      throw Error("measure", text, "expected numbers separated by commas");
    }
    if (list.back() == 0) {
      throw Error("measure", text, "expected numbers of at least 1");
    }
  }
  if (list.empty()) {
    throw Error("measure", text, "expected at least one number");
  }
  return list;
}

void Print(const Figures& figures) {
  std::cout << "- workers: " << figures.workers
            << "\n  tasks: " << figures.tasks
            << "\n  processor_us_per_start: " << figures.start_us
            << "\n  processor_us_per_held: " << figures.unplaced_us
            << "\n  processor_us_per_end: " << figures.end_us
            << "\n  processor_us_per_report: " << figures.report_us
            << "\n  starts_per_second_on_one_core: "
            << 1e6 / (figures.start_us + figures.end_us)
            << "\n  bytes_per_worker: " << figures.bytes_per_worker
            << "\n  bytes_per_task: " << figures.bytes_per_task
            << "\n  bytes_per_reporting_instance: "
            << figures.bytes_per_instance << "\n";
}

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Measures the cost of placement decisions", ' ',
                      cli::Version());
  TCLAP::ValueArg<std::string> workers(
      "w", "workers", "Numbers of workers, separated by commas", false,
      "50,500,5800", "LIST", line);
  TCLAP::ValueArg<std::size_t> tasks("t", "tasks",
                                     "Number of tasks of the largest pool",
                                     false, 70000, "N", line);
  TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed", false, 1, "N", line);
  const std::optional<cli::ExitCode> end =
      cli::ParseArguments(line, "starts", args);
  if (end.has_value()) return *end;
  const std::vector<std::size_t> list = ParseList(workers.getValue());
  const std::size_t largest = *std::max_element(list.begin(), list.end());
  std::cout << std::setprecision(4);
  for (const std::size_t count : list) {
    StartsMeasure measure(count, tasks.getValue() * count / largest,
                          seed.getValue());
    Print(measure.Run());
  }
  return cli::ExitCode::kDone;
}

}  // namespace

cli::Command StartsCommand() {
  return {.name = "starts",
          .summary = "cost of placement decisions by number of workers",
          .run = Run};
}

}  // namespace carobmast::measure
