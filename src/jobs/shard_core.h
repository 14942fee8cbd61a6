// The state machine of a shard's owner: keeps the state of its jobs, assigns
// tasks to workers, orders starts, stops and paces, and tracks each run to its
// end. It does no I/O and has no threads: all calls must come from one thread.
//
// The caller stores the batches that TakeBatch returns, in order, and reports
// each with OnStored. A start is ordered only after its intent is stored.
#ifndef CAROBMAST_JOBS_SHARD_CORE_H_
#define CAROBMAST_JOBS_SHARD_CORE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "contracts/keyed_log.h"
#include "contracts/task_workers.h"
#include "jobs/types/job.h"
#include "jobs/types/shard_types.h"

namespace carobmast::jobs {

class ShardCore {
 public:
  ShardCore(ShardOptions options, ShardHooks hooks);
  ~ShardCore();
  ShardCore(const ShardCore&) = delete;
  ShardCore& operator=(const ShardCore&) = delete;

  // Recovery. Restore takes the newest record of each key of the shard's
  // stream, in any order; FinishRestore follows once. Restore throws Error when
  // a record can't be decoded.
  void Restore(const contracts::KeyedRecord& record);
  void FinishRestore(ShardTime now);
  // Tells that no former owner sends orders any more. Leases that this owner
  // did not grant then expire after ShardOptions::max_lease at the latest.
  void OnFormerOwnersStopped(ShardTime now);

  // A node of which no later owner was known at `asked_at` or after it. May be
  // called before the shard is restored.
  void OnNodeAnswered(const WitnessCandidate& node, MonotonicTime asked_at,
                      ShardTime now);

  // Each call replaces the whole configuration or list of workers. `entries`
  // must contain every registration made before `current_at`.
  void SetConfig(const ClusterConfig& config, ShardTime now);
  void SetWorkers(const std::vector<WorkerEntry>& entries,
                  MonotonicTime current_at, ShardTime now);
  // Changes ShardOptions::max_registry_age.
  void SetMaxRegistryAge(std::chrono::milliseconds age, ShardTime now);
  // Replaces the set of workers under maintenance. They get no new tasks and
  // are evacuated.
  void SetCordoned(const std::set<std::string>& ids, ShardTime now);
  // Whether the worker has no runs that this owner knows of.
  bool IsEmpty(const std::string& worker) const;

  // Requests of callers. A request may be confirmed to its caller only once
  // stored_changes() has reached the `change` of the answer.
  SubmitAnswer Submit(const std::string& id, const std::string& queue,
                      const JobSpec& spec, ShardTime now);
  // A job of an unknown ID is cancelled before it is submitted: it will not
  // run.
  CancelAnswer Cancel(const std::string& id, ShardTime now);
  // The state of the job as stored; empty when there is no such job.
  std::optional<JobState> StoredState(const std::string& id) const;
  // Whether no later owner existed so recently that a job which this one does
  // not know may be said not to exist.
  bool MayDenyJobs(ShardTime now) const;
  // Gives up one submission of a job. Removes the job when it is in no batch
  // yet and no other submission waits for it; only then returns true. A
  // cancellation of the job stays in force.
  bool Withdraw(const std::string& id);
  // The number of accepted jobs, by queue, of which no task has started.
  std::map<std::string, std::uint32_t> PendingCounts() const;

  // Storage. The caller must not take another batch before OnStored of the
  // last.
  bool HasChanges() const;
  std::uint64_t stored_changes() const;
  Batch TakeBatch(ShardTime now);
  void OnStored(std::uint64_t batch, ShardTime now);

  // Orders to workers and their answers. Each order that the hooks pass on must
  // be answered by exactly one call, OrderOutcome::kUnknown on a timeout.
  std::vector<std::string> WorkersToHold() const;
  // The address of the worker; empty when it is unknown or needs no hold.
  std::optional<contracts::WorkerTarget> Target(
      const std::string& worker) const;
  // Plans the next hold of a worker; `pause` is the time to wait before sending
  // it.
  HoldPlan PlanHold(const std::string& worker, ShardTime now);
  void OnHold(const std::string& worker, const contracts::HoldOrder& order,
              const contracts::HoldAnswer& answer, MonotonicTime sent_at,
              ShardTime now);
  void OnStart(const std::string& worker, const contracts::StartOrder& order,
               const contracts::OrderAnswer& answer, ShardTime now);
  void OnStop(const std::string& worker, const contracts::StopOrder& order,
              const contracts::OrderAnswer& answer, ShardTime now);
  void OnPace(const std::string& worker, const contracts::PaceOrder& order,
              const contracts::OrderAnswer& answer, ShardTime now);

  void OnAdvice(const contracts::AdviceCall& call,
                const contracts::AdviceAnswer& answer, ShardTime now);

  // Repeats unanswered orders, ends runs whose lease has expired and begins due
  // occurrences. Must be called every few tens of milliseconds.
  void Tick(ShardTime now);

  const ShardCounters& counters() const;
  const StandingWaits& standing_waits() const;
  // The number of jobs that have not ended.
  std::size_t open_jobs() const;
  // The number of runs that workers listed last although they should have been
  // stopped before, or although this owner does not know them.
  std::size_t leftover_runs() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_SHARD_CORE_H_
