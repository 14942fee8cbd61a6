// The platform's VM list in memory, which lags. Sans-I/O.
#ifndef CAROBMAST_STANDIN_FAKE_VM_LIST_H_
#define CAROBMAST_STANDIN_FAKE_VM_LIST_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "contracts/types/vm.h"
#include "framework/base/time.h"

namespace carobmast::standin {

struct FakeVmListOptions {
  // Wall time at MonotonicTime zero.
  WallTime wall_at_zero;
  // How long a change takes to show.
  Duration lag = Duration::zero();
  // Listed from the start.
  std::vector<contracts::Vm> vms;
};

class FakeVmList {
 public:
  explicit FakeVmList(FakeVmListOptions options);

  // Adds or replaces the VM of this name; shows after the lag.
  void Put(const contracts::Vm& vm, MonotonicTime now);
  void Remove(const std::string& name, MonotonicTime now);

  // The list as it was `lag` ago, by name. Throws Error (step "VM list") during
  // an outage.
  contracts::VmListAnswer List(MonotonicTime now);

  void set_unavailable(bool unavailable) { unavailable_ = unavailable; }

 private:
  struct Change {
    MonotonicTime at;
    std::string name;
    // Empty when the VM is removed.
    std::optional<contracts::Vm> vm;
  };

  FakeVmListOptions options_;
  bool unavailable_ = false;
  std::deque<Change> pending_;
  std::map<std::string, contracts::Vm> visible_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_FAKE_VM_LIST_H_
