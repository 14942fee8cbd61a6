// The contract with the platform's lagging list of live and leaving VMs.
#ifndef CAROBMAST_CONTRACTS_VM_LIST_H_
#define CAROBMAST_CONTRACTS_VM_LIST_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "contracts/types/vm.h"
#include "framework/base/time.h"

namespace carobmast::contracts {

struct VmListService {
  // Throws Error when the list can't be had.
  std::function<boost::asio::awaitable<VmListAnswer>(Duration timeout)> list;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_VM_LIST_H_
