#include "shard_bench.h"

#include <algorithm>

namespace carobmast::jobs {

namespace {

constexpr std::uint64_t kMemory = std::uint64_t{1} << 30;

ClusterConfig MakeConfig() {
  return {.version = 1,
          .queues = {{.name = "queue",
                      .host = "host",
                      .prefix = "/p/",
                      .pool = "pool",
                      .max_attempts = 2}},
          .pools = {{.name = "pool"}}};
}

}  // namespace

JobSpec MakeJob(std::uint32_t count) {
  StepSpec step{.count = count,
                .need = {.milli_cpus = 1000, .memory = {1}},
                .estimate = std::chrono::milliseconds(500)};
  return {.text = "work", .steps = {step}};
}

JobSpec MakeStandingJob(std::uint32_t count) {
  JobSpec spec = MakeJob(count);
  spec.steps.front().standing = true;
  return spec;
}

void ShardBench::StartOwner(contracts::FencingToken token) {
  token_ = token;
  starts.clear();
  stops.clear();
  paces.clear();
  core = std::make_unique<ShardCore>(
      ShardOptions{.token = token,
                   .token_count = kTokenCount,
                   .node = own_node.value_or(
                       Witness{.id = "node-" + std::to_string(token)}),
                   .has_former_owners = !is_first_owner,
                   .former_owners_need_nodes = former_owners_need_nodes,
                   .longest_lease = std::chrono::milliseconds(10000),
                   .max_starts_in_flight = max_starts_in_flight,
                   .max_batch_bytes = max_batch_bytes,
                   .max_undivided_bytes = max_undivided_bytes,
                   .far_factor = far_factor},
      ShardHooks{
          .start =
              [this](const contracts::WorkerTarget& worker,
                     const contracts::StartOrder& order) {
                starts.push_back({worker.id, order});
              },
          .stop =
              [this](const contracts::WorkerTarget& worker,
                     const contracts::StopOrder& order) {
                stops.push_back({worker.id, order});
              },
          .pace =
              [this](const contracts::WorkerTarget& worker,
                     const contracts::PaceOrder& order) {
                paces.push_back({worker.id, order});
              },
          .advise =
              [this](const contracts::AdviceCall& call) {
                advice_calls.push_back(call);
              },
          .fenced =
              [this](const std::string& worker) { fenced.push_back(worker); },
          .changed = [] {},
          .hold_now = [](const std::string&) {},
          .decided = [](const std::string&,
                        const std::vector<telemetry::Field>&) {}});
  if (!config_unread) core->SetConfig(MakeConfig(), now);
  for (const auto& [key, value] : stored) {
    core->Restore({.key = key, .value = value});
  }
  core->FinishRestore(now);
  SetWorkers();
}

void ShardBench::SetWorkers() {
  std::vector<WorkerEntry> entries;
  entries.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) entries.push_back(entry);
  core->SetWorkers(entries, now.steady, now);
}

void ShardBench::EnableAdvice() {
  ClusterConfig config = MakeConfig();
  config.queues.front().advice = AdvicePolicy{};
  core->SetConfig(config, now);
}

void ShardBench::RestoreQueue() { core->SetConfig(MakeConfig(), now); }

void ShardBench::Drain(const std::string& worker) {
  entries_[worker].draining = true;
  SetWorkers();
}

void ShardBench::SetEntryIncarnation(const std::string& worker,
                                     contracts::Incarnation incarnation) {
  entries_[worker].incarnation = incarnation;
  SetWorkers();
}

void ShardBench::SetLabels(const std::string& worker,
                           std::vector<std::string> labels) {
  entries_[worker].labels = std::move(labels);
  SetWorkers();
}

void ShardBench::MoveWorker(const std::string& worker) {
  ++entries_[worker].address.port;
  SetWorkers();
}

