// Datagrams between nodes, to and from bytes.
#ifndef CAROBMAST_NODE_INTERNAL_MESSAGE_CODEC_H_
#define CAROBMAST_NODE_INTERNAL_MESSAGE_CODEC_H_

#include <string>

#include "node/election_core.h"

namespace carobmast::node {

std::string EncodeMessage(const NodeMessage& message);
// Throws Error (step "datagram") when the bytes are no message.
NodeMessage DecodeMessage(const std::string& bytes);

std::string EncodeClaim(const NodeInfo& node,
                        const std::vector<std::string>& former,
                        WallTime claimed_at);
// `offset` is that of the claim's record. Throws Error (step "claim").
OwnerClaim DecodeClaim(const std::string& value, std::uint64_t offset);

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_INTERNAL_MESSAGE_CODEC_H_
