// A log service in memory, with faults. Sans-I/O: the caller passes the time.
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
  // Everything is refused, without effect.
  bool unavailable = false;
  // Appends are refused, without effect.
  bool read_only = false;
  // So many of the next appends take effect and get the outcome unknown.
  std::uint32_t lost_answers = 0;
  // So many of the next appends take no effect and get the outcome unknown.
  std::uint32_t lost_requests = 0;
  // How much later answers come; the caller of the log has to wait.
  Duration delay = Duration::zero();
};

struct FakeLogOptions {
  // Wall time at MonotonicTime zero.
  WallTime wall_at_zero;
  // How long records are kept; zero keeps them by count alone.
  Duration retention = Duration::zero();
  // How many records of a stream are kept.
  std::size_t max_records = 1'000'000;
  // One read answers at most so much data, and at least one record.
  std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
};

class FakeLog {
 public:
  explicit FakeLog(FakeLogOptions options);

  contracts::AppendAnswer Append(const contracts::AppendRequest& request,
                                 MonotonicTime now);
  // Throws Error (step "log read") during an outage. Never waits.
  contracts::ReadAnswer Read(const contracts::ReadRequest& request,
                             MonotonicTime now);

  LogFaults& faults() { return faults_; }
  // Changes from now on; records that are too old go with the next call.
  FakeLogOptions& options() { return options_; }

 private:
  struct Stream {
    std::deque<contracts::LogRecord> records;
    contracts::Offset next = 1;
  };

  WallTime ToWallTime(MonotonicTime now) const;
  void Expire(Stream& stream, MonotonicTime now) const;

  FakeLogOptions options_;
  LogFaults faults_;
  std::map<std::string, Stream> streams_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_FAKE_LOG_H_