void ShardBench::AddWorker(const std::string& id, std::uint64_t milli_cpus,
                           const std::string& rack) {
  entries_[id] = {.id = id,
                  .address = {.ip = "127.0.0.1", .port = 1},
                  .pool = "pool",
                  .zone = "z",
                  .rack = rack,
                  .labels = {"a", rack},
                  .capacity = {.milli_cpus = milli_cpus, .memory = {kMemory}}};
  SetWorkers();
}

void ShardBench::AnswerHold(const std::string& worker,
                            std::vector<contracts::RunningTask> running,
                            std::vector<contracts::EndedTask> ended) {
  OnHold(worker, {.running = std::move(running), .ended = std::move(ended)});
}

void ShardBench::AnswerHoldWithMoreEnded(
    const std::string& worker, std::vector<contracts::RunningTask> running,
    std::vector<contracts::EndedTask> ended) {
  OnHold(worker, {.running = std::move(running),
                  .ended = std::move(ended),
                  .more_ended = true});
}

void ShardBench::OnHold(const std::string& worker,
                        contracts::HoldAnswer answer) {
  const HoldPlan plan = core->PlanHold(worker, now);
  const MonotonicTime sent_at = now.steady;
  now.steady += std::chrono::milliseconds(1);
  answer.outcome = contracts::OrderOutcome::kDone;
  answer.clock = Clock();
  answer.born_ms = born_ms;
  core->OnHold(worker, plan.order, answer, sent_at, now);
}

void ShardBench::AnswerFromNodes(const std::vector<std::string>& nodes,
                                 std::int64_t incarnation) {
  now.steady += std::chrono::milliseconds(1);
  for (const std::string& node : nodes) {
    core->OnNodeAnswered(
        {.witness = {.id = node, .incarnation = incarnation}, .zone = "z"},
        now.steady, now);
  }
}

void ShardBench::FailHold(const std::string& worker,
                          contracts::OrderOutcome outcome) {
  const HoldPlan plan = core->PlanHold(worker, now);
  core->OnHold(worker, plan.order, {.outcome = outcome}, now.steady, now);
}

void ShardBench::Store() {
  while (core->HasChanges()) {
    const Batch batch = core->TakeBatch(now);
    for (const contracts::KeyedRecord& record : batch.records) {
      StoreRecord(record);
    }
    core->OnStored(batch.number, now);
  }
}

void ShardBench::StorePart(std::size_t count) {
  const Batch batch = core->TakeBatch(now);
  for (std::size_t i = 0; i < std::min(count, batch.records.size()); ++i) {
    StoreRecord(batch.records[i]);
  }
}

void ShardBench::StoreRecord(const contracts::KeyedRecord& record) {
  if (!record.value.has_value()) {
    stored.erase(record.key);
    return;
  }
  stored[record.key] = *record.value;
  largest_record = std::max(largest_record, record.value->size());
}

SentStart ShardBench::SubmitAndTakeStart() {
  AddWorker("w");
  AnswerHold("w");
  Submit("j", MakeJob(1));
  Store();
  return TakeStarts().at(0);
}

SentStart ShardBench::RunOneTask() {
  SentStart start = SubmitAndTakeStart();
  now.steady += std::chrono::milliseconds(1);
  ConfirmStart(start);
  now.steady += std::chrono::milliseconds(1);
  return start;
}

void ShardBench::StoreWitnesses() {
  for (const char* worker : {"v", "x"}) {
    AddWorker(worker);
    AnswerHold(worker);
  }
  core->OnFormerOwnersStopped(now);
  AdvanceTime(std::chrono::milliseconds(1100));
  Store();
}

void ShardBench::AdvanceTime(std::chrono::milliseconds time) {
  constexpr std::chrono::milliseconds kStep{50};
  for (std::chrono::milliseconds passed{0}; passed < time; passed += kStep) {
    now.steady += kStep;
    now.wall += kStep;
    if (!registry_unread) SetWorkers();
    core->Tick(now);
  }
}

}  // namespace carobmast::jobs
