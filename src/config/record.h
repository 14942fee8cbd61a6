// Encodes and decodes the records of the configuration stream as JSON text.
//
// Publish:
//   {"format":1,"rules":1,"type":"publish","base":B,"publisher":"P",
//    "digest":"...","put":[OBJECT...],"remove":["NAME"...],
//    "signature":"..."}; "signature" only when the record is signed
// Compaction, one of `parts` records that together hold a complete set:
//   {"format":1,"rules":1,"type":"compaction","group":"G","part":0,"parts":1,
//    "offset":O,"through":T,"digest":"...",
//    "objects":[{"at":O,"ms":MS,"object":OBJECT}...]}
//
// The fields "format" and "rules" must keep their meaning in all versions, so
// that an older program can tell that it can't evaluate a record.
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
// Maximum size of a record's text. All readers refuse longer records.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{8} * 1024 * 1024;
// Approximate size of the objects' text in one part of a compaction.
inline constexpr std::size_t kPartBytes = std::size_t{1024} * 1024;
inline constexpr std::size_t kMaxPublisherBytes = 128;
inline constexpr std::uint32_t kMaxParts = 1000;

struct PublishRecord {
  std::uint32_t rules = 1;
  // Offset of the set to which the change applies.
  contracts::Offset base = 0;
  std::string publisher;
  // Digest of the whole set after the change.
  std::string digest;
  Change change;
  // Signature of SignedText() as 128 hexadecimal digits; empty when unsigned.
  std::string signature;
};

struct CompactionRecord {
  // Head of the set at the time the compaction was made.
  Head head;
  // Common to all parts of a compaction and unique to it.
  std::string group;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<StampedObject> objects;
};

// A record of a format or rule version unknown to this program.
struct UnknownRecord {
  std::uint64_t format = 0;
  std::uint64_t rules = 0;
};

// Text that is no valid record in any version.
struct MalformedRecord {
  std::string reason;
};

using Record = std::variant<PublishRecord, CompactionRecord, UnknownRecord,
                            MalformedRecord>;

// Never throws. Records of rule versions above `max_rules` are unknown.
Record DecodeRecord(const std::string& data, std::uint32_t max_rules);

std::string EncodePublish(const PublishRecord& record);

// Returns the records of a compaction; their ids consist of `group` and the
// part number.
std::vector<contracts::NewRecord> EncodeCompaction(const Head& head,
                                                   const ObjectSet& set,
                                                   const std::string& group);

// Returns {"at":O,"ms":MS,"object":OBJECT}, as in compactions: the stamp's
// offset, its time in milliseconds since the epoch, and the object.
std::string EncodeStamped(const StampedObject& object);
// Throws Error (step "config record") when `text` is malformed.
StampedObject DecodeStamped(const std::string& text);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_RECORD_H_
