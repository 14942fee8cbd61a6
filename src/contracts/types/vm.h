// Plain data of the VM list.
#ifndef CAROBMAST_CONTRACTS_TYPES_VM_H_
#define CAROBMAST_CONTRACTS_TYPES_VM_H_

#include <string>
#include <vector>

#include "framework/base/time.h"

namespace carobmast::contracts {

enum class VmState { kLive, kLeaving };

enum class VmRole { kEntry, kWorker };

// One VM as the list shows it. A VM that is gone is not in the list.
struct Vm {
  std::string name;
  std::string zone;
  std::string rack;
  // The VM pool that it belongs to; empty for entry VMs.
  std::string pool;
  VmRole role = VmRole::kWorker;
  VmState state = VmState::kLive;
  // "ip:port" of the worker's agent, or of the entry VM's peer link.
  std::string address;
};

struct VmListAnswer {
  // When the list was true; it lags behind the present.
  WallTime as_of;
  std::vector<Vm> vms;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_TYPES_VM_H_
