// Contract with the service that maintains the workers' VMs.
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

struct WorkerVm {
  std::string name;
  std::string pool;
  // Neither in maintenance, nor moving, nor down.
  bool up = false;
  // The worker that lives on it now; empty for none.
  std::string worker;
};

struct VmList {
  bool ok = false;
  std::vector<WorkerVm> vms;
  std::string error;
};

// Takes the VM down for its maintenance in a wave; all that runs there ends.
struct MaintainOrder {
  std::string vm;
  std::uint64_t wave = 0;
  // Who orders, and the token by which the service tells owners apart.
  std::string holder;
  FencingToken token = 0;
};

enum class MaintainOutcome {
  kBegun,   // it has begun, now or before
  kFenced,  // a higher token was used for this VM
  kBusy,    // not up, or leaving
  kNotInWave,
  kInvalid,
  kRefused,  // nothing was done; later it may be
  kUnknown,  // no answer: it may have begun
};

class VmService : public RefCounted<VmService> {
 public:
  virtual ~VmService() = default;
  virtual boost::asio::awaitable<VmList> List(Duration timeout) = 0;
  virtual boost::asio::awaitable<MaintainOutcome> Maintain(
      MaintainOrder order, Duration timeout) = 0;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_VM_SERVICE_H_
