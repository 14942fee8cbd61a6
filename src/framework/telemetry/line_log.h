// Structured lines on standard output, one for each decision, in the form of
// telemetry::Log. Never blocks: lines that the reader does not take in time,
// and lines beyond the rate, are dropped and counted. No event gets more than
// half of the rate, so that a frequent one never hides the others.
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
  int descriptor = 1;
  // In every line, e.g. the node's name.
  std::vector<Field> common;
  std::size_t max_lines_per_second = 500;
  std::size_t max_buffered_bytes = std::size_t{128} * 1024;
  // The system's clock where it is empty.
  std::function<WallTime()> now;
};

class LineLog {
 public:
  explicit LineLog(LineLogOptions options);

  void Write(const std::string& event, const std::vector<Field>& fields);
  // Writes what the reader takes without blocking. To be called a few times a
  // second.
  void Flush();

  std::uint64_t lines() const { return lines_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  // Whether there is room for one more line of the event.
  bool TakeRoom(const std::string& event, std::int64_t second);

  LineLogOptions options_;
  std::string common_;
  std::string buffer_;
  std::int64_t second_ = 0;
  std::size_t lines_this_second_ = 0;
  std::map<std::string, std::size_t> lines_by_event_;
  std::uint64_t lines_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
};

}  // namespace carobmast::telemetry

#endif  // CAROBMAST_FRAMEWORK_TELEMETRY_LINE_LOG_H_
