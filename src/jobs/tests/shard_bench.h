// A shard's core with a store and workers that do what a test says.
#ifndef CAROBMAST_JOBS_TESTS_SHARD_BENCH_H_
#define CAROBMAST_JOBS_TESTS_SHARD_BENCH_H_

#include <map>
#include <memory>
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
  explicit ShardBench(contracts::FencingToken token = 5) { Begin(token); }

  // From here on the queue asks for advice.
  void AskForAdvice();

  // A new owner takes over from what is stored.
  void TakeOver() { Begin(token_ + 1); }

  void AddWorker(const std::string& id, std::uint64_t milli_cpus = 4000,
                 const std::string& rack = "r1");
  void Contact(const std::string& worker,
               std::vector<contracts::RunningTask> running = {},
               std::vector<contracts::EndedTask> ended = {});
  void Drain(const std::string& worker);
  // The hold of the worker gets no answer.
  void Silence(const std::string& worker);
  SubmitAnswer Submit(const std::string& id, const JobSpec& spec) {
    return core->Submit(id, "queue", spec, now);
  }
  // Takes batches and stores them until nothing is left.
  void Store();
  void Pass(std::chrono::milliseconds time);
  contracts::RunningTask Running(const SentStart& start) const {
    return {.task = start.order.task, .attempt = start.order.attempt};
  }
  contracts::EndedTask Ended(
      std::uint64_t number, const SentStart& start,
      contracts::EndKind kind = contracts::EndKind::kFinished) const {
    return {.number = number,
            .task = start.order.task,
            .attempt = start.order.attempt,
            .kind = kind};
  }
  void Confirm(const SentStart& start) {
    core->OnStart(start.worker, start.order,
                  {.outcome = contracts::OrderOutcome::kDone, .clock = Clock()},
                  now);
  }
  contracts::WorkerClock Clock() const {
    return std::chrono::duration_cast<contracts::WorkerClock>(
        now.steady.time_since_epoch());
  }
  // Sends the only task of job "j" to the only worker, "w".
  SentStart SendOne();
  std::vector<SentStart> TakeStarts() { return std::exchange(starts, {}); }

  ShardTime now{.steady = MonotonicTime(std::chrono::seconds(1000)),
                .wall = WallTime(std::chrono::seconds(1700000000))};
  // Of owners that begin from here on.
  std::size_t max_starts_in_flight = 1000;
  // The registry is not read while time passes.
  bool registry_silent = false;
  std::unique_ptr<ShardCore> core;
  std::map<std::string, std::string> stored;
  std::vector<SentStart> starts;
  std::vector<SentStop> stops;
  std::vector<SentPace> paces;
  std::vector<contracts::AdviceCall> advice_calls;

 private:
  void Begin(contracts::FencingToken token);
  void SetWorkers();

  contracts::FencingToken token_ = 0;
  std::map<std::string, WorkerEntry> entries_;
};

// One step of `count` tasks of a processor each.
JobSpec MakeJob(std::uint32_t count);

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_TESTS_SHARD_BENCH_H_
