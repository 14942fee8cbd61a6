// Encodes and decodes datagrams between nodes and stored claims.
#ifndef CAROBMAST_NODE_INTERNAL_MESSAGE_CODEC_H_
#define CAROBMAST_NODE_INTERNAL_MESSAGE_CODEC_H_

#include <string>

#include "node/election_core.h"

namespace carobmast::node {

std::string EncodeMessage(const NodeMessage& message);
// Throws Error (step "datagram") when `bytes` are not a message.
NodeMessage DecodeMessage(const std::string& bytes);

// Encodes the fields of `claim` other than its token, which the store assigns.
// `rank` is that of the claiming node.
std::string EncodeClaim(const OwnerClaim& claim, std::uint32_t rank);
// `offset` is the offset of the claim's record, from which the token is
// derived. Throws Error (step "claim") when `value` is not a claim.
OwnerClaim DecodeClaim(const std::string& value, std::uint64_t offset);

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_INTERNAL_MESSAGE_CODEC_H_
