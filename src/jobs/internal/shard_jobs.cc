// Jobs and their steps.
#include <algorithm>

#include "jobs/admission.h"
#include "jobs/internal/shard_impl.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

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

// Limits the memory of a job whose occurrences fall behind; later ones begin as
// earlier ones are over.
std::size_t MaxOpenOccurrences(const JobSpec& spec) {
  std::size_t tasks = 0;
  for (const StepSpec& step : spec.steps) tasks += step.count;
  return std::max<std::size_t>(
      1, kMaxTasksPerJob / std::max<std::size_t>(1, tasks));
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

bool ShardCore::Impl::IsShortOfRoom(const QueuePolicy& queue) {
  return std::any_of(queues.begin(), queues.end(), [&](const auto& entry) {
    const QueuePolicy& other = entry.second;
    return other.pool == queue.pool && other.priority <= queue.priority &&
           admissions[other.name].IsShortOfRoom(now.steady);
  });
}

bool ShardCore::Impl::HasWaitedInVain(const StepSpec& spec,
                                      const std::string& queue) const {
  return std::any_of(ready.begin(), ready.end(), [&](const auto& entry) {
    const Step& step = *entry.second;
    const Job& job = *step.occurrence->job;
    const milliseconds span(job.objective_ms - job.accepted_at_ms);
    return step.lacks_room && job.queue == queue && !step.spec->fills &&
           !step.spec->standing &&
           step.spec->need.milli_cpus <= spec.need.milli_cpus &&
           step.spec->need.memory.bytes <= spec.need.memory.bytes &&
           now.steady - step.ready_at > span;
  });
}

std::optional<milliseconds> ShardCore::Impl::RejectForLoad(
    const std::string& id, const QueuePolicy& queue, const JobSpec& spec) {
  if (spec.occurrences > 0) return std::nullopt;
  const bool is_standing =
      std::any_of(spec.steps.begin(), spec.steps.end(),
                  [](const StepSpec& step) { return step.standing; });
  if (is_standing) {
    if (!IsShortOfRoom(queue)) return std::nullopt;
    return RejectForShortage(id, queue, "short jobs lack room");
  }
  const bool is_blocked = std::any_of(
      spec.steps.begin(), spec.steps.end(), [&](const StepSpec& step) {
        return !step.fills && HasWaitedInVain(step, queue.name) &&
               IsBlockedByStanding(step, queue.pool);
      });
  if (is_blocked) {
    return RejectForShortage(id, queue, "standing tasks hold the room");
  }
  const std::optional<Duration> without_room = TimeWithoutRoom(queue.name);
  const std::optional<milliseconds> retry_after =
      admissions[queue.name].RetryAfterIfRejected(
          {.id = id,
           .objective = ObjectiveSpan(queue, spec),
           .without_room = without_room},
          now.steady);
  if (!retry_after.has_value()) {
    admissions[queue.name].OnTaken(now.steady);
    return std::nullopt;
  }
  ++counters.rejected;
  hooks.decided("job rejected",
                {{"job", id},
                 {"queue", queue.name},
                 {"reason", "queue has no room"},
                 {"without_room", without_room.value_or(Duration::zero())},
                 {"retry_after", Duration(*retry_after)}});
  return retry_after;
}

milliseconds ShardCore::Impl::RejectForShortage(const std::string& id,
                                                const QueuePolicy& queue,
                                                const std::string& reason) {
  const milliseconds retry_after = RetryAfterShortage(id);
  ++counters.rejected;
  hooks.decided("job rejected", {{"job", id},
                                 {"queue", queue.name},
                                 {"reason", reason},
                                 {"retry_after", Duration(retry_after)}});
  return retry_after;
}

void ShardCore::Impl::CountLateJob(Job& job, const Step& step) {
  const StepSpec& spec = *step.spec;
  if (job.counted_late || !step.lacks_room || spec.fills || spec.standing ||
      job.spec.occurrences > 0 ||
      ToMilliseconds(now.wall) + spec.estimate.count() <= job.objective_ms) {
    return;
  }
  job.counted_late = true;
  admissions[job.queue].OnLate(now.steady);
}

bool ShardCore::Impl::HasBecomeWorthless(const Job& job,
                                         const Step& step) const {
  const milliseconds span(job.objective_ms - job.accepted_at_ms);
  if (job.state == JobState::kQueued) {
    return now.steady - job.idle_since > kUsefulObjectives * span;
  }
  // Wall time counts what was before this owner; the step's wait shows that
  // room is what it lacks.
  const milliseconds age(ToMilliseconds(now.wall) - job.accepted_at_ms);
  return step.lacks_room && !step.spec->fills &&
         now.steady - step.ready_at > span && age > kUsefulObjectives * span;
}

void ShardCore::Impl::CountWorthlessJobs() {
  for (const auto& [key, step] : ready) {
    Job& job = *step->occurrence->job;
    CountLateJob(job, *step);
    if (job.counted_worthless || job.spec.occurrences > 0 ||
        step->spec->standing || !HasBecomeWorthless(job, *step)) {
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
  const std::size_t limit = MaxOpenOccurrences(job.spec);
  while (job.next_occurrence < job.spec.occurrences &&
         job.occurrences.size() < limit) {
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
  MarkChanged(task);
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
  if (job.spec.occurrences > 0) {
    job.retiring_occurrences.insert(occurrence.number);
  }
  const std::uint32_t expected = std::max(job.spec.occurrences, 1U);
  if (job.finished_occurrences >= expected) EndJob(job, JobState::kCompleted);
}

void ShardCore::Impl::EndJob(Job& job, JobState state) {
  if (job.IsOver()) return;
  job.state = state;
  job.ended_at_ms = ToMilliseconds(now.wall);
  job.over_since = now.steady;
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

void ShardCore::Impl::CancelJob(Job& job) {
  if (job.IsOver()) return;
  job.cancelled = true;
  EndJob(job, JobState::kCancelled);
}

bool ShardCore::Impl::RememberCancelled(const std::string& id) {
  const CancelledIds::AddResult result = cancelled_ids.Add(id, now.steady);
  if (result == CancelledIds::AddResult::kStoring) {
    ++changes;
    if (hooks.changed) hooks.changed();
  }
  return result != CancelledIds::AddResult::kNoRoom;
}

void ShardCore::Impl::StopAll(Job& job, const std::string& reason) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (Step& step : occurrence->steps) {
      RemoveReady(step);
      for (Task& task : step.tasks) StopTask(task, reason);
    }
  }
}

void ShardCore::Impl::ForgetJob(Job& job, const std::string& reason) {
  // Otherwise the end of a planned run would make its step ready again.
  if (!job.IsOver()) job.state = JobState::kCancelled;
  StopAll(job, reason);
  for (const auto& [number, occurrence] : job.occurrences) {
    for (Step& step : occurrence->steps) {
      for (Task& task : step.tasks) {
        for (Run& run : task.runs) ReleaseResources(run);
      }
    }
  }
  std::erase(changed_jobs, &job);
  jobs.erase(job.id);
}

void ShardCore::Impl::StopTask(Task& task, const std::string& reason) {
  // RequestStop removes a planned run from the list.
  for (auto run = task.runs.begin(); run != task.runs.end();) {
    Run& stopped = *run++;
    RequestStop(stopped, reason);
  }
}

void ShardCore::Impl::MarkChanged(const Task& task) {
  Step& step = *task.step;
  Job& job = *step.occurrence->job;
  if (job.divided) step.changed_blocks.insert(BlockOf(task));
  MarkChanged(job);
}

void ShardCore::Impl::MarkChanged(Job& job) {
  ++changes;
  if (job.change == 0) {
    changed_jobs.push_back(&job);
    job.change = changes;
  }
  if (hooks.changed) hooks.changed();
}

}  // namespace carobmast::jobs
