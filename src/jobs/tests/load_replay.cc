#include "load_replay.h"

#include <algorithm>

namespace carobmast::jobs {

namespace {

constexpr std::chrono::milliseconds kStep{50};

}  // namespace

LoadReplay::LoadReplay(std::size_t workers, std::uint64_t milli_cpus) {
  for (std::size_t i = 0; i < workers; ++i) {
    const std::string worker = "w" + std::to_string(i);
    bench_.AddWorker(worker, milli_cpus);
    tasks_by_worker_[worker];
    bench_.AnswerHold(worker);
  }
}

void LoadReplay::Submit(const std::string& id, const JobSpec& spec,
                        std::chrono::milliseconds aim) {
  ServiceCounts& counts = counts_[id.front()];
  ++counts.submitted;
  if (bench_.Submit(id, spec).outcome != SubmitOutcome::kNewJob) {
    ++counts.rejected;
    return;
  }
  jobs_[id] = {.spec = spec, .due = bench_.now.steady + aim};
}

void LoadReplay::Cancel(const std::string& id) {
  bench_.core->Cancel(id, bench_.now);
}

void LoadReplay::BeginTasks() {
  for (const SentStart& start : bench_.TakeStarts()) {
    const StepSpec& step =
        jobs_[start.order.task.job].spec.steps[start.order.task.step];
    tasks_by_worker_[start.worker].push_back(
        {.start = start,
         .ends_at = step.standing ? MonotonicTime::max()
                                  : bench_.now.steady + step.estimate});
    bench_.ConfirmStart(start);
  }
  for (const SentStop& stop : std::exchange(bench_.stops, {})) {
    for (ActiveTask& task : tasks_by_worker_[stop.worker]) {
      if (task.start.order.task == stop.order.task) task.stopped = true;
    }
  }
}

void LoadReplay::AnswerHolds() {
  for (auto& [worker, tasks] : tasks_by_worker_) {
    std::vector<contracts::RunningTask> running;
    std::vector<contracts::EndedTask> ended;
    for (const ActiveTask& task : tasks) {
      if (!task.stopped && task.ends_at > bench_.now.steady) {
        running.push_back(bench_.RunningRow(task.start));
        running.back().percent = 100;
        continue;
      }
      ended.push_back(bench_.EndedRow(++ends_by_worker_[worker], task.start,
                                      task.stopped
                                          ? contracts::EndKind::kStopped
                                          : contracts::EndKind::kFinished));
    }
    std::erase_if(tasks, [this](const ActiveTask& task) {
      return task.stopped || task.ends_at <= bench_.now.steady;
    });
    bench_.AnswerHold(worker, std::move(running), std::move(ended));
  }
}

void LoadReplay::CountCompleted() {
  for (auto& [id, job] : jobs_) {
    if (job.completed || bench_.core->StoredState(id) != JobState::kCompleted) {
      continue;
    }
    job.completed = true;
    ServiceCounts& counts = counts_[id.front()];
    ++counts.completed;
    counts.in_aim += bench_.now.steady <= job.due ? 1 : 0;
  }
}

void LoadReplay::Run(const std::vector<PatternEvent>& events,
                     std::chrono::milliseconds end) {
  const MonotonicTime begin = bench_.now.steady;
  auto event = events.begin();
  while (bench_.now.steady - begin < end) {
    for (; event != events.end() && begin + event->at <= bench_.now.steady;
         ++event) {
      event->action(*this);
    }
    bench_.AdvanceTime(kStep);
    bench_.Store();
    BeginTasks();
    AnswerHolds();
    bench_.Store();
    BeginTasks();
    CountCompleted();
  }
}

}  // namespace carobmast::jobs
