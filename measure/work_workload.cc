#include "measure/work_workload.h"

#include <embedded/WorkMontevideoYaml.h>
#include <embedded/WorkZagrebYaml.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "framework/settings/settings.h"

namespace carobmast::measure {

namespace {

using settings::SettingsReader;

constexpr std::int64_t kMaxCount = 1000000;
constexpr double kSecondsPerHour = 3600;

double Decimal(SettingsReader& reader, const std::string& key) {
  try {
    return std::stod(reader.String(key));
  } catch (const std::logic_error&) {
    reader.Fail(key, "expected a number");
  }
}

contracts::Resources ReadResources(SettingsReader& reader) {
  return {
      .milli_cpus =
          static_cast<std::uint64_t>(reader.Int("cpus", 1, kMaxCount)) * 1000,
      .memory = reader.ByteCountOr("memory", {})};
}

void ReadPool(SettingsReader reader, WorkWorkload& workload) {
  workload.zones = reader.StringList("zones");
  if (workload.zones.empty()) reader.Fail("zones", "expected a zone");
  workload.workers =
      static_cast<std::size_t>(reader.Int("workers", 1, kMaxCount));
  workload.worker = ReadResources(reader);
  workload.rack_size =
      static_cast<std::size_t>(reader.IntOr("rack", 1, kMaxCount, 8));
  workload.guards = reader.BoolOr("guards", false);
  reader.Finish();
}

void ReadService(SettingsReader reader, WorkWorkload& workload) {
  workload.service = reader.String("name");
  workload.instances =
      static_cast<std::size_t>(reader.Int("instances", 1, kMaxCount));
  workload.instance = ReadResources(reader);
  workload.median = reader.DurationOr("median", std::chrono::milliseconds(10));
  workload.sigma = Decimal(reader, "sigma");
  workload.deadline = reader.DurationOr("deadline", std::chrono::seconds(1));
  reader.Finish();
}

void ReadReports(SettingsReader reader, WorkWorkload& workload) {
  workload.report_every = reader.DurationOr("every", std::chrono::seconds(5));
  workload.report_lag = reader.DurationOr("lag", std::chrono::seconds(10));
  workload.report_noise =
      static_cast<double>(reader.IntOr("noise", 0, 1000, 0)) / 100;
  reader.Finish();
}

BatchType ReadBatchType(SettingsReader reader) {
  BatchType type{.name = reader.String("name"),
                 .per_hour = reader.Int("per_hour", 0, kMaxCount),
                 .need = ReadResources(reader)};
  type.declared = reader.DurationOr("declared", std::chrono::minutes(1));
  type.mean = reader.DurationOr("mean", std::chrono::minutes(1));
  type.sigma = Decimal(reader, "sigma");
  const double percent =
      static_cast<double>(reader.IntOr("interference", 0, kMaxCount, 0));
  type.interference = std::log(1 + percent / 100);
  type.stragglers = reader.IntOr("stragglers", 0, 1000, 0);
  type.straggler_factor = reader.IntOr("straggler_factor", 1, 1000, 1);
  type.checkpoints = reader.BoolOr("checkpoints", false);
  reader.Finish();
  return type;
}

void ReadLists(SettingsReader& reader, WorkWorkload& workload) {
  for (SettingsReader& entry : reader.MapList("load")) {
    workload.load.push_back(
        {.at = entry.DurationOr("at", {}),
         .utilization =
             static_cast<double>(entry.Int("percent", 0, 100)) / 100});
    entry.Finish();
  }
  for (const SettingsReader& entry : reader.MapList("batch")) {
    workload.batch.push_back(ReadBatchType(entry));
  }
  for (SettingsReader& entry : reader.MapList("waves")) {
    workload.waves.push_back({.at = entry.DurationOr("at", {}),
                              .length = entry.DurationOr("for", {}),
                              .type = entry.String("name"),
                              .factor = entry.Int("factor", 1, kMaxCount)});
    entry.Finish();
  }
  for (SettingsReader& entry : reader.MapList("bad_workers")) {
    workload.bad_workers.push_back(
        {.worker = static_cast<std::size_t>(entry.Int("worker", 0, kMaxCount)),
         .from = entry.DurationOr("from", {}),
         .until = entry.DurationOr("until", {})});
    entry.Finish();
  }
}

SettingsReader Open(const std::string& name) {
  if (name == "zagreb") {
    return SettingsReader::Parse(std::string(WorkZagrebYaml()), name);
  }
  if (name == "montevideo") {
    return SettingsReader::Parse(std::string(WorkMontevideoYaml()), name);
  }
  return SettingsReader::Load(name);
}

std::int64_t FactorAt(const WorkWorkload& workload, const std::string& type,
                      Duration at) {
  std::int64_t factor = 1;
  for (const Wave& wave : workload.waves) {
    if (wave.type == type && at >= wave.at && at < wave.at + wave.length) {
      factor *= wave.factor;
    }
  }
  return factor;
}

Duration SampleRunTime(const BatchType& type, std::mt19937_64& random) {
  // A lognormal has the mean exp(mu + sigma^2 / 2), so this one has the mean 1.
  std::lognormal_distribution<double> length(-type.sigma * type.sigma / 2,
                                             type.sigma);
  double factor = length(random);
  if (static_cast<std::int64_t>(random() % 1000) < type.stragglers) {
    factor *= static_cast<double>(type.straggler_factor);
  }
  const double run_time = static_cast<double>(type.mean.count()) * factor;
  return std::max<Duration>(Duration(static_cast<Duration::rep>(run_time)),
                            std::chrono::seconds(1));
}

// Generates the arrivals of one type, second by second. Each type has a random
// engine of its own, so that a change of one leaves the others alone.
void GenerateArrivals(const WorkWorkload& workload, std::size_t index,
                      std::uint64_t seed, std::vector<BatchTask>& tasks) {
  const BatchType& type = workload.batch[index];
  std::mt19937_64 random(seed * 1000003 + index);
  for (Duration at = Duration::zero(); at < workload.length;
       at += std::chrono::seconds(1)) {
    const double mean =
        static_cast<double>(type.per_hour * FactorAt(workload, type.name, at)) /
        kSecondsPerHour;
    if (mean <= 0) continue;
    std::poisson_distribution<int> arrivals(mean);
    const int count = arrivals(random);
    for (int i = 0; i < count; ++i) {
      tasks.push_back(
          {.at = at, .type = index, .run_time = SampleRunTime(type, random)});
    }
  }
}

}  // namespace

double WorkWorkload::UtilizationAt(Duration at) const {
  double utilization = 0;
  for (const LoadPoint& point : load) {
    if (point.at <= at) utilization = point.utilization;
  }
  return utilization;
}

double WorkWorkload::PeakUtilization() const {
  double peak = 0;
  for (const LoadPoint& point : load) peak = std::max(peak, point.utilization);
  return peak;
}

WorkWorkload LoadWorkWorkload(const std::string& name) {
  SettingsReader reader = Open(name);
  WorkWorkload workload;
  workload.length = reader.DurationOr("length", std::chrono::hours(1));
  ReadPool(reader.Map("pool"), workload);
  ReadService(reader.Map("service"), workload);
  ReadReports(reader.Map("reports"), workload);
  ReadLists(reader, workload);
  reader.Finish();
  return workload;
}

std::vector<BatchTask> GenerateBatchTasks(const WorkWorkload& workload,
                                          std::uint64_t seed) {
  std::vector<BatchTask> tasks;
  for (std::size_t i = 0; i < workload.batch.size(); ++i) {
    GenerateArrivals(workload, i, seed, tasks);
  }
  std::stable_sort(
      tasks.begin(), tasks.end(),
      [](const BatchTask& a, const BatchTask& b) { return a.at < b.at; });
  return tasks;
}

}  // namespace carobmast::measure
