// Data types of the VM list.
#ifndef CAROBMAST_CONTRACTS_TYPES_VM_H_
#define CAROBMAST_CONTRACTS_TYPES_VM_H_

#include <string>
#include <vector>

#include "framework/base/time.h"

namespace carobmast::contracts {

enum class VmState { kLive, kLeaving };

enum class VmRole { kEntry, kWorker };

// One entry of the VM list. VMs that no longer exist are not listed.
struct Vm {
  std::string name;
  std::string zone;
  std::string rack;
  // The VM pool of a worker VM; empty for entry VMs.
  std::string pool;
  VmRole role = VmRole::kWorker;
  VmState state = VmState::kLive;
  // "ip:port" of the worker's agent or, on an entry VM, of the peer link.
  std::string address;
};

struct VmListAnswer {
  // The time at which the list was accurate, which is some time in the past.
  WallTime as_of;
  std::vector<Vm> vms;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_TYPES_VM_H_
