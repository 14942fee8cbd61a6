// Identifies the configuration set that a process holds.
#ifndef CAROBMAST_CONFIG_TYPES_HEAD_H_
#define CAROBMAST_CONFIG_TYPES_HEAD_H_

#include <cstdint>
#include <string>

#include "contracts/types/log_record.h"

namespace carobmast::config {

struct Head {
  // Offset of the record that published the set; 0 for the initial empty set.
  contracts::Offset offset = 0;
  // Digest of the set, see SetDigest::Hex.
  std::string digest;
  // All records up to this offset have been folded.
  contracts::Offset through = 0;
  // Rule version of the record that published the set.
  std::uint32_t rules = 1;

  friend bool operator==(const Head&, const Head&) = default;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TYPES_HEAD_H_
