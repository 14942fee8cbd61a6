#include "measure/work_policies.h"

#include <deque>
#include <map>

#include "framework/base/error.h"
#include "placement/pending_queue.h"
#include "placement/placement.h"

namespace carobmast::measure {

using contracts::Resources;
using placement::Choice;
using placement::Placement;
using placement::PlacementOptions;
using placement::Remedy;
using placement::TaskEnd;
using placement::TaskRequest;

namespace {

using StartTask = std::function<void(const TaskRequest&, const Choice&)>;

constexpr std::size_t kOffersPerTick = 500;

// Free resources of each worker, in the order in which workers were added.
struct FirstFitState {
  struct Worker {
    std::string name;
    Resources free;
  };
  std::vector<Worker> workers;
  std::map<contracts::AttemptId, std::size_t> worker_indices;
  std::deque<TaskRequest> queue;

  // Returns whether the task was started.
  bool Start(const TaskRequest& request, const StartTask& start) {
    for (std::size_t i = 0; i < workers.size(); ++i) {
      Resources& free = workers[i].free;
      if (request.need.milli_cpus > free.milli_cpus ||
          request.need.memory > free.memory) {
        continue;
      }
      free.milli_cpus -= request.need.milli_cpus;
      free.memory.bytes -= request.need.memory.bytes;
      worker_indices[request.id] = i;
      start(request, {.worker = workers[i].name});
      return true;
    }
    return false;
  }

  void End(const TaskRequest& request) {
    const std::map<contracts::AttemptId, std::size_t>::iterator place =
        worker_indices.find(request.id);
    Resources& free = workers[place->second].free;
    free.milli_cpus += request.need.milli_cpus;
    free.memory.bytes += request.need.memory.bytes;
    worker_indices.erase(place);
  }
};

// The product's placement and queue, combined as the scheduler combines them.
struct LearnedPolicyState {
  explicit LearnedPolicyState(const PlacementOptions& options)
      : placement(options), queue({}) {}

  void Offer(MonotonicTime now, const StartTask& start) {
    queue.Offer(kOffersPerTick, now, [&](const TaskRequest& request) {
      const Choice choice = placement.Choose(request, now);
      if (choice.worker.empty()) return false;
      if (!placement.Commit(choice, request, now)) return false;
      start(request, choice);
      return true;
    });
  }

  void End(const TaskRequest& request, TaskEnd end, Duration run_time,
           MonotonicTime now) {
    placement.End(request.id, end, now);
    if (end != TaskEnd::kFinished) return;
    placement.Forget(request.id.task);
    queue.OnRunTime(request.type, run_time, true);
  }

  Placement placement;
  placement::PendingQueue queue;
};

PlacementOptions MakePlacementOptions(const std::string& name,
                                      const WorkWorkload& workload) {
  PlacementOptions options{.report_lag = workload.report_lag};
  if (name == "no-long-share") options.long_share = 1;
  return options;
}

}  // namespace

WorkPolicy ServicesOnlyPolicy() { return {.name = "services-alone"}; }

WorkPolicy FirstFitPolicy(const WorkWorkload& workload) {
  const std::shared_ptr<FirstFitState> state =
      std::make_shared<FirstFitState>();
  const Resources capacity = workload.worker;
  return {.name = "first-fit",
          .add_worker =
              [state, capacity](const placement::WorkerSpec& spec) {
                state->workers.push_back({.name = spec.name, .free = capacity});
              },
          .push = [state](const TaskRequest& request, Duration,
                          MonotonicTime) { state->queue.push_back(request); },
          .offer =
              [state](MonotonicTime, const StartTask& start) {
                // Round robin, so that instances of services don't share a
                // worker.
                std::size_t instance = 0;
                std::deque<TaskRequest> remaining;
                for (const TaskRequest& request : state->queue) {
                  if (request.kind == contracts::TaskKind::kService) {
                    const std::size_t place =
                        instance++ % state->workers.size();
                    FirstFitState::Worker& worker = state->workers[place];
                    worker.free.milli_cpus -= request.need.milli_cpus;
                    worker.free.memory.bytes -= request.need.memory.bytes;
                    start(request, {.worker = worker.name});
                  } else if (!state->Start(request, start)) {
                    remaining.push_back(request);
                  }
                }
                state->queue = std::move(remaining);
              },
          .end = [state](const TaskRequest& request, TaskEnd, Duration,
                         MonotonicTime) { state->End(request); }};
}

WorkPolicy PlacementPolicy(const std::string& name,
                           const WorkWorkload& workload) {
  if (name != "learned" && name != "no-remedies" && name != "no-guards" &&
      name != "no-long-share") {
    throw Error("measure", name, "unknown policy");
  }
  const std::shared_ptr<LearnedPolicyState> state =
      std::make_shared<LearnedPolicyState>(
          MakePlacementOptions(name, workload));
  state->placement.SetGuards("pool", workload.guards && name != "no-guards");
  const bool with_remedies = name != "no-remedies";
  return {
      .name = name,
      .add_worker =
          [state](const placement::WorkerSpec& spec) {
            state->placement.AddWorker(spec);
            state->placement.SetUsable(spec.name, true);
          },
      .push =
          [state](const TaskRequest& request, Duration declared,
                  MonotonicTime now) {
            state->queue.DeclareRunTime(request.type, declared);
            state->queue.Push(request, now);
          },
      .offer = [state](MonotonicTime now,
                       const StartTask& start) { state->Offer(now, start); },
      .end =
          [state](const TaskRequest& request, TaskEnd end, Duration run_time,
                  MonotonicTime now) {
            state->End(request, end, run_time, now);
          },
      .report =
          [state, with_remedies](const contracts::WorkerReport& report,
                                 MonotonicTime now) {
            std::vector<Remedy> remedies =
                state->placement.OnReport(report, now);
            if (!with_remedies) remedies.clear();
            return remedies;
          }};
}

}  // namespace carobmast::measure
