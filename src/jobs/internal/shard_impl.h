// Implementation of ShardCore, split over the files shard_*.cc.
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

#include "jobs/admission.h"
#include "jobs/generated/jobs.pb.h"
#include "jobs/internal/cancelled_ids.h"
#include "jobs/internal/model.h"
#include "jobs/lease_witnesses.h"
#include "jobs/shard_core.h"

namespace carobmast::jobs {

// How a run ended, as far as the owner knows.
enum class RunEnd {
  kFinished,
  kFailed,
  kStopped,
  kLost,          // the worker no longer has it, or its lease expired
  kNeverStarted,  // it did not begin and never will
  kGangOver,      // another member of its gang ended
};

// What a task that is not known to be served waits for.
enum class WaitReason {
  kRoom,          // a worker that may run it, in the next schedule
  kRegistry,      // a current view of the registry
  kIntent,        // the store
  kStart,         // the worker's answer
  kFormerOwners,  // the end of orders from former owners
  kLease,         // the end of the leases on a worker that does not answer
};
const char* WaitReasonName(WaitReason reason);

struct TaskWait {
  WaitReason reason = WaitReason::kRoom;
  MonotonicTime since;
  // The worker of its last run; empty when that is over.
  std::string worker;
};

struct ShardCore::Impl {
  Impl(ShardOptions shard_options, ShardHooks shard_hooks);

  // shard_jobs.cc: jobs and their steps.
  Job& AddJob(const std::string& id);
  void BeginOccurrence(Job& job, std::uint32_t number);
  Occurrence& MakeOccurrence(Job& job, std::uint32_t number);
  void BeginDueOccurrences(Job& job, ShardTime now);
  void UpdateReadySteps(Occurrence& occurrence);
  void SetPolicy(Job& job) const;
  // See RetryAfterIfRejected. Logs and counts a rejection.
  std::optional<std::chrono::milliseconds> RejectForLoad(
      const std::string& id, const QueuePolicy& queue, const JobSpec& spec);
  // Logs and counts that a job is turned away since its pool has no room now.
  std::chrono::milliseconds RejectForShortage(const std::string& id,
                                              const QueuePolicy& queue,
                                              const std::string& reason);
  // Whether short jobs that are no less urgent lack room in the queue's pool.
  bool IsShortOfRoom(const QueuePolicy& queue);
  // Whether a step of the queue that needs no more has lacked room for longer
  // than its job should take.
  bool HasWaitedInVain(const StepSpec& spec, const std::string& queue) const;
  // Tells the queues' admissions of jobs that waited too long to be on time or
  // of use.
  void CountWorthlessJobs();
  // Whether the job has become worthless before its first run, or while this
  // step lacked room.
  bool HasBecomeWorthless(const Job& job, const Step& step) const;
  // Counts the job once, if it can't be on time any more for want of room.
  void CountLateJob(Job& job, const Step& step);
  void FinishTask(Task& task);
  void FinishStep(Step& step);
  void EndJob(Job& job, JobState state);
  void CancelJob(Job& job);
  // Remembers that a job of this ID was cancelled. Returns false when there is
  // no room for it.
  bool RememberCancelled(const std::string& id);
  void StopAll(Job& job, const std::string& reason);
  void StopTask(Task& task, const std::string& reason);
  // Stops the job's runs and removes the job with all that points to it, but
  // for `ended_jobs`.
  void ForgetJob(Job& job, const std::string& reason);
  void MarkChanged(Job& job);
  void MarkChanged(const Task& task);

