// Folds the log stream "work" into the state of cells, jobs and tasks. Readers
// that folded up to the same offset have the same state.
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

// Number of attempts that an owner may use for a task before it must write a
// record about the task. A claim advances the next attempt by this number,
// because the new owner can't know which attempts the former owner used.
inline constexpr std::uint32_t kAttemptsPerClaim = 1000;

inline constexpr std::uint32_t kMaxTasksPerJob = 10000;

// How long an ended job is kept, in the log's time, so that its status can be
// queried and a repeated submission is recognised.
inline constexpr std::chrono::hours kEndedJobRetention{1};

// How long a scheduler without new records is kept, in the log's time.
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
  // Offset of the take record that assigned it to `cell`.
  contracts::Offset taken_at = 0;
  // The first attempt that may be started after that take.
  std::uint32_t first_attempt = 1;
  // The first attempt that the current owner may use.
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
  // Time of the record that ended it; zero until all tasks have ended.
  WallTime ended_at{};

  bool Ended() const { return ended == submit.spec.tasks; }
  bool Succeeded() const { return finished == submit.spec.tasks; }
};

struct FoldedScheduler {
  std::string zone;
  // Offset and time of its newest heartbeat or claim.
  contracts::Offset last_offset = 0;
  WallTime last_at{};
};

// Cells and tasks that records have changed, see TakeChanges().
struct FoldChanges {
  std::set<std::string> cells;
  std::set<std::string> tasks;
  // Everything may have changed: the state was reset or loaded from a snapshot.
  bool reset = false;
};

// The id of the batch task with this index.
std::string BatchTaskId(const std::string& submission, std::uint32_t index);

class WorkFold {
 public:
  // Applies the records of one read, in order. If the log no longer holds the
  // record at next(), the fold drops its state and buffers records until it
  // finds a complete snapshot. Records at offsets other than next() are
  // skipped. A malformed record changes nothing but malformed(). Throws Error
  // (step "work log") when too many records arrive without a snapshot.
  void Apply(const contracts::ReadAnswer& answer);

  // The offset to read next.
  contracts::Offset next() const { return next_; }
  // Whether the state is complete. False after the oldest records expired
  // unread, until a snapshot was found.
  bool ready() const { return ready_; }

  const std::map<std::string, FoldedCell>& cells() const { return cells_; }
  const std::map<std::string, FoldedJob>& jobs() const { return jobs_; }
  const std::map<std::string, FoldedTask>& tasks() const { return tasks_; }
  const std::map<std::string, FoldedScheduler>& schedulers() const {
    return schedulers_;
  }
  // Return null if there is none.
  const FoldedCell* FindCell(const std::string& cell) const;
  const FoldedTask* FindTask(const std::string& task) const;
  // The job of a batch task; null for other tasks.
  const FoldedJob* JobOf(const std::string& task) const;
  // Whether all jobs that `job` depends on have finished with success.
  bool DependenciesMet(const FoldedJob& job) const;

  // The log's time of the newest record and of the newest snapshot.
  WallTime newest_at() const { return newest_at_; }
  WallTime snapshot_at() const { return snapshot_at_; }
  // Number of records that could not be decoded or had invalid content.
  std::uint64_t malformed() const { return malformed_; }

  // Returns the changes since the last call and clears them.
  FoldChanges TakeChanges();

  // The whole state as records of at most about 500 kB each. `id` must be
  // unique among snapshots.
  std::vector<SnapshotRecord> MakeSnapshot(const std::string& id) const;

 private:
  void ApplyRecord(const contracts::LogRecord& record);
  void ApplyBody(const contracts::LogRecord& record, const WorkRecord& body);
  void BufferUntilSnapshot(const contracts::LogRecord& record,
                           const WorkRecord& body);
  void LoadSnapshot(const std::vector<SnapshotRecord>& parts);
  void Reset(contracts::Offset next);
  void Fold(const contracts::LogRecord& raw, const SubmitRecord& record);
  void Fold(const contracts::LogRecord& raw, const CancelRecord& record);
  void Fold(const contracts::LogRecord& raw, const HeartbeatRecord& record);
  void Fold(const contracts::LogRecord& raw, const ClaimRecord& record);
  void Fold(const contracts::LogRecord& raw, const RelinquishRecord& record);
  void Fold(const contracts::LogRecord& raw, const MembersRecord& record);
  void Fold(const contracts::LogRecord& raw, const TakeRecord& record);
  void Fold(const contracts::LogRecord& raw, const ResultsRecord& record);
  void Fold(const contracts::LogRecord& raw, const SnapshotRecord& record);
  void Fold(const contracts::LogRecord& raw, const UnknownRecord& record);
  // The cell if it has an owner and `token` is its current token; otherwise
  // null.
  FoldedCell* CurrentCell(const std::string& cell,
                          contracts::FencingToken token);
  void FoldResult(const contracts::LogRecord& raw, FoldedCell& cell,
                  const ResultEntry& entry);
  void EndTask(const contracts::LogRecord& raw, const std::string& id,
               FoldedTask& task, TaskStage stage);
  FoldedJob* FindJobOf(const std::string& task);
  void DropExpired(WallTime now);

  contracts::Offset next_ = 1;
  bool ready_ = true;
  std::map<std::string, FoldedCell> cells_;
  std::map<std::string, FoldedJob> jobs_;
  std::map<std::string, FoldedTask> tasks_;
  std::map<std::string, FoldedScheduler> schedulers_;
  // The cell of each member, by worker.
  std::map<std::string, std::string> cell_of_worker_;
  // The newest finished submission, by job name.
  std::map<std::string, std::string> finished_names_;
  std::set<std::pair<WallTime, std::string>> ended_jobs_;
  WallTime newest_at_{};
  WallTime snapshot_at_{};
  std::uint64_t malformed_ = 0;
  FoldChanges changes_;
  // While not ready: the records since the oldest in the log, and the parts of
  // incomplete snapshots by snapshot id.
  std::vector<std::pair<contracts::LogRecord, WorkRecord>> buffered_;
  std::map<std::string, std::vector<SnapshotRecord>> parts_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_WORK_FOLD_H_
