#include "standin/settings.h"

#include <utility>

#include "framework/settings/settings.h"

namespace carobmast::standin {

using contracts::Vm;
using contracts::VmRole;

namespace {

constexpr std::int64_t kMaxWorkers = 1000;
constexpr std::int64_t kMaxCpus = 4096;

Vm ReadEntry(settings::SettingsReader& reader) {
  Vm vm{.role = VmRole::kEntry};
  vm.name = reader.String("name");
  vm.zone = reader.String("zone");
  vm.address = reader.Address("address").ToString();
  reader.Finish();
  return vm;
}

// Two digits, so that names sort by number.
std::string Number(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return digits.size() < 2 ? "0" + digits : digits;
}

void ReadSizes(settings::SettingsReader& reader, StandInSettings& read) {
  read.workers = static_cast<std::uint32_t>(
      reader.IntOr("workers", 1, kMaxWorkers, read.workers));
  read.rack_size = static_cast<std::uint32_t>(
      reader.IntOr("rack_size", 1, kMaxWorkers, read.rack_size));
  read.capacity.milli_cpus =
      1000 * static_cast<std::uint64_t>(reader.IntOr("cpus", 1, kMaxCpus, 16));
  read.capacity.memory = reader.ByteCountOr("memory", read.capacity.memory);
  read.capacity.accelerators =
      static_cast<std::uint32_t>(reader.IntOr("accelerators", 0, kMaxCpus, 0));
}

void ReadTimes(settings::SettingsReader& reader, StandInSettings& read) {
  read.vm_list_lag = reader.DurationOr("vm_list_lag", read.vm_list_lag);
  read.log_retention = reader.DurationOr("log_retention", read.log_retention);
  read.default_run = reader.DurationOr("default_run", read.default_run);
  read.checkpoint_interval =
      reader.DurationOr("checkpoint_interval", read.checkpoint_interval);
  read.usage_lag = reader.DurationOr("usage_lag", read.usage_lag);
  read.target_mean_run =
      reader.DurationOr("target_mean_run", read.target_mean_run);
}

}  // namespace

StandInSettings ReadStandInSettings(const std::string& path) {
  settings::SettingsReader reader = settings::SettingsReader::Load(path);
  StandInSettings read;
  read.listen = reader.AddressOr("listen", read.listen);
  read.zones = reader.StringList("zones");
  if (read.zones.empty()) reader.Fail("zones", "expected at least one zone");
  read.pool = reader.StringOr("pool", read.pool);
  read.seed =
      static_cast<std::uint64_t>(reader.IntOr("seed", 0, 1'000'000'000, 1));
  ReadSizes(reader, read);
  ReadTimes(reader, read);
  if (reader.Has("entries")) {
    for (settings::SettingsReader& entry : reader.MapList("entries")) {
      read.entries.push_back(ReadEntry(entry));
    }
  }
  reader.Finish();
  return read;
}

std::vector<Vm> MakeWorkerVms(const StandInSettings& settings) {
  std::vector<Vm> vms;
  const std::size_t zones = settings.zones.size();
  std::vector<std::uint32_t> in_zone(zones, 0);
  for (std::uint32_t i = 0; i < settings.workers; ++i) {
    const std::size_t zone = i / settings.rack_size % zones;
    const std::string& name = settings.zones[zone];
    const std::uint32_t number = in_zone[zone]++;
    const std::uint32_t rack = number / settings.rack_size + 1;
    vms.push_back({.name = name + "-w" + Number(number + 1),
                   .zone = name,
                   .rack = name + "-r" + std::to_string(rack),
                   .pool = settings.pool});
  }
  return vms;
}

}  // namespace carobmast::standin
