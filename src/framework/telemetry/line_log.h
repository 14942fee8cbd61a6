// Writes one structured line per decision to standard output, in the format of
// telemetry::Log. Writing never blocks: lines over the rate limit, and lines
// that the reader does not consume in time, are dropped and counted. One event
// may use at most half of the rate limit, so that a frequent event can't
// suppress the others.
#ifndef CAROBMAST_FRAMEWORK_TELEMETRY_LINE_LOG_H_
#define CAROBMAST_FRAMEWORK_TELEMETRY_LINE_LOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "framework/telemetry/log.h"

namespace carobmast::telemetry {

struct LineLogOptions {
  // The file descriptor to write to.
  int descriptor = 1;
  // Fields added to every line, e.g. the node's name.
  std::vector<Field> common;
  std::size_t max_lines_per_second = 500;
  std::size_t max_buffered_bytes = std::size_t{128} * 1024;
  // Clock for the timestamps; empty for the system clock.
  std::function<WallTime()> now;
};

class LineLog {
 public:
  explicit LineLog(LineLogOptions options);

  // Buffers one line for the next Flush(), or drops it.
  void Write(const std::string& event, const std::vector<Field>& fields);
  // Writes as much of the buffer as is possible without blocking. The caller
  // must call it a few times per second.
  void Flush();

  // Lines buffered, and lines dropped, since the start.
  std::uint64_t lines() const { return lines_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  // Counts one more line of `event` in the Unix second `second`. Returns false
  // if it exceeds a rate limit or if the buffer is full.
  bool AdmitLine(const std::string& event, std::int64_t second);

  LineLogOptions options_;
  std::string common_;
  std::string buffer_;
  std::int64_t second_ = 0;
  std::size_t lines_this_second_ = 0;
  std::map<std::string, std::size_t> lines_by_event_;
  std::uint64_t lines_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

}  // namespace carobmast::telemetry

#endif  // CAROBMAST_FRAMEWORK_TELEMETRY_LINE_LOG_H_
