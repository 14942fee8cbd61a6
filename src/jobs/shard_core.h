// The owner of a shard of jobs: keeps their state, chooses workers, orders
// starts and stops, and follows what runs to its end. Sans-I/O and
// single-threaded.
//
// The caller stores what TakeBatch returns, in order, and reports it with
// OnStored; orders that depend on a stored intent go out from there.
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

  // Recovery: each newest record of the shard's stream, in any order, then once
  // FinishRestore. Throws Error when a record can't be decoded.
  void Restore(const contracts::KeyedRecord& record);
  void FinishRestore(ShardTime now);
  // No earlier owner orders anything any more: leases that this owner did not
  // give are over after the longest lease.
  void OnFormerOwnersStopped(ShardTime now);

  // Configuration and registry, each as a whole. `entries` hold all that was
  // registered before `current_at`.
  void SetConfig(const ClusterConfig& config, ShardTime now);
  void SetWorkers(const std::vector<WorkerEntry>& entries,
                  MonotonicTime current_at, ShardTime now);
  // Starts go by ShardOptions::max_registry_age; here it changes.
  void SetMaxRegistryAge(std::chrono::milliseconds age, ShardTime now);
  // These workers get nothing new and are emptied, for their maintenance.
  void SetCordoned(const std::set<std::string>& ids, ShardTime now);
  // Nothing runs there, as far as is known.
  bool IsEmpty(const std::string& worker) const;

  // Callers. A change takes effect for the caller once it is stored: once
  // stored_changes() has reached the number in the answer.
  SubmitAnswer Submit(const std::string& id, const std::string& queue,
                      const JobSpec& spec, ShardTime now);
  CancelAnswer Cancel(const std::string& id, ShardTime now);
  // The stored state; empty when there is no such job.
  std::optional<JobState> StoredState(const std::string& id) const;
  // Takes back a job that no batch holds yet; false when it is too late.
  bool Withdraw(const std::string& id);
  // Accepted jobs of which no task was started, by queue.
  std::map<std::string, std::uint32_t> PendingCounts() const;

  // Store. While a batch is out no other is taken.
  bool HasChanges() const;
  std::uint64_t stored_changes() const;
  Batch TakeBatch(ShardTime now);
  void OnStored(std::uint64_t batch, ShardTime now);

  // Workers.
  std::vector<std::string> WorkersToHold() const;
  // Empty when the worker is unknown.
  std::optional<contracts::WorkerTarget> Target(
      const std::string& worker) const;
  // The next hold of a worker; `pause` is how long to wait before it.
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

  // Repeats orders, ends runs whose lease is over, begins due occurrences.
  // To be called every few tens of milliseconds.
  void Tick(ShardTime now);

  const ShardCounters& counters() const;
  // Jobs that are not over.
  std::size_t open_jobs() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_SHARD_CORE_H_
