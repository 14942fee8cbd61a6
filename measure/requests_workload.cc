#include "measure/requests_workload.h"

#include <cmath>
#include <random>

#include "embedded/MontevideoYaml.h"
#include "embedded/ZagrebYaml.h"
#include "framework/base/error.h"
#include "framework/settings/settings.h"

namespace carobmast::measure {

using requests::fakes::InstanceMode;
using settings::SettingsReader;

namespace {

constexpr std::int64_t kPerMille = 1000;
constexpr std::int64_t kMaxCount = 100'000;

double NumberOr(SettingsReader& reader, const std::string& key,
                double fallback) {
  if (!reader.Has(key)) return fallback;
  return std::stod(reader.String(key));
}

InstanceMode ReadMode(SettingsReader& reader) {
  const std::string name = reader.StringOr("mode", "healthy");
  if (name == "healthy") return InstanceMode::kHealthy;
  if (name == "dead") return InstanceMode::kDead;
  if (name == "failing") return InstanceMode::kFailing;
  reader.Fail("mode", "expected healthy, dead or failing");
}

Operation ReadOperation(SettingsReader& reader) {
  Operation operation;
  operation.name = reader.String("name");
  operation.share = reader.Int("share", 0, kPerMille);
  operation.mean = reader.DurationOr("mean", Duration::zero());
  operation.sigma = NumberOr(reader, "sigma", 0);
  operation.idempotent = reader.BoolOr("idempotent", true);
  operation.is_short = reader.BoolOr("short", true);
  operation.stragglers = reader.IntOr("stragglers", 0, kPerMille, 0);
  operation.straggler_factor =
      reader.IntOr("straggler_factor", 1, kPerMille, 1);
  reader.Finish();
  return operation;
}

config::SizeClass ReadClass(SettingsReader& reader) {
  config::SizeClass read;
  read.up_to = reader.DurationOr("up_to", Duration::zero());
  read.max_share =
      static_cast<std::uint32_t>(reader.IntOr("max_share", 1, 100, 100));
  reader.Finish();
  return read;
}

Fault ReadFault(SettingsReader& reader) {
  Fault fault;
  fault.at = reader.DurationOr("at", Duration::zero());
  fault.instance =
      static_cast<std::size_t>(reader.Int("instance", 0, kMaxCount));
  fault.mode = ReadMode(reader);
  fault.slowness = NumberOr(reader, "slowness", 1);
  reader.Finish();
  return fault;
}

Workload Read(SettingsReader reader) {
  Workload workload;
  workload.service = reader.String("service");
  workload.zones = reader.StringList("zones");
  workload.instances =
      static_cast<std::size_t>(reader.Int("instances", 1, kMaxCount));
  workload.slots =
      static_cast<std::uint32_t>(reader.Int("slots", 1, kMaxCount));
  workload.connections =
      static_cast<std::uint32_t>(reader.Int("connections", 1, kMaxCount));
  workload.deadline = reader.DurationOr("deadline", std::chrono::seconds(1));
  for (SettingsReader& entry : reader.MapList("classes")) {
    workload.classes.push_back(ReadClass(entry));
  }
  for (SettingsReader& entry : reader.MapList("operations")) {
    workload.operations.push_back(ReadOperation(entry));
  }
  for (SettingsReader& entry : reader.MapList("faults")) {
    workload.faults.push_back(ReadFault(entry));
  }
  reader.Map("demand");
  reader.Finish();
  return workload;
}

// Returns the factor by which stragglers lengthen the operation's mean.
double StragglerFactor(const Operation& operation) {
  const double fraction = static_cast<double>(operation.stragglers) / kPerMille;
  return 1 + fraction * static_cast<double>(operation.straggler_factor - 1);
}

Duration SampleLength(const Operation& operation, std::mt19937_64& random) {
  // exp(m + sigma * z) has the mean exp(m + sigma^2 / 2); m is chosen so that
  // the mean is operation.mean.
  std::normal_distribution<double> normal;
  const double mean = static_cast<double>(operation.mean.count());
  double length = mean * std::exp(operation.sigma * normal(random) -
                                  operation.sigma * operation.sigma / 2);
  if (static_cast<std::int64_t>(random() % kPerMille) < operation.stragglers) {
    length *= static_cast<double>(operation.straggler_factor);
  }
  return Duration(static_cast<Duration::rep>(length));
}

const Operation& SampleOperation(const Workload& workload,
                                 std::mt19937_64& random) {
  std::int64_t left = static_cast<std::int64_t>(random() % kPerMille);
  for (const Operation& operation : workload.operations) {
    left -= operation.share;
    if (left < 0) return operation;
  }
  return workload.operations.back();
}

}  // namespace

Duration Workload::MeanLength() const {
  double sum = 0;
  double shares = 0;
  for (const Operation& operation : operations) {
    const double share = static_cast<double>(operation.share);
    shares += share;
    sum += share * static_cast<double>(operation.mean.count()) *
           StragglerFactor(operation);
  }
  return Duration(static_cast<Duration::rep>(sum / shares));
}

Workload LoadWorkload(const std::string& name) {
  if (name == "zagreb") {
    return Read(SettingsReader::Parse(std::string(ZagrebYaml()), name));
  }
  if (name == "montevideo") {
    return Read(SettingsReader::Parse(std::string(MontevideoYaml()), name));
  }
  return Read(SettingsReader::Load(name));
}

std::vector<Request> GenerateRequests(const Workload& workload,
                                      const RequestGeneratorOptions& options) {
  std::mt19937_64 random(options.seed);
  const double slots = static_cast<double>(workload.instances * workload.slots);
  const double interval = static_cast<double>(workload.MeanLength().count()) *
                          100 / (slots * static_cast<double>(options.load));
  std::exponential_distribution<double> interarrival(1 / interval);
  std::vector<Request> requests;
  double at = interarrival(random);
  while (at < static_cast<double>(options.length.count())) {
    const Operation& operation = SampleOperation(workload, random);
    requests.push_back(
        {.at = Duration(static_cast<Duration::rep>(at)),
         .gateway = static_cast<std::size_t>(random() % options.gateways),
         .is_short = operation.is_short,
         .work = {.number = requests.size() + 1,
                  .operation = operation.name,
                  .idempotent = operation.idempotent,
                  .length = SampleLength(operation, random)}});
    const bool demand_peak = options.demand_peak.Covers(requests.back().at);
    at += interarrival(random) /
          (demand_peak ? static_cast<double>(options.demand_peak.factor) : 1.0);
  }
  return requests;
}

}  // namespace carobmast::measure
