// An in-memory log with expiry of records. The user of the log simulates an
// outage while `unavailable` is set.
#ifndef CAROBMAST_CONFIG_TESTS_FAKE_LOG_H_
#define CAROBMAST_CONFIG_TESTS_FAKE_LOG_H_

#include <algorithm>
#include <string>
#include <vector>

#include "contracts/types/log_record.h"

namespace carobmast::config {

class FakeLog {
 public:
  // Whether appends and reads must fail. Append and Read don't check it.
  bool unavailable = false;

  contracts::Offset Append(const contracts::NewRecord& record, WallTime at) {
    records_.push_back({.offset = next(),
                        .appended_at = at,
                        .id = record.id,
                        .data = record.data});
    return records_.back().offset;
  }

  contracts::ReadAnswer Read(const contracts::ReadRequest& request) const {
    contracts::ReadAnswer answer{.first_kept = first_kept_, .next = next()};
    for (const contracts::LogRecord& record : records_) {
      if (record.offset < std::max(request.from, first_kept_)) continue;
      if (answer.records.size() == request.max_records) break;
      answer.records.push_back(record);
    }
    return answer;
  }

  // Makes the records before `first` unreadable.
  void Expire(contracts::Offset first) {
    first_kept_ = std::max(first_kept_, std::min(first, next()));
  }

  // All records ever appended, including expired ones.
  const std::vector<contracts::LogRecord>& all() const { return records_; }
  contracts::Offset first_kept() const { return first_kept_; }
  contracts::Offset next() const { return records_.size() + 1; }

 private:
  std::vector<contracts::LogRecord> records_;
  contracts::Offset first_kept_ = 1;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TESTS_FAKE_LOG_H_