  // shard_records.cc: records of the shard's stream.
  void Restore(const contracts::KeyedRecord& record);
  void RestoreProgress(Job& job, const proto::Progress& record);
  void RestoreBlock(const contracts::KeyedRecord& record);
  void RestoreStep(Step& step, const proto::StepProgress& record);
  void RestoreTask(Step& step, const proto::Task& record);
  void RestoreOccurrences(Job& job, const proto::Progress& record);
  // Adds the progress that is stored in blocks. Blocks that the job's record
  // does not refer to are dropped.
  void RestoreBlocks(Job& job);
  void FinishRestore(ShardTime now);
  std::string EncodeProgress(const Job& job) const;
  std::string EncodeJob(const Job& job) const;
  // From here on the job's progress is stored in blocks.
  void Divide(Job& job);
  void AddJobRecords(Job& job, Batch& batch);
  void AddBlocks(Job& job, Batch& batch);
  // Adds the keys of the step's stored blocks to `keys` and forgets them.
  static void DropBlocks(Step& step, std::vector<std::string>& keys);
  // Forgets finished occurrences that have no runs left.
  void RetireOccurrences(Job& job);
  void DropEndedJobs();
  Batch TakeBatch(ShardTime now);
  void OnStored(std::uint64_t number, ShardTime now);

  // shard_schedule.cc: assignment of tasks to workers.
  // Priority, objective, job ID, occurrence and step.
  using ReadyKey = std::tuple<std::uint32_t, std::int64_t, std::string,
                              std::uint32_t, std::uint32_t>;
  ReadyKey KeyOf(const Step& step) const;
  // Steps with waiting tasks, in the order in which they are scheduled.
  std::vector<Step*> StepsInOrder() const;
  std::int64_t ObjectiveOf(const Step& step) const;
  void AddReady(Step& step);
  void RemoveReady(Step& step);
  void Schedule();
  bool HasWaitingTasks(const Step& step) const;
  void ScheduleStep(Step& step);
  void ScheduleGang(Step& step);
  // Workers for all members of a gang, in the order of its tasks. Empty when
  // they don't fit, or when the gang waits for others than those on which it
  // has failed.
  std::vector<WorkerState*> ChooseGangWorkers(const Step& step);
  std::vector<WorkerState*> FindGangWorkers(const Step& step, bool use_avoided);
  // On workers of one rack, or of any if the name is empty.
  std::vector<WorkerState*> FindGangWorkersIn(const std::string& rack,
                                              const Step& step,
                                              bool use_avoided);
  // Whether a gang that has failed on some workers goes on waiting for room on
  // others.
  bool WaitsForOtherWorkers(const Step& step) const;
  // See AdmissionInput::without_room.
  std::optional<Duration> TimeWithoutRoom(const std::string& queue) const;
  // Whether the view of the registry is so old that a worker may have announced
  // in the meantime that it leaves.
  bool IsRegistryStale() const;
  // Logs when the age of the registry stops starts and when they resume.
  void UpdateRegistryStaleness();
  // Whether the worker drains, is under maintenance or is no longer registered.
  static bool IsLeaving(const WorkerState& worker);
  // Whether the worker accepts new tasks at all.
  bool AcceptsTasks(const WorkerState& worker) const;
  // Whether the worker accepts tasks and is suitable for the step.
  bool IsUsable(const WorkerState& worker, const Step& step) const;
  // Whether the worker's present incarnation has the step's pool and label.
  static bool IsSuitable(const WorkerState& worker, const Step& step);
  // Whether the worker has resources for `copies` more tasks of the step.
  bool Fits(WorkerState& worker, const Step& step,
            std::uint32_t copies = 1) const;
  // Whether a step with no higher demands recently found no worker.
  bool IsUnplaceable(const Step& step) const;
  void AddUnplaceable(const Step& step);
  void RetryUnplaceable();
  std::uint32_t CountOnWorker(const Step& step,
                              const WorkerState& worker) const;
  double Score(WorkerState& worker, const Step& step) const;
  // The mean InterferenceModel::Similarity of the step's image to the worker's
  // standing tasks, without the run `excluded`; empty when there are none.
  std::optional<double> Similarity(const WorkerState& worker, const Step& step,
                                   const Run* excluded = nullptr) const;
  bool IsEligible(WorkerState& worker, const Step& step) const;
  // A worker for a step; the score is empty once it is no longer eligible.
  struct Candidate {
    WorkerState* worker = nullptr;
    std::optional<double> score;
  };
  std::optional<double> ScoreIfEligible(WorkerState& worker,
                                        const Step& step) const;
  // Whether the step's tasks wait for room in the rack of their data, which has
  // a worker that accepts them.
  bool WaitsForDataRack(const Step& step) const;
  // Eligible workers with their scores: all of a small pool, or enough of a
  // large one.
  std::vector<Candidate> Rank(const Step& step);
  // The best candidate for the task; null when there is none.
  static Candidate* Best(std::vector<Candidate>& candidates, const Task& task);
  WorkerState* Pick(const Task& task);
  // Whether standing tasks keep each worker of the pool that is large enough
  // for a task of the step from ever having room for it.
  bool IsBlockedByStanding(const StepSpec& step, const std::string& pool) const;
  Run& Plan(Task& task, WorkerState& worker, std::uint32_t attempt);
  void ReserveResources(const Run& run);
  void ReleaseResources(const Run& run);
  void AddSpeculativeCopies();
  // Whether the job has waited long for its first or next run while its pool
  // has free processors.
  bool IsStarved(const Job& job) const;
  // Counts what PoolUtilization tells.
  void UpdatePoolUse();
  // The share of the pool's processors that was reserved by tasks other than
  // fillers at the last schedule.
  double PoolUtilization(const std::string& pool) const;
  // Schedules waiting steps before the next batch is taken.
  void RequestSchedule();

