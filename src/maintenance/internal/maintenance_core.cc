#include "maintenance/maintenance_core.h"

#include <sstream>

namespace carobmast::maintenance {

namespace {

// Between two readings of the list while a wave is under way.
constexpr Duration kListEvery = std::chrono::milliseconds(700);
// No VM is taken down on an older list: two readings, the second of which takes
// its whole time-out (700 ms).
constexpr Duration kMaxListAge = std::chrono::milliseconds(2000);
// VMs that are emptied ahead, as a multiple of those that may be down.
constexpr std::size_t kEmptyingAhead = 2;

}  // namespace

MaintenanceCore::MaintenanceCore(MaintenanceHooks hooks)
    : hooks_(std::move(hooks)) {}

void MaintenanceCore::SetWave(const Wave& wave) {
  if (waves_.contains(wave.number)) return;
  WaveState& state = waves_[wave.number];
  state.wave = wave;
  for (const std::string& vm : wave.vms) state.vms[vm];
  const auto restored = restored_.find(wave.number);
  if (restored == restored_.end()) return;
  // Lines of the VM, its worker, and whether the maintenance was seen to be
  // over.
  std::istringstream lines(restored->second);
  std::string vm;
  std::string worker;
  bool done = false;
  while (lines >> vm >> worker >> done) {
    if (!state.vms.contains(vm)) continue;
    state.vms[vm] = {.state = done ? State::kDone : State::kOrdered,
                     .worker = worker};
  }
}

void MaintenanceCore::Restore(std::uint64_t wave, const std::string& progress) {
  restored_[wave] = progress;
}

void MaintenanceCore::Store(const WaveState& wave) {
  std::ostringstream lines;
  for (const auto& [name, vm] : wave.vms) {
    if (vm.state < State::kIntended) continue;
    lines << name << " " << (vm.worker.empty() ? "-" : vm.worker) << " "
          << (vm.state == State::kDone) << "\n";
  }
  hooks_.store(wave.wave.number, lines.str());
}

void MaintenanceCore::OnStored() {
  for (auto& [number, wave] : waves_) {
    for (auto& [name, vm] : wave.vms) {
      if (vm.state == State::kIntended) vm.state = State::kOrdered;
    }
  }
}

void MaintenanceCore::OnVmList(const contracts::VmList& list) {
  list_in_flight_ = false;
  if (!list.ok) return;
  list_read_ = true;
  listed_at_ = list_at_;
  listed_.clear();
  for (const contracts::WorkerVm& vm : list.vms) listed_[vm.name] = vm;
}

void MaintenanceCore::OnMaintainOutcome(const std::string& vm,
                                        std::uint64_t wave,
                                        contracts::MaintainOutcome outcome) {
  const auto found = waves_.find(wave);
  if (found == waves_.end()) return;
  VmState& state = found->second.vms[vm];
  state.order_in_flight = false;
  if (outcome == contracts::MaintainOutcome::kBegun &&
      state.state == State::kOrdered) {
    state.state = State::kBegun;
  }
  // Not of this wave after all, or no VM: nothing is left to do for it.
  if (outcome == contracts::MaintainOutcome::kNotInWave ||
      outcome == contracts::MaintainOutcome::kInvalid) {
    state.state = State::kDone;
  }
}

void MaintenanceCore::AdvanceVm(WaveState& wave, const std::string& name,
                                VmState& vm, std::size_t& down,
                                std::size_t& emptying) {
  const auto listed = listed_.find(name);
  // A VM that is gone needs no maintenance.
  if (listed == listed_.end()) {
    vm.state = State::kDone;
    return;
  }
  const contracts::WorkerVm& entry = listed->second;
  const std::size_t most_emptying = kEmptyingAhead * wave.wave.max_parallel;
  if (vm.state == State::kWaiting && emptying < most_emptying) {
    vm.state = State::kEmptying;
    ++emptying;
  }
  if (vm.state == State::kEmptying) {
    vm.worker = entry.worker;
    if (entry.up && !list_is_old_ && down < wave.wave.max_parallel &&
        (entry.worker.empty() || hooks_.is_drained(entry.worker))) {
      vm.state = State::kIntended;
      ++down;
      Store(wave);
    }
  }
  if (vm.state == State::kOrdered && !vm.order_in_flight) {
    vm.order_in_flight = true;
    hooks_.maintain(name, wave.wave.number);
  }
  if (vm.state == State::kBegun && entry.up && !entry.worker.empty() &&
      entry.worker != vm.worker) {
    vm.state = State::kDone;
    --down;
    Store(wave);
  }
}

void MaintenanceCore::Advance(WaveState& wave) {
  if (!wave.told_running) {
    wave.told_running = true;
    hooks_.report_wave(wave.wave.number, false);
  }
  std::size_t down = 0;
  std::size_t emptying = 0;
  for (const auto& [name, vm] : wave.vms) {
    const bool is_down = vm.state == State::kIntended ||
                         vm.state == State::kOrdered ||
                         vm.state == State::kBegun;
    down += is_down ? 1 : 0;
    emptying += vm.state == State::kEmptying ? 1 : 0;
  }
  bool all_done = true;
  for (auto& [name, vm] : wave.vms) {
    AdvanceVm(wave, name, vm, down, emptying);
    all_done = all_done && vm.state == State::kDone;
  }
  if (!all_done) return;
  wave.completed = true;
  hooks_.report_wave(wave.wave.number, true);
}

void MaintenanceCore::Cordon() {
  std::set<std::string> workers;
  for (const auto& [number, wave] : waves_) {
    for (const auto& [name, vm] : wave.vms) {
      const bool leaves =
          vm.state != State::kWaiting && vm.state != State::kDone;
      if (leaves && !vm.worker.empty()) workers.insert(vm.worker);
    }
  }
  if (workers == cordoned_) return;
  cordoned_ = std::move(workers);
  hooks_.cordon(cordoned_);
}

void MaintenanceCore::Tick(MonotonicTime now) {
  bool under_way = false;
  for (const auto& [number, wave] : waves_) {
    under_way = under_way || !wave.completed;
  }
  if (!under_way) return;
  if (!list_in_flight_ && now - list_at_ >= kListEvery) {
    list_at_ = now;
    list_in_flight_ = true;
    hooks_.list_vms();
  }
  if (!list_read_) return;
  list_is_old_ = now - listed_at_ > kMaxListAge;
  for (auto& [number, wave] : waves_) {
    if (!wave.completed) Advance(wave);
  }
  Cordon();
}

}  // namespace carobmast::maintenance
