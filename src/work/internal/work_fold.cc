#include "work/work_fold.h"

#include <algorithm>
#include <utility>

#include "framework/base/error.h"
#include "work/work_record.h"

namespace carobmast::work {
namespace {

// Entries per part of a snapshot; an entry takes 100 to 500 bytes.
constexpr std::size_t kEntriesPerPart = 1000;

// Maximum number of records buffered while no complete snapshot was found.
constexpr std::size_t kMaxBufferedRecords = 500000;

bool IsTerminal(TaskStage stage) {
  return stage == TaskStage::kFinished || stage == TaskStage::kHeld ||
         stage == TaskStage::kCancelled;
}

std::string SubmissionOf(const std::string& task) {
  return task.substr(0, task.rfind('/'));
}

TaskSnapshot ToSnapshot(const std::string& id, const FoldedTask& task) {
  return {.task = id,
          .stage = task.stage,
          .cell = task.cell,
          .taken_at = task.taken_at,
          .first_attempt = task.first_attempt,
          .next_attempt = task.next_attempt,
          .failures = task.failures,
          .checkpoint = task.checkpoint,
          .reason = task.reason};
}

FoldedTask FromSnapshot(const TaskSnapshot& task) {
  return {.stage = task.stage,
          .cell = task.cell,
          .taken_at = task.taken_at,
          .first_attempt = task.first_attempt,
          .next_attempt = task.next_attempt,
          .failures = task.failures,
          .checkpoint = task.checkpoint,
          .reason = task.reason};
}

CellSnapshot ToSnapshot(const std::string& id, const FoldedCell& cell) {
  CellSnapshot snapshot{.cell = id,
                        .zone = cell.zone,
                        .owner = cell.owner,
                        .token = cell.token,
                        .claims = cell.claims};
  for (const auto& [name, member] : cell.members) {
    snapshot.members.push_back(member);
  }
  return snapshot;
}

// Distributes the entries of a snapshot over parts of bounded size.
class PartBuilder {
 public:
  PartBuilder(std::string id, contracts::Offset base)
      : id_(std::move(id)), base_(base) {
    AddPart();
  }

  SnapshotRecord& Next() {
    if (entries_ == kEntriesPerPart) AddPart();
    ++entries_;
    return parts_.back();
  }

  std::vector<SnapshotRecord> Finish() {
    for (std::size_t i = 0; i < parts_.size(); ++i) {
      parts_[i].part = static_cast<std::uint32_t>(i);
      parts_[i].parts = static_cast<std::uint32_t>(parts_.size());
    }
    return std::move(parts_);
  }

 private:
  void AddPart() {
    parts_.push_back({.snapshot = id_, .base = base_});
    entries_ = 0;
  }