  // shard_orders.cc: orders to workers and their answers.
  // The token of orders to the worker.
  contracts::FencingToken TokenOf(const WorkerState& worker) const;
  // From here on the worker refuses earlier orders, once it has carried out a
  // later one. Returns false when it has used as many tokens as `limit`.
  bool RaiseToken(WorkerState& worker, std::uint32_t limit,
                  const std::string& reason);
  // Whether a worker that refused this token has seen that of another owner,
  // not a later one of this owner.
  bool IsFencedByAnother(const WorkerState& worker,
                         contracts::FencingToken token) const {
    return token >= TokenOf(worker);
  }
  void SendStart(Run& run);
  // Queues the starts of a step whose intents were stored with this batch.
  void QueueStarts(Step& step, std::uint64_t batch);
  // Sends queued starts up to the limit of starts in flight.
  void SendQueuedStarts();
  void SendStop(Run& run);
  void RequestStop(Run& run, const std::string& reason);
  // For a run that goes on although it should have been stopped.
  void StopAgain(Run& run);
  // The end of the longest lease to ask for now; also recorded as sent.
  contracts::WorkerClock LeaseEndFor(WorkerState& worker) const;
  void OnStart(const std::string& worker_id, const contracts::StartOrder& order,
               const contracts::OrderAnswer& answer);
  // Returns false if another incarnation of the worker answered than the known
  // one.
  bool OnOrderAnswer(WorkerState& worker, contracts::Incarnation incarnation,
                     MonotonicTime sent_at,
                     const contracts::OrderAnswer& answer);
  // Whether the clock of the known incarnation may have shown this time between
  // `sent_at` and now.
  bool MayShow(const WorkerState& worker, contracts::WorkerClock clock,
               MonotonicTime sent_at) const;
  void OnStartRefused(Run& run, const contracts::OrderAnswer& answer);
  void RepeatOrders(WorkerState& worker);
  // Ends or stops the runs that a leaving worker has not confirmed.
  void WithdrawUnconfirmedStarts(WorkerState& worker);

