// Messages that processes exchange about the sets they hold.
#ifndef CAROBMAST_CONFIG_TYPES_PEER_MESSAGES_H_
#define CAROBMAST_CONFIG_TYPES_PEER_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "config/types/head.h"
#include "contracts/types/log_record.h"

namespace carobmast::config {

// The head of a process, as both request and answer of the head call.
struct PeerHead {
  // Name of the sending process.
  std::string process;
  Head head;
};

// Asks a peer for a newer set.
struct FetchRequest {
  // The requester has folded all records up to this offset.
  contracts::Offset through = 0;
  // Set to request the next page of the complete set with this head.
  std::optional<Head> page_head;
  // Name of the last object of the previous page.
  std::string page_after;
};

// Carries either accepted records or a page of the complete set.
struct FetchAnswer {
  // Head of the set that the answering peer holds.
  Head head;
  // Accepted records after the request's `through`.
  std::vector<contracts::LogRecord> records;
  // Whether the answer holds a page of the complete set instead of records.
  bool whole = false;
  // The page's objects with their stamps, as written by EncodeStamped.
  std::vector<std::string> objects;
  // Name of the last object of this page.
  std::string page_after;
  bool last_page = false;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TYPES_PEER_MESSAGES_H_
