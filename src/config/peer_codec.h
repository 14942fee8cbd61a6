// Encodes and decodes the messages between peers as protobuf.
#ifndef CAROBMAST_CONFIG_PEER_CODEC_H_
#define CAROBMAST_CONFIG_PEER_CODEC_H_

#include <string>

#include "config/types/peer_messages.h"

namespace carobmast::config {

// The decoders throw Error (step "config peer message", peer `peer`) when the
// text is malformed.
std::string EncodeHeadRequest(const PeerHead& head);
PeerHead DecodeHeadRequest(const std::string& text, const std::string& peer);
std::string EncodeHeadAnswer(const PeerHead& head);
PeerHead DecodeHeadAnswer(const std::string& text, const std::string& peer);
std::string EncodeFetchRequest(const FetchRequest& request);
FetchRequest DecodeFetchRequest(const std::string& text,
                                const std::string& peer);
std::string EncodeFetchAnswer(const FetchAnswer& answer);
FetchAnswer DecodeFetchAnswer(const std::string& text, const std::string& peer);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_PEER_CODEC_H_
