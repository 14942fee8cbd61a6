// In-memory VM list of the platform that shows changes after a lag. Does no
// I/O: the caller passes the current time, which must not go backwards.
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
  // Time from a change until it is listed.
  Duration lag = Duration::zero();
  // VMs that are listed from the start, without lag.
  std::vector<contracts::Vm> vms;
};

class FakeVmList {
 public:
  explicit FakeVmList(FakeVmListOptions options);

  // Adds or replaces the VM of this name; listed after the lag.
  void Put(const contracts::Vm& vm, MonotonicTime now);
  // Removes the VM of this name, if there is one; takes effect after the lag.
  void Remove(const std::string& name, MonotonicTime now);

  // Returns the list as it was `lag` ago, sorted by name. Throws Error (step
  // "VM list") during an outage.
  contracts::VmListAnswer List(MonotonicTime now);

  // Starts or ends an outage.
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
  // Changes that are not listed yet, oldest first.
  std::deque<Change> pending_;
  std::map<std::string, contracts::Vm> visible_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_FAKE_VM_LIST_H_
