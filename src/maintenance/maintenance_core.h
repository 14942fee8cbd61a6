// Carries out waves of maintenance: empties each VM of a wave, orders its
// maintenance, and tells when all have had theirs. Sans-I/O.
#ifndef CAROBMAST_MAINTENANCE_MAINTENANCE_CORE_H_
#define CAROBMAST_MAINTENANCE_MAINTENANCE_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "contracts/vm_service.h"
#include "framework/base/time.h"

namespace carobmast::maintenance {

// What an operator asks for.
struct Wave {
  std::uint64_t number = 0;
  std::vector<std::string> vms;
  // Most VMs of the wave that may be down at once.
  std::size_t max_parallel = 1;
};

struct MaintenanceHooks {
  std::function<void()> list_vms;
  std::function<void(const std::string& vm, std::uint64_t wave)> maintain;
  // These workers get nothing new and are emptied.
  std::function<void(const std::set<std::string>& workers)> cordon;
  // Whether nothing runs on the worker any more that should go elsewhere.
  std::function<bool(const std::string& worker)> is_drained;
  // Stores the progress of a wave; orders go out once it is stored.
  std::function<void(std::uint64_t wave, const std::string& progress)> store;
  std::function<void(std::uint64_t wave, bool completed)> report_wave;
};

class MaintenanceCore {
 public:
  explicit MaintenanceCore(MaintenanceHooks hooks);

  void SetWave(const Wave& wave);
  // Of an earlier owner, before the first Tick.
  void Restore(std::uint64_t wave, const std::string& progress);
  void OnStored();
  void OnVmList(const contracts::VmList& list);
  void OnMaintainOutcome(const std::string& vm, std::uint64_t wave,
                         contracts::MaintainOutcome outcome);
  void Tick(MonotonicTime now);

 private:
  enum class State {
    kWaiting,
    kDraining,
    kStoringIntent,
    kIntentStored,
    kInMaintenance,
    kDone
  };
  struct VmState {
    State state = State::kWaiting;
    // The worker that the maintenance ends.
    std::string worker;
    bool order_in_flight = false;
  };
  struct WaveState {
    Wave wave;
    std::map<std::string, VmState> vms;
    bool running_reported = false;
    bool completed = false;
  };

  void AdvanceWave(WaveState& wave);
  void AdvanceVm(WaveState& wave, const std::string& name, VmState& vm,
                 std::size_t& down, std::size_t& draining);
  void Store(const WaveState& wave);
  void Cordon();

  MaintenanceHooks hooks_;
  std::map<std::uint64_t, WaveState> waves_;
  std::map<std::uint64_t, std::string> restored_progress_;
  std::map<std::string, contracts::WorkerVm> listed_vms_;
  std::set<std::string> cordoned_;
  // When the list was last asked for, and when that which is known was.
  MonotonicTime list_requested_at_;
  MonotonicTime list_as_of_;
  // Whether `listed_` is too old to take VMs down.
  bool list_is_stale_ = true;
  bool list_in_flight_ = false;
  bool has_list_ = false;
};

}  // namespace carobmast::maintenance

#endif  // CAROBMAST_MAINTENANCE_MAINTENANCE_CORE_H_
