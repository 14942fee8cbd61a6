// What one gateway knows about one instance.
#ifndef CAROBMAST_REQUESTS_INSTANCE_STATE_H_
#define CAROBMAST_REQUESTS_INSTANCE_STATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "framework/base/intrusive.h"
#include "requests/instance_health.h"
#include "requests/types/instance.h"

namespace carobmast::requests {

// Slots of an instance that its home gateway lent to one peer.
struct LentSlots {
  std::uint32_t count = 0;
  // Taken back then, for the case that the peer died.
  MonotonicTime until;
};

struct InstanceState : RefCounted<InstanceState> {
  Instance instance;
  InstanceHealth health;
  // In this gateway's zone.
  bool local = false;
  // Requests of this gateway in flight there.
  std::uint32_t outstanding = 0;
  // The policy `homed`: this gateway gives out its slots.
  bool homed_here = false;
  // By peer; of instances homed here.
  std::map<std::string, LentSlots> lent;
  std::uint32_t lent_total = 0;
  // Slots lent to this gateway by the instance's home.
  std::uint32_t borrowed = 0;
  // The peer that lent them.
  std::string lender;
  // The policy `probing`: as of the last probe.
  std::uint32_t probed_in_flight = 0;
  Duration probed_latency = Duration::zero();
  MonotonicTime probed_at;
  std::uint32_t picks_since_probe = 0;
  // Not in the latest list: serves out what it has.
  bool removed = false;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_INSTANCE_STATE_H_
