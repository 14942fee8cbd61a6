// The clock for leases: steady, and also counts the time that the VM was
// suspended.
#ifndef CAROBMAST_NODE_LEASE_CLOCK_H_
#define CAROBMAST_NODE_LEASE_CLOCK_H_

#include "jobs/types/shard_types.h"

namespace carobmast::node {

MonotonicTime LeaseNow();

// Both clocks of the owner of a shard. The wall time follows the steady clock
// from its first reading, so that a jump of the time of day moves nothing.
jobs::ShardTime ShardNow();

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_LEASE_CLOCK_H_
