// Plain data of the log service.
#ifndef CAROBMAST_CONTRACTS_TYPES_LOG_RECORD_H_
#define CAROBMAST_CONTRACTS_TYPES_LOG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/time.h"

namespace carobmast::contracts {

// Position of a record in its stream; the first record has offset 1. Zero means
// "before every record".
using Offset = std::uint64_t;

// A record to be appended. `id` is unique for ever: a reader that meets an id
// twice takes the first record only.
struct NewRecord {
  std::string id;
  std::string data;
};

struct LogRecord {
  Offset offset = 0;
  WallTime appended_at;
  std::string id;
  std::string data;
};

// How an append ended. An append is whole: all its records or none.
enum class AppendOutcome {
  kAppended,  // in the stream, at the offsets given
  kNotSent,   // refused or never reached the service: certainly not in the
              // stream
  kUnknown,   // the answer was lost: it may or may not be in the stream
};

struct AppendRequest {
  std::string stream;
  std::vector<NewRecord> records;
  Duration timeout = std::chrono::seconds(5);
};

struct AppendAnswer {
  AppendOutcome outcome = AppendOutcome::kUnknown;
  // One for each record, when appended.
  std::vector<Offset> offsets;
  // Step, peer and reason, when not appended.
  std::string error;
};

struct ReadRequest {
  std::string stream;
  // The first offset wanted.
  Offset from = 1;
  std::size_t max_records = 1000;
  // How long the service may hold the answer back while there is no record.
  Duration wait = Duration::zero();
  Duration timeout = std::chrono::seconds(5);
};

struct ReadAnswer {
  std::vector<LogRecord> records;
  // The oldest offset that the service still keeps.
  Offset first_kept = 1;
  // The offset that the next record of the stream will get.
  Offset next = 1;
};

// The streams of the product.
inline constexpr char kConfigStream[] = "config";
inline constexpr char kWorkStream[] = "work";

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_TYPES_LOG_RECORD_H_
