// Limits the speed of fillers so that standing tasks stay within their latency
// targets.
//
// Reports lag by half a second and fluctuate with the users' load. The
// interference model predicts the latency of standing tasks, and fillers get
// the speed at which the prediction stays below the targets.
#include <algorithm>
#include <cmath>
#include <limits>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

// Highest log(latency / target) that paced fillers may cause for a standing
// task.
constexpr double kMaxPacedLevel = -0.3;
// Time for which levels are predicted ahead: half the time that a report
// covers, the time until a new speed takes effect, and half the time until the
// next report.
constexpr milliseconds kPredictionLead{600};
// Speeds are rounded down to multiples of this, in percent; below the minimum a
// filler is paused.
constexpr std::uint32_t kPaceStep = 10;
constexpr std::uint32_t kMinPace = 20;
// Fillers that add less than this to log(latency / target) are not slowed down,
// and may also start beside a task that is over its target, since they are not
// the cause.
constexpr double kNegligibleSlowdown = 0.03;
// Reports cover half a second: a filler's processor use is attributed to its
// speed only once the speed has been constant for longer.
constexpr milliseconds kSteadyPaceTime{700};
// Weight of a report in a task's smoothed residual, and the limit of its
// absolute value.
constexpr double kResidualGain = 0.4;
constexpr double kMaxResidual = 1.5;
// When a standing task is over its target for this long, all fillers of its
// worker are paused, whatever the model predicts. A third of the operators'
// bound for harm.
constexpr milliseconds kMaxOverTargetForPace{1300};
// Weight of a report in the smoothed level, which still fluctuates by 0.07, and
// the levels at which a task counts as over its target and as under it again.
constexpr double kLevelGain = 0.5;
constexpr double kOverTargetLevel = -0.03;
constexpr double kUnderTargetLevel = -0.12;
// Time after which a paused filler with checkpoints is moved.
constexpr milliseconds kPausedMoveDelay{1500};
// Speed in percent up to which a filler counts as paused.
constexpr std::uint32_t kIdlePace = 10;
// Latencies are reported in whole milliseconds; 0 is taken as this.
constexpr double kMinLatencyMs = 0.5;

bool IsFiller(const Run& run) { return run.task->step->spec->fills; }

bool HasTarget(const Run& run) {
  return run.task->step->spec->latency_target > milliseconds::zero();
}

bool IsReporting(const Run& run) {
  return HasTarget(run) && run.state == RunState::kRunning && run.measured > 0;
}

double LatencyRatio(const Run& run) {
  return std::max(kMinLatencyMs, static_cast<double>(run.measured)) /
         static_cast<double>(run.task->step->spec->latency_target.count());
}

// The share of the worker's processors that a filler uses at full speed.
double FullShare(const Run& run) {
  const std::uint64_t use = run.full_speed_milli_cpus > 0
                                ? run.full_speed_milli_cpus
                                : run.task->step->spec->need.milli_cpus;
  return static_cast<double>(use) /
         static_cast<double>(run.worker->entry.capacity.milli_cpus);
}

}  // namespace

void ShardCore::Impl::UpdateInterferenceModel(WorkerState& worker) {
  const double total_milli_cpus =
      static_cast<double>(worker.entry.capacity.milli_cpus);
  std::vector<ImageShare> fillers;
  for (Run& run : worker.runs) {
    if (!IsFiller(run) || run.measured == 0) continue;
    fillers.push_back({run.task->step->image, run.measured / total_milli_cpus});
    if (run.pace > kIdlePace &&
        now.steady - run.pace_changed_at > kSteadyPaceTime) {
      run.full_speed_milli_cpus = std::uint64_t{100} * run.measured / run.pace;
    }
  }
  for (Run& run : worker.runs) {
    if (!IsReporting(run)) continue;
    Step& step = *run.task->step;
    const double error =
        interference.AddReport(step.image, std::log(LatencyRatio(run)), fillers,
                               step.load, now.steady);
    run.residual += kResidualGain * (error - run.residual);
    run.residual = std::clamp(run.residual, -kMaxResidual, kMaxResidual);
  }
}

void ShardCore::Impl::UpdateLatencyLevels(WorkerState& worker) const {
  if (worker.latency_levels_valid) return;
  worker.latency_levels.clear();
  for (const Run& run : worker.runs) {
    if (!HasTarget(run)) continue;
    const Step& step = *run.task->step;
    const double base_level =
        (step.load.initialized()
             ? step.load.LevelAt(now.steady + kPredictionLead).mean
             : interference.BaseLevel(step.image)) +
        std::max(0.0, run.residual);
    const auto known = std::find_if(
        worker.latency_levels.begin(), worker.latency_levels.end(),
        [&step](const LatencyLevel& level) { return level.step == &step; });
    if (known == worker.latency_levels.end()) {
      worker.latency_levels.push_back(
          {.step = &step, .base_level = base_level});
    } else {
      known->base_level = std::max(known->base_level, base_level);
    }
  }
  for (LatencyLevel& level : worker.latency_levels) {
    level.slowdown = SlowdownOf(worker, level.step->image);
  }
  worker.latency_levels_valid = true;
}

