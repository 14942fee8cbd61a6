// Jobs, their steps and their records.
#include <algorithm>
#include <limits>
#include <string_view>

#include "framework/base/error.h"
#include "jobs/admission.h"
#include "jobs/internal/shard_impl.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

constexpr char kRestoreStep[] = "restore";
// The interference model is stored with the first batch after this interval.
constexpr milliseconds kStoreInterferenceInterval{2000};

std::int64_t ToMilliseconds(WallTime time) {
  return time.time_since_epoch().count();
}

// The duration of the longest chain of dependent steps, by the caller's
// estimates.
milliseconds LongestChain(const JobSpec& spec) {
  std::vector<milliseconds> ends(spec.steps.size());
  milliseconds longest{0};
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    milliseconds begin{0};
    for (const std::uint32_t before : spec.steps[i].depends_on) {
      begin = std::max(begin, ends[before]);
    }
    ends[i] = begin + spec.steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

// The time within which a job of the queue should end.
milliseconds ObjectiveSpan(const QueuePolicy& queue, const JobSpec& spec) {
  const double chain =
      queue.stretch * static_cast<double>(LongestChain(spec).count());
  return queue.target_latency + milliseconds(static_cast<std::int64_t>(chain));
}

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

contracts::TaskKey KeyOfTask(const Task& task) {
  return {.job = task.step->occurrence->job->id,
          .occurrence = task.step->occurrence->number,
          .step = task.step->number,
          .index = task.index};
}

Job& ShardCore::Impl::AddJob(const std::string& id) {
  std::unique_ptr<Job>& job = jobs[id];
  if (job == nullptr) {
    job = std::make_unique<Job>();
    job->id = id;
  }
  return *job;
}

void ShardCore::Impl::SetPolicy(Job& job) const {
  const auto queue = queues.find(job.queue);
  if (queue != queues.end()) job.policy = queue->second;
  if (job.policy.max_attempts == 0) return;
  job.priority = job.policy.priority;
  job.objective_ms =
      job.accepted_at_ms + ObjectiveSpan(job.policy, job.spec).count();
}

std::optional<milliseconds> ShardCore::Impl::RejectForLoad(
    const std::string& id, const QueuePolicy& queue, const JobSpec& spec) {
  const bool has_deadline =
      spec.occurrences == 0 &&
      std::none_of(spec.steps.begin(), spec.steps.end(),
                   [](const StepSpec& step) { return step.standing; });
  if (!has_deadline) return std::nullopt;
  const std::optional<Duration> without_room = TimeWithoutRoom(queue.name);
  const std::optional<milliseconds> retry_after =
      admissions[queue.name].RetryAfterIfRejected(
          {.id = id,
           .objective = ObjectiveSpan(queue, spec),
           .without_room = without_room},
          now.steady);
  if (!retry_after.has_value()) return std::nullopt;
  ++counters.rejected;
  hooks.decided("job rejected",
                {{"job", id},
                 {"queue", queue.name},
                 {"without_room", without_room.value_or(Duration::zero())},
                 {"retry_after", Duration(*retry_after)}});
  return retry_after;
}

void ShardCore::Impl::CountWorthlessJobs() {
  for (const auto& [key, step] : ready) {
    Job& job = *step->occurrence->job;
    const milliseconds span(job.objective_ms - job.accepted_at_ms);
    if (job.state != JobState::kQueued || job.counted_worthless ||
        job.spec.occurrences > 0 || step->spec->standing ||
        now.steady - job.idle_since <= kUsefulObjectives * span) {
      continue;
    }
    job.counted_worthless = true;
    admissions[job.queue].OnWorthless(now.steady);
  }
}

Occurrence& ShardCore::Impl::MakeOccurrence(Job& job, std::uint32_t number) {
  std::unique_ptr<Occurrence>& occurrence = job.occurrences[number];
  if (occurrence != nullptr) return *occurrence;
  occurrence = std::make_unique<Occurrence>();
  occurrence->job = &job;
  occurrence->number = number;
  occurrence->steps.resize(job.spec.steps.size());
  for (std::uint32_t s = 0; s < occurrence->steps.size(); ++s) {
    Step& step = occurrence->steps[s];
    step.occurrence = occurrence.get();
    step.spec = &job.spec.steps[s];
    step.number = s;
    step.image = interference.Intern(step.spec->image);
    step.tasks.resize(step.spec->count);
    for (std::uint32_t t = 0; t < step.tasks.size(); ++t) {
      step.tasks[t].step = &step;
      step.tasks[t].index = t;
    }
  }
  job.next_occurrence = std::max(job.next_occurrence, number + 1);
  return *occurrence;
}

void ShardCore::Impl::BeginOccurrence(Job& job, std::uint32_t number) {
  UpdateReadySteps(MakeOccurrence(job, number));
}

void ShardCore::Impl::BeginDueOccurrences(Job& job, ShardTime time) {
  if (job.IsOver()) return;
  if (job.spec.occurrences == 0) {
    if (job.next_occurrence == 0) BeginOccurrence(job, 0);
    return;
  }
  while (job.next_occurrence < job.spec.occurrences) {
    const WallTime due =
        job.spec.first_due + job.next_occurrence * job.spec.interval;
    if (time.wall < due) return;
    BeginOccurrence(job, job.next_occurrence);
  }
}

void ShardCore::Impl::UpdateReadySteps(Occurrence& occurrence) {
  if (occurrence.job->IsOver() || occurrence.finished) return;
  for (Step& step : occurrence.steps) {
    const bool has_unfinished_dependency =
        std::any_of(step.spec->depends_on.begin(), step.spec->depends_on.end(),
                    [&occurrence](std::uint32_t before) {
                      const Step& other = occurrence.steps[before];
                      return other.finished < other.tasks.size();
                    });
    if (!has_unfinished_dependency && HasWaitingTasks(step)) AddReady(step);
  }
}

void ShardCore::Impl::FinishTask(Task& task) {
  if (task.finished) return;
  task.finished = true;
  Step& step = *task.step;
  ++step.finished;
  StopTask(task, "another copy finished");
  if (step.finished == step.tasks.size()) FinishStep(step);
}

void ShardCore::Impl::FinishStep(Step& step) {
  RemoveReady(step);
  Occurrence& occurrence = *step.occurrence;
  Job& job = *occurrence.job;
  const bool all_finished = std::all_of(
      occurrence.steps.begin(), occurrence.steps.end(),
      [](const Step& each) { return each.finished == each.tasks.size(); });
  if (!all_finished) {
    UpdateReadySteps(occurrence);
    return;
  }
  occurrence.finished = true;
  ++job.finished_occurrences;
  const std::uint32_t expected = std::max(job.spec.occurrences, 1U);
  if (job.finished_occurrences >= expected) EndJob(job, JobState::kCompleted);
}

void ShardCore::Impl::EndJob(Job& job, JobState state) {
  if (job.IsOver()) return;
  job.state = state;
  job.ended_at_ms = ToMilliseconds(now.wall);
  ended_jobs.emplace_back(job.ended_at_ms, job.id);
  if (state == JobState::kCompleted) ++counters.jobs_completed;
  if (state == JobState::kFailed) ++counters.jobs_failed;
  if (state == JobState::kCancelled) ++counters.jobs_cancelled;
  hooks.decided("job over",
                {{"job", job.id},
                 {"state", StateName(state)},
                 {"after_ms", job.ended_at_ms - job.accepted_at_ms},
                 {"objective_ms", job.objective_ms - job.accepted_at_ms}});
  StopAll(job, "job over");
  MarkChanged(job);
}

void ShardCore::Impl::StopAll(Job& job, const std::string& reason) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (Step& step : occurrence->steps) {
      RemoveReady(step);
      for (Task& task : step.tasks) StopTask(task, reason);
    }
  }
}

void ShardCore::Impl::StopTask(Task& task, const std::string& reason) {
  // RequestStop removes a planned run from the list.
  for (auto run = task.runs.begin(); run != task.runs.end();) {
    Run& stopped = *run++;
    RequestStop(stopped, reason);
  }
}

void ShardCore::Impl::MarkChanged(Job& job) {
  ++changes;
  if (job.change == 0) {
    changed_jobs.push_back(&job);
    job.change = changes;
  }
  if (hooks.changed) hooks.changed();
}

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
      ToMilliseconds(now.wall) - options.keep_ended.count();
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
