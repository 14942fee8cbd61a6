// In-memory log service with fault injection. Does no I/O: the caller passes
// the current time, which must not go backwards from call to call.
#ifndef CAROBMAST_STANDIN_FAKE_LOG_H_
#define CAROBMAST_STANDIN_FAKE_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "contracts/types/log_record.h"
#include "framework/base/time.h"

namespace carobmast::standin {

struct LogFaults {
  // Appends and reads are refused, without effect.
  bool unavailable = false;
  // Appends are refused, without effect.
  bool read_only = false;
  // Number of upcoming appends that take effect and return the outcome unknown.
  std::uint32_t lost_answers = 0;
  // Number of upcoming appends that have no effect and return the outcome
  // unknown.
  std::uint32_t lost_requests = 0;
  // Delay of each answer. FakeLog never waits: its caller applies the delay.
  Duration delay = Duration::zero();
};

struct FakeLogOptions {
  // Wall time at MonotonicTime zero.
  WallTime wall_at_zero;
  // How long records are kept; zero for no limit by age.
  Duration retention = Duration::zero();
  // Maximum number of records kept per stream.
  std::size_t max_records = 1'000'000;
  // Maximum size of the record data of one read, in bytes. A read returns a
  // single larger record nevertheless.
  std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
};

// Streams of records by name. A stream exists from its first use; its offsets
// start at 1 and are never reused.
class FakeLog {
 public:
  explicit FakeLog(FakeLogOptions options);

  // Appends all records of the request, or none. Never throws: a refused append
  // returns kNotSent, one that hits a lost request or answer kUnknown.
  contracts::AppendAnswer Append(const contracts::AppendRequest& request,
                                 MonotonicTime now);
  // Returns the records from the requested offset, or from the oldest kept
  // record if that one has expired. Throws Error (step "log read") during an
  // outage. Never waits for new records.
  contracts::ReadAnswer Read(const contracts::ReadRequest& request,
                             MonotonicTime now);

  LogFaults& faults() { return faults_; }
  // Changes apply to a stream from its next call, which also removes records
  // that exceed the new limits.
  FakeLogOptions& options() { return options_; }

 private:
  struct Stream {
    std::deque<contracts::LogRecord> records;
    contracts::Offset next = 1;
  };

  WallTime ToWallTime(MonotonicTime now) const;
  // Removes records over the count or age limit.
  void Expire(Stream& stream, MonotonicTime now) const;

  FakeLogOptions options_;
  LogFaults faults_;
  std::map<std::string, Stream> streams_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_FAKE_LOG_H_
