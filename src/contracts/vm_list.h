// Interface to the platform's list of live and leaving VMs. The list lags
// behind the actual state.
#ifndef CAROBMAST_CONTRACTS_VM_LIST_H_
#define CAROBMAST_CONTRACTS_VM_LIST_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "contracts/types/vm.h"
#include "framework/base/time.h"

namespace carobmast::contracts {

struct VmListService {
  // Fetches the list. Throws Error if that fails.
  std::function<boost::asio::awaitable<VmListAnswer>(Duration timeout)> list;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_VM_LIST_H_
