// Keeps tasks that fill from slowing down standing tasks beyond their targets.
//
// Reports lag by half a second: a target that is missed or nearly missed slows
// all fillers of the worker at once, and they are let go again step by step.
#include <algorithm>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

// Ratios of latency to target at which fillers stand still, work at less speed,
// and may work faster again.
constexpr double kStopRatio = 0.92;
constexpr double kSlowRatio = 0.75;
constexpr double kFastRatio = 0.6;
constexpr double kSlowFactor = 0.6;
constexpr std::uint32_t kFasterBy = 25;
// A filler that stands still this long is moved, if it keeps what it did.
constexpr milliseconds kMoveAfter{1500};
// Speed up to which it counts as standing still, in percent.
constexpr std::uint32_t kIdlePace = 10;

bool IsFiller(const Run& run) { return run.task->step->spec->fills; }

}  // namespace

void ShardCore::Impl::UpdatePressure(WorkerState& worker) {
  double worst = 0;
  for (const Run& run : worker.runs) {
    const StepSpec& spec = *run.task->step->spec;
    if (spec.latency_target <= milliseconds::zero() ||
        run.state != RunState::kRunning) {
      continue;
    }
    worst = std::max(worst, static_cast<double>(run.measured) /
                                static_cast<double>(
                                    spec.latency_target.count()));
  }
  const bool was_pressed = worker.pressure > kFastRatio;
  worker.pressure = worst;
  if (worst > kSlowRatio) worker.pressed_at = now.steady;
  if (was_pressed && worst <= kFastRatio) WantSchedule();
  for (Run& run : worker.runs) {
    if (!IsFiller(run) || run.state != RunState::kRunning || run.stop_wanted) {
      continue;
    }
    if (worst > kStopRatio) {
      SetPace(run, 0);
    } else if (worst > kSlowRatio) {
      SetPace(run, static_cast<std::uint32_t>(run.pace * kSlowFactor));
    } else if (worst < kFastRatio) {
      SetPace(run, std::min(100U, run.pace + kFasterBy));
    }
  }
  MoveIdleFills(worker);
}

void ShardCore::Impl::SetPace(Run& run, std::uint32_t percent) {
  if (percent > kIdlePace || run.pace > kIdlePace) run.idle_since = now.steady;
  run.pace = percent;
  SendPace(run);
}

void ShardCore::Impl::SendPace(Run& run) {
  if (run.pace == run.pace_sent || run.pace_in_flight || run.stop_wanted) return;
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
