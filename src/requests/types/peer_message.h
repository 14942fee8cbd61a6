// What gateways of the policy `homed` tell one another about slots.
#ifndef CAROBMAST_REQUESTS_TYPES_PEER_MESSAGE_H_
#define CAROBMAST_REQUESTS_TYPES_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace carobmast::requests {

enum class PeerVerb {
  kAsk,     // requests wait here: lend up to `want` slots
  kGrant,   // answers an ask; `slots` may be empty
  kReturn,  // gives lent slots back
};

struct SlotCount {
  std::string instance;
  std::uint32_t count = 0;
};

struct PeerMessage {
  PeerVerb verb = PeerVerb::kAsk;
  std::string service;
  std::uint32_t want = 0;
  std::vector<SlotCount> slots;
};

// Another gateway that is reachable.
struct GatewayPeer {
  std::string name;
  std::string zone;

  friend bool operator==(const GatewayPeer&, const GatewayPeer&) = default;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_TYPES_PEER_MESSAGE_H_
