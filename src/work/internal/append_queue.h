// Collects what one scheduler wants to write to the log and appends it in
// batches, one in flight at a time. A batch whose answer was lost is looked for
// in the log; when it isn't there it is appended again with the same ids, and
// the fold ignores what is there twice.
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
  // Prefix of all record ids; unique to this process.
  std::string self;
  // Least time between two appends.
  Duration interval = std::chrono::milliseconds(250);
  // Wait after a failed append.
  Duration retry = std::chrono::milliseconds(500);
  std::size_t max_batch = 200;
};

// One append to be sent.
struct AppendBatch {
  std::uint64_t id = 0;
  std::vector<contracts::NewRecord> records;
};

class AppendQueue {
 public:
  explicit AppendQueue(AppendQueueOptions options);

  // Queues a record and returns its id.
  std::string Add(const WorkRecord& record);
  // Queues a task or result for the next batch of its cell and token.
  void AddTake(const std::string& cell, contracts::FencingToken token,
               const std::string& task);
  void AddResult(const std::string& cell, contracts::FencingToken token,
                 ResultEntry result);

  // Puts the tasks and results so far before whatever is added next.
  void QueueGroups();

  // The batch to append now, if any.
  std::optional<AppendBatch> Poll(MonotonicTime now);
  // The answer to batch `id`.
  void OnAnswer(MonotonicTime now, std::uint64_t id,
                contracts::AppendOutcome outcome);
  // A read that started at `started` reached the end of the stream.
  void OnRead(MonotonicTime now, MonotonicTime started,
              const std::vector<contracts::LogRecord>& records, bool at_end);

  // Nothing queued and nothing in flight.
  bool Idle() const;
  std::uint64_t appends() const { return appends_; }

 private:
  using CellKey = std::pair<std::string, contracts::FencingToken>;
  enum class Phase { kIdle, kSent, kUnknown, kRetry };

  AppendQueueOptions options_;
  std::deque<contracts::NewRecord> queue_;
  std::map<CellKey, std::vector<std::string>> takes_;
  std::map<CellKey, std::vector<ResultEntry>> results_;
  Phase phase_ = Phase::kIdle;
  AppendBatch batch_;
  // When the answer was lost.
  MonotonicTime unknown_since_;
  MonotonicTime not_before_;
  std::uint64_t next_record_ = 1;
  std::uint64_t appends_ = 0;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_APPEND_QUEUE_H_
