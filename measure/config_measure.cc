#include "measure/config_measure.h"

#include <malloc.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <ctime>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "config/check.h"
#include "config/codec.h"
#include "config/fold.h"
#include "config/record.h"

namespace carobmast::measure {
namespace {

namespace json = boost::json;

constexpr std::size_t kChanges = 2000;
constexpr std::size_t kMaxTeams = 610;
constexpr std::size_t kPools = 16;
constexpr double kChangesPerDay = 6000;
constexpr double kSecondsPerDay = 86'400;

Duration ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

double Microseconds(Duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Generates configuration sets with services, batch jobs and standing workers
// in the ratio 3:6:1 that the users have, over at most 610 teams and 16 pools.
class ConfigSetGenerator {
 public:
  explicit ConfigSetGenerator(std::size_t objects)
      : objects_(objects),
        teams_(std::clamp<std::size_t>(objects / 50, 1, kMaxTeams)) {}

  config::Change Make() const {
    config::Change change;
    change.put.reserve(objects_);
    for (std::size_t i = 0; i < teams_; ++i) change.put.push_back(MakeTeam(i));
    for (std::size_t i = 0; i < kPools; ++i) change.put.push_back(MakePool(i));
    for (std::size_t i = teams_ + kPools; i < objects_; ++i) {
      change.put.push_back(MakeWorkload(i, 1));
    }
    return change;
  }

  // Returns a change that sets the size (instances, tasks or replicas) of one
  // service, batch job or standing worker.
  config::Change MakeChange(std::size_t number, std::uint32_t size) const {
    const std::size_t first = teams_ + kPools;
    const std::size_t i = first + number % (objects_ - first);
    config::Change change;
    change.put.push_back(MakeWorkload(i, size));
    return change;
  }

 private:
  static contracts::Resources TaskResources() {
    return {.milli_cpus = 500, .memory = {.bytes = 2'000'000'000}};
  }

  config::Object MakeTeam(std::size_t i) const {
    return config::Team{.name = "team-" + std::to_string(i),
                        .quota = {.milli_cpus = 1'000'000'000,
                                  .memory = {.bytes = 4'000'000'000'000'000}},
                        .priority = config::Priority::kHigh,
                        .max_requests = 2000};
  }

  config::Object MakePool(std::size_t i) const {
    return config::VmPool{.name = "pool-" + std::to_string(i),
                          .zones = {"zone-a", "zone-b", "zone-c"},
                          .workers = 100'000,
                          .worker = {.milli_cpus = 4'096'000,
                                     .memory = {.bytes = 60'000'000'000'000}},
                          .guards = true};
  }

  config::Object MakeWorkload(std::size_t i, std::uint32_t size) const {
    const std::string number = std::to_string(i);
    const std::string team = "team-" + std::to_string(i % teams_);
    const std::string pool = "pool-" + std::to_string(i % kPools);
    if (i % 10 < 3) {
      return config::Service{.name = "portal-service-" + number,
                             .team = team,
                             .pool = pool,
                             .program = "registry/portal-service:" + number,
                             .instances = size,
                             .instance = TaskResources()};
    }
    if (i % 10 < 9) {
      return config::BatchJob{.name = "reconciliation-" + number,
                              .team = team,
                              .pool = pool,
                              .program = "registry/reconciliation:" + number,
                              .tasks = size,
                              .task = TaskResources(),
                              .expected_run_time = std::chrono::minutes(10),
                              .checkpoints = true};
    }
    return config::StandingWorker{
        .name = "claims-watcher-" + number,
        .team = team,
        .pool = pool,
        .program = "registry/claims-watcher:" + number,
        .replicas = size,
        .task = TaskResources()};
  }

  std::size_t objects_;
  std::size_t teams_;
};

struct FoldCost {
  std::size_t record_bytes = 0;
  Duration fold = Duration::zero();
};

// Folds a change of one object. The publisher's processor time is not counted.
FoldCost FoldOneChange(config::ConfigFold& fold,
                       config::ObjectSet& publisher_set,
                       const config::Change& change) {
  publisher_set.Apply(change, config::Stamp{});
  const config::PublishRecord publish{.base = fold.head().offset,
                                      .publisher = "operator",
                                      .digest = publisher_set.Digest(),
                                      .change = change};
  const contracts::LogRecord record{.offset = fold.head().through + 1,
                                    .id = "publish-0123456789abcdef",
                                    .data = config::EncodePublish(publish)};
  const Duration before = ProcessorTime();
  const config::Verdict verdict = fold.OnRecord(record);
  const Duration used = ProcessorTime() - before;
  if (verdict.kind != config::VerdictKind::kAccepted) {
    std::cerr << "refused: " << verdict.reason << "\n";
  }
  return {.record_bytes = record.data.size(), .fold = used};
}

// Makes the fold adopt the whole set, as a restarted process does.
void AdoptSet(const config::Change& initial_set, config::ConfigFold& fold) {
  config::ObjectSet set;
  set.Apply(initial_set, config::Stamp{.offset = 1});
  config::WholeSet whole{
      .head = {.offset = 1, .digest = set.Digest(), .through = 1}};
  set.ForEachAfter("", [&](const config::StampedObject& object) {
    whole.objects.push_back(object);
    return true;
  });
  fold.Adopt(whole);
}

void MeasureCompaction(const config::ConfigFold& fold, json::object& out) {
  const Duration start = ProcessorTime();
  std::vector<contracts::NewRecord> records =
      config::EncodeCompaction(fold.head(), fold.set(), "group");
  const Duration encoded = ProcessorTime();
  std::size_t bytes = 0;
  config::CompactionCollector collector(1);
  config::ConfigFold restored;
  for (std::size_t i = 0; i < records.size(); ++i) {
    bytes += records[i].data.size();
    const contracts::LogRecord record{.offset = i + 2,
                                      .id = records[i].id,
                                      .data = std::move(records[i].data)};
    const std::optional<config::WholeSet> whole = collector.OnRecord(record, 1);
    if (whole.has_value()) restored.Adopt(*whole);
  }
  const Duration adopted = ProcessorTime();
  out["compaction_bytes"] = bytes;
  out["compaction_records"] = records.size();
  out["compaction_write_cpu_ms"] = Microseconds(encoded - start) / 1000;
  out["start_from_compaction_cpu_ms"] = Microseconds(adopted - encoded) / 1000;
}

void MeasureCheck(const config::ConfigFold& fold, json::object& out) {
  const std::string yaml = config::SetToYaml(fold.set().objects());
  const Duration before = ProcessorTime();
  const config::CheckedSet checked = config::CheckText(yaml, "set.yaml");
  out["file_bytes"] = yaml.size();
  out["check_cpu_ms"] = Microseconds(ProcessorTime() - before) / 1000;
  out["check_errors"] = checked.errors.size();
}

json::object MeasureSize(std::size_t objects, std::uint64_t seed) {
  const ConfigSetGenerator generator(objects);
  const config::Change initial_set = generator.Make();
  const std::size_t memory_before = AllocatedBytes();
  config::ConfigFold fold;
  AdoptSet(initial_set, fold);
  const std::size_t memory = AllocatedBytes() - memory_before;

  config::ObjectSet publisher_set;
  publisher_set.Apply(initial_set, config::Stamp{});
  std::mt19937_64 random(seed);
  std::vector<double> fold_times;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < kChanges; ++i) {
    const FoldCost cost = FoldOneChange(
        fold, publisher_set,
        generator.MakeChange(random(), static_cast<std::uint32_t>(2 + i % 7)));
    bytes += cost.record_bytes;
    fold_times.push_back(Microseconds(cost.fold));
  }
  std::sort(fold_times.begin(), fold_times.end());
  double sum = 0;
  for (const double time : fold_times) sum += time;

  json::object out{{"objects", objects}};
  out["memory_bytes"] = memory;
  out["memory_bytes_per_object"] =
      static_cast<double>(memory) / static_cast<double>(objects);
  out["change_record_bytes"] =
      static_cast<double>(bytes) / static_cast<double>(kChanges);
  out["fold_cpu_us_mean"] = sum / static_cast<double>(kChanges);
  out["fold_cpu_us_p50"] = fold_times[kChanges / 2];
  out["fold_cpu_us_p99"] = fold_times[kChanges * 99 / 100];
  out["at_6000_changes_a_day_bytes_per_s"] = static_cast<double>(bytes) /
                                             static_cast<double>(kChanges) *
                                             kChangesPerDay / kSecondsPerDay;
  out["at_6000_changes_a_day_percent_of_core"] =
      sum / static_cast<double>(kChanges) / 1e6 * kChangesPerDay /
      kSecondsPerDay * 100;
  MeasureCompaction(fold, out);
  MeasureCheck(fold, out);
  return out;
}

// Parses numbers of at least 100 separated by commas, such as "1000,10000".
// Returns an empty list when malformed.
std::vector<std::size_t> ParseSizes(const std::string& text) {
  std::vector<std::size_t> sizes;
  const char* end = text.data() + text.size();
  for (const char* at = text.data(); at < end; ++at) {
    std::size_t size = 0;
    const std::from_chars_result result = std::from_chars(at, end, size);
    if (result.ec != std::errc() || size < 100) return {};
    sizes.push_back(size);
    at = result.ptr;
    if (at < end && *at != ',') return {};
  }
  return sizes;
}

void PrintYaml(const json::object& result) {
  const char* prefix = "- ";
  for (const json::key_value_pair& entry : result) {
    std::cout << prefix << entry.key() << ": ";
    if (entry.value().is_double()) {
      std::cout << entry.value().get_double();
    } else {
      std::cout << entry.value();
    }
    std::cout << "\n";
    prefix = "  ";
  }
}

cli::ExitCode RunConfig(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Measures the cost of a configuration set by its size",
                      ' ', cli::Version());
  TCLAP::ValueArg<std::string> objects("", "objects", "Numbers of objects",
                                       false, "1000,10000,100000", "N,N...",
                                       line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the changes", false,
                                      1, "NUMBER", line);
  std::vector<std::string> formats = {"yaml", "json"};
  TCLAP::ValuesConstraint<std::string> constraint(formats);
  TCLAP::ValueArg<std::string> output("", "output", "Format of the result",
                                      false, "yaml", &constraint, line);
  const std::optional<cli::ExitCode> end =
      cli::ParseArguments(line, "config", args);
  if (end.has_value()) return *end;
  const std::vector<std::size_t> sizes = ParseSizes(objects.getValue());
  if (sizes.empty()) {
    std::cerr << "carobmast_measure config: --objects: expected numbers of at "
                 "least 100, separated by commas\n";
    return cli::ExitCode::kUsage;
  }
  json::array results;
  for (const std::size_t size : sizes) {
    results.push_back(MeasureSize(size, seed.getValue()));
    if (output.getValue() == "yaml") PrintYaml(results.back().get_object());
  }
  if (output.getValue() == "json") std::cout << results << "\n";
  return cli::ExitCode::kDone;
}

}  // namespace

cli::Command ConfigMeasureCommand() {
  return {.name = "config",
          .summary = "cost of a configuration set by its size",
          .run = RunConfig};
}

}  // namespace carobmast::measure
