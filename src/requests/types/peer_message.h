// Messages with which gateways lend slots to each other under the policy
// `homed`.
#ifndef CAROBMAST_REQUESTS_TYPES_PEER_MESSAGE_H_
#define CAROBMAST_REQUESTS_TYPES_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace carobmast::requests {

enum class PeerVerb {
  kAsk,     // requests are waiting: asks for up to `want` slots
  kGrant,   // answers kAsk; `slots` is empty if none can be lent
  kReturn,  // returns borrowed slots
};

// A number of slots of one instance.
struct SlotCount {
  std::string instance;
  std::uint32_t count = 0;
};

struct PeerMessage {
  PeerVerb verb = PeerVerb::kAsk;
  std::string service;
  // For kAsk: the maximum number of slots to lend.
  std::uint32_t want = 0;
  // For kGrant and kReturn: the slots lent or returned.
  std::vector<SlotCount> slots;
};

// Another gateway that can be reached.
struct GatewayPeer {
  std::string name;
  std::string zone;

  friend bool operator==(const GatewayPeer&, const GatewayPeer&) = default;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_TYPES_PEER_MESSAGE_H_