ShardCore::Impl::Forecast ShardCore::Impl::Predict(
    WorkerState& worker, ImageId image, std::uint64_t milli_cpus) const {
  UpdateLatencyLevels(worker);
  const double share = static_cast<double>(milli_cpus) /
                       static_cast<double>(worker.entry.capacity.milli_cpus);
  Forecast forecast{.level = -std::numeric_limits<double>::infinity()};
  for (const LatencyLevel& level : worker.latency_levels) {
    const double contribution =
        interference.OptimisticFactor(level.step->image, image) * share;
    const double slowdown = level.slowdown + contribution;
    forecast.slowdown = std::max(forecast.slowdown, slowdown);
    if (contribution > kNegligibleSlowdown) {
      forecast.level = std::max(forecast.level, level.base_level + slowdown);
    }
  }
  return forecast;
}

double ShardCore::Impl::SlowdownOf(const WorkerState& worker,
                                   ImageId image) const {
  double slowdown = 0;
  for (const Run& run : worker.runs) {
    if (!IsFiller(run)) continue;
    slowdown +=
        interference.Factor(image, run.task->step->image) * FullShare(run);
  }
  return slowdown;
}

void ShardCore::Impl::UpdateLatencies(WorkerState& worker) {
  UpdateInterferenceModel(worker);
  worker.latency_levels_valid = false;
  worker.worst_latency_ratio = 0;
  worker.over_since.reset();
  for (Run& run : worker.runs) {
    if (!HasTarget(run) || run.state != RunState::kRunning) continue;
    const double ratio = LatencyRatio(run);
    const double level = run.level.value_or(std::log(ratio));
    run.level = level + kLevelGain * (std::log(ratio) - level);
    if (*run.level < kUnderTargetLevel) {
      run.over_since.reset();
    } else if (*run.level > kOverTargetLevel && !run.over_since.has_value()) {
      run.over_since = now.steady;
    }
    if (run.over_since.has_value()) {
      worker.over_since = worker.over_since.has_value()
                              ? std::min(*worker.over_since, *run.over_since)
                              : run.over_since;
    }
    worker.worst_latency_ratio = std::max(worker.worst_latency_ratio, ratio);
  }
  PaceFillers(worker);
  MovePausedFillers(worker);
}

// The speed of each filler, from 0 to 1, at which no standing task is expected
// above kMaxPacedLevel. Fillers that affect a task are slowed down by the same
// factor.
std::vector<std::pair<Run*, double>> ShardCore::Impl::ComputeSpeeds(
    WorkerState& worker) const {
  std::vector<std::pair<Run*, double>> speeds;
  for (Run& run : worker.runs) {
    if (IsFiller(run)) speeds.emplace_back(&run, 1);
  }
  if (speeds.empty()) return speeds;
  UpdateLatencyLevels(worker);
  for (const LatencyLevel& level : worker.latency_levels) {
    double budget = kMaxPacedLevel - level.base_level;
    double slowdown = 0;
    std::vector<double*> affected_speeds;
    for (auto& [run, speed] : speeds) {
      const double contribution =
          interference.Factor(level.step->image, run->task->step->image) *
          FullShare(*run);
      if (contribution > kNegligibleSlowdown) {
        slowdown += contribution;
        affected_speeds.push_back(&speed);
      } else {
        budget -= contribution;
      }
    }
    if (slowdown <= budget) continue;
    const double max_speed = std::max(0.0, budget / slowdown);
    for (double* speed : affected_speeds) *speed = std::min(*speed, max_speed);
  }
  return speeds;
}

void ShardCore::Impl::PaceFillers(WorkerState& worker) {
  const bool over_for_too_long =
      worker.over_since.has_value() &&
      now.steady - *worker.over_since > kMaxOverTargetForPace;
  for (const auto& [run, speed] : ComputeSpeeds(worker)) {
    if (run->state != RunState::kRunning || run->stop_requested) continue;
    std::uint32_t percent = static_cast<std::uint32_t>(100 * speed);
    percent -= percent % kPaceStep;
    if (over_for_too_long || percent < kMinPace) percent = 0;
    SetPace(*run, percent);
  }
}

void ShardCore::Impl::SetPace(Run& run, std::uint32_t percent) {
  if (percent > kIdlePace || run.pace > kIdlePace) run.idle_since = now.steady;
  if (percent != run.pace) run.pace_changed_at = now.steady;
  run.pace = percent;
  SendPace(run);
}

void ShardCore::Impl::SendPace(Run& run) {
  if (run.pace == run.pace_sent || run.pace_in_flight || run.stop_requested) {
    return;
  }
  run.pace_in_flight = true;
  run.pace_sent = run.pace;
  run.progress_clock.reset();
  ++counters.paces;
  hooks.pace({.id = run.worker->id, .address = run.worker->entry.address},
             {.incarnation = run.worker->born_ms,
              .task = KeyOfTask(*run.task),
              .attempt = run.attempt,
              .percent = run.pace,
              .token = TokenOf(*run.worker)});
}

void ShardCore::Impl::MovePausedFillers(WorkerState& worker) {
  for (Run& run : worker.runs) {
    if (!IsFiller(run) || run.stop_requested || run.pace > kIdlePace ||
        run.state != RunState::kRunning || !run.task->step->spec->checkpoints ||
        now.steady - run.idle_since < kPausedMoveDelay) {
      continue;
    }
    RequestStop(run, "slows down standing tasks");
    return;
  }
}

}  // namespace carobmast::jobs
