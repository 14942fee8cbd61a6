// Records of the shard's stream: what they contain, recovery from them, and
// batches of changes.
#include <algorithm>
#include <string_view>

#include "framework/base/error.h"
#include "jobs/internal/shard_impl.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

constexpr char kRestoreStep[] = "restore";
// By how much the wall clocks of two nodes may differ. Ended jobs of a former
// owner are kept for this much longer.
constexpr milliseconds kMaxClockDifference{15000};
// The interference model is stored with the first batch after this interval.
constexpr milliseconds kStoreInterferenceInterval{2000};

bool IsUntouched(const Task& task) {
  return !task.finished && task.attempt == 0 && task.runs.empty();
}

void EncodeTask(const Task& task, proto::StepProgress& step) {
  if (task.finished && task.runs.empty()) {
    step.add_finished(task.index);
    return;
  }
  proto::Task& record = *step.add_tasks();
  record.set_index(task.index);
  record.set_attempt(task.attempt);
  task.failures.Encode(record);
  record.set_checkpoint(task.checkpoint);
  record.set_finished(task.finished);
  if (task.index == 0) {
    for (const std::string& worker : task.step->avoided_workers) {
      record.add_avoided_workers(worker);
    }
  }
  for (const Run& run : task.runs) {
    proto::Run& run_record = *record.add_runs();
    run_record.set_worker(run.worker->id);
    run_record.set_attempt(run.attempt);
  }
}

// Encodes the tasks from `first` up to, but not including, `end`, which may lie
// beyond the last one.
proto::StepProgress EncodeTasks(const Step& step, std::size_t first,
                                std::size_t end) {
  proto::StepProgress progress;
  progress.set_step(step.number);
  for (std::size_t t = first; t < std::min(end, step.tasks.size()); ++t) {
    if (!IsUntouched(step.tasks[t])) EncodeTask(step.tasks[t], progress);
  }
  return progress;
}

std::string BlockKey(const std::string& job, std::uint32_t occurrence,
                     std::uint32_t step, std::uint32_t block) {
  return kBlockPrefix + job + "/" + std::to_string(occurrence) + "." +
         std::to_string(step) + "." + std::to_string(block);
}

std::size_t SizeOf(const contracts::KeyedRecord& record) {
  return record.value ? record.value->size() : 0;
}

bool IsFinished(const Occurrence& occurrence) {
  return std::all_of(
      occurrence.steps.begin(), occurrence.steps.end(),
      [](const Step& step) { return step.finished == step.tasks.size(); });
}

bool HasRuns(const Occurrence& occurrence) {
  return std::any_of(
      occurrence.steps.begin(), occurrence.steps.end(), [](const Step& step) {
        return std::any_of(step.tasks.begin(), step.tasks.end(),
                           [](const Task& task) { return !task.runs.empty(); });
      });
}

}  // namespace

std::string ShardCore::Impl::EncodeJob(const Job& job) const {
  proto::Job record = EncodeSpec(job.spec);
  record.set_queue(job.queue);
  record.set_pool(job.policy.pool);
  if (job.policy.max_attempts > 0) {
    *record.mutable_policy() = EncodePolicy(job.policy);
  }
  record.set_accepted_at_ms(job.accepted_at_ms);
  return record.SerializeAsString();
}

std::string ShardCore::Impl::EncodeProgress(const Job& job) const {
  proto::Progress record;
  record.set_state(static_cast<std::uint32_t>(job.state));
  record.set_cancelled(job.cancelled);
  record.set_started(job.started);
  record.set_ended_at_ms(job.ended_at_ms);
  record.set_finished_occurrences(job.finished_occurrences);
  record.set_queue(job.queue);
  for (const auto& range : job.retired_occurrences) {
    proto::OccurrenceRange& retired = *record.add_retired();
    retired.set_first(boost::icl::first(range));
    retired.set_end(boost::icl::last(range) + 1);
  }
  record.set_next_occurrence(job.next_occurrence);
  record.set_divided(job.divided);
  if (job.divided) return record.SerializeAsString();
  for (const auto& [number, occurrence] : job.occurrences) {
    proto::Occurrence occurrence_record;
    occurrence_record.set_number(number);
    for (const Step& step : occurrence->steps) {
      proto::StepProgress progress = EncodeTasks(step, 0, step.tasks.size());
      if (progress.finished_size() + progress.tasks_size() == 0) continue;
      *occurrence_record.add_steps() = std::move(progress);
    }
    if (occurrence_record.steps_size() == 0) continue;
    *record.add_occurrences() = std::move(occurrence_record);
  }
  return record.SerializeAsString();
}

