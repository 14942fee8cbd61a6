// The parts of a shard's owner, split over the files shard_*.cc.
#ifndef CAROBMAST_JOBS_INTERNAL_SHARD_IMPL_H_
#define CAROBMAST_JOBS_INTERNAL_SHARD_IMPL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "jobs/generated/jobs.pb.h"
#include "jobs/internal/model.h"
#include "jobs/shard_core.h"

namespace carobmast::jobs {

// How the owner came to know that a run is over.
enum class RunEnd {
  kFinished,
  kFailed,
  kStopped,
  kLost,      // its worker lost it, or its lease is over
  kNotRun,    // it never began and never will
  kGangOver,  // another member of its gang ended
};

struct ShardCore::Impl {
  Impl(ShardOptions shard_options, ShardHooks shard_hooks);

  // shard_jobs.cc: jobs and their records.
  Job& AddJob(const std::string& id);
  void Restore(const contracts::KeyedRecord& record);
  void RestoreProgress(Job& job, const proto::Progress& record);
  void RestoreTask(Step& step, const proto::Task& record);
  void FinishRestore(ShardTime now);
  void BeginOccurrence(Job& job, std::uint32_t number);
  Occurrence& MakeOccurrence(Job& job, std::uint32_t number);
  void BeginDueOccurrences(Job& job, ShardTime now);
  void UpdateReadySteps(Occurrence& occurrence);
  void SetPolicy(Job& job) const;
  void FinishTask(Task& task);
  void FinishStep(Step& step);
  void EndJob(Job& job, JobState state);
  void StopAll(Job& job, const std::string& reason);
  void StopTask(Task& task, const std::string& reason);
  void Mark(Job& job);
  std::string EncodeProgress(const Job& job) const;
  std::string EncodeJob(const Job& job) const;
  void DropEndedJobs();
  Batch TakeBatch(ShardTime now);
  void OnStored(std::uint64_t number, ShardTime now);

  // shard_schedule.cc: the choice of workers.
  using ReadyKey = std::tuple<std::uint32_t, std::int64_t, std::string,
                              std::uint32_t, std::uint32_t>;
  ReadyKey KeyOf(const Step& step) const;
  // Waiting steps, those first whose turn it is.
  std::vector<Step*> StepsInOrder() const;
  std::int64_t ObjectiveOf(const Step& step) const;
  void MakeReady(Step& step);
  void MakeUnready(Step& step);
  void Schedule();
  bool HasWaiting(const Step& step) const;
  void ScheduleStep(Step& step);
  void ScheduleGang(Step& step);
  // Whether any worker may have said that it leaves without being heard.
  bool IsRegistryOld() const;
  // Tells when starts stop, and go on, for the age of the registry.
  void WatchRegistryAge();
  // Whether the worker is about to go, or is no longer registered.
  static bool IsLeaving(const WorkerState& worker);
  // Whether the worker may get new tasks at all.
  bool IsOpen(const WorkerState& worker) const;
  bool IsUsable(const WorkerState& worker, const Step& step) const;
  bool Fits(WorkerState& worker, const Step& step,
            std::uint32_t copies = 1) const;
  // Whether a step that needs no more than this one found no worker a short
  // while ago.
  bool IsHopeless(const Step& step) const;
  void NoteHopeless(const Step& step);
  void RetryHopeless();
  std::uint32_t CountOnWorker(const Step& step,
                              const WorkerState& worker) const;
  double Score(WorkerState& worker, const Step& step) const;
  // How alike the worker's standing tasks, but for one, are to those of a step;
  // empty where there are none.
  std::optional<double> Similarity(const WorkerState& worker, const Step& step,
                                   const Run* left_out = nullptr) const;
  bool IsEligible(WorkerState& worker, const Step& step) const;
  // A worker for a step; no score once it isn't eligible any more.
  struct Candidate {
    WorkerState* worker = nullptr;
    std::optional<double> score;
  };
  std::optional<double> ScoreIfEligible(WorkerState& worker,
                                        const Step& step) const;
  // All workers that are eligible now.
  std::vector<Candidate> Rank(const Step& step) const;
  // The best of them for the task; null where there is none.
  static Candidate* Best(std::vector<Candidate>& candidates, const Task& task);
  WorkerState* Pick(const Task& task) const;
  std::string PoolOf(const Job& job) const;
  Run& Plan(Task& task, WorkerState& worker, std::uint32_t attempt);
  void TakeRoom(const Run& run);
  void FreeRoom(const Run& run);
  void AddCopies();
  bool IsStarved(const Job& job) const;
  // Share of its workers' processors that a pool has given to tasks.
  double ShareInUse(const std::string& pool) const;
  void WantSchedule();

  // shard_orders.cc: orders to workers and their answers.
  void SendStart(Run& run);
  // Queues the starts of a step whose intents were stored with this batch.
  void QueueStarts(Step& step, std::uint64_t batch);
  // Sends starts whose intents are stored, as far as answers are not awaited.
  void SendQueuedStarts();
  void SendStop(Run& run);
  void WantStop(Run& run, const std::string& reason);
  contracts::WorkerClock LeaseEndFor(WorkerState& worker) const;
  void OnStart(const std::string& worker_id, const contracts::StartOrder& order,
               const contracts::OrderAnswer& answer);
  void OnOrderAnswer(WorkerState& worker, const contracts::OrderAnswer& answer);
  void OnStartRefused(Run& run, const contracts::OrderAnswer& answer);
  void RepeatOrders(WorkerState& worker);
  // Ends what a worker that leaves has not confirmed.
  void WithdrawStarts(WorkerState& worker);

