#include "standin/settings.h"

#include <utility>

#include "framework/settings/settings.h"

namespace carobmast::standin {

using contracts::Vm;
using contracts::VmRole;

namespace {

constexpr std::int64_t kMaxWorkers = 1000;
// Per worker; limits accelerators as well.
constexpr std::int64_t kMaxCpus = 4096;

Vm ReadEntry(settings::SettingsReader& reader) {
  Vm vm{.role = VmRole::kEntry};
  vm.name = reader.String("name");
  vm.zone = reader.String("zone");
  vm.address = reader.Address("address").ToString();
  reader.Finish();
  return vm;
}

// Pads to two digits, so that the names of workers sort by number.
std::string TwoDigits(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return digits.size() < 2 ? "0" + digits : digits;
}

void ReadSizes(settings::SettingsReader& reader, StandInSettings& result) {
  result.workers = static_cast<std::uint32_t>(
      reader.IntOr("workers", 1, kMaxWorkers, result.workers));
  result.rack_size = static_cast<std::uint32_t>(
      reader.IntOr("rack_size", 1, kMaxWorkers, result.rack_size));
  result.capacity.milli_cpus =
      1000 * static_cast<std::uint64_t>(reader.IntOr("cpus", 1, kMaxCpus, 16));
  result.capacity.memory = reader.ByteCountOr("memory", result.capacity.memory);
  result.capacity.accelerators =
      static_cast<std::uint32_t>(reader.IntOr("accelerators", 0, kMaxCpus, 0));
}

void ReadTimes(settings::SettingsReader& reader, StandInSettings& result) {
  result.vm_list_lag = reader.DurationOr("vm_list_lag", result.vm_list_lag);
  result.log_retention =
      reader.DurationOr("log_retention", result.log_retention);
  result.default_run = reader.DurationOr("default_run", result.default_run);
  result.checkpoint_interval =
      reader.DurationOr("checkpoint_interval", result.checkpoint_interval);
  result.usage_lag = reader.DurationOr("usage_lag", result.usage_lag);
  result.target_mean_run =
      reader.DurationOr("target_mean_run", result.target_mean_run);
}

}  // namespace

StandInSettings ReadStandInSettings(const std::string& path) {
  settings::SettingsReader reader = settings::SettingsReader::Load(path);
  StandInSettings result;
  result.listen = reader.AddressOr("listen", result.listen);
  result.zones = reader.StringList("zones");
  if (result.zones.empty()) reader.Fail("zones", "expected at least one zone");
  result.pool = reader.StringOr("pool", result.pool);
  result.seed =
      static_cast<std::uint64_t>(reader.IntOr("seed", 0, 1'000'000'000, 1));
  ReadSizes(reader, result);
  ReadTimes(reader, result);
  if (reader.Has("entries")) {
    for (settings::SettingsReader& entry : reader.MapList("entries")) {
      result.entries.push_back(ReadEntry(entry));
    }
  }
  reader.Finish();
  return result;
}

std::vector<Vm> MakeWorkerVms(const StandInSettings& settings) {
  std::vector<Vm> vms;
  const std::size_t zones = settings.zones.size();
  std::vector<std::uint32_t> workers_in_zone(zones, 0);
  for (std::uint32_t i = 0; i < settings.workers; ++i) {
    const std::size_t zone = i / settings.rack_size % zones;
    const std::string& zone_name = settings.zones[zone];
    const std::uint32_t number = workers_in_zone[zone]++;
    const std::uint32_t rack = number / settings.rack_size + 1;
    vms.push_back({.name = zone_name + "-w" + TwoDigits(number + 1),
                   .zone = zone_name,
                   .rack = zone_name + "-r" + std::to_string(rack),
                   .pool = settings.pool});
  }
  return vms;
}

}  // namespace carobmast::standin
