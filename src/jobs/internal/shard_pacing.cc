// Keeps tasks that fill from slowing down standing tasks beyond their targets.
//
// Reports lag by half a second and swing with the users' load. The model of the
// interference tells what standing tasks will come to, and fillers get the
// speed at which that stays below the targets.
#include <algorithm>
#include <cmath>
#include <limits>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

// Log of latency to target that fillers may bring a standing task to.
constexpr double kPaceLevel = -0.3;
// How far ahead levels are told: half the time that a report covers, the time
// until a new speed acts, and half the time until the next report.
constexpr milliseconds kLead{600};
// Speeds go in steps of this many percent; below the least they are none.
constexpr std::uint32_t kPaceStep = 10;
constexpr std::uint32_t kLeastPace = 20;
// A filler whose part in the log of the latency is below this is let be, and
// may join also a task that is over its target: it is not the cause.
constexpr double kNegligible = 0.03;
// Reports cover half a second: a filler's use is taken for its speed once that
// was the same for longer.
constexpr milliseconds kSteadyAfter{700};
// Weight of a report in a task's excess over what was expected, and its most.
constexpr double kExcessGain = 0.4;
constexpr double kMaxExcess = 1.5;
// A standing task that is over its target for this long has all fillers stand
// still, whatever is known of them; a third of the bound for harm.
constexpr milliseconds kOverPatience{1300};
// Weight of a report in the smoothed level, which still swings by 0.07, and the
// levels at which a task counts as over its target and as under it again.
constexpr double kLevelGain = 0.5;
constexpr double kOverLevel = -0.03;
constexpr double kUnderLevel = -0.12;
// A filler that stands still this long is moved, if it keeps what it did.
constexpr milliseconds kMoveAfter{1500};
// Speed up to which it counts as standing still, in percent.
constexpr std::uint32_t kIdlePace = 10;
// Latencies are told in whole milliseconds: none is taken as less.
constexpr double kLeastLatencyMs = 0.5;

bool IsFiller(const Run& run) { return run.task->step->spec->fills; }

bool HasTarget(const Run& run) {
  return run.task->step->spec->latency_target > milliseconds::zero();
}

bool IsReporting(const Run& run) {
  return HasTarget(run) && run.state == RunState::kRunning && run.measured > 0;
}

double Ratio(const Run& run) {
  return std::max(kLeastLatencyMs, static_cast<double>(run.measured)) /
         static_cast<double>(run.task->step->spec->latency_target.count());
}

// The share of the worker's processors that a filler uses at full speed.
double FullShare(const Run& run) {
  const std::uint64_t use = run.full_milli_cpus > 0
                                ? run.full_milli_cpus
                                : run.task->step->spec->need.milli_cpus;
  return static_cast<double>(use) /
         static_cast<double>(run.worker->entry.capacity.milli_cpus);
}

}  // namespace

void ShardCore::Impl::LearnInterference(WorkerState& worker) {
  const double room = static_cast<double>(worker.entry.capacity.milli_cpus);
  std::vector<ImageShare> fillers;
  for (Run& run : worker.runs) {
    if (!IsFiller(run) || run.measured == 0) continue;
    fillers.push_back({run.task->step->image, run.measured / room});
    if (run.pace > kIdlePace &&
        now.steady - run.pace_changed_at > kSteadyAfter) {
      run.full_milli_cpus = std::uint64_t{100} * run.measured / run.pace;
    }
  }
  for (Run& run : worker.runs) {
    if (!IsReporting(run)) continue;
    Step& step = *run.task->step;
    const double error = interference.AddReport(
        step.image, std::log(Ratio(run)), fillers, step.load, now.steady);
    run.excess += kExcessGain * (error - run.excess);
    run.excess = std::clamp(run.excess, -kMaxExcess, kMaxExcess);
  }
}

