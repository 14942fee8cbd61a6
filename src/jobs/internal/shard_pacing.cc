// Keeps tasks that fill from slowing down standing tasks beyond their targets.
//
// Reports lag by half a second: a target that is missed or nearly missed slows
// all fillers of the worker at once, and they are let go again step by step.
#include <algorithm>
#include <cmath>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

// Ratios of latency to target at which fillers stand still, work at less speed,
// and may work faster again.
constexpr double kStopRatio = 0.85;
constexpr double kSlowRatio = 0.7;
constexpr double kFastRatio = 0.55;
constexpr double kSlowFactor = 0.5;
constexpr std::uint32_t kFasterBy = 34;
// A filler whose part in the log of the latency is below this is let be.
constexpr double kNoPart = 0.06;
// A standing task that is over its target for this long has all fillers stand
// still, whatever is known of them; a third of the bound for harm.
constexpr milliseconds kOverPatience{1300};
// A filler that stands still this long is moved, if it keeps what it did.
constexpr milliseconds kMoveAfter{1500};
// Speed up to which it counts as standing still, in percent.
constexpr std::uint32_t kIdlePace = 10;
// Latencies are told in whole milliseconds: none is taken as less.
constexpr double kLeastLatencyMs = 0.5;

bool IsFiller(const Run& run) { return run.task->step->spec->fills; }

bool HasTarget(const Run& run) {
  return run.task->step->spec->latency_target > milliseconds::zero() &&
         run.state == RunState::kRunning;
}

double Ratio(const Run& run) {
  return std::max(kLeastLatencyMs, static_cast<double>(run.measured)) /
         static_cast<double>(run.task->step->spec->latency_target.count());
}

}  // namespace

void ShardCore::Impl::LearnInterference(const WorkerState& worker) {
  const double room = static_cast<double>(worker.entry.capacity.milli_cpus);
  std::vector<ImageShare> fillers;
  for (const Run& run : worker.runs) {
    if (IsFiller(run) && run.measured > 0) {
      fillers.push_back({run.task->step->image, run.measured / room});
    }
  }
  for (const Run& run : worker.runs) {
    if (!HasTarget(run) || run.measured == 0) continue;
    interference.Observe(run.task->step->image, std::log(Ratio(run)), fillers);
  }
}

void ShardCore::Impl::UpdateHarm(WorkerState& worker) const {
  if (worker.harm_known) return;
  const double room = static_cast<double>(worker.entry.capacity.milli_cpus);
  worker.harm.clear();
  for (const Run& run : worker.runs) {
    if (run.task->step->spec->latency_target <= milliseconds::zero()) continue;
    const ImageId image = run.task->step->image;
    const bool known =
        std::any_of(worker.harm.begin(), worker.harm.end(),
                    [image](const std::pair<ImageId, double>& entry) {
                      return entry.first == image;
                    });
    if (!known) worker.harm.emplace_back(image, 0);
  }
  for (const Run& run : worker.runs) {
    if (!IsFiller(run)) continue;
    const double share =
        static_cast<double>(run.task->step->spec->need.milli_cpus) / room;
    for (std::pair<ImageId, double>& entry : worker.harm) {
      entry.second +=
          interference.Factor(entry.first, run.task->step->image) * share;
    }
  }
  worker.harm_known = true;
}

double ShardCore::Impl::PredictHarm(WorkerState& worker, ImageId image,
                                    std::uint64_t milli_cpus) const {
  UpdateHarm(worker);
  const double share = static_cast<double>(milli_cpus) /
                       static_cast<double>(worker.entry.capacity.milli_cpus);
  double worst = 0;
  for (const std::pair<ImageId, double>& entry : worker.harm) {
    worst = std::max(
        worst, entry.second + interference.Factor(entry.first, image) * share);
  }
  return worst;
}

void ShardCore::Impl::UpdatePressure(WorkerState& worker) {
  LearnInterference(worker);
  worker.harm_known = false;
  const bool was_pressed = worker.pressure > kFastRatio;
  worker.pressure = 0;
  const Run* worst = nullptr;
  for (Run& run : worker.runs) {
    if (!HasTarget(run)) continue;
    const double ratio = Ratio(run);
    if (ratio <= 1) {
      run.over_since.reset();
    } else if (!run.over_since.has_value()) {
      run.over_since = now.steady;
    }
    if (ratio > worker.pressure) worst = &run;
    worker.pressure = std::max(worker.pressure, ratio);
  }
  if (was_pressed && worker.pressure <= kFastRatio) WantSchedule();
  if (worst == nullptr) {
    for (Run& run : worker.runs) {
      if (IsFiller(run)) SetPace(run, 100);
    }
    return;
  }
  PaceFillers(worker, *worst, worker.pressure);
  MoveIdleFills(worker);
}

void ShardCore::Impl::PaceFillers(WorkerState& worker, const Run& standing,
                                  double ratio) {
  const double room = static_cast<double>(worker.entry.capacity.milli_cpus);
  const bool over_long = standing.over_since.has_value() &&
                         now.steady - *standing.over_since > kOverPatience;
  for (Run& run : worker.runs) {
    if (!IsFiller(run) || run.state != RunState::kRunning || run.stop_wanted) {
      continue;
    }
    const StepSpec& spec = *run.task->step->spec;
    const double part =
        interference.Factor(standing.task->step->image, run.task->step->image) *
        static_cast<double>(spec.need.milli_cpus) / room;
    if (over_long || (ratio > kStopRatio && part > kNoPart)) {
      SetPace(run, 0);
    } else if (ratio > kSlowRatio && part > kNoPart) {
      SetPace(run, static_cast<std::uint32_t>(run.pace * kSlowFactor));
    } else if (ratio < kFastRatio || part <= kNoPart) {
      SetPace(run, std::min(100U, run.pace + kFasterBy));
    }
  }
}

void ShardCore::Impl::SetPace(Run& run, std::uint32_t percent) {
  if (percent > kIdlePace || run.pace > kIdlePace) run.idle_since = now.steady;
  run.pace = percent;
  SendPace(run);
}

void ShardCore::Impl::SendPace(Run& run) {
  if (run.pace == run.pace_sent || run.pace_in_flight || run.stop_wanted) {
    return;
  }
  run.pace_in_flight = true;
  run.pace_sent = run.pace;
  run.progress_at = now.steady;
  ++counters.paces;
  hooks.pace({.id = run.worker->id, .address = run.worker->entry.address},
             {.task = KeyOfTask(*run.task),
              .attempt = run.attempt,
              .percent = run.pace,
              .token = options.token});
}

void ShardCore::Impl::MoveIdleFills(WorkerState& worker) {
  for (Run& run : worker.runs) {
    if (!IsFiller(run) || run.stop_wanted || run.pace > kIdlePace ||
        run.state != RunState::kRunning || !run.task->step->spec->checkpoints ||
        now.steady - run.idle_since < kMoveAfter) {
      continue;
    }
    WantStop(run, "slows down standing tasks");
    return;
  }
}

}  // namespace carobmast::jobs
