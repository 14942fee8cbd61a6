#include "standin/fake_log.h"

#include <algorithm>

#include "framework/base/error.h"

namespace carobmast::standin {

using contracts::AppendAnswer;
using contracts::AppendOutcome;
using contracts::LogRecord;
using contracts::ReadAnswer;

namespace {

constexpr char kPeer[] = "log";

AppendAnswer NotSent(const char* reason) {
  return {.outcome = AppendOutcome::kNotSent, .error = reason};
}

AppendAnswer Unknown(const char* reason) {
  return {.outcome = AppendOutcome::kUnknown, .error = reason};
}

// Uses up one of the remaining faults; false when none remain.
bool ConsumeFault(std::uint32_t& remaining) {
  if (remaining == 0) return false;
  --remaining;
  return true;
}

}  // namespace

FakeLog::FakeLog(FakeLogOptions options) : options_(options) {}

WallTime FakeLog::ToWallTime(MonotonicTime now) const {
  return options_.wall_at_zero +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             now.time_since_epoch());
}

void FakeLog::Expire(Stream& stream, MonotonicTime now) const {
  std::deque<LogRecord>& records = stream.records;
  while (records.size() > options_.max_records) records.pop_front();
  if (options_.retention == Duration::zero()) return;
  const WallTime oldest = ToWallTime(now - options_.retention);
  while (!records.empty() && records.front().appended_at < oldest) {
    records.pop_front();
  }
}

AppendAnswer FakeLog::Append(const contracts::AppendRequest& request,
                             MonotonicTime now) {
  if (faults_.unavailable) return NotSent("the log is out");
  if (faults_.read_only) return NotSent("the log is read-only");
  if (ConsumeFault(faults_.lost_requests)) return Unknown("request lost");
  Stream& stream = streams_[request.stream];
  AppendAnswer answer{.outcome = AppendOutcome::kAppended};
  for (const contracts::NewRecord& record : request.records) {
    answer.offsets.push_back(stream.next);
    stream.records.push_back({.offset = stream.next,
                              .appended_at = ToWallTime(now),
                              .id = record.id,
                              .data = record.data});
    ++stream.next;
  }
  Expire(stream, now);
  if (ConsumeFault(faults_.lost_answers)) return Unknown("answer lost");
  return answer;
}

ReadAnswer FakeLog::Read(const contracts::ReadRequest& request,
                         MonotonicTime now) {
  if (faults_.unavailable) throw Error("log read", kPeer, "the log is out");
  Stream& stream = streams_[request.stream];
  Expire(stream, now);
  ReadAnswer answer{.first_kept = stream.records.empty()
                                      ? stream.next
                                      : stream.records.front().offset,
                    .next = stream.next};
  const contracts::Offset from = std::max(request.from, answer.first_kept);
  std::size_t bytes = 0;
  for (contracts::Offset offset = from; offset < stream.next; ++offset) {
    const LogRecord& record = stream.records[offset - answer.first_kept];
    bytes += record.data.size();
    if (answer.records.size() >= request.max_records) break;
    if (bytes > options_.max_answer_bytes && !answer.records.empty()) break;
    answer.records.push_back(record);
  }
  return answer;
}

}  // namespace carobmast::standin