  // shard_workers.cc: reports of workers about their runs, and worker health.
  WorkerState& GetWorker(const std::string& id);
  Run* FindRun(WorkerState& worker, const contracts::TaskKey& key,
               std::uint32_t attempt);
  // Like FindRun, by a search in the worker's runs, which is faster while these
  // are few.
  static Run* FindRunOnWorker(WorkerState& worker,
                              const contracts::TaskKey& key,
                              std::uint32_t attempt);
  Task* FindTask(const contracts::TaskKey& key);
  void OnClock(WorkerState& worker, contracts::WorkerClock clock);
  // Asks for the worker's next report now, unless its last one was so large
  // that a pause follows.
  void HoldNow(const WorkerState& worker) const;
  void SetSilent(WorkerState& worker, const std::string& error);
  void OnRunningList(WorkerState& worker, const contracts::HoldAnswer& answer,
                     MonotonicTime sent_at);
  // Stops a run that the worker lists and this owner does not know.
  void StopUnknownRun(WorkerState& worker, const contracts::RunningTask& row,
                      const std::map<RunKey, UnknownRun>& known_before);
  // Whether the run, listed in an answer to a hold sent at `sent_at`, should
  // have ended before.
  bool IsLeftover(const Run& run, MonotonicTime sent_at) const;
  // Logs the runs that should have ended, at most once a second for a worker.
  void LogLeftoverRuns(WorkerState& worker, const std::vector<Run*>& leftover);
  // Logs that the hold was answered by another incarnation than the last one,
  // and which lease and acknowledgement it carried for that.
  void LogRestart(const WorkerState& worker, const contracts::HoldOrder& order,
                  const contracts::HoldAnswer& answer) const;
  // Logs why runs of the worker count as over, and what the owner knows of its
  // leases.
  void LogLostRuns(const WorkerState& worker, std::size_t runs,
                   const std::string& reason) const;
  // A task ended on a worker under an attempt that was given up.
  void OnUnknownEnd(const WorkerState& worker, const contracts::EndedTask& end);
  void LogUnknownEnd(const WorkerState& worker,
                     const contracts::EndedTask& end);
  void OnEndedList(WorkerState& worker, const contracts::HoldAnswer& answer);
  // Whether the next hold acknowledges ends. While a start has no answer the
  // worker may restart, carry it out and forget its end.
  bool MayAcknowledge(WorkerState& worker);
  // Whether a start is on its way or may still be carried out, of a run that is
  // not known to have begun.
  bool HasStartInDoubt(const WorkerState& worker) const;
  // Whether starts without an answer may be carried out once more, although
  // their runs have begun or ended.
  bool HasSpareStarts(const WorkerState& worker) const;
  // Whether no start may be sent to the worker, for the same reason.
  bool IsAcknowledging(const WorkerState& worker) const;
  // Whether an acknowledgement has waited for longer than `time` for the
  // answers to starts, and does so now.
  bool AcknowledgementWaits(const WorkerState& worker, Duration time) const;
  void OnAcknowledgement(WorkerState& worker, const contracts::HoldOrder& order,
                         const contracts::HoldAnswer& answer);
  void EndRun(Run& run, RunEnd end, const std::string& checkpoint);
  // Counts an attempt that has failed, unless it has been counted before.
  // Returns whether the job has failed with it.
  bool CountFailure(Task& task, std::uint32_t attempt,
                    const WorkerState& worker);
  // The next attempts of the gang avoid the worker, on which a member has
  // failed.
  void AvoidForGang(Step& step, const WorkerState& worker);
  // What is left to be done about starts of an ended run that may still be
  // carried out.
  void KeepSpareStarts(const Run& run, RunEnd end);
  // Logs the end of a run that did not finish. For one that counts as lost,
  // also what the owner knew of its start.
  void LogRunOver(const Run& run, RunEnd end) const;
  // Keeps the checkpoint of a task whose step makes some.
  void SetCheckpoint(Task& task, const std::string& checkpoint);
  void StopGang(Step& step, const std::string& reason);
  void RecordSuccess(WorkerState& worker);
  void RecordFailure(WorkerState& worker, const Task& task);
  void Quarantine(WorkerState& worker, const std::string& reason);
  void TickWorker(WorkerState& worker);
  void LogSummary();
  void StopStalled(WorkerState& worker);
  void Evacuate(WorkerState& worker);
  // The number of the step's tasks that are not known to be serving.
  std::uint32_t CountUnavailable(const Step& step) const;

  // shard_waits.cc: why standing tasks are not known to be served.
  // Empty when a worker in contact runs the task.
  std::optional<TaskWait> FindWait(const Task& task) const;
  struct WaitingTask {
    const Task* task = nullptr;
    TaskWait wait;
  };
  void AddWaits(const Step& step, std::vector<WaitingTask>& waits) const;
  // All standing tasks that wait, the longest waits first.
  std::vector<WaitingTask> FindStandingWaits() const;
  void LogStandingWaits();

