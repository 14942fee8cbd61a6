// What waits for room in each pool, and how that room is divided among workers.
#include <algorithm>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

// Maximum number of log lines about queues in one summary.
constexpr std::size_t kMaxRoomLines = 16;

}  // namespace

std::map<std::string, ShardCore::Impl::QueueDemand>
ShardCore::Impl::WaitingDemand() const {
  std::map<std::string, QueueDemand> demand_by_queue;
  for (const auto& [key, step] : ready) {
    const StepSpec& spec = *step->spec;
    if (spec.fills || spec.standing) continue;
    const auto waiting = static_cast<std::uint64_t>(std::count_if(
        step->tasks.begin(), step->tasks.end(),
        [](const Task& task) { return !task.finished && task.runs.empty(); }));
    if (waiting == 0) continue;
    const Job& job = *step->occurrence->job;
    QueueDemand& demand = demand_by_queue[job.queue];
    demand.pool = job.policy.pool;
    demand.tasks += waiting;
    demand.milli_cpus += waiting * spec.need.milli_cpus;
    demand.memory_bytes += waiting * spec.need.memory.bytes;
    demand.largest = std::max(demand.largest, spec.need.milli_cpus);
  }
  return demand_by_queue;
}

ShardCore::Impl::PoolRoom ShardCore::Impl::RoomFor(
    const QueueDemand& demand) const {
  const std::uint64_t cpus =
      std::max<std::uint64_t>(1, demand.milli_cpus / demand.tasks);
  const std::uint64_t bytes =
      std::max<std::uint64_t>(1, demand.memory_bytes / demand.tasks);
  PoolRoom room;
  for (const auto& [id, worker] : workers) {
    if (worker->entry.pool != demand.pool || !AcceptsTasks(*worker)) continue;
    const contracts::Resources& total = worker->entry.capacity;
    const contracts::Resources& used = worker->used;
    if (used.milli_cpus >= total.milli_cpus) continue;
    const std::uint64_t free = total.milli_cpus - used.milli_cpus;
    const std::uint64_t free_bytes =
        total.memory.bytes - std::min(used.memory.bytes, total.memory.bytes);
    room.free_milli_cpus += free;
    room.largest = std::max(room.largest, free);
    room.fits_by_cpu += free / cpus;
    room.fits += std::min(free / cpus, free_bytes / bytes);
  }
  return room;
}

void ShardCore::Impl::LogWaitingDemand() const {
  std::size_t lines = 0;
  for (const auto& entry : WaitingDemand()) {
    if (++lines > kMaxRoomLines) return;
    LogDemand(entry.first, entry.second);
  }
}

void ShardCore::Impl::LogDemand(const std::string& queue,
                                const QueueDemand& demand) const {
  const PoolRoom room = RoomFor(demand);
  const std::uint64_t mean = demand.milli_cpus / demand.tasks;
  const std::uint64_t fits_undivided =
      room.free_milli_cpus / std::max<std::uint64_t>(1, mean);
  hooks.decided("room", {{"queue", queue},
                         {"waiting", demand.tasks},
                         {"mean_need", mean},
                         {"largest_need", demand.largest},
                         {"free", room.free_milli_cpus},
                         {"largest_free", room.largest},
                         {"fits", room.fits},
                         {"fits_by_cpu", room.fits_by_cpu},
                         {"fits_undivided", fits_undivided},
                         {"without_room",
                          TimeWithoutRoom(queue).value_or(Duration::zero())}});
}

}  // namespace carobmast::jobs
