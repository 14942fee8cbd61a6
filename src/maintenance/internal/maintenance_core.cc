#include "maintenance/maintenance_core.h"

#include <algorithm>

namespace carobmast::maintenance {

namespace {

// Interval at which the VM list is requested while a wave is open.
constexpr Duration kListInterval = std::chrono::milliseconds(700);
// No VM is taken down based on an older list, because another worker may run on
// the VM by then. Long enough for two requests, the second of which takes its
// full timeout (700 ms).
constexpr Duration kMaxListAge = std::chrono::milliseconds(2000);
// VMs of a wave that are drained ahead, as a multiple of Wave::max_parallel.
constexpr std::size_t kDrainAheadFactor = 2;
// A VM that is listed as up with its former worker so long after an order for
// it was confirmed had its maintenance before that order.
constexpr Duration kMaintenanceShownAfter = std::chrono::milliseconds(2000);

}  // namespace

MaintenanceCore::MaintenanceCore(MaintenanceHooks hooks, FormerWaves former)
    : hooks_(std::move(hooks)),
      restored_(std::move(former.progress)),
      former_orders_until_(former.orders_until) {}

void MaintenanceCore::ExtendFormerOrders(MonotonicTime until) {
  former_orders_until_ = std::max(former_orders_until_, until);
}

bool MaintenanceCore::IsLeftToFormerOwner(const std::string& vm) const {
  return now_ < former_orders_until_ &&
         std::any_of(
             restored_.begin(), restored_.end(),
             [&vm](const auto& wave) { return wave.second.contains(vm); });
}

void MaintenanceCore::SetWave(const Wave& wave) {
  if (waves_.contains(wave.number)) return;
  WaveState& state = waves_[wave.number];
  state.wave = wave;
  state.earlier_list_requests = list_requests_;
  for (const std::string& vm : wave.vms) state.vms[vm];
  const auto restored = restored_.find(wave.number);
  if (restored == restored_.end()) return;
  // Orders that aren't done are repeated, as it is unknown whether the earlier
  // owner sent them.
  for (const auto& [name, progress] : restored->second) {
    const auto vm = state.vms.find(name);
    if (vm == state.vms.end()) continue;
    vm->second = {.state = progress.done ? State::kDone : State::kIntentStored,
                  .worker = progress.worker};
  }
  // The earlier owner may not have published that the wave is over.
  CompleteIfDone(state);
  // No task may start on a worker whose VM may be ordered down.
  Cordon();
}

void MaintenanceCore::Store(WaveState& wave) {
  WaveProgress progress;
  for (const auto& [name, vm] : wave.vms) {
    if (vm.state < State::kStoringIntent) continue;
    progress[name] = {.worker = vm.worker, .done = vm.state == State::kDone};
  }
  wave.is_unstored = false;
  wave.last_store = ++stores_;
  hooks_.store(wave.wave.number, progress);
}

void MaintenanceCore::OnStored(std::uint64_t stores) {
  stored_ = stores;
  for (auto& [number, wave] : waves_) {
    for (auto& [name, vm] : wave.vms) {
      if (vm.state == State::kStoringIntent && vm.intent_store <= stores) {
        vm.state = State::kIntentStored;
      }
    }
  }
}

void MaintenanceCore::OnVmList(const contracts::VmList& list) {
  list_in_flight_ = false;
  if (!list.ok) return;
  has_list_ = true;
  list_as_of_ = list_requested_at_;
  listed_request_ = list_requests_;
  listed_vms_.clear();
  for (const contracts::WorkerVm& vm : list.vms) listed_vms_[vm.name] = vm;
}

void MaintenanceCore::OnMaintainOutcome(const std::string& vm,
                                        std::uint64_t wave,
                                        contracts::MaintainOutcome outcome,
                                        MonotonicTime now) {
  const auto found = waves_.find(wave);
  if (found == waves_.end()) return;
  VmState& state = found->second.vms[vm];
  state.order_in_flight = false;
  if (outcome == contracts::MaintainOutcome::kBegun ||
      outcome == contracts::MaintainOutcome::kUnknown) {
    state.earlier_list_requests = list_requests_;
  }
  if (outcome == contracts::MaintainOutcome::kBegun &&
      state.state == State::kIntentStored) {
    state.state = State::kInMaintenance;
    state.confirmed_at = now;
  }
  // The VM isn't part of the wave or doesn't exist: nothing is left to do.
  if (outcome == contracts::MaintainOutcome::kNotInWave ||
      outcome == contracts::MaintainOutcome::kInvalid) {
    state.state = State::kDone;
    found->second.is_unstored = true;
  }
}

void MaintenanceCore::AdvanceVm(WaveState& wave, const std::string& name,
                                VmState& vm, std::set<std::string>& down,
                                std::size_t& draining) {
  const bool is_list_too_old = vm.state == State::kInMaintenance &&
                               listed_request_ <= vm.earlier_list_requests;
  if (is_list_too_old) return;
  const auto listed = listed_vms_.find(name);
  // A VM that no longer exists needs no maintenance. An earlier list may lack a
  // VM that is newer.
  if (listed == listed_vms_.end()) {
    if (vm.state != State::kDone &&
        listed_request_ > wave.earlier_list_requests) {
      vm.state = State::kDone;
      wave.is_unstored = true;
    }
    return;
  }
  const contracts::WorkerVm& entry = listed->second;
  // An order of any wave may have ended the listed worker since.
  const auto is_outdated = [this, &name] {
    return std::any_of(
        waves_.begin(), waves_.end(), [this, &name](const auto& any) {
          const auto found = any.second.vms.find(name);
          if (found == any.second.vms.end()) return false;
          return found->second.order_in_flight ||
                 found->second.state == State::kInMaintenance ||
                 listed_request_ <= found->second.earlier_list_requests;
        });
  };
  const std::size_t max_draining = kDrainAheadFactor * wave.wave.max_parallel;
  if (vm.state == State::kWaiting && draining < max_draining) {
    vm.state = State::kDraining;
    ++draining;
  }
  if (vm.state == State::kDraining) {
    vm.worker = entry.worker;
    if (entry.up && !list_is_stale_ && down.size() < wave.wave.max_parallel &&
        !is_outdated() &&
        (entry.worker.empty() || hooks_.is_drained(entry.worker))) {
      vm.state = State::kStoringIntent;
      vm.intent_store = stores_ + 1;
      down.insert(name);
      wave.is_unstored = true;
    }
  }
  if (vm.state == State::kIntentStored && !vm.order_in_flight) {
    // Since the intent was stored another worker may have started on the VM, or
    // tasks on the same one under an earlier owner.
    vm.later_worker = entry.worker;
    if (entry.up && !list_is_stale_ && !is_outdated() &&
        !IsLeftToFormerOwner(name) &&
        (entry.worker.empty() || hooks_.is_drained(entry.worker))) {
      vm.order_in_flight = true;
      hooks_.maintain(name, wave.wave.number);
    }
  }
  if (vm.state == State::kInMaintenance && entry.up && !entry.worker.empty() &&
      (entry.worker != vm.worker ||
       list_as_of_ - vm.confirmed_at > kMaintenanceShownAfter)) {
    vm.state = State::kDone;
    if (!IsDown(name)) down.erase(name);
    wave.is_unstored = true;
  }
}

void MaintenanceCore::CompleteIfDone(WaveState& wave) {
  const bool all_done = std::all_of(
      wave.vms.begin(), wave.vms.end(),
      [](const auto& vm) { return vm.second.state == State::kDone; });
  // A next owner must not report the wave as running again.
  if (!all_done || stored_ < wave.last_store) return;
  wave.completed = true;
  hooks_.report_wave(wave.wave.number, true);
}

bool MaintenanceCore::IsDown(const std::string& vm) const {
  return std::any_of(waves_.begin(), waves_.end(), [&vm](const auto& wave) {
    const auto found = wave.second.vms.find(vm);
    if (found == wave.second.vms.end()) return false;
    const State state = found->second.state;
    return state == State::kStoringIntent || state == State::kIntentStored ||
           state == State::kInMaintenance;
  });
}

void MaintenanceCore::AdvanceWave(WaveState& wave) {
  if (!wave.running_reported) {
    wave.running_reported = true;
    hooks_.report_wave(wave.wave.number, false);
  }
  std::set<std::string> down;
  std::size_t draining = 0;
  for (const auto& [name, vm] : wave.vms) {
    if (IsDown(name)) down.insert(name);
    draining += vm.state == State::kDraining ? 1 : 0;
  }
  for (auto& [name, vm] : wave.vms) {
    AdvanceVm(wave, name, vm, down, draining);
  }
  if (wave.is_unstored) Store(wave);
  CompleteIfDone(wave);
}

void MaintenanceCore::Cordon() {
  std::set<std::string> workers;
  for (const auto& [number, wave] : waves_) {
    for (const auto& [name, vm] : wave.vms) {
      const bool is_affected =
          vm.state != State::kWaiting && vm.state != State::kDone;
      if (!is_affected) continue;
      if (!vm.worker.empty()) workers.insert(vm.worker);
      if (!vm.later_worker.empty()) workers.insert(vm.later_worker);
    }
  }
  if (workers == cordoned_) return;
  cordoned_ = std::move(workers);
  hooks_.cordon(cordoned_);
}

void MaintenanceCore::Tick(MonotonicTime now) {
  now_ = now;
  bool has_open_wave = false;
  for (const auto& [number, wave] : waves_) {
    has_open_wave = has_open_wave || !wave.completed;
  }
  if (!has_open_wave) return;
  if (!list_in_flight_ && now - list_requested_at_ >= kListInterval) {
    list_requested_at_ = now;
    list_in_flight_ = true;
    ++list_requests_;
    hooks_.list_vms();
  }
  if (!has_list_) return;
  list_is_stale_ = now - list_as_of_ > kMaxListAge;
  for (auto& [number, wave] : waves_) {
    if (!wave.completed) AdvanceWave(wave);
  }
  Cordon();
}

}  // namespace carobmast::maintenance
