// The clock for leases: monotonic, including time in which the VM was
// suspended.
#ifndef CAROBMAST_NODE_LEASE_CLOCK_H_
#define CAROBMAST_NODE_LEASE_CLOCK_H_

#include "jobs/types/shard_types.h"

namespace carobmast::node {

// CLOCK_BOOTTIME.
MonotonicTime LeaseNow();

// The current steady and wall time for the owner of a shard. The wall time is
// derived from the steady clock with an offset taken at the first call, so that
// later changes of the system time have no effect.
jobs::ShardTime ShardNow();

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_LEASE_CLOCK_H_
