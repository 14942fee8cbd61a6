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
  // Address of the log, the VM list and the control calls. Workers and targets
  // listen on the same IP, each on a free port.
  net::Address listen = {.ip = "127.0.0.1", .port = 0};
  // Workers are distributed over the zones in turn, one full rack at a time.
  std::vector<std::string> zones = {"zone-a"};
  // Number of workers over all zones.
  std::uint32_t workers = 8;
  // Number of workers per rack.
  std::uint32_t rack_size = 8;
  std::string pool = "workers";
  // Capacity of each worker.
  contracts::Resources capacity = {.milli_cpus = 16'000,
                                   .memory = {60'000'000'000}};
  // Entry VMs that the VM list contains in addition to the workers.
  std::vector<contracts::Vm> entries;
  // Time from a change of the VM list until it is listed.
  Duration vm_list_lag = std::chrono::seconds(2);
  // How long log records are kept; zero for no limit by age.
  Duration log_retention = std::chrono::hours(24);
  // Work of a task whose program gives no duration.
  Duration default_run = std::chrono::seconds(2);
  // Work of a batch task between two checkpoints.
  Duration checkpoint_interval = std::chrono::milliseconds(500);
  // Time from the start of a task until its report contains measured usage.
  Duration usage_lag = std::chrono::seconds(2);
  // Mean run time of a request at a target.
  Duration target_mean_run = std::chrono::milliseconds(5);
  // Seed of the random run times at the targets.
  std::uint64_t seed = 1;
};

// Reads the YAML file at `path`. Throws Error (step "settings").
StandInSettings ReadStandInSettings(const std::string& path);

// Returns the configured workers, without addresses. They are named "ZONE-w01",
// "ZONE-w02" and so on, and their racks "ZONE-r1", "ZONE-r2" and so on.
std::vector<contracts::Vm> MakeWorkerVms(const StandInSettings& settings);

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_SETTINGS_H_
