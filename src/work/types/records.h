// Records of the log stream "work", as plain data.
#ifndef CAROBMAST_WORK_TYPES_RECORDS_H_
#define CAROBMAST_WORK_TYPES_RECORDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/types/objects.h"
#include "contracts/types/log_record.h"
#include "contracts/types/worker.h"

namespace carobmast::work {

// Submits a batch job. The record holds a copy of the specification, so later
// configuration sets don't change the job.
struct SubmitRecord {
  // Identifies the submission in status queries: 1 to 64 letters, digits or
  // '-', never reused.
  std::string submission;
  config::BatchJob spec;

  friend bool operator==(const SubmitRecord& a, const SubmitRecord& b) {
    return a.submission == b.submission && a.spec.name == b.spec.name;
  }
};

// Cancels a submission. Running tasks are stopped; finished tasks stay
// finished.
struct CancelRecord {
  std::string submission;
};

// Reports that a scheduler process is alive.
struct HeartbeatRecord {
  // "name/incarnation".
  std::string scheduler;
  std::string zone;
};

// Makes a scheduler the owner of a cell. Takes effect only if `previous` is
// still the cell's token; the offset of the record becomes the new token.
struct ClaimRecord {
  std::string cell;
  std::string zone;
  std::string scheduler;
  contracts::FencingToken previous = 0;
};

// The newest checkpoint of a task that the owner knows of.
struct KnownCheckpoint {
  std::string task;
  std::string checkpoint;
};

// The owner gives up its cell and sends no command after this record. The
// checkpoints serve a successor that can't reach a worker any more; without
// them the tasks of that worker would start from the beginning.
struct RelinquishRecord {
  std::string cell;
  contracts::FencingToken token = 0;
  std::vector<KnownCheckpoint> checkpoints;
};

// A worker that belongs to a cell.
struct CellMember {
  std::string worker;
  std::string address;
  std::string pool;
  // Offset of the record that added it; set by the fold. Commands with a lower
  // token are not meant for this membership.
  contracts::Offset added_at = 0;
};

// The owner adds workers to its cell, or removes workers whose VMs are gone. A
// member is removed only if `added_at` matches, so a repeated record can't
// remove a later membership of the same worker.
struct MembersRecord {
  std::string cell;
  contracts::FencingToken token = 0;
  std::vector<CellMember> add;
  std::vector<CellMember> remove;
};

// The owner assigns pending tasks to its cell. Tasks that another cell holds
// stay there.
struct TakeRecord {
  std::string cell;
  contracts::FencingToken token = 0;
  std::vector<std::string> tasks;
};

enum class TaskResult {
  kFinished,   // ended with success
  kFailed,     // ended with an error; counts against the job's attempts
  kReleased,   // ended or never started; any cell may take the task again
  kCancelled,  // ended because its job was cancelled
};

struct ResultEntry {
  // The newest attempt that may have been started.
  contracts::AttemptId id;
  TaskResult result = TaskResult::kReleased;
  std::string checkpoint;
  std::string reason;
};

// The owner releases tasks of its cell, with the result of each. No attempt of
// these tasks is running any more.
struct ResultsRecord {
  std::string cell;
  contracts::FencingToken token = 0;
  std::vector<ResultEntry> results;
};

// State of a cell in a snapshot.
struct CellSnapshot {
  std::string cell;
  std::string zone;
  std::string owner;
  contracts::FencingToken token = 0;
  std::uint32_t claims = 0;
  std::vector<CellMember> members;
};

// Stage of a task according to the log.
enum class TaskStage {
  kPending,    // no cell holds it
  kAssigned,   // a cell holds it
  kFinished,   // ended with success
  kHeld,       // failed as often as its job allows
  kCancelled,  // ended or never started, because its job was cancelled
};

// State of a task in a snapshot.
struct TaskSnapshot {
  std::string task;
  TaskStage stage = TaskStage::kPending;
  std::string cell;
  contracts::Offset taken_at = 0;
  std::uint32_t first_attempt = 1;
  std::uint32_t next_attempt = 1;
  std::uint32_t failures = 0;
  std::string checkpoint;
  std::string reason;
};

// State of a job in a snapshot.
struct JobSnapshot {
  SubmitRecord submit;
  contracts::Offset offset = 0;
  bool cancelled = false;
  // Wall time of the record that ended the job, in milliseconds since the
  // epoch; 0 while the job has not ended.
  std::int64_t ended_at_ms = 0;
};

// State of a scheduler in a snapshot.
struct SchedulerSnapshot {
  std::string scheduler;
  std::string zone;
  contracts::Offset last_offset = 0;
  std::int64_t last_at_ms = 0;
};

// The newest submission of a job name that finished with success.
struct FinishedName {
  std::string job;
  std::string submission;
};

// One part of the state after all records up to and including `base`. The parts
// of a snapshot share the id `snapshot` and are appended together.
struct SnapshotRecord {
  std::string snapshot;
  contracts::Offset base = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<CellSnapshot> cells;
  std::vector<JobSnapshot> jobs;
  std::vector<TaskSnapshot> tasks;
  std::vector<SchedulerSnapshot> schedulers;
  std::vector<FinishedName> finished_names;
};

// A record of a kind that only a later version knows. The fold ignores it.
struct UnknownRecord {
  std::string kind;
};

using WorkRecord =
    std::variant<SubmitRecord, CancelRecord, HeartbeatRecord, ClaimRecord,
                 RelinquishRecord, MembersRecord, TakeRecord, ResultsRecord,
                 SnapshotRecord, UnknownRecord>;

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_TYPES_RECORDS_H_