  // shard_room.cc: what waits for room, and how the room is divided.
  // Waiting tasks of a queue that reserve processors; `milli_cpus` and
  // `memory_bytes` are sums over all of them, `largest` is the highest
  // processor request of one.
  struct QueueDemand {
    std::string pool;
    std::uint64_t tasks = 0;
    std::uint64_t milli_cpus = 0;
    std::uint64_t memory_bytes = 0;
    std::uint64_t largest = 0;
  };
  std::map<std::string, QueueDemand> WaitingDemand() const;
  // Processors that are not reserved on the workers that accept tasks: in all,
  // the most on one worker, and how many tasks of the demand's mean size fit.
  struct PoolRoom {
    std::uint64_t free_milli_cpus = 0;
    std::uint64_t largest = 0;
    std::uint64_t fits_by_cpu = 0;
    std::uint64_t fits = 0;
  };
  PoolRoom RoomFor(const QueueDemand& demand) const;
  void LogWaitingDemand() const;
  void LogDemand(const std::string& queue, const QueueDemand& demand) const;

  // shard_leases.cc: how long this owner may extend leases, and how long those
  // of its predecessors last.
  void OnWitnessAnswered(const WorkerState& worker, MonotonicTime sent_at);
  // Another incarnation answered an order to this one: it is over, and so are
  // its runs.
  void OnIncarnationReplaced(WorkerState& worker, MonotonicTime sent_at);
  void OnNodeAnswered(const WitnessCandidate& node, MonotonicTime asked_at);
  // Counts answers of nodes that came before the witnesses were restored.
  void RestoreNodeAnswers();
  // Confirms the owner by the witnesses: workers, and nodes if there are any.
  void ConfirmByWitnesses();
  void CheckFormerOwners();
  void OnFormerOwnersStopped(const std::string& reason);
  void Confirm(MonotonicTime at);
  static bool MayWitness(const WorkerState& worker);
  void ProposeWitnesses();
  void ProposeNodeWitnesses();
  void UpdateWitnesses();
  // How long leases on a worker that does not answer may still last, allowing
  // for the drift of its clock.
  Duration LeaseWait(const WorkerState& worker) const;
  // Whether the incarnation is so young that an order for an earlier one may
  // still be carried out, or the lease that it set may last.
  bool IsNewborn(contracts::Incarnation incarnation) const;
  // Whether an order for an earlier incarnation of the worker may have set the
  // leases of this one, which are then the longest that workers grant.
  bool MayHaveForeignLease(const WorkerState& worker,
                           contracts::Incarnation incarnation) const;
  // Those that a successor needs to know of have no such leases.
  std::map<std::string, contracts::Incarnation> FollowedIncarnations() const;
  bool NeedsToStoreIncarnations() const;
  bool RestoreIncarnations(const std::string& bytes);
  std::string TakeIncarnations();
  // A new incarnation has answered. Orders for the former one may have set its
  // lease, and may do so until it refuses them.
  void OnRestarted(WorkerState& worker);
  // From here on the worker refuses orders for former incarnations.
  void OnFenced(WorkerState& worker);
  // How long a run on a worker that does not answer may still last, or begin:
  // its start may be carried out by an incarnation that is not known yet.
  Duration RunWait(const Run& run) const;
  bool RestoreLeaseWaits(const std::string& bytes);
  // Since when the worker has not answered this owner; empty while it does.
  std::optional<MonotonicTime> UnansweredSince(const WorkerState& worker) const;
  // Whether the worker has runs and does not answer.
  bool IsLeaseWaitRecorded(const WorkerState& worker) const;
  // The longest RunWait of the worker's runs.
  Duration LongestWait(const WorkerState& worker) const;
  // Encodes the waits for these workers; from here on they get no leases.
  std::string TakeLeaseWaits();
  // Whether no stored record says how long leases on the worker last.
  bool MayGrantLease(const WorkerState& worker) const;
  // Records about leases: whether there are any to be stored, and their way
  // into a batch.
  bool HasLeaseRecords() const;
  void AddLeaseRecords(Batch& batch);
  void OnLeaseRecordsStored();
  // Whether the owner was confirmed recently enough to order starts.
  bool MayStart() const;
  // The time from which a lease is counted that is granted now.
  MonotonicTime LeaseStart() const;
  // Whether the owner needs answers of witnesses, because the store does not
  // confirm it.
  bool IsUnconfirmed() const;