void ShardCore::Impl::Restore(const contracts::KeyedRecord& record) {
  const std::string_view key = record.key;
  if (key == kInterferenceKey) {
    if (record.value.has_value() && !interference.Decode(*record.value)) {
      throw Error(kRestoreStep, record.key,
                  "malformed interference model record");
    }
    return;
  }
  if (key.starts_with(kBlockPrefix)) {
    RestoreBlock(record);
    return;
  }
  if (key.starts_with(kCancelledIdsPrefix)) {
    cancelled_ids.Restore(record);
    return;
  }
  if (key == kWitnessesKey) {
    if (record.value.has_value() && !witnesses.Decode(*record.value)) {
      throw Error(kRestoreStep, record.key, "malformed record of witnesses");
    }
    return;
  }
  if (key == kNodeWitnessesKey) {
    if (record.value.has_value() && !node_witnesses.Decode(*record.value)) {
      throw Error(kRestoreStep, record.key,
                  "malformed record of nodes that are witnesses");
    }
    return;
  }
  if (key == kLeaseWaitsKey) {
    if (record.value.has_value() && !RestoreLeaseWaits(*record.value)) {
      throw Error(kRestoreStep, record.key, "malformed record of lease waits");
    }
    return;
  }
  if (key == kIncarnationsKey) {
    if (record.value.has_value() && !RestoreIncarnations(*record.value)) {
      throw Error(kRestoreStep, record.key, "malformed record of incarnations");
    }
    return;
  }
  const bool is_job = key.starts_with(kJobPrefix);
  const bool is_progress = key.starts_with(kProgressPrefix);
  if (!is_job && !is_progress) {
    throw Error(kRestoreStep, record.key, "unknown record key");
  }
  const std::string id(key.substr(2));
  if (!record.value.has_value()) {
    // The records of a job and its progress are deleted together.
    if (is_progress) jobs.erase(id);
    return;
  }
  if (is_progress) {
    proto::Progress progress;
    if (!progress.ParseFromString(*record.value)) {
      throw Error(kRestoreStep, record.key, "malformed progress record");
    }
    RestoreProgress(AddJob(id), progress);
    return;
  }
  proto::Job spec;
  if (!spec.ParseFromString(*record.value)) {
    throw Error(kRestoreStep, record.key, "malformed job record");
  }
  Job& job = AddJob(id);
  job.queue = spec.queue();
  job.policy = DecodePolicy(spec);
  job.accepted_at_ms = spec.accepted_at_ms();
  job.spec = DecodeSpec(spec);
  job.spec_written = true;
}

void ShardCore::Impl::RestoreProgress(Job& job, const proto::Progress& record) {
  // The steps are unknown until the job's own record has been restored, which
  // may happen later: the progress is kept encoded until FinishRestore.
  job.queue = record.queue();
  job.state = record.state() <= static_cast<std::uint32_t>(JobState::kCancelled)
                  ? static_cast<JobState>(record.state())
                  : JobState::kQueued;
  job.cancelled = record.cancelled();
  job.started = record.started();
  job.ended_at_ms = record.ended_at_ms();
  job.finished_occurrences = record.finished_occurrences();
  job.restored_progress = record.SerializeAsString();
}

void ShardCore::Impl::RestoreBlock(const contracts::KeyedRecord& record) {
  if (!record.value.has_value()) return;
  std::string_view key = record.key;
  key.remove_prefix(2);
  proto::Block block;
  if (key.rfind('/') == std::string_view::npos ||
      !block.ParseFromString(*record.value)) {
    throw Error(kRestoreStep, record.key, "malformed block of a progress");
  }
  const std::string job(key.substr(0, key.rfind('/')));
  restored_blocks[job].push_back(std::move(block));
}