  std::string id_;
  contracts::Offset base_;
  std::vector<SnapshotRecord> parts_;
  std::size_t entries_ = 0;
};

}  // namespace

std::string BatchTaskId(const std::string& submission, std::uint32_t index) {
  return submission + "/" + std::to_string(index);
}

void WorkFold::Apply(const contracts::ReadAnswer& answer) {
  if (next_ < answer.first_kept) Reset(answer.first_kept);
  for (const contracts::LogRecord& record : answer.records) {
    if (record.offset != next_) continue;
    ApplyRecord(record);
    ++next_;
  }
}

void WorkFold::ApplyRecord(const contracts::LogRecord& record) {
  if (snapshot_at_ == WallTime{}) snapshot_at_ = record.appended_at;
  newest_at_ = std::max(newest_at_, record.appended_at);
  WorkRecord body = UnknownRecord{};
  try {
    body = DecodeRecord(record.data, "offset " + std::to_string(record.offset));
  } catch (const Error&) {
    ++malformed_;
    return;
  }
  if (ready_) {
    ApplyBody(record, body);
  } else {
    BufferUntilSnapshot(record, body);
  }
}

void WorkFold::ApplyBody(const contracts::LogRecord& record,
                         const WorkRecord& body) {
  std::visit([&](const auto& typed) { Fold(record, typed); }, body);
  DropExpired(record.appended_at);
}

void WorkFold::BufferUntilSnapshot(const contracts::LogRecord& record,
                                   const WorkRecord& body) {
  if (buffered_.size() >= kMaxBufferedRecords) {
    throw Error("work log", "log service",
                "no snapshot within " + std::to_string(kMaxBufferedRecords) +
                    " records after the oldest in the log");
  }
  buffered_.emplace_back(record, body);
  const SnapshotRecord* part = std::get_if<SnapshotRecord>(&body);
  if (part == nullptr) return;
  // The snapshot is of use only if all records after its base are buffered.
  if (part->base + 1 < buffered_.front().first.offset) return;
  std::vector<SnapshotRecord>& parts = parts_[part->snapshot];
  if (part->part != parts.size()) return;
  parts.push_back(*part);
  if (parts.size() < part->parts) return;
  const std::vector<SnapshotRecord> whole = std::move(parts);
  LoadSnapshot(whole);
  ready_ = true;
  changes_.reset = true;
  const std::vector<std::pair<contracts::LogRecord, WorkRecord>> buffered =
      std::exchange(buffered_, {});
  parts_.clear();
  for (const auto& [raw, later] : buffered) {
    if (raw.offset > whole.front().base) ApplyBody(raw, later);
  }
}

void WorkFold::Reset(contracts::Offset next) {
  WorkFold fresh;
  fresh.next_ = next;
  fresh.ready_ = next == 1;
  fresh.malformed_ = malformed_;
  fresh.changes_.reset = true;
  *this = std::move(fresh);
}

void WorkFold::LoadSnapshot(const std::vector<SnapshotRecord>& parts) {
  for (const SnapshotRecord& part : parts) {
    for (const CellSnapshot& snapshot : part.cells) {
      FoldedCell& cell = cells_[snapshot.cell];
      cell.zone = snapshot.zone;
      cell.owner = snapshot.owner;
      cell.token = snapshot.token;
      cell.claims = snapshot.claims;
      for (const CellMember& member : snapshot.members) {
        cell.members[member.worker] = member;
        cell_of_worker_[member.worker] = snapshot.cell;
      }
    }
    for (const JobSnapshot& job : part.jobs) {
      jobs_[job.submit.submission] = {
          .submit = job.submit,
          .offset = job.offset,
          .cancelled = job.cancelled,
          .ended_at = WallTime(std::chrono::milliseconds(job.ended_at_ms))};
    }
    for (const TaskSnapshot& task : part.tasks) {
      tasks_[task.task] = FromSnapshot(task);
    }
    for (const SchedulerSnapshot& scheduler : part.schedulers) {
      schedulers_[scheduler.scheduler] = {
          .zone = scheduler.zone,
          .last_offset = scheduler.last_offset,
          .last_at = WallTime(std::chrono::milliseconds(scheduler.last_at_ms))};
    }
    for (const FinishedName& name : part.finished_names) {
      finished_names_[name.job] = name.submission;
    }
  }
  for (const auto& [id, task] : tasks_) {
    if (task.stage == TaskStage::kAssigned) cells_[task.cell].tasks.insert(id);
    FoldedJob* job = FindJobOf(id);
    if (job == nullptr || !IsTerminal(task.stage)) continue;
    ++job->ended;
    if (task.stage == TaskStage::kFinished) ++job->finished;
  }
  for (const auto& [submission, job] : jobs_) {
    if (job.Ended()) ended_jobs_.emplace(job.ended_at, submission);
  }
}

void WorkFold::Fold(const contracts::LogRecord& raw,
                    const SubmitRecord& record) {
  const std::uint32_t count = record.spec.tasks;
  if (count == 0 || count > kMaxTasksPerJob || record.submission.empty() ||
      record.submission.find('/') != std::string::npos) {
    ++malformed_;
    return;
  }
  if (jobs_.contains(record.submission)) return;
  jobs_[record.submission] = {.submit = record, .offset = raw.offset};
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string id = BatchTaskId(record.submission, i);
    tasks_[id] = {};
    changes_.tasks.insert(id);
  }
}

void WorkFold::Fold(const contracts::LogRecord& raw,
                    const CancelRecord& record) {
  const auto found = jobs_.find(record.submission);
  if (found == jobs_.end() || found->second.cancelled ||
      found->second.Ended()) {
    return;
  }
  FoldedJob& job = found->second;
  job.cancelled = true;
  for (std::uint32_t i = 0; i < job.submit.spec.tasks; ++i) {
    const std::string id = BatchTaskId(record.submission, i);
    FoldedTask& task = tasks_[id];
    changes_.tasks.insert(id);
    if (task.stage == TaskStage::kPending) {
      EndTask(raw, id, task, TaskStage::kCancelled);
    }
  }
}

void WorkFold::Fold(const contracts::LogRecord& raw,
                    const HeartbeatRecord& record) {
  schedulers_[record.scheduler] = {.zone = record.zone,
                                   .last_offset = raw.offset,
                                   .last_at = raw.appended_at};
}

