// Moves standing tasks away from those that suffer from other fillers: a worker
// whose standing tasks are alike stays open to all that harms none of them.
#include <algorithm>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRebalanceEvery{400};
// Tasks that may be on the move at once.
constexpr std::size_t kMaxMoves = 6;
// A new owner learns where everything is before it moves anything.
constexpr milliseconds kLearnFirst{600};
// Gain in likeness, of 2 at most, that is worth the pause of a move.
constexpr double kMinGain = 0.6;
// What a task without others beside it counts for: it has no reason to move.
constexpr double kAlone = 1;
// What a worker without standing tasks counts for: others will join.
constexpr double kEmptyLikeness = 0.4;
// A task that has begun this recently stays.
constexpr milliseconds kStayLeast{2000};

}  // namespace

bool ShardCore::Impl::MayMove(const Run& run) const {
  const Step& step = *run.task->step;
  return step.spec->standing && !step.spec->gang &&
         step.spec->latency_target > milliseconds::zero() &&
         run.state == RunState::kRunning && !run.stop_wanted &&
         now.steady - run.confirmed_at > kStayLeast &&
         !step.occurrence->job->IsOver() &&
         step.spec->max_away.value_or(1) > 0 && CountAway(step) == 0;
}

void ShardCore::Impl::Rebalance() {
  if (now.steady - rebalance_at < kRebalanceEvery ||
      now.steady - restored_at < kLearnFirst) {
    return;
  }
  rebalance_at = now.steady;
  std::size_t moving = 0;
  std::vector<std::pair<double, Run*>> misplaced;
  for (const auto& [id, worker] : workers) {
    for (Run& run : worker->runs) {
      if (run.stop_wanted && run.task->step->spec->standing) ++moving;
      if (!MayMove(run)) continue;
      const double company =
          Similarity(*worker, *run.task->step, &run).value_or(kAlone);
      if (company < 1 - kMinGain) misplaced.emplace_back(company, &run);
    }
  }
  std::sort(misplaced.begin(), misplaced.end(),
            [](const auto& left, const auto& right) {
              return left.first < right.first;
            });
  for (const auto& [company, run] : misplaced) {
    if (moving >= kMaxMoves) return;
    if (!MayMove(*run) || !HasBetterPlace(*run, company)) continue;
    ++moving;
    ++counters.moves;
    run->task->avoided_worker = run->worker->id;
    WantStop(*run, "suffers from other fillers than its neighbours");
  }
}

bool ShardCore::Impl::HasBetterPlace(const Run& run, double company) const {
  const Step& step = *run.task->step;
  return std::any_of(workers.begin(), workers.end(),
                     [this, &run, &step, company](const auto& entry) {
                       WorkerState& worker = *entry.second;
                       if (&worker == run.worker || !IsEligible(worker, step)) {
                         return false;
                       }
                       const double likeness =
                           worker.standing_milli_cpus == 0
                               ? kEmptyLikeness
                               : Similarity(worker, step).value_or(0);
                       return likeness >= company + kMinGain;
                     });
}

}  // namespace carobmast::jobs