void ShardCore::Impl::RestoreStep(Step& step,
                                  const proto::StepProgress& record) {
  for (const std::uint32_t index : record.finished()) {
    if (index >= step.tasks.size() || step.tasks[index].finished) continue;
    step.tasks[index].finished = true;
    ++step.finished;
  }
  for (const proto::Task& task : record.tasks()) RestoreTask(step, task);
}

void ShardCore::Impl::RestoreTask(Step& step, const proto::Task& record) {
  if (record.index() >= step.tasks.size()) return;
  Task& task = step.tasks[record.index()];
  task.attempt = record.attempt();
  task.failures.Decode(record);
  task.checkpoint = record.checkpoint();
  if (task.index == 0) {
    step.avoided_workers = {record.avoided_workers().begin(),
                            record.avoided_workers().end()};
  }
  if (record.finished() && !task.finished) {
    task.finished = true;
    ++step.finished;
  }
  for (const proto::Run& run_record : record.runs()) {
    Run& run = task.runs.emplace_back();
    run.task = &task;
    run.worker = &GetWorker(run_record.worker());
    run.attempt = run_record.attempt();
    run.state = RunState::kRunning;
    run.may_have_arrived = true;
    run.worker->runs.push_back(run);
    ReserveResources(run);
    ++step.occurrence->job->run_count;
  }
}

void ShardCore::Impl::RestoreOccurrences(Job& job,
                                         const proto::Progress& record) {
  for (const proto::OccurrenceRange& range : record.retired()) {
    job.retired_occurrences.add(
        OccurrenceInterval::right_open(range.first(), range.end()));
  }
  for (const proto::Occurrence& occurrence_record : record.occurrences()) {
    Occurrence& occurrence = MakeOccurrence(job, occurrence_record.number());
    for (const proto::StepProgress& progress : occurrence_record.steps()) {
      if (progress.step() >= occurrence.steps.size()) continue;
      RestoreStep(occurrence.steps[progress.step()], progress);
    }
  }
  job.divided = record.divided();
  RestoreBlocks(job);
  if (!job.IsOver()) {
    OccurrenceSet untouched;
    untouched.add(OccurrenceInterval::right_open(0, record.next_occurrence()));
    untouched -= job.retired_occurrences;
    for (auto number = boost::icl::elements_begin(untouched);
         number != boost::icl::elements_end(untouched); ++number) {
      MakeOccurrence(job, *number);
    }
  }
  job.next_occurrence = std::max(job.next_occurrence, record.next_occurrence());
  for (const auto& [number, occurrence] : job.occurrences) {
    occurrence->finished = IsFinished(*occurrence);
    if (occurrence->finished && job.spec.occurrences > 0) {
      job.retiring_occurrences.insert(number);
    }
  }
}

void ShardCore::Impl::RestoreBlocks(Job& job) {
  const auto blocks = restored_blocks.find(job.id);
  if (blocks == restored_blocks.end()) return;
  for (const proto::Block& record : blocks->second) {
    const std::uint32_t number = record.occurrence();
    const std::uint32_t step = record.progress().step();
    const bool is_known =
        job.divided && step < job.spec.steps.size() &&
        !boost::icl::contains(job.retired_occurrences, number);
    if (!is_known) {
      dropped_keys.push_back(BlockKey(job.id, number, step, record.block()));
      continue;
    }
    Step& restored_step = MakeOccurrence(job, number).steps[step];
    RestoreStep(restored_step, record.progress());
    restored_step.stored_blocks.insert(record.block());
  }
  restored_blocks.erase(blocks);
}

