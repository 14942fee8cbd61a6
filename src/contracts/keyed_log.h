// Contract with a log service that keeps the newest record of each key, takes
// appends under conditions, and fences writers by epochs.
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

// One ordered sequence of records.
struct StreamId {
  std::string name;
  std::uint32_t partition = 0;
};

struct KeyedRecord {
  std::string key;
  // Empty when the key is dropped.
  std::optional<std::string> value;
  std::uint64_t offset = 0;
};

// Identifies a writer for fencing and for the detection of repeats.
struct Writer {
  std::string name;
  std::uint64_t epoch = 0;
  // Counts the appends of one epoch.
  std::uint64_t sequence = 0;
};

struct AppendCall {
  StreamId stream;
  std::vector<KeyedRecord> records;
  // Appends only if the stream ends at this offset.
  std::optional<std::uint64_t> expected_end;
  std::optional<Writer> writer;
  Duration timeout = std::chrono::seconds(1);
};

enum class KeyedAppendOutcome {
  kStored,
  kNotStored,      // the service refused; nothing was done
  kUnknown,        // no answer: it may be stored, or be stored later
  kEndMoved,       // the stream does not end at `expected_end`
  kFenced,         // a higher epoch has written
  kOutOfSequence,  // the sequence number is not the next one
};

struct KeyedAppendAnswer {
  KeyedAppendOutcome outcome = KeyedAppendOutcome::kUnknown;
  // Offset of the first record, when stored.
  std::uint64_t offset = 0;
  // End of the stream, when stored or when the end had moved.
  std::uint64_t end = 0;
  // When out of sequence: the number that the service waits for, if it told.
  std::optional<std::uint64_t> expected_sequence;
  // Step, peer and reason, when not stored.
  std::string error;
};

struct ReadCall {
  StreamId stream;
  std::uint64_t from = 0;
  // The service answers as soon as there is a record, at the latest after this.
  Duration wait = Duration::zero();
  Duration timeout = std::chrono::seconds(1);
};

enum class ReadOutcome {
  kRead,
  kExpired,  // the records at `from` are gone; read the newest ones instead
  kFailed,
};

struct KeyedReadAnswer {
  ReadOutcome outcome = ReadOutcome::kFailed;
  std::uint64_t end = 0;
  std::vector<KeyedRecord> records;
  std::string error;
};

// One page of the newest records.
struct NewestAnswer {
  bool ok = false;
  std::vector<KeyedRecord> records;
  bool has_more = false;
  std::uint64_t end = 0;
  std::string error;
};

class KeyedLog : public RefCounted<KeyedLog> {
 public:
  virtual ~KeyedLog() = default;
  virtual boost::asio::awaitable<KeyedAppendAnswer> Append(AppendCall call) = 0;
  virtual boost::asio::awaitable<KeyedReadAnswer> Read(ReadCall call) = 0;
  // The newest record of each key after `after_key` in the service's order.
  virtual boost::asio::awaitable<NewestAnswer> Newest(StreamId stream,
                                                      std::string after_key,
                                                      Duration timeout) = 0;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_KEYED_LOG_H_
