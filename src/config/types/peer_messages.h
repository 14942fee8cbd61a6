// What processes tell one another about the sets they hold.
#ifndef CAROBMAST_CONFIG_TYPES_PEER_MESSAGES_H_
#define CAROBMAST_CONFIG_TYPES_PEER_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "config/types/head.h"
#include "contracts/types/log_record.h"

namespace carobmast::config {

// Sent to a peer, and answered by it.
struct PeerHead {
  std::string process;
  Head head;
};

struct FetchRequest {
  // Records up to this offset are folded already.
  contracts::Offset through = 0;
  // To go on with the pages of a whole set.
  std::optional<Head> page_head;
  // The last name of the page before.
  std::string page_after;
};

struct FetchAnswer {
  // Of the set that the peer holds.
  Head head;
  // Accepted records after the request's `through`.
  std::vector<contracts::LogRecord> records;
  // Whether this is a page of the whole set instead.
  bool whole = false;
  // Stamped objects as text, see EncodeStamped.
  std::vector<std::string> objects;
  std::string page_after;
  bool last_page = false;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TYPES_PEER_MESSAGES_H_
