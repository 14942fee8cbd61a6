// Settings of the stand-in platform.
#ifndef CAROBMAST_STANDIN_SETTINGS_H_
#define CAROBMAST_STANDIN_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "contracts/types/vm.h"
#include "contracts/types/worker.h"
#include "framework/base/time.h"
#include "framework/net/http_client.h"

namespace carobmast::standin {

struct StandInSettings {
  // Of the log, the VM list and the control calls. Workers and targets listen
  // on the same IP, on free ports.
  net::Address listen = {.ip = "127.0.0.1", .port = 0};
  // Workers are spread over the zones evenly, rack by rack.
  std::vector<std::string> zones = {"zone-a"};
  std::uint32_t workers = 8;
  std::uint32_t rack_size = 8;
  std::string pool = "workers";
  contracts::Resources capacity = {.milli_cpus = 16'000,
                                   .memory = {60'000'000'000}};
  // Entry VMs, listed beside the workers.
  std::vector<contracts::Vm> entries;
  Duration vm_list_lag = std::chrono::seconds(2);
  Duration log_retention = std::chrono::hours(24);
  Duration default_run = std::chrono::seconds(2);
  Duration checkpoint_interval = std::chrono::milliseconds(500);
  Duration usage_lag = std::chrono::seconds(2);
  Duration target_mean_run = std::chrono::milliseconds(5);
  std::uint64_t seed = 1;
};

// Reads the YAML file at `path`. Throws Error (step "settings").
StandInSettings ReadStandInSettings(const std::string& path);

// The workers that the settings ask for, without addresses: "ZONE-w01" in rack
// "ZONE-r1" and so on.
std::vector<contracts::Vm> MakeWorkerVms(const StandInSettings& settings);

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_SETTINGS_H_
