// Interface to the service that performs maintenance on the workers' VMs.
#ifndef CAROBMAST_CONTRACTS_VM_SERVICE_H_
#define CAROBMAST_CONTRACTS_VM_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "contracts/types/worker.h"
#include "framework/base/intrusive.h"
#include "framework/base/time.h"

namespace carobmast::contracts {

// A VM that can host a worker.
struct WorkerVm {
  std::string name;
  std::string pool;
  // Not in maintenance, not being moved and not down.
  bool up = false;
  // The worker that currently runs on the VM; empty if there is none.
  std::string worker;
};

struct VmList {
  // Whether the list was read; if not, `error` says why.
  bool ok = false;
  std::vector<WorkerVm> vms;
  std::string error;
};

// Order to begin the maintenance of a VM as part of a wave. The VM goes down
// and every task on it ends.
struct MaintainOrder {
  std::string vm;
  std::uint64_t wave = 0;
  // The owner that gives the order, and its fencing token, by which the service
  // tells owners apart: it refuses a token lower than one already used for this
  // VM.
  std::string holder;
  FencingToken token = 0;
};

enum class MaintainOutcome {
  kBegun,      // maintenance begins now or had begun before
  kFenced,     // a higher token was already used for this VM
  kBusy,       // the VM is not up, or is leaving
  kNotInWave,  // the VM does not belong to this wave
  kInvalid,    // the service rejected the order as invalid
  kRefused,    // the order had no effect; a later attempt may succeed
  kUnknown,    // no answer: maintenance may have begun
};

class VmService : public RefCounted<VmService> {
 public:
  virtual ~VmService() = default;
  // Lists the workers' VMs.
  virtual boost::asio::awaitable<VmList> List(Duration timeout) = 0;
  // Begins the maintenance of a VM.
  virtual boost::asio::awaitable<MaintainOutcome> Maintain(
      MaintainOrder order, Duration timeout) = 0;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_VM_SERVICE_H_