void ShardCore::Impl::FinishRestore(ShardTime time) {
  now = time;
  interference_stored_at = now.steady;
  restored_at = now.steady;
  confirmed_at = options.confirmed_at.value_or(now.steady);
  store_confirmed_at = confirmed_at;
  cancelled_ids.FinishRestore(now.steady);
  for (const auto& [id, job] : jobs) {
    proto::Progress progress;
    progress.ParseFromString(job->restored_progress);
    job->restored_progress.clear();
    RestoreOccurrences(*job, progress);
    job->stored_state = job->state;
    if (!job->IsOver()) continue;
    job->over_since = now.steady;
    ended_jobs.emplace_back(job->ended_at_ms + kMaxClockDifference.count(), id);
  }
  // Blocks of jobs that were dropped in part.
  for (const auto& [id, blocks] : restored_blocks) {
    for (const proto::Block& block : blocks) {
      dropped_keys.push_back(BlockKey(id, block.occurrence(),
                                      block.progress().step(), block.block()));
    }
  }
  restored_blocks.clear();
  std::sort(ended_jobs.begin(), ended_jobs.end());
  for (const auto& [id, job] : jobs) {
    job->idle_since = now.steady;
    SetPolicy(*job);
    if (cancelled_ids.Contains(id)) CancelJob(*job);
    if (job->IsOver()) {
      StopAll(*job, "job over");
      continue;
    }
    for (const auto& [number, occurrence] : job->occurrences) {
      UpdateReadySteps(*occurrence);
    }
    BeginDueOccurrences(*job, now);
  }
  restored = true;
  RestoreNodeAnswers();
  RequestSchedule();
}

void ShardCore::Impl::DropEndedJobs() {
  const std::int64_t before =
      now.wall.time_since_epoch().count() - options.keep_ended.count();
  while (!ended_jobs.empty() && ended_jobs.front().first < before) {
    const auto job = jobs.find(ended_jobs.front().second);
    // Its last change is stored first.
    if (job != jobs.end() && job->second->change != 0) return;
    ended_jobs.pop_front();
    if (job == jobs.end()) continue;
    dropped_keys.push_back(kJobPrefix + job->first);
    dropped_keys.push_back(kProgressPrefix + job->first);
    for (const auto& [number, occurrence] : job->second->occurrences) {
      for (Step& step : occurrence->steps) DropBlocks(step, dropped_keys);
    }
    ForgetJob(*job->second, "job over");
    ++changes;
  }
}

void ShardCore::Impl::Divide(Job& job) {
  job.divided = true;
  hooks.decided("progress divided", {{"job", job.id}});
  for (const auto& [number, occurrence] : job.occurrences) {
    for (Step& step : occurrence->steps) {
      for (const Task& task : step.tasks) {
        if (!IsUntouched(task)) step.changed_blocks.insert(BlockOf(task));
      }
    }
  }
}

void ShardCore::Impl::DropBlocks(Step& step, std::vector<std::string>& keys) {
  const Occurrence& occurrence = *step.occurrence;
  for (const std::uint32_t block : step.stored_blocks) {
    keys.push_back(
        BlockKey(occurrence.job->id, occurrence.number, step.number, block));
  }
  step.stored_blocks.clear();
  step.changed_blocks.clear();
}

void ShardCore::Impl::RetireOccurrences(Job& job) {
  std::set<std::uint32_t>& numbers = job.retiring_occurrences;
  for (auto number = numbers.begin(); number != numbers.end();) {
    Occurrence& occurrence = *job.occurrences.at(*number);
    if (HasRuns(occurrence)) {
      ++number;
      continue;
    }
    for (Step& step : occurrence.steps) {
      RemoveReady(step);
      DropBlocks(step, dropped_block_keys);
    }
    job.occurrences.erase(*number);
    job.retired_occurrences.add(*number);
    number = numbers.erase(number);
  }
}

void ShardCore::Impl::AddBlocks(Job& job, Batch& batch) {
  const bool needs_no_blocks = job.IsOver() && job.run_count == 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (Step& step : occurrence->steps) {
      if (needs_no_blocks) DropBlocks(step, dropped_block_keys);
      for (const std::uint32_t block : step.changed_blocks) {
        proto::Block record;
        record.set_occurrence(number);
        record.set_block(block);
        const std::size_t first = std::size_t{block} * kTasksPerBlock;
        *record.mutable_progress() =
            EncodeTasks(step, first, first + kTasksPerBlock);
        batch.records.push_back({BlockKey(job.id, number, step.number, block),
                                 record.SerializeAsString()});
        step.stored_blocks.insert(block);
      }
      step.changed_blocks.clear();
    }
  }
}

