// Records of the shard's stream: what they contain, recovery from them, and
// batches of changes.
#include <algorithm>
#include <charconv>
#include <string_view>

#include "framework/base/error.h"
#include "jobs/internal/shard_impl.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

constexpr char kRestoreStep[] = "restore";
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
  record.set_failures(task.failures);
  record.set_checkpoint(task.checkpoint);
  record.set_finished(task.finished);
  for (const Run& run : task.runs) {
    proto::Run& run_record = *record.add_runs();
    run_record.set_worker(run.worker->id);
    run_record.set_attempt(run.attempt);
  }
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
  for (const auto& [number, occurrence] : job.occurrences) {
    proto::Occurrence& occurrence_record = *record.add_occurrences();
    occurrence_record.set_number(number);
    for (const Step& step : occurrence->steps) {
      proto::StepProgress progress;
      progress.set_step(step.number);
      for (const Task& task : step.tasks) {
        if (!IsUntouched(task)) EncodeTask(task, progress);
      }
      if (progress.finished_size() + progress.tasks_size() == 0) continue;
      *occurrence_record.add_steps() = std::move(progress);
    }
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

void ShardCore::Impl::RestoreTask(Step& step, const proto::Task& record) {
  if (record.index() >= step.tasks.size()) return;
  Task& task = step.tasks[record.index()];
  task.attempt = record.attempt();
  task.failures = record.failures();
  task.checkpoint = record.checkpoint();
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

void ShardCore::Impl::FinishRestore(ShardTime time) {
  now = time;
  interference_stored_at = now.steady;
  restored_at = now.steady;
  for (const auto& [id, job] : jobs) {
    proto::Progress progress;
    progress.ParseFromString(job->restored_progress);
    job->restored_progress.clear();
    for (const proto::Occurrence& record : progress.occurrences()) {
      Occurrence& occurrence = MakeOccurrence(*job, record.number());
      for (const proto::StepProgress& step_record : record.steps()) {
        if (step_record.step() >= occurrence.steps.size()) continue;
        Step& step = occurrence.steps[step_record.step()];
        for (const std::uint32_t index : step_record.finished()) {
          if (index >= step.tasks.size() || step.tasks[index].finished) {
            continue;
          }
          step.tasks[index].finished = true;
          ++step.finished;
        }
        for (const proto::Task& task : step_record.tasks()) {
          RestoreTask(step, task);
        }
      }
      occurrence.finished = std::all_of(
          occurrence.steps.begin(), occurrence.steps.end(),
          [](const Step& step) { return step.finished == step.tasks.size(); });
    }
    job->stored_state = job->state;
    if (job->IsOver()) ended_jobs.emplace_back(job->ended_at_ms, id);
  }
  std::sort(ended_jobs.begin(), ended_jobs.end());
  for (const auto& [id, job] : jobs) {
    job->idle_since = now.steady;
    SetPolicy(*job);
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
  RequestSchedule();
}

void ShardCore::Impl::DropEndedJobs() {
  const std::int64_t before =
      now.wall.time_since_epoch().count() - options.keep_ended.count();
  while (!ended_jobs.empty() && ended_jobs.front().first < before) {
    const auto job = jobs.find(ended_jobs.front().second);
    ended_jobs.pop_front();
    if (job == jobs.end() || job->second->change != 0) continue;
    StopAll(*job->second, "job over");
    for (const auto& [number, occurrence] : job->second->occurrences) {
      for (Step& step : occurrence->steps) {
        for (Task& task : step.tasks) {
          for (Run& run : task.runs) ReleaseResources(run);
        }
      }
    }
    dropped_keys.push_back(kJobPrefix + job->first);
    dropped_keys.push_back(kProgressPrefix + job->first);
    jobs.erase(job);
    ++changes;
  }
}

Batch ShardCore::Impl::TakeBatch(ShardTime time) {
  now = time;
  if (schedule_requested) Schedule();
  Batch batch{.number = ++batch_number};
  batch_jobs.clear();
  std::size_t bytes = 0;
  std::size_t taken = 0;
  for (; taken < changed_jobs.size() && bytes < options.max_batch_bytes;
       ++taken) {
    Job& job = *changed_jobs[taken];
    if (!job.spec_written) {
      std::string spec = EncodeJob(job);
      bytes += spec.size();
      batch.records.push_back({kJobPrefix + job.id, std::move(spec)});
      job.spec_written = true;
    }
    std::string progress = EncodeProgress(job);
    bytes += progress.size();
    batch.records.push_back({kProgressPrefix + job.id, std::move(progress)});
    job.change = 0;
    batch_jobs.emplace_back(job.id, job.state);
    for (const auto& [number, occurrence] : job.occurrences) {
      for (Step& step : occurrence->steps) {
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
  for (std::string& key : dropped_keys) {
    batch.records.push_back({std::move(key), std::nullopt});
  }
  dropped_keys.clear();
  if (!batch.records.empty() &&
      now.steady - interference_stored_at > kStoreInterferenceInterval) {
    interference_stored_at = now.steady;
    batch.records.push_back({kInterferenceKey, interference.Encode()});
  }
  batch_changes =
      changed_jobs.empty() ? changes : changed_jobs.front()->change - 1;
  return batch;
}

void ShardCore::Impl::OnStored(std::uint64_t number, ShardTime time) {
  now = time;
  stored_changes = std::max(stored_changes, batch_changes);
  for (const std::pair<std::string, JobState>& stored : batch_jobs) {
    const auto found = jobs.find(stored.first);
    if (found == jobs.end()) continue;
    Job& job = *found->second;
    job.stored_state = stored.second;
    for (const auto& [index, occurrence] : job.occurrences) {
      for (Step& step : occurrence->steps) {
        QueueStarts(step, number);
      }
    }
  }
  batch_jobs.clear();
  SendQueuedStarts();
  for (const auto& [id, worker] : workers) {
    if (worker->seen_end > worker->acknowledged_end &&
        worker->ends_change <= stored_changes) {
      worker->acknowledged_end = worker->seen_end;
      if (hooks.hold_now) hooks.hold_now(id);
    }
  }
}

}  // namespace carobmast::jobs
