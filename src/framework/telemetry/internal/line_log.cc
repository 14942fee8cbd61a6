#include "framework/telemetry/line_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace carobmast::telemetry {

namespace {

// PIPE_BUF: a pipe that polls as writable accepts this many bytes without
// blocking. POSIX guarantees at least 512, Linux 4096.
constexpr std::size_t kChunkBytes = 4096;
constexpr std::int64_t kMsPerSecond = 1000;

std::string FormatTime(std::int64_t ms) {
  const std::time_t seconds = ms / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char day[24];
  std::strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &parts);
  char text[40];
  std::snprintf(text, sizeof(text), "%s.%03dZ", day,
                static_cast<int>(ms % kMsPerSecond));
  return text;
}

bool IsWritable(int descriptor) {
  pollfd poll_descriptor{.fd = descriptor, .events = POLLOUT, .revents = 0};
  return poll(&poll_descriptor, 1, 0) == 1 &&
         (poll_descriptor.revents & POLLOUT) != 0;
}

}  // namespace

LineLog::LineLog(LineLogOptions options) : options_(std::move(options)) {
  if (!options_.now) {
    options_.now = [] {
      return std::chrono::time_point_cast<WallTime::duration>(
          std::chrono::system_clock::now());
    };
  }
  for (const Field& field : options_.common) {
    common_ += " " + field.key + "=" + field.value;
  }
}

bool LineLog::AdmitLine(const std::string& event, std::int64_t second) {
  if (second != second_) {
    second_ = second;
    lines_this_second_ = 0;
    lines_by_event_.clear();
  }
  std::size_t& event_lines = lines_by_event_[event];
  if (lines_this_second_ >= options_.max_lines_per_second ||
      event_lines >= options_.max_lines_per_second / 2 ||
      buffer_.size() >= options_.max_buffered_bytes) {
    return false;
  }
  ++lines_this_second_;
  ++event_lines;
  return true;
}

void LineLog::Write(const std::string& event,
                    const std::vector<Field>& fields) {
  const std::int64_t now =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          options_.now().time_since_epoch())
          .count();
  if (!AdmitLine(event, now / kMsPerSecond)) {
    ++dropped_;
    return;
  }
  ++lines_;
  buffer_ += "time=" + FormatTime(now) + common_ +
             " event=" + Field("event", event).value;
  for (const Field& field : fields) {
    buffer_ += " " + field.key + "=" + field.value;
  }
  if (dropped_ != dropped_reported_) {
    buffer_ += " lines_dropped=" + std::to_string(dropped_);
    dropped_reported_ = dropped_;
  }
  buffer_ += "\n";
}

void LineLog::Flush() {
  std::size_t done = 0;
  while (done < buffer_.size() && IsWritable(options_.descriptor)) {
    const std::size_t size = std::min(kChunkBytes, buffer_.size() - done);
    const ssize_t written =
        write(options_.descriptor, buffer_.data() + done, size);
    // The write failed, e.g. because the reader has closed the pipe.
    if (written <= 0) break;
    done += static_cast<std::size_t>(written);
  }
  buffer_.erase(0, done);
}

}  // namespace carobmast::telemetry