void ShardCore::Impl::AddJobRecords(Job& job, Batch& batch) {
  if (!job.spec_written) {
    batch.records.push_back({kJobPrefix + job.id, EncodeJob(job)});
    job.spec_written = true;
  }
  RetireOccurrences(job);
  std::string progress = EncodeProgress(job);
  if (!job.divided && progress.size() > options.max_undivided_bytes) {
    Divide(job);
    progress = EncodeProgress(job);
  }
  // Blocks precede the record that refers to them, as a batch may be stored in
  // part.
  if (job.divided) AddBlocks(job, batch);
  batch.records.push_back({kProgressPrefix + job.id, std::move(progress)});
}

Batch ShardCore::Impl::TakeBatch(ShardTime time) {
  now = time;
  if (schedule_requested) Schedule();
  Batch batch{.number = ++batch_number};
  batch_jobs.clear();
  for (std::string& key : dropped_keys) {
    batch.records.push_back({std::move(key), std::nullopt});
  }
  dropped_keys.clear();
  std::size_t bytes = 0;
  std::size_t taken = 0;
  for (; taken < changed_jobs.size() && bytes < options.max_batch_bytes;
       ++taken) {
    Job& job = *changed_jobs[taken];
    const std::size_t first_record = batch.records.size();
    AddJobRecords(job, batch);
    for (std::size_t r = first_record; r < batch.records.size(); ++r) {
      bytes += SizeOf(batch.records[r]);
    }
    job.change = 0;
    batch_jobs.emplace_back(job.id, job.state);
    for (const auto& [number, occurrence] : job.occurrences) {
      for (Step& step : occurrence->steps) {
        if (!std::exchange(step.has_new_runs, false)) continue;
        step.runs_batch = batch.number;
        for (Task& task : step.tasks) {
          for (Run& run : task.runs) {
            if (run.state == RunState::kPlanned && run.intent_batch == 0) {
              run.intent_batch = batch.number;
            }
          }
        }
      }
    }
  }
  changed_jobs.erase(changed_jobs.begin(),
                     changed_jobs.begin() + static_cast<std::ptrdiff_t>(taken));
  for (std::string& key : dropped_block_keys) {
    batch.records.push_back({std::move(key), std::nullopt});
  }
  dropped_block_keys.clear();
  if (!batch.records.empty() &&
      now.steady - interference_stored_at > kStoreInterferenceInterval) {
    interference_stored_at = now.steady;
    batch.records.push_back({kInterferenceKey, interference.Encode()});
  }
  cancelled_ids.TakeRecords(batch.records);
  AddLeaseRecords(batch);
  batch_taken_at = now.steady;
  batch_has_records = !batch.records.empty();
  batch_changes =
      changed_jobs.empty() ? changes : changed_jobs.front()->change - 1;
  return batch;
}

void ShardCore::Impl::OnStored(std::uint64_t number, ShardTime time) {
  now = time;
  stored_changes = std::max(stored_changes, batch_changes);
  if (batch_has_records) {
    store_confirmed_at = batch_taken_at;
    Confirm(batch_taken_at);
  }
  OnLeaseRecordsStored();
  for (const std::pair<std::string, JobState>& stored : batch_jobs) {
    const auto found = jobs.find(stored.first);
    if (found == jobs.end()) continue;
    Job& job = *found->second;
    job.stored_state = stored.second;
    for (const auto& [index, occurrence] : job.occurrences) {
      for (Step& step : occurrence->steps) {
        if (step.runs_batch == number) QueueStarts(step, number);
      }
    }
  }
  batch_jobs.clear();
  SendQueuedStarts();
  for (const auto& [id, worker] : workers) {
    if (worker->seen_end > worker->acknowledged_end &&
        worker->ends_change <= stored_changes) {
      worker->acknowledged_end = worker->seen_end;
      HoldNow(*worker);
    }
  }
}

}  // namespace carobmast::jobs