  // shard_advice.cc: tickets for queues that require advice.
  static bool NeedsTicket(const Step& step);
  const std::string* FindTicket(const Step& step,
                                const WorkerState& worker) const;
  void AskAdvice();
  void OnAdvice(const contracts::AdviceCall& call,
                const contracts::AdviceAnswer& answer);

  // shard_pacing.cc: speed of fillers beside standing tasks.
  void UpdateLatencies(WorkerState& worker);
  void UpdateInterferenceModel(WorkerState& worker);
  void UpdateLatencyLevels(WorkerState& worker) const;
  // The highest expected level of a standing task of the worker, and the
  // highest slowdown by fillers, if a filler of `image` that uses `milli_cpus`
  // were added. Tasks that this filler hardly affects don't count for the
  // level.
  struct Forecast {
    double level = 0;
    double slowdown = 0;
  };
  Forecast Predict(WorkerState& worker, ImageId image,
                   std::uint64_t milli_cpus) const;
  // How much the worker's fillers at full speed raise log(latency / target) of
  // a standing task of `image`.
  double SlowdownOf(const WorkerState& worker, ImageId image) const;
  void PaceFillers(WorkerState& worker);
  std::vector<std::pair<Run*, double>> ComputeSpeeds(WorkerState& worker) const;
  void SetPace(Run& run, std::uint32_t percent);
  void SendPace(Run& run);
  void MovePausedFillers(WorkerState& worker);

  // shard_rebalance.cc: moves of standing tasks between workers.
  bool MayMove(const Run& run) const;
  // Whether some eligible worker has standing tasks that are clearly more
  // similar to this one, by InterferenceModel::Similarity.
  bool HasBetterWorker(const Run& run, double similarity) const;
  void Rebalance();

