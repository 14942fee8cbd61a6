// A wave of VM maintenance and its progress.
#ifndef CAROBMAST_MAINTENANCE_TYPES_WAVE_H_
#define CAROBMAST_MAINTENANCE_TYPES_WAVE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carobmast::maintenance {

// A request of an operator to maintain a set of VMs.
struct Wave {
  std::uint64_t number = 0;
  std::vector<std::string> vms;
  // Maximum number of the wave's VMs that are down at once.
  std::size_t max_parallel = 1;
};

// A VM whose maintenance may have been ordered.
struct VmProgress {
  // The worker that the maintenance ends; empty if the VM had none.
  std::string worker;
  bool done = false;
};

// By VM; VMs that may not have been ordered yet have no entry.
using WaveProgress = std::map<std::string, VmProgress>;

}  // namespace carobmast::maintenance

#endif  // CAROBMAST_MAINTENANCE_TYPES_WAVE_H_
