// Carries out waves of VM maintenance: drains the worker on each VM of a wave,
// orders the VM's maintenance, and reports when all VMs of the wave are done.
// Sans-I/O.
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
#include "maintenance/types/wave.h"

namespace carobmast::maintenance {

// Calls out of MaintenanceCore; all return at once.
struct MaintenanceHooks {
  // Asks for the list of VMs; answered with OnVmList, also on failure. Not
  // called again before the answer.
  std::function<void()> list_vms;
  // Orders the maintenance of a VM; answered with OnMaintainOutcome.
  std::function<void(const std::string& vm, std::uint64_t wave)> maintain;
  // Replaces the set of workers that get no new tasks and are drained.
  std::function<void(const std::set<std::string>& workers)> cordon;
  // Whether no task is left on the worker that must move to another one.
  std::function<bool(const std::string& worker)> is_drained;
  // Stores the progress of a wave durably; answered with OnStored.
  std::function<void(std::uint64_t wave, const WaveProgress& progress)> store;
  // Reports that a wave has started or, if `completed`, that it is over.
  std::function<void(std::uint64_t wave, bool completed)> report_wave;
};

// What earlier owners have left.
struct FormerWaves {
  // All progress that they stored, by wave.
  std::map<std::uint64_t, WaveProgress> progress;
  // Until when a VM that they may have ordered down gets no order of another
  // owner.
  MonotonicTime orders_until;
};

class MaintenanceCore {
 public:
  MaintenanceCore(MaintenanceHooks hooks, FormerWaves former);

  // Extends FormerWaves::orders_until: an earlier owner has stopped only now.
  void ExtendFormerOrders(MonotonicTime until);

  // Adds a wave; a wave with the number of an earlier one is ignored.
  void SetWave(const Wave& wave);
  // To be called when the progress of the first `stores` calls of
  // MaintenanceHooks::store is durable: the orders and the reports that waited
  // for it may go out.
  void OnStored(std::uint64_t stores);
  void OnVmList(const contracts::VmList& list);
  void OnMaintainOutcome(const std::string& vm, std::uint64_t wave,
                         contracts::MaintainOutcome outcome, MonotonicTime now);
  // To be called periodically: advances the waves and asks for lists.
  void Tick(MonotonicTime now);

 private:
  enum class State {
    kWaiting,
    kDraining,
    kStoringIntent,  // waits until the order is on record
    kIntentStored,   // the order may be sent, or was sent without a definite
                     // answer
    kInMaintenance,  // until the VM is up with a new worker
    kDone
  };
  struct VmState {
    State state = State::kWaiting;
    // The worker to drain, which the maintenance ends.
    std::string worker;
    // The worker on the VM when the order was last considered, if there was
    // one.
    std::string later_worker;
    // The number of the store call that has the intent of the order.
    std::uint64_t intent_store = 0;
    bool order_in_flight = false;
    // The number of list requests before the outcome of the order, which show
    // nothing of its maintenance.
    std::uint64_t earlier_list_requests = 0;
    // When the order was confirmed.
    MonotonicTime confirmed_at;
  };
  struct WaveState {
    Wave wave;
    std::map<std::string, VmState> vms;
    // The number of list requests before the wave was known.
    std::uint64_t earlier_list_requests = 0;
    // The progress has changed since the last store call of the wave.
    bool is_unstored = false;
    // The number of the last store call of the wave.
    std::uint64_t last_store = 0;
    bool running_reported = false;
    bool completed = false;
  };

  void AdvanceWave(WaveState& wave);
  void CompleteIfDone(WaveState& wave);
  // `down`: the VMs of the wave that are down for any wave.
  void AdvanceVm(WaveState& wave, const std::string& name, VmState& vm,
                 std::set<std::string>& down, std::size_t& draining);
  // Whether the VM may be down for the maintenance of some wave.
  bool IsDown(const std::string& vm) const;
  void Store(WaveState& wave);
  void Cordon();
  // Whether an earlier owner may have ordered the VM's maintenance so recently
  // that this one must not.
  bool IsLeftToFormerOwner(const std::string& vm) const;

  MaintenanceHooks hooks_;
  // Number of calls of MaintenanceHooks::store.
  std::uint64_t stores_ = 0;
  // Number of them whose progress is durable.
  std::uint64_t stored_ = 0;
  std::map<std::uint64_t, WaveState> waves_;
  const std::map<std::uint64_t, WaveProgress> restored_;
  MonotonicTime former_orders_until_;
  // The time of the last Tick.
  MonotonicTime now_;
  std::map<std::string, contracts::WorkerVm> listed_vms_;
  std::set<std::string> cordoned_;
  // When a list was last requested, and when the one in `listed_vms_` was.
  MonotonicTime list_requested_at_;
  MonotonicTime list_as_of_;
  // Number of calls of MaintenanceHooks::list_vms, and of the one that
  // `listed_vms_` answers.
  std::uint64_t list_requests_ = 0;
  std::uint64_t listed_request_ = 0;
  // `listed_vms_` is too old to take a VM down.
  bool list_is_stale_ = true;
  bool list_in_flight_ = false;
  bool has_list_ = false;
};

}  // namespace carobmast::maintenance

#endif  // CAROBMAST_MAINTENANCE_MAINTENANCE_CORE_H_