void WorkFold::Fold(const contracts::LogRecord& raw,
                    const ClaimRecord& record) {
  FoldedCell& cell = cells_[record.cell];
  if (cell.token != record.previous) return;
  if (cell.claims != 0 && cell.zone != record.zone) return;
  cell.zone = record.zone;
  cell.owner = record.scheduler;
  cell.token = raw.offset;
  ++cell.claims;
  for (const std::string& id : cell.tasks) {
    tasks_[id].next_attempt += kAttemptsPerClaim;
    changes_.tasks.insert(id);
  }
  schedulers_[record.scheduler] = {.zone = record.zone,
                                   .last_offset = raw.offset,
                                   .last_at = raw.appended_at};
  changes_.cells.insert(record.cell);
}

FoldedCell* WorkFold::CurrentCell(const std::string& cell,
                                  contracts::FencingToken token) {
  const auto found = cells_.find(cell);
  if (found == cells_.end()) return nullptr;
  FoldedCell& current = found->second;
  if (current.token != token || current.owner.empty()) return nullptr;
  return &current;
}

void WorkFold::Fold(const contracts::LogRecord& raw,
                    const RelinquishRecord& record) {
  static_cast<void>(raw);
  FoldedCell* cell = CurrentCell(record.cell, record.token);
  if (cell == nullptr) return;
  for (const KnownCheckpoint& known : record.checkpoints) {
    if (!cell->tasks.contains(known.task)) continue;
    tasks_.at(known.task).checkpoint = known.checkpoint;
  }
  cell->owner.clear();
  changes_.cells.insert(record.cell);
}

void WorkFold::Fold(const contracts::LogRecord& raw,
                    const MembersRecord& record) {
  FoldedCell* cell = CurrentCell(record.cell, record.token);
  if (cell == nullptr) return;
  for (const CellMember& member : record.remove) {
    const auto found = cell->members.find(member.worker);
    if (found == cell->members.end() ||
        found->second.added_at != member.added_at) {
      continue;
    }
    cell->members.erase(found);
    cell_of_worker_.erase(member.worker);
  }
  for (const CellMember& member : record.add) {
    // A worker that is a member of any cell already is not added.
    if (!cell_of_worker_.emplace(member.worker, record.cell).second) continue;
    CellMember& added = cell->members[member.worker];
    added = member;
    added.added_at = raw.offset;
  }
  changes_.cells.insert(record.cell);
}

void WorkFold::Fold(const contracts::LogRecord& raw, const TakeRecord& record) {
  FoldedCell* cell = CurrentCell(record.cell, record.token);
  if (cell == nullptr) return;
  for (const std::string& id : record.tasks) {
    FoldedTask& task = tasks_[id];
    changes_.tasks.insert(id);
    if (task.stage != TaskStage::kPending) continue;
    task.stage = TaskStage::kAssigned;
    task.cell = record.cell;
    task.taken_at = raw.offset;
    task.first_attempt = task.next_attempt;
    cell->tasks.insert(id);
  }
}

void WorkFold::Fold(const contracts::LogRecord& raw,
                    const ResultsRecord& record) {
  FoldedCell* cell = CurrentCell(record.cell, record.token);
  if (cell == nullptr) return;
  for (const ResultEntry& entry : record.results) FoldResult(raw, *cell, entry);
}

void WorkFold::FoldResult(const contracts::LogRecord& raw, FoldedCell& cell,
                          const ResultEntry& entry) {
  const std::string& id = entry.id.task;
  if (cell.tasks.count(id) == 0) return;
  FoldedTask& task = tasks_[id];
  // A repeated record refers to an attempt before the current take.
  if (entry.id.attempt < task.first_attempt) return;
  changes_.tasks.insert(id);
  cell.tasks.erase(id);
  task.cell.clear();
  task.next_attempt = std::max(task.next_attempt, entry.id.attempt + 1);
  task.reason = entry.reason;
  if (!entry.checkpoint.empty()) task.checkpoint = entry.checkpoint;
  const FoldedJob* job = FindJobOf(id);
  if (entry.result == TaskResult::kFinished) {
    EndTask(raw, id, task, TaskStage::kFinished);
    return;
  }
  if (job != nullptr && job->cancelled) {
    EndTask(raw, id, task, TaskStage::kCancelled);
    return;
  }
  if (entry.result == TaskResult::kFailed) ++task.failures;
  if (job != nullptr && task.failures >= job->submit.spec.max_attempts) {
    EndTask(raw, id, task, TaskStage::kHeld);
    return;
  }
  task.stage = TaskStage::kPending;
}

