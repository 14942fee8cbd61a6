// Moves standing tasks away from those that are slowed down by other fillers. A
// worker whose standing tasks are all harmed by the same fillers stays open to
// all other fillers.
#include <algorithm>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRebalanceInterval{400};
// Maximum number of standing tasks that are being moved at the same time.
constexpr std::size_t kMaxConcurrentMoves = 6;
// Maximum number of workers visited in the searches of one interval; each
// search for a better worker may visit all.
constexpr std::size_t kMaxVisits = 250000;
// A new owner moves no tasks for this long, until its workers have reported
// what they run.
constexpr milliseconds kMinOwnershipTime{600};
// Minimum gain in similarity, which ranges from -1 to 1, that is worth the
// interruption by a move.
constexpr double kMinGain = 0.6;
// Similarity assumed for a task without standing tasks beside it, which has no
// reason to move.
constexpr double kAloneSimilarity = 1;
// Similarity assumed for a worker without standing tasks, which others will
// join.
constexpr double kEmptyWorkerSimilarity = 0.4;
// A task stays at least this long where it was started.
constexpr milliseconds kMinStay{2000};

}  // namespace

bool ShardCore::Impl::MayMove(const Run& run) const {
  const Step& step = *run.task->step;
  return step.spec->standing && !step.spec->gang &&
         step.spec->latency_target > milliseconds::zero() &&
         run.state == RunState::kRunning && !run.stop_requested &&
         now.steady - run.confirmed_at > kMinStay &&
         !step.occurrence->job->IsOver() &&
         step.spec->max_away.value_or(1) > 0 && CountUnavailable(step) == 0;
}

void ShardCore::Impl::Rebalance() {
  if (now.steady - last_rebalance_at < kRebalanceInterval ||
      now.steady - restored_at < kMinOwnershipTime) {
    return;
  }
  last_rebalance_at = now.steady;
  std::size_t moving = 0;
  std::vector<std::pair<double, Run*>> misplaced;
  for (const auto& [id, worker] : workers) {
    for (Run& run : worker->runs) {
      if (run.stop_requested && run.task->step->spec->standing) ++moving;
      if (!MayMove(run)) continue;
      const double similarity =
          Similarity(*worker, *run.task->step, &run).value_or(kAloneSimilarity);
      if (similarity < 1 - kMinGain) misplaced.emplace_back(similarity, &run);
    }
  }
  std::sort(misplaced.begin(), misplaced.end(),
            [](const auto& left, const auto& right) {
              return left.first < right.first;
            });
  // Begins with the worst placed, or where the last searches ended if they
  // helped too few.
  if (rebalance_offset >= misplaced.size()) rebalance_offset = 0;
  const std::size_t searches =
      kMaxVisits / std::max<std::size_t>(1, workers.size());
  const std::size_t end =
      std::min(misplaced.size(), rebalance_offset + searches);
  while (rebalance_offset < end) {
    if (moving >= kMaxConcurrentMoves) {
      rebalance_offset = 0;
      return;
    }
    const auto& [similarity, run] = misplaced[rebalance_offset++];
    if (!MayMove(*run) || !HasBetterWorker(*run, similarity)) continue;
    ++moving;
    ++counters.moves;
    run->task->avoided_worker = run->worker->id;
    RequestStop(*run, "suffers from other fillers than its neighbours");
  }
}

bool ShardCore::Impl::HasBetterWorker(const Run& run, double similarity) const {
  const Step& step = *run.task->step;
  return std::any_of(workers.begin(), workers.end(),
                     [this, &run, &step, similarity](const auto& entry) {
                       WorkerState& worker = *entry.second;
                       if (&worker == run.worker || !IsEligible(worker, step)) {
                         return false;
                       }
                       const double candidate_similarity =
                           worker.critical_milli_cpus == 0
                               ? kEmptyWorkerSimilarity
                               : Similarity(worker, step).value_or(0);
                       return candidate_similarity >= similarity + kMinGain;
                     });
}

}  // namespace carobmast::jobs