  ShardOptions options;
  ShardHooks hooks;
  ShardCounters counters;
  // The time of the call that is being handled.
  ShardTime now;
  std::map<std::string, QueuePolicy> queues;
  std::map<std::string, std::unique_ptr<Job>> jobs;
  std::map<std::string, std::unique_ptr<WorkerState>> workers;
  // By worker ID: by how much its token exceeds `options.token`. Kept for
  // workers that are forgotten, as they may come back.
  std::map<std::string, std::uint32_t> token_raises;
  // IDs of workers under maintenance, whether they are known or not.
  std::set<std::string> cordoned;
  std::map<ReadyKey, Step*> ready;
  // By queue: since when none of its steps, other than standing ones, has found
  // a worker.
  std::map<std::string, MonotonicTime> without_room_since;
  // By queue.
  std::map<std::string, QueueAdmission> admissions;
  // Demands for which no worker was found since `unplaceable_since`.
  struct UnplaceableDemand {
    ImageId image = 0;
    bool fills = false;
    bool standing = false;
    std::string required_label;
    std::string queue;
    contracts::Resources need;
  };
  std::vector<UnplaceableDemand> unplaceable;
  MonotonicTime unplaceable_since;
  // Jobs with changes that are in no batch yet, in the order of their first
  // change.
  std::vector<Job*> changed_jobs;
  // Keys of the records that the next batch deletes: of jobs that are no longer
  // known, and blocks that the other records of the batch no longer refer to.
  // The first are deleted before the other records are written, since a job of
  // the same ID may be among them; the second are deleted after that, since a
  // batch may be stored in part.
  std::vector<std::string> dropped_keys;
  std::vector<std::string> dropped_block_keys;
  // Blocks by job ID, between Restore and FinishRestore only.
  std::map<std::string, std::vector<proto::Block>> restored_blocks;
  // Cancelled IDs that no known job has, or had when it was cancelled.
  CancelledIds cancelled_ids;
  // Ended jobs that are still known, by the time of their end.
  std::deque<std::pair<std::int64_t, std::string>> ended_jobs;
  // Numbers of the last change made and of the last change stored.
  std::uint64_t changes = 0;
  std::uint64_t stored_changes = 0;
  // Starts to be sent, whose intents are stored, in the order of the intents.
  struct QueuedStart {
    std::string worker;
    contracts::TaskKey task;
    std::uint32_t attempt = 0;
  };
  std::deque<QueuedStart> queued_starts;
  std::size_t starts_in_flight = 0;
  // The last batch taken: its number, the last change that it covers, and its
  // jobs with their states.
  std::uint64_t batch_number = 0;
  std::uint64_t batch_changes = 0;
  MonotonicTime batch_taken_at;
  bool batch_has_records = false;
  std::vector<std::pair<std::string, JobState>> batch_jobs;
  // A time at which no later owner had written to the stream.
  MonotonicTime store_confirmed_at;
  // A time at which no later owner was known to the stream or to a majority of
  // the witnesses. Those know only of owners that use workers.
  MonotonicTime confirmed_at;
  LeaseWitnesses witnesses;
  bool store_witnesses = false;
  // Nodes of which a majority must confirm the owner too, but suffices for a
  // successor: it may have lost most workers together with the owner.
  LeaseWitnesses node_witnesses;
  bool store_node_witnesses = false;
  // Workers in the stored record of lease waits, and in the one that is being
  // stored.
  std::set<std::string> stored_lease_waits;
  std::optional<std::set<std::string>> storing_lease_waits;
  bool store_lease_waits = false;
  // By worker ID, the incarnations in the stored record or the one that is
  // being stored: see FollowedIncarnations.
  std::map<std::string, contracts::Incarnation> stored_incarnations;
  bool store_incarnations = false;
  // As a former owner stored them.
  std::map<std::string, contracts::Incarnation> restored_incarnations;
  // IDs whose worker has restarted, or was not registered for a while, under
  // this owner.
  std::set<std::string> restarted_ids;
  // By worker, the waits that a former owner stored.
  std::map<std::string, Duration> restored_lease_waits;
  // By name, the latest answer of each node.
  struct NodeAnswer {
    WitnessCandidate node;
    MonotonicTime asked_at;
  };
  std::map<std::string, NodeAnswer> node_answers;
  MonotonicTime witnesses_updated_at;
  InterferenceModel interference;
  MonotonicTime interference_stored_at;
  // Set while a starved job is placed: fillers then fit on any worker that has
  // the memory, whatever the slowdown of standing tasks.
  bool ignore_slowdown = false;
  MonotonicTime last_schedule_at;
  MonotonicTime last_rebalance_at;
  // Where the next search for misplaced tasks begins.
  std::size_t rebalance_offset = 0;
  // Processors of a pool, in thousandths of one.
  struct PoolUse {
    double reserved = 0;
    double total = 0;
  };
  std::map<std::string, PoolUse> pool_use;
  // The worker with which the next ranking begins.
  std::string rank_cursor;
  MonotonicTime restored_at;
  bool advice_in_flight = false;
  MonotonicTime advice_retry_at;
  bool schedule_requested = false;
  MonotonicTime registry_current_at;
  // Since when starts have waited for a current view of the registry.
  std::optional<MonotonicTime> registry_stale_since;
  bool restored = false;
  // Since when it is known that no predecessor extends leases any more.
  std::optional<MonotonicTime> former_owners_stopped_at;
  MonotonicTime last_summary_at;
  StandingWaits standing_waits;
};

// Number of consecutive tasks of a step whose progress is stored together when
// the job is divided.
inline constexpr std::uint32_t kTasksPerBlock = 64;
inline std::uint32_t BlockOf(const Task& task) {
  return task.index / kTasksPerBlock;
}

// The key that identifies the task in orders to workers.
contracts::TaskKey KeyOfTask(const Task& task);

RunKey KeyOfRun(const Run& run);

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERNAL_SHARD_IMPL_H_
