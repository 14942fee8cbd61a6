// The contract with the platform's lagging list of live and leaving VMs.
#ifndef CAROBMAST_PLATFORM_VM_LIST_H_
#define CAROBMAST_PLATFORM_VM_LIST_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "framework/base/time.h"
#include "platform/types/vm.h"

namespace carobmast::platform {

struct VmListService {
  // Throws Error when the list can't be had.
  std::function<boost::asio::awaitable<VmListAnswer>(Duration timeout)> list;
};

}  // namespace carobmast::platform

#endif  // CAROBMAST_PLATFORM_VM_LIST_H_