  // shard_workers.cc: what workers tell.
  WorkerState& GetWorker(const std::string& id);
  Run* FindRun(WorkerState& worker, const contracts::TaskKey& key,
               std::uint32_t attempt);
  Task* FindTask(const contracts::TaskKey& key);
  void OnClock(WorkerState& worker, contracts::WorkerClock clock);
  void SetSilent(WorkerState& worker, const std::string& error);
  void OnRunningList(WorkerState& worker, const contracts::HoldAnswer& answer,
                     MonotonicTime sent_at);
  void OnEndedList(WorkerState& worker, const contracts::HoldAnswer& answer);
  void EndRun(Run& run, RunEnd end, const std::string& checkpoint);
  void EndGang(Step& step, const std::string& reason);
  void CountFailure(WorkerState& worker, const Task& task);
  void Quarantine(WorkerState& worker, const std::string& reason);
  void TickWorker(WorkerState& worker);
  void TellSummary();
  bool LeaseIsOver(const WorkerState& worker) const;
  void StopStalled(WorkerState& worker);
  void Evacuate(WorkerState& worker);
  // Tasks of the step that are not at work.
  std::uint32_t CountAway(const Step& step) const;

  // shard_advice.cc: which workers may run a step.
  bool NeedsTicket(const Step& step) const;
  const std::string* FindTicket(const Step& step,
                                const WorkerState& worker) const;
  void AskAdvice();
  void OnAdvice(const contracts::AdviceCall& call,
                const contracts::AdviceAnswer& answer);

  // shard_pacing.cc: standing tasks beside tasks that fill.
  void UpdatePressure(WorkerState& worker);
  void LearnInterference(WorkerState& worker);
  void UpdateLevels(WorkerState& worker) const;
  // What the worst hit standing task of the worker would come to, and what
  // fillers would add there, with one more of `image` that uses `milli_cpus`.
  // Tasks that this one does not touch don't count for the level.
  struct Forecast {
    double level = 0;
    double harm = 0;
  };
  Forecast Predict(WorkerState& worker, ImageId image,
                   std::uint64_t milli_cpus) const;
  // How much the fillers of the worker would add to a standing task of `image`.
  double HarmTo(const WorkerState& worker, ImageId image) const;
  void PaceFillers(WorkerState& worker);
  std::map<Run*, double> SpeedsOf(WorkerState& worker) const;
  void SetPace(Run& run, std::uint32_t percent);
  void SendPace(Run& run);
  void MoveIdleFills(WorkerState& worker);

  // shard_rebalance.cc: which standing tasks share a worker.
  bool MayMove(const Run& run) const;
  // Whether a worker has clearly better company for the task.
  bool HasBetterPlace(const Run& run, double company) const;
  void Rebalance();

  ShardOptions options;
  ShardHooks hooks;
  ShardCounters counters;
  // Of the call that is being handled.
  ShardTime now;
  std::map<std::string, QueuePolicy> queues;
  std::map<std::string, std::unique_ptr<Job>> jobs;
  std::map<std::string, std::unique_ptr<WorkerState>> workers;
  std::map<ReadyKey, Step*> ready;
  // What found no worker since `hopeless_since`.
  struct HopelessNeed {
    ImageId image = 0;
    bool fills = false;
    bool standing = false;
    std::string required_label;
    std::string queue;
    contracts::Resources need;
  };
  std::vector<HopelessNeed> hopeless;
  MonotonicTime hopeless_since;
  // Jobs with changes that no batch holds, in the order of their changes.
  std::vector<Job*> changed_jobs;
  std::vector<std::string> dropped_keys;
  std::deque<std::pair<std::int64_t, std::string>> ended_jobs;
  std::uint64_t changes = 0;
  std::uint64_t stored_changes = 0;
  // Stored intents, in their order, whose starts have not been sent.
  struct QueuedStart {
    std::string worker;
    contracts::TaskKey task;
    std::uint32_t attempt = 0;
  };
  std::deque<QueuedStart> queued_starts;
  std::size_t starts_in_flight = 0;
  // The batch that is out.
  std::uint64_t batch_number = 0;
  std::uint64_t batch_changes = 0;
  std::vector<std::pair<std::string, JobState>> batch_jobs;
  InterferenceModel interference;
  MonotonicTime interference_stored_at;
  // Fillers may go anywhere: the job would wait for too long.
  bool ignore_harm = false;
  MonotonicTime schedule_at;
  MonotonicTime rebalance_at;
  MonotonicTime restored_at;
  bool advice_in_flight = false;
  MonotonicTime advice_retry_at;
  bool schedule_wanted = false;
  MonotonicTime registry_current_at;
  // Since when starts wait for a younger view of the registry.
  std::optional<MonotonicTime> registry_old_since;
  bool restored = false;
  std::optional<MonotonicTime> former_stopped_at;
  MonotonicTime summary_at;
};

// The key that names the task to workers.
contracts::TaskKey KeyOfTask(const Task& task);

// Task and attempt: finds a run again after others have ended.
using RunName = std::pair<contracts::TaskKey, std::uint32_t>;
RunName NameOf(const Run& run);

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERNAL_SHARD_IMPL_H_