void ShardCore::Impl::UpdateLevels(WorkerState& worker) const {
  if (worker.levels_known) return;
  worker.standing_levels.clear();
  for (const Run& run : worker.runs) {
    if (!HasTarget(run)) continue;
    const Step& step = *run.task->step;
    const double own =
        (step.load.initialized() ? step.load.LevelAt(now.steady + kLead).mean
                                 : interference.BaseLevel(step.image)) +
        std::max(0.0, run.excess);
    const auto known = std::find_if(
        worker.standing_levels.begin(), worker.standing_levels.end(),
        [&step](const StandingLevel& level) { return level.step == &step; });
    if (known == worker.standing_levels.end()) {
      worker.standing_levels.push_back({.step = &step, .own = own});
    } else {
      known->own = std::max(known->own, own);
    }
  }
  for (StandingLevel& level : worker.standing_levels) {
    level.harm = HarmTo(worker, level.step->image);
  }
  worker.levels_known = true;
}

ShardCore::Impl::Forecast ShardCore::Impl::Predict(
    WorkerState& worker, ImageId image, std::uint64_t milli_cpus) const {
  UpdateLevels(worker);
  const double share = static_cast<double>(milli_cpus) /
                       static_cast<double>(worker.entry.capacity.milli_cpus);
  Forecast forecast{.level = -std::numeric_limits<double>::infinity()};
  for (const StandingLevel& level : worker.standing_levels) {
    const double part =
        interference.OptimisticFactor(level.step->image, image) * share;
    const double harm = level.harm + part;
    forecast.harm = std::max(forecast.harm, harm);
    if (part > kNegligible) {
      forecast.level = std::max(forecast.level, level.own + harm);
    }
  }
  return forecast;
}

double ShardCore::Impl::HarmTo(const WorkerState& worker, ImageId image) const {
  double harm = 0;
  for (const Run& run : worker.runs) {
    if (!IsFiller(run)) continue;
    harm += interference.Factor(image, run.task->step->image) * FullShare(run);
  }
  return harm;
}

void ShardCore::Impl::UpdatePressure(WorkerState& worker) {
  LearnInterference(worker);
  worker.levels_known = false;
  worker.pressure = 0;
  worker.over_since.reset();
  for (Run& run : worker.runs) {
    if (!HasTarget(run) || run.state != RunState::kRunning) continue;
    const double ratio = Ratio(run);
    const double level = run.level.value_or(std::log(ratio));
    run.level = level + kLevelGain * (std::log(ratio) - level);
    if (*run.level < kUnderLevel) {
      run.over_since.reset();
    } else if (*run.level > kOverLevel && !run.over_since.has_value()) {
      run.over_since = now.steady;
    }
    if (run.over_since.has_value()) {
      worker.over_since = worker.over_since.has_value()
                              ? std::min(*worker.over_since, *run.over_since)
                              : run.over_since;
    }
    worker.pressure = std::max(worker.pressure, ratio);
  }
  PaceFillers(worker);
  MoveIdleFills(worker);
}

// The speeds, from 0 to 1, at which no standing task is expected above its
// level. Fillers that harm a task share what it can bear.
std::map<Run*, double> ShardCore::Impl::SpeedsOf(WorkerState& worker) const {
  std::map<Run*, double> speeds;
  for (Run& run : worker.runs) {
    if (IsFiller(run)) speeds[&run] = 1;
  }
  UpdateLevels(worker);
  for (const StandingLevel& level : worker.standing_levels) {
    double bearable = kPaceLevel - level.own;
    double harm = 0;
    std::vector<Run*> harmful;
    for (const auto& [run, speed] : speeds) {
      const double part =
          interference.Factor(level.step->image, run->task->step->image) *
          FullShare(*run);
      if (part > kNegligible) {
        harm += part;
        harmful.push_back(run);
      } else {
        bearable -= part;
      }
    }
    if (harm <= bearable) continue;
    const double most = std::max(0.0, bearable / harm);
    for (Run* run : harmful) speeds[run] = std::min(speeds[run], most);
  }
  return speeds;
}

void ShardCore::Impl::PaceFillers(WorkerState& worker) {
  const bool over_long = worker.over_since.has_value() &&
                         now.steady - *worker.over_since > kOverPatience;
  for (const auto& [run, speed] : SpeedsOf(worker)) {
    if (run->state != RunState::kRunning || run->stop_wanted) continue;
    std::uint32_t percent = static_cast<std::uint32_t>(100 * speed);
    percent -= percent % kPaceStep;
    if (over_long || percent < kLeastPace) percent = 0;
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
