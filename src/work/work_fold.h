// Folds the log stream "work" to the state that every reader of the same
// offsets shares: cells, jobs and tasks.
#ifndef CAROBMAST_WORK_WORK_FOLD_H_
#define CAROBMAST_WORK_WORK_FOLD_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "contracts/types/log_record.h"
#include "framework/base/time.h"
#include "work/types/records.h"

namespace carobmast::work {

// Attempt numbers that one owner may use for a task before it must write a
// record about it. A claim moves the numbers on by this many, because the new
// owner can't know which ones the old owner used.
inline constexpr std::uint32_t kAttemptsPerClaim = 1000;

inline constexpr std::uint32_t kMaxTasksPerJob = 10000;

// How long an ended job is kept, by the log's time, so that it can be asked
// about and a repeated submission is known.
inline constexpr std::chrono::hours kEndedJobRetention{1};

// How long a scheduler that writes nothing is remembered, by the log's time.
inline constexpr std::chrono::minutes kSchedulerRetention{2};

struct FoldedCell {
  std::string zone;
  // "name/incarnation" of the owner; empty when relinquished.
  std::string owner;
  // Offset of the claim in force.
  contracts::FencingToken token = 0;
  // Number of claims so far.
  std::uint32_t claims = 0;
  std::map<std::string, CellMember> members;
  // The tasks that the cell holds.
  std::set<std::string> tasks;
};

struct FoldedTask {
  TaskStage stage = TaskStage::kPending;
  std::string cell;
  // Offset of the take that assigned it.
  contracts::Offset taken_at = 0;
  // The first attempt that may be started after the take.
  std::uint32_t first_attempt = 1;
  // The first attempt that the present owner may use.
  std::uint32_t next_attempt = 1;
  std::uint32_t failures = 0;
  std::string checkpoint;
  std::string reason;
};

struct FoldedJob {
  SubmitRecord submit;
  contracts::Offset offset = 0;
  bool cancelled = false;
  std::uint32_t finished = 0;
  std::uint32_t ended = 0;
  // Time of the record that ended it; zero while tasks are left.
  WallTime ended_at{};

  bool Ended() const { return ended == submit.spec.tasks; }
  bool Succeeded() const { return finished == submit.spec.tasks; }
};

struct FoldedScheduler {
  std::string zone;
  // Offset and time of its newest record.
  contracts::Offset last_offset = 0;
  WallTime last_at{};
};

// What changed since the last TakeChanges().
struct FoldChanges {
  std::set<std::string> cells;
  std::set<std::string> tasks;
  // Everything may have changed: the state was loaded from a snapshot.
  bool reset = false;
};

// The id of a batch task of a submission.
std::string BatchTaskId(const std::string& submission, std::uint32_t index);

class WorkFold {
 public:
  // Applies the records of one read, in order. Reads that start behind the
  // retention make the fold wait for a whole snapshot. Records at other offsets
  // than next() are skipped. A malformed record changes nothing.
  void Apply(const contracts::ReadAnswer& answer);

  // The offset to read next.
  contracts::Offset next() const { return next_; }
  // Whether the state is whole; false until a snapshot was found when the
  // oldest records have expired.
  bool ready() const { return ready_; }

  const std::map<std::string, FoldedCell>& cells() const { return cells_; }
  const std::map<std::string, FoldedJob>& jobs() const { return jobs_; }
  const std::map<std::string, FoldedTask>& tasks() const { return tasks_; }
  const std::map<std::string, FoldedScheduler>& schedulers() const {
    return schedulers_;
  }
  // Null when there is none.
  const FoldedCell* FindCell(const std::string& cell) const;
  const FoldedTask* FindTask(const std::string& task) const;
  // The job that a batch task belongs to; null for other tasks.
  const FoldedJob* JobOf(const std::string& task) const;
  // Whether every job that `job` waits for has finished.
  bool DependenciesMet(const FoldedJob& job) const;

  // The log's time of the newest record and of the newest whole snapshot.
  WallTime newest_at() const { return newest_at_; }
  WallTime snapshot_at() const { return snapshot_at_; }
  // Records that could not be read.
  std::uint64_t malformed() const { return malformed_; }

  FoldChanges TakeChanges();

  // The whole state as records of at most about 500 kB each; `id` is unique.
  std::vector<SnapshotRecord> MakeSnapshot(const std::string& id) const;

 private:
  void ApplyRecord(const contracts::LogRecord& record);
  void ApplyBody(const contracts::LogRecord& record, const WorkRecord& body);
  void BufferUntilSnapshot(const contracts::LogRecord& record,
                           const WorkRecord& body);
  void LoadSnapshot(const std::vector<SnapshotRecord>& parts);
  void Reset(contracts::Offset next);
  void Fold(const contracts::LogRecord& log_record, const SubmitRecord& record);
  void Fold(const contracts::LogRecord& log_record, const CancelRecord& record);
  void Fold(const contracts::LogRecord& log_record,
            const HeartbeatRecord& record);
  void Fold(const contracts::LogRecord& log_record, const ClaimRecord& record);
  void Fold(const contracts::LogRecord& log_record,
            const RelinquishRecord& record);
  void Fold(const contracts::LogRecord& log_record,
            const MembersRecord& record);
  void Fold(const contracts::LogRecord& log_record, const TakeRecord& record);
  void Fold(const contracts::LogRecord& log_record,
            const ResultsRecord& record);
  void Fold(const contracts::LogRecord& log_record,
            const SnapshotRecord& record);
  void Fold(const contracts::LogRecord& log_record,
            const UnknownRecord& record);
  // The cell when `token` is its claim in force; null otherwise.
  FoldedCell* CurrentCell(const std::string& cell,
                          contracts::FencingToken token);
  void FoldResult(const contracts::LogRecord& log_record, FoldedCell& cell,
                  const ResultEntry& entry);
  void EndTask(const contracts::LogRecord& log_record, const std::string& id,
               FoldedTask& task, TaskStage stage);
  FoldedJob* FindJobOf(const std::string& task);
  void DropExpired(WallTime now);

  contracts::Offset next_ = 1;
  bool ready_ = true;
  std::map<std::string, FoldedCell> cells_;
  std::map<std::string, FoldedJob> jobs_;
  std::map<std::string, FoldedTask> tasks_;
  std::map<std::string, FoldedScheduler> schedulers_;
  // The cell of every member.
  std::map<std::string, std::string> cell_of_worker_;
  // The newest submission of each job name that finished.
  std::map<std::string, std::string> finished_names_;
  std::set<std::pair<WallTime, std::string>> ended_jobs_;
  WallTime newest_at_{};
  WallTime snapshot_at_{};
  std::uint64_t malformed_ = 0;
  FoldChanges changes_;
  // While not ready: the records since the oldest kept, and snapshot parts.
  std::vector<std::pair<contracts::LogRecord, WorkRecord>> buffered_;
  std::map<std::string, std::vector<SnapshotRecord>> parts_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_WORK_FOLD_H_
