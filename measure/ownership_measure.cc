#include "measure/ownership_measure.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "work/fakes/fake_world.h"

namespace carobmast::measure {
namespace {

using work::FakeWorld;

constexpr char kSummary[] =
    "Ownership of workers in virtual time: recovery, appends, cost of starts";
constexpr int kZones = 3;
constexpr int kSchedulersPerZone = 3;
constexpr int kRackSize = 8;
constexpr int kRacksPerZone = 2;
constexpr int kCells = kZones * kRacksPerZone;
// Peak start rate at the target size.
constexpr std::uint32_t kStartsPerSecond = 780;
constexpr std::chrono::minutes kRecoveryTimeout{5};

contracts::Resources MakeResources(std::uint64_t milli_cpus,
                                   std::uint64_t megabytes) {
  return {.milli_cpus = milli_cpus,
          .memory = {.bytes = megabytes * 1000 * 1000}};
}

void AddSchedulers(FakeWorld& world, const std::string& prefix) {
  for (int zone = 0; zone < kZones; ++zone) {
    for (int i = 0; i < kSchedulersPerZone; ++i) {
      const std::string name = "z" + std::to_string(zone);
      world.AddScheduler(
          {.name = prefix + name + "-" + std::to_string(i), .zone = name});
    }
  }
}

void AddWorkers(FakeWorld& world, const contracts::Resources& capacity) {
  for (int zone = 0; zone < kZones; ++zone) {
    const std::string name = "z" + std::to_string(zone);
    for (int i = 0; i < kRacksPerZone * kRackSize; ++i) {
      world.AddWorker({.name = name + "-w" + std::to_string(i),
                       .zone = name,
                       .rack = "r" + std::to_string(i / kRackSize),
                       .pool = "pool",
                       .capacity = capacity});
    }
  }
}

config::BatchJob Job(std::uint32_t tasks, const contracts::Resources& task) {
  return {.name = "job",
          .pool = "pool",
          .program = "run 5s",
          .tasks = tasks,
          .task = task};
}

std::size_t CountServingCells(FakeWorld& world) {
  std::size_t cells = 0;
  for (const std::string& name : world.scheduler_names()) {
    cells += world.scheduler(name)->serving_cells();
  }
  return cells;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void Print(const std::string& name, std::vector<double> values) {
  std::sort(values.begin(), values.end());
  std::cout << name << ": {p50: " << values[values.size() / 2]
            << ", max: " << values.back() << "}\n";
}

// Starts workers and schedulers. Within the two minutes every cell is served,
// and cells are spread evenly over the schedulers.
void SetUpCluster(FakeWorld& world) {
  AddWorkers(world, MakeResources(16000, 60000));
  AddSchedulers(world, "");
  world.RunFor(std::chrono::minutes(2));
}

// Kills one owner. Returns the seconds until all cells are served again.
double MeasureOwnerRecovery(std::uint64_t seed) {
  FakeWorld world({.seed = seed});
  SetUpCluster(world);
  for (const std::string& name : world.scheduler_names()) {
    if (world.scheduler(name)->serving_cells() == 0) continue;
    // Each run kills at another point of the heartbeat interval.
    world.RunFor(std::chrono::milliseconds(seed * 137 % 2000));
    world.KillScheduler(name);
    break;
  }
  const Duration from = world.now();
  world.RunUntil([&] { return CountServingCells(world) == kCells; },
                 kRecoveryTimeout);
  return Seconds(world.now() - from);
}

// Kills and replaces all schedulers and submits a task. Returns the seconds
// until the task runs.
double MeasureFirstPlacement(std::uint64_t seed) {
  FakeWorld world({.seed = seed});
  SetUpCluster(world);
  world.RunFor(std::chrono::milliseconds(seed * 137 % 2000));
  for (const std::string& name : world.scheduler_names()) {
    world.KillScheduler(name);
  }
  AddSchedulers(world, "new-");
  world.Submit("sub", Job(1, MakeResources(1000, 1000)));
  const Duration from = world.now();
  world.RunUntil([&] { return !world.RunningOn("sub/0").empty(); },
                 kRecoveryTimeout);
  return Seconds(world.now() - from);
}

std::uint64_t CountStarts(FakeWorld& world) {
  std::uint64_t starts = 0;
  for (const std::string& name : world.worker_names()) {
    starts += world.worker(name).starts();
  }
  return starts;
}

// Submits tasks at the peak rate and prints the cost per start.
void MeasureStartRate(std::uint64_t seed, int seconds) {
  FakeWorld world({.seed = seed, .check = false});
  AddWorkers(world, MakeResources(160000, 600000));
  AddSchedulers(world, "");
  world.RunFor(std::chrono::minutes(2));
  const std::uint64_t appends = world.appends();
  std::uint64_t bytes = 0;
  const std::size_t records = world.log().size();
  const std::clock_t cpu = std::clock();
  for (int i = 0; i < seconds; ++i) {
    world.Submit("sub" + std::to_string(i),
                 Job(kStartsPerSecond, MakeResources(1000, 1000)));
    world.RunFor(std::chrono::seconds(1));
  }
  const std::uint64_t starts = CountStarts(world);
  const double cpu_seconds =
      static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
  for (std::size_t i = records; i < world.log().size(); ++i) {
    bytes += world.log()[i].data.size();
  }
  const int schedulers = kZones * kSchedulersPerZone;
  std::cout << "starts_per_second: " << static_cast<double>(starts) / seconds
            << "\n"
            << "appends_per_second: "
            << static_cast<double>(world.appends() - appends) / seconds << "\n"
            << "log_bytes_per_start: "
            << static_cast<double>(bytes) / static_cast<double>(starts) << "\n"
            << "cpu_us_per_start_and_scheduler_with_fakes: "
            << cpu_seconds * 1e6 / static_cast<double>(starts) / schedulers
            << "\n";
}

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine line(kSummary, ' ', cli::Version());
  TCLAP::ValueArg<int> seed("", "seed", "Seed", false, 1, "N", line);
  TCLAP::ValueArg<int> runs("", "runs", "Runs of each recovery measurement",
                            false, 20, "N", line);
  TCLAP::ValueArg<int> seconds("", "seconds",
                               "Seconds of submissions at the peak rate", false,
                               10, "N", line);
  const std::optional<cli::ExitCode> end =
      cli::ParseArguments(line, "ownership", args);
  if (end.has_value()) return *end;
  std::vector<double> owner_recoveries;
  std::vector<double> first_placements;
  for (int i = 0; i < std::max(runs.getValue(), 1); ++i) {
    const std::uint64_t run_seed =
        static_cast<std::uint64_t>(seed.getValue()) + i;
    owner_recoveries.push_back(MeasureOwnerRecovery(run_seed));
    first_placements.push_back(MeasureFirstPlacement(run_seed));
  }
  std::cout << "seed: " << seed.getValue()
            << "\nruns: " << owner_recoveries.size()
            << "\nschedulers: " << kZones * kSchedulersPerZone
            << "\nworkers: " << kCells * kRackSize << "\n";
  Print("owner_recovery_s", owner_recoveries);
  Print("first_placement_after_all_replaced_s", first_placements);
  MeasureStartRate(seed.getValue(), std::max(seconds.getValue(), 1));
  return cli::ExitCode::kDone;
}

}  // namespace

cli::Command OwnershipCommand() {
  return {.name = "ownership", .summary = kSummary, .run = Run};
}

}  // namespace carobmast::measure
