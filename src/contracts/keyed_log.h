// Interface to a log service that retains the newest record of each key,
// supports conditional appends, and fences writers by epoch.
#ifndef CAROBMAST_CONTRACTS_KEYED_LOG_H_
#define CAROBMAST_CONTRACTS_KEYED_LOG_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/base/intrusive.h"
#include "framework/base/time.h"

namespace carobmast::contracts {

// Identifies an ordered sequence of records.
struct StreamId {
  std::string name;
  std::uint32_t partition = 0;
};

struct KeyedRecord {
  std::string key;
  // No value means that the key is deleted.
  std::optional<std::string> value;
  std::uint64_t offset = 0;
};

// Identifies a writer and its append, for fencing and duplicate detection.
struct Writer {
  std::string name;
  std::uint64_t epoch = 0;
  // Sequence number of the append within the epoch.
  std::uint64_t sequence = 0;
};

struct AppendCall {
  StreamId stream;
  std::vector<KeyedRecord> records;
  // If set, the append succeeds only if the stream ends at this offset.
  std::optional<std::uint64_t> expected_end;
  std::optional<Writer> writer;
  Duration timeout = std::chrono::seconds(1);
};

enum class KeyedAppendOutcome {
  kStored,
  kNotStored,      // the service refused; the append had no effect
  kUnknown,        // no answer: the records may be stored now or later
  kEndMoved,       // the stream does not end at `expected_end`
  kFenced,         // a writer with a higher epoch has appended
  kOutOfSequence,  // the sequence number is not the next one
};

struct KeyedAppendAnswer {
  KeyedAppendOutcome outcome = KeyedAppendOutcome::kUnknown;
  // Offset of the first record, if stored.
  std::uint64_t offset = 0;
  // End of the stream, if the outcome is kStored or kEndMoved.
  std::uint64_t end = 0;
  // If the outcome is kOutOfSequence: the sequence number that the service
  // expects, if it reported one.
  std::optional<std::uint64_t> expected_sequence;
  // Step, peer and reason of the failure, if not stored.
  std::string error;
};

struct ReadCall {
  StreamId stream;
  std::uint64_t from = 0;
  // The service answers as soon as there is a record, or after this time at the
  // latest.
  Duration wait = Duration::zero();
  Duration timeout = std::chrono::seconds(1);
};

enum class ReadOutcome {
  kRead,
  kExpired,  // the records at `from` no longer exist; call Newest() instead
  kFailed,
};

struct KeyedReadAnswer {
  ReadOutcome outcome = ReadOutcome::kFailed;
  std::uint64_t end = 0;
  std::vector<KeyedRecord> records;
  std::string error;
};

// One page of the newest record of each key.
struct NewestAnswer {
  // Whether the page was read; if not, `error` says why.
  bool ok = false;
  std::vector<KeyedRecord> records;
  bool has_more = false;
  std::uint64_t end = 0;
  std::string error;
};

class KeyedLog : public RefCounted<KeyedLog> {
 public:
  virtual ~KeyedLog() = default;
  // Appends records, subject to the conditions in `call`.
  virtual boost::asio::awaitable<KeyedAppendAnswer> Append(AppendCall call) = 0;
  // Reads records from an offset on.
  virtual boost::asio::awaitable<KeyedReadAnswer> Read(ReadCall call) = 0;
  // Reads one page of the newest record of each key. Returns keys that follow
  // `after_key` in the service's order.
  virtual boost::asio::awaitable<NewestAnswer> Newest(StreamId stream,
                                                      std::string after_key,
                                                      Duration timeout) = 0;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_KEYED_LOG_H_
