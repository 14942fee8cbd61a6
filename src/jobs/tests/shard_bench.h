// Test bench for ShardCore: an in-memory store, a registry and workers that are
// driven by the test.
#ifndef CAROBMAST_JOBS_TESTS_SHARD_BENCH_H_
#define CAROBMAST_JOBS_TESTS_SHARD_BENCH_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/shard_core.h"

namespace carobmast::jobs {

struct SentStart {
  std::string worker;
  contracts::StartOrder order;
};

struct SentStop {
  std::string worker;
  contracts::StopOrder order;
};

struct SentPace {
  std::string worker;
  contracts::PaceOrder order;
};

class ShardBench {
 public:
  explicit ShardBench(contracts::FencingToken token = 5) { StartOwner(token); }

  // From here on the queue requires advice.
  void EnableAdvice();
  // Replaces the configuration by one without the queue, or with it.
  void DropQueue() { core->SetConfig({.version = 2}, now); }
  void RestoreQueue();

  // Replaces the owner by a new one that is restored from the stored records.
  void TakeOver() { StartOwner(token_ + kTokenCount); }

  void AddWorker(const std::string& id, std::uint64_t milli_cpus = 4000,
                 const std::string& rack = "r1");
  // Sends a hold to the worker, which answers with these runs and ends.
  void AnswerHold(const std::string& worker,
                  std::vector<contracts::RunningTask> running = {},
                  std::vector<contracts::EndedTask> ended = {});
  // Like AnswerHold, with a list of ends that is cut off.
  void AnswerHoldWithMoreEnded(const std::string& worker,
                               std::vector<contracts::RunningTask> running,
                               std::vector<contracts::EndedTask> ended);
  // Nodes that know no later owner now.
  void AnswerFromNodes(const std::vector<std::string>& nodes,
                       std::int64_t incarnation = 1);
  // The entry of the worker describes this incarnation from here on. That which
  // answers is 1.
  void SetEntryIncarnation(const std::string& worker,
                           contracts::Incarnation incarnation);
  // Registers the worker with other labels.
  void SetLabels(const std::string& worker, std::vector<std::string> labels);
  // Registers the worker at another address.
  void MoveWorker(const std::string& worker);
  void Drain(const std::string& worker);
  // Sends a hold to the worker that gets no answer.
  void LoseHold(const std::string& worker) {
    FailHold(worker, contracts::OrderOutcome::kUnknown);
  }
  // Sends a hold to the worker; a later incarnation answers at its address.
  void AnswerHoldAsLaterIncarnation(const std::string& worker) {
    FailHold(worker, contracts::OrderOutcome::kOtherIncarnation);
  }
  SubmitAnswer Submit(const std::string& id, const JobSpec& spec) {
    return core->Submit(id, "queue", spec, now);
  }
  // Takes and stores batches until there are no changes left.
  void Store();
  // Takes a batch and stores its first `count` records only.
  void StorePart(std::size_t count);
  void AdvanceTime(std::chrono::milliseconds time);
  contracts::RunningTask RunningRow(const SentStart& start) const {
    return {.task = start.order.task, .attempt = start.order.attempt};
  }
  contracts::EndedTask EndedRow(
      std::uint64_t number, const SentStart& start,
      contracts::EndKind kind = contracts::EndKind::kFinished) const {
    return {.number = number,
            .task = start.order.task,
            .attempt = start.order.attempt,
            .kind = kind};
  }
  void ConfirmStart(const SentStart& start) {
    core->OnStart(start.worker, start.order,
                  {.outcome = contracts::OrderOutcome::kDone, .clock = Clock()},
                  now);
  }
  contracts::WorkerClock Clock() const {
    return std::chrono::duration_cast<contracts::WorkerClock>(
        now.steady.time_since_epoch());
  }
  // Adds worker "w", submits job "j" of one task and returns its start, which
  // is not confirmed yet.
  SentStart SubmitAndTakeStart();
  // Runs the only task of job "j" on worker "w".
  SentStart RunOneTask();
  // Adds the workers "v" and "x" and stores all workers and nodes that answer
  // as witnesses.
  void StoreWitnesses();
  std::vector<SentStart> TakeStarts() { return std::exchange(starts, {}); }

  ShardTime now{.steady = MonotonicTime(std::chrono::seconds(1000)),
                .wall = WallTime(std::chrono::seconds(1700000000))};
  // Option of owners that start from here on.
  std::size_t max_starts_in_flight = 1000;
  std::size_t max_batch_bytes = ShardOptions{}.max_batch_bytes;
  std::size_t max_undivided_bytes = ShardOptions{}.max_undivided_bytes;
  // Whether the former owners needed confirmations of nodes.
  bool former_owners_need_nodes = true;
  // The node of owners that start from here on, each another one when empty,
  // and how much longer tasks take outside the rack of their data.
  std::optional<Witness> own_node;
  double far_factor = 1;
  // Whether owners that start from here on have no configuration.
  bool config_unread = false;
  // Whether owners that start from here on have no predecessor.
  bool is_first_owner = false;
  // The incarnation of workers that answer.
  contracts::Incarnation born_ms = 1;
  // Whether the registry is not read while time passes.
  bool registry_unread = false;
  std::unique_ptr<ShardCore> core;
  std::map<std::string, std::string> stored;
  // The size of the largest record so far.
  std::size_t largest_record = 0;
  std::vector<SentStart> starts;
  std::vector<SentStop> stops;
  std::vector<SentPace> paces;
  // Workers that, as the owner was told, know a later one.
  std::vector<std::string> fenced;
  std::vector<contracts::AdviceCall> advice_calls;

 private:
  // Tokens of each owner.
  static constexpr std::uint32_t kTokenCount = 16;

  void StartOwner(contracts::FencingToken token);
  void OnHold(const std::string& worker, contracts::HoldAnswer answer);
  void FailHold(const std::string& worker, contracts::OrderOutcome outcome);
  void SetWorkers();
  void StoreRecord(const contracts::KeyedRecord& record);

  contracts::FencingToken token_ = 0;
  std::map<std::string, WorkerEntry> entries_;
};

// A job of one step with `count` tasks of one processor each.
JobSpec MakeJob(std::uint32_t count);
// The same with standing tasks.
JobSpec MakeStandingJob(std::uint32_t count);

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_TESTS_SHARD_BENCH_H_
