// Collects the records that one scheduler writes and appends them to the log in
// batches, one batch in flight at a time. If the answer to an append is lost,
// the batch is looked for in the log; if it isn't there, it is appended again
// with the same record ids. The fold ignores duplicates.
#ifndef CAROBMAST_WORK_INTERNAL_APPEND_QUEUE_H_
#define CAROBMAST_WORK_INTERNAL_APPEND_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "contracts/types/log_record.h"
#include "framework/base/time.h"
#include "work/types/records.h"

namespace carobmast::work {

struct AppendQueueOptions {
  // Prefix of all record ids; must be unique to this process.
  std::string self;
  // Minimum interval between two appends.
  Duration interval = std::chrono::milliseconds(250);
  // Delay before a failed append is repeated.
  Duration retry = std::chrono::milliseconds(500);
  std::size_t max_batch = 200;
};

// The records of one append.
struct AppendBatch {
  std::uint64_t id = 0;
  std::vector<contracts::NewRecord> records;
};

class AppendQueue {
 public:
  explicit AppendQueue(AppendQueueOptions options);

  // Queues a record and returns its id.
  std::string Add(const WorkRecord& record);
  // Adds a take or a result to the next record of this cell and token.
  void AddTake(const std::string& cell, contracts::FencingToken token,
               const std::string& task);
  void AddResult(const std::string& cell, contracts::FencingToken token,
                 ResultEntry result);

  // Turns the takes and results added so far into records, ahead of all records
  // that are added later.
  void QueueGroups();

  // Returns the batch to append now, if any.
  std::optional<AppendBatch> Poll(MonotonicTime now);
  // Takes the answer to batch `id`.
  void OnAnswer(MonotonicTime now, std::uint64_t id,
                contracts::AppendOutcome outcome);
  // Takes the records of a read that was sent at `started`; `at_end` tells
  // whether it reached the end of the stream.
  void OnRead(MonotonicTime now, MonotonicTime started,
              const std::vector<contracts::LogRecord>& records, bool at_end);

  // Whether nothing is queued or in flight.
  bool Idle() const;
  std::uint64_t appends() const { return appends_; }

 private:
  using CellKey = std::pair<std::string, contracts::FencingToken>;
  // Of the newest batch: kUnknown if its answer was lost, kRetry if it must be
  // appended again.
  enum class Phase { kIdle, kSent, kUnknown, kRetry };

  AppendQueueOptions options_;
  std::deque<contracts::NewRecord> queue_;
  std::map<CellKey, std::vector<std::string>> takes_;
  std::map<CellKey, std::vector<ResultEntry>> results_;
  Phase phase_ = Phase::kIdle;
  AppendBatch batch_;
  // When the answer to the batch in flight was found to be lost.
  MonotonicTime unknown_since_;
  MonotonicTime not_before_;
  std::uint64_t next_record_ = 1;
  std::uint64_t appends_ = 0;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_APPEND_QUEUE_H_
