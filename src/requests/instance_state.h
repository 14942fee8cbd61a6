// The state that one gateway keeps for one instance.
#ifndef CAROBMAST_REQUESTS_INSTANCE_STATE_H_
#define CAROBMAST_REQUESTS_INSTANCE_STATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "framework/base/intrusive.h"
#include "requests/instance_health.h"
#include "requests/types/instance.h"

namespace carobmast::requests {

// Slots of an instance that its home gateway has lent to one peer.
struct LentSlots {
  std::uint32_t count = 0;
  // Reclaimed at this time, in case the peer has died.
  MonotonicTime until;
};

struct InstanceState : RefCounted<InstanceState> {
  Instance instance;
  InstanceHealth health;
  // Whether it is in the zone of this gateway.
  bool local = false;
  // Requests of this gateway in flight at the instance.
  std::uint32_t outstanding = 0;
  // Policy `homed`: whether this gateway is the home of the instance, which
  // assigns its slots.
  bool homed_here = false;
  // Slots lent, by peer; only for instances whose home is this gateway.
  std::map<std::string, LentSlots> lent;
  std::uint32_t lent_total = 0;
  // Slots that this gateway borrowed from the instance's home.
  std::uint32_t borrowed = 0;
  // The peer that lent them.
  std::string lender;
  // Policy `probing`: result of the last probe.
  std::uint32_t probed_in_flight = 0;
  Duration probed_latency = Duration::zero();
  MonotonicTime probed_at;
  // Requests routed to the instance since that probe.
  std::uint32_t picks_since_probe = 0;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_INSTANCE_STATE_H_
