// Records of the configuration stream, as JSON text.
//
// Publish:
//   {"format":1,"rules":1,"type":"publish","base":B,"publisher":"P",
//    "digest":"...","put":[OBJECT...],"remove":["NAME"...],
//    "signature":"..."}, the last only when it is signed
// Compaction, one of `parts` records that carry a whole set together:
//   {"format":1,"rules":1,"type":"compaction","group":"G","part":0,"parts":1,
//    "offset":O,"through":T,"digest":"...",
//    "objects":[{"at":O,"ms":MS,"object":OBJECT}...]}
//
// Every version of the program can tell from "format" and "rules" whether it
// knows how to decide about a record.
#ifndef CAROBMAST_CONFIG_RECORD_H_
#define CAROBMAST_CONFIG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/object_set.h"
#include "config/types/change.h"
#include "config/types/head.h"
#include "contracts/types/log_record.h"

namespace carobmast::config {

inline constexpr std::uint32_t kRecordFormat = 1;
// Longest text of a record. Longer publishes are refused by every reader.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{8} * 1024 * 1024;
// Text of the objects in one part of a compaction, about.
inline constexpr std::size_t kPartBytes = std::size_t{1024} * 1024;
inline constexpr std::size_t kMaxPublisherBytes = 128;
inline constexpr std::uint32_t kMaxParts = 1000;

struct PublishRecord {
  std::uint32_t rules = 1;
  // Offset of the set that the change was made for.
  contracts::Offset base = 0;
  std::string publisher;
  // Digest of the whole set after the change.
  std::string digest;
  Change change;
  // Of SignedText(), as 128 hexadecimal digits; may be empty.
  std::string signature;
};

struct CompactionRecord {
  // Of the set that it stands for.
  Head head;
  // Joins the parts; unique for each compaction.
  std::string group;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<StampedObject> objects;
};

// A record of a format or rule version that this program does not know.
struct UnknownRecord {
  std::uint64_t format = 0;
  std::uint64_t rules = 0;
};

// Text that no version can read, with the reason.
struct MalformedRecord {
  std::string reason;
};

using Record = std::variant<PublishRecord, CompactionRecord, UnknownRecord,
                            MalformedRecord>;

// Never throws. Records of rules above `max_rules` are unknown.
Record DecodeRecord(const std::string& data, std::uint32_t max_rules);

std::string EncodePublish(const PublishRecord& record);

// A whole set as records, with ids made of `group` and the part.
std::vector<contracts::NewRecord> EncodeCompaction(const Head& head,
                                                   const ObjectSet& set,
                                                   const std::string& group);

// {"at":O,"ms":MS,"object":OBJECT}, as in compactions.
std::string EncodeStamped(const StampedObject& object);
// Throws Error when it is malformed.
StampedObject DecodeStamped(const std::string& text);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_RECORD_H_