void WorkFold::EndTask(const contracts::LogRecord& raw, const std::string& id,
                       FoldedTask& task, TaskStage stage) {
  task.stage = stage;
  FoldedJob* job = FindJobOf(id);
  if (job == nullptr) return;
  task.checkpoint.clear();
  ++job->ended;
  if (stage == TaskStage::kFinished) ++job->finished;
  if (!job->Ended()) return;
  job->ended_at = raw.appended_at;
  const std::string& submission = job->submit.submission;
  ended_jobs_.emplace(raw.appended_at, submission);
  if (!job->Succeeded()) return;
  finished_names_[job->submit.spec.name] = submission;
  // Jobs that depend on this one may start now.
  for (const auto& [other, waiting] : jobs_) {
    const std::vector<std::string>& after = waiting.submit.spec.after;
    if (std::find(after.begin(), after.end(), job->submit.spec.name) ==
        after.end()) {
      continue;
    }
    for (std::uint32_t i = 0; i < waiting.submit.spec.tasks; ++i) {
      changes_.tasks.insert(BatchTaskId(other, i));
    }
  }
}

void WorkFold::Fold(const contracts::LogRecord& raw,
                    const SnapshotRecord& record) {
  // The state is complete, so the contents aren't needed.
  if (record.part + 1 == record.parts) snapshot_at_ = raw.appended_at;
}

void WorkFold::Fold(const contracts::LogRecord& raw,
                    const UnknownRecord& record) {
  static_cast<void>(raw);
  static_cast<void>(record);
}

void WorkFold::DropExpired(WallTime now) {
  while (!ended_jobs_.empty() &&
         ended_jobs_.begin()->first + kEndedJobRetention < now) {
    const std::string submission = ended_jobs_.begin()->second;
    ended_jobs_.erase(ended_jobs_.begin());
    const auto found = jobs_.find(submission);
    if (found == jobs_.end()) continue;
    for (std::uint32_t i = 0; i < found->second.submit.spec.tasks; ++i) {
      const std::string id = BatchTaskId(submission, i);
      tasks_.erase(id);
      changes_.tasks.insert(id);
    }
    jobs_.erase(found);
  }
  std::erase_if(schedulers_, [now](const auto& entry) {
    return entry.second.last_at + kSchedulerRetention < now;
  });
}

const FoldedCell* WorkFold::FindCell(const std::string& cell) const {
  const auto found = cells_.find(cell);
  return found == cells_.end() ? nullptr : &found->second;
}

const FoldedTask* WorkFold::FindTask(const std::string& task) const {
  const auto found = tasks_.find(task);
  return found == tasks_.end() ? nullptr : &found->second;
}

FoldedJob* WorkFold::FindJobOf(const std::string& task) {
  const auto found = jobs_.find(SubmissionOf(task));
  return found == jobs_.end() ? nullptr : &found->second;
}

const FoldedJob* WorkFold::JobOf(const std::string& task) const {
  const auto found = jobs_.find(SubmissionOf(task));
  return found == jobs_.end() ? nullptr : &found->second;
}

bool WorkFold::DependenciesMet(const FoldedJob& job) const {
  const std::vector<std::string>& after = job.submit.spec.after;
  return std::all_of(after.begin(), after.end(),
                     [this](const std::string& name) {
                       return finished_names_.contains(name);
                     });
}

FoldChanges WorkFold::TakeChanges() {
  return std::exchange(changes_, FoldChanges{});
}

std::vector<SnapshotRecord> WorkFold::MakeSnapshot(
    const std::string& id) const {
  PartBuilder builder(id, next_ - 1);
  for (const auto& [name, cell] : cells_) {
    builder.Next().cells.push_back(ToSnapshot(name, cell));
  }
  for (const auto& [submission, job] : jobs_) {
    builder.Next().jobs.push_back(
        {.submit = job.submit,
         .offset = job.offset,
         .cancelled = job.cancelled,
         .ended_at_ms = job.ended_at.time_since_epoch().count()});
  }
  for (const auto& [name, task] : tasks_) {
    builder.Next().tasks.push_back(ToSnapshot(name, task));
  }
  for (const auto& [name, scheduler] : schedulers_) {
    builder.Next().schedulers.push_back(
        {.scheduler = name,
         .zone = scheduler.zone,
         .last_offset = scheduler.last_offset,
         .last_at_ms = scheduler.last_at.time_since_epoch().count()});
  }
  for (const auto& [job, submission] : finished_names_) {
    builder.Next().finished_names.push_back(
        {.job = job, .submission = submission});
  }
  return builder.Finish();
}

}  // namespace carobmast::work
