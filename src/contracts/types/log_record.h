// Data types of the log service.
#ifndef CAROBMAST_CONTRACTS_TYPES_LOG_RECORD_H_
#define CAROBMAST_CONTRACTS_TYPES_LOG_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/time.h"

namespace carobmast::contracts {

// Position of a record in its stream. The first record has offset 1; 0 means
// "before the first record".
using Offset = std::uint64_t;

// A record to be appended. The caller must never reuse an `id`: of several
// records with the same id, a reader applies only the first.
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

// Result of an append. Appends are atomic: either all records are stored or
// none.
enum class AppendOutcome {
  kAppended,  // the records are in the stream, at the returned offsets
  kNotSent,   // the service refused or was not reached: the records are
              // certainly not in the stream
  kUnknown,   // the answer was lost: the records may be in the stream
};

struct AppendRequest {
  std::string stream;
  std::vector<NewRecord> records;
  Duration timeout = std::chrono::seconds(5);
};

struct AppendAnswer {
  AppendOutcome outcome = AppendOutcome::kUnknown;
  // One offset per record, if the records were appended.
  std::vector<Offset> offsets;
  // Step, peer and reason of the failure, if they were not appended.
  std::string error;
};

struct ReadRequest {
  std::string stream;
  // Offset of the first record to return.
  Offset from = 1;
  std::size_t max_records = 1000;
  // How long the service may delay its answer while there is no record yet
  // (long polling).
  Duration wait = Duration::zero();
  Duration timeout = std::chrono::seconds(5);
};

struct ReadAnswer {
  std::vector<LogRecord> records;
  // The lowest offset that the service still retains.
  Offset first_kept = 1;
  // The offset that the next appended record will get.
  Offset next = 1;
};

// Names of the streams that carobmast uses.
inline constexpr char kConfigStream[] = "config";
inline constexpr char kWorkStream[] = "work";

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_TYPES_LOG_RECORD_H_
