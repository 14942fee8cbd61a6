// Ledger of workers, tasks and committed resources, with indexes of workers by
// free capacity.
#ifndef CAROBMAST_PLACEMENT_INTERNAL_LEDGER_H_
#define CAROBMAST_PLACEMENT_INTERNAL_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "placement/types/placement_types.h"

namespace carobmast::placement {

using WorkerId = std::uint32_t;
using NameId = std::uint32_t;
inline constexpr std::uint32_t kNoId = ~std::uint32_t{0};

// Interns names as dense integers. Names are never removed.
class NameTable {
 public:
  NameId Add(const std::string& name);
  NameId Find(const std::string& name) const;
  const std::string& Name(NameId id) const { return names_[id]; }
  std::size_t size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, NameId> ids_;
  std::vector<std::string> names_;
};

// True when each resource needed is at most the one available.
bool Fits(const contracts::Resources& need,
          const contracts::Resources& available);
contracts::Resources Sum(const contracts::Resources& a,
                         const contracts::Resources& b);
// Saturates at zero.
contracts::Resources Difference(const contracts::Resources& a,
                                const contracts::Resources& b);

struct TaskEntry {
  contracts::AttemptId id;
  contracts::Resources need;
  MonotonicTime started;
  // Valid while `is_starved`: throttled below
  // PlacementOptions::starved_throttle.
  MonotonicTime starved_since;
  bool is_starved = false;
  NameId type = kNoId;
  NameId team = kNoId;
  WorkerId worker = kNoId;
  std::uint16_t throttle = 1000;
  contracts::TaskKind kind = contracts::TaskKind::kBatch;
  config::Priority priority = config::Priority::kNormal;
  bool checkpoints = false;
  bool is_long = false;
  // A move or a stop was requested, but has not ended yet.
  bool stopping = false;
};

struct WorkerEntry {
  std::string name;
  NameId pool = kNoId;
  NameId rack = kNoId;
  NameId zone = kNoId;
  contracts::Resources capacity;
  contracts::Resources committed;
  // In order of their start. Point into Ledger::tasks_.
  std::vector<TaskEntry*> tasks;
  bool registered = false;
  bool usable = false;
  bool quarantined = false;
  // Listed in the indexes of its pool: tasks may start there.
  bool indexed = false;
  // After a quarantine, until a task finishes: one task at a time.
  bool probation = false;

  contracts::Resources Free() const { return Difference(capacity, committed); }
};

struct PoolEntry {
  // Workers on which tasks may start, ordered by the free amount of a resource.
  using Index = std::set<std::pair<std::uint64_t, WorkerId>>;
  Index by_cpus;
  Index by_memory;
  Index by_accelerators;
  // Number of workers by capacity: milli-CPUs, bytes of memory, accelerators.
  std::map<std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>,
           std::uint32_t>
      worker_shapes;
  std::uint32_t workers = 0;
  std::uint32_t quarantined = 0;
  // In milli-CPUs: of all workers, and reserved by tasks that are not batch and
  // by long batch tasks.
  std::uint64_t capacity_cpus = 0;
  std::uint64_t service_cpus = 0;
  std::uint64_t long_cpus = 0;
  MonotonicTime last_short_task;
  bool has_seen_short_task = false;
  // When a task was last held with kNoFreeCapacity.
  MonotonicTime last_capacity_shortage;
  bool guards = false;
  std::vector<WorkerId> members;
  // Position in `members` of the round-robin scan.
  std::size_t cursor = 0;
};

class Ledger {
 public:
  void AddWorker(const WorkerSpec& spec);
  void RemoveWorker(WorkerId worker);
  // Applies `change` to a worker and updates the indexes of its pool. Flags,
  // capacity and tasks of a worker must be changed only through this.
  void Update(WorkerId worker, const std::function<void(WorkerEntry&)>& change);

  // Commits the resources of a task. Returns null when the attempt exists.
  TaskEntry* Add(WorkerId worker, const TaskRequest& request,
                 MonotonicTime now);
  void Remove(const contracts::AttemptId& id);

  WorkerId FindWorker(const std::string& name) const;
  TaskEntry* FindTask(const contracts::AttemptId& id);
  WorkerEntry& worker(WorkerId id) { return workers_[id]; }
  const WorkerEntry& worker(WorkerId id) const { return workers_[id]; }
  // Null when the pool doesn't exist.
  PoolEntry* FindPool(const std::string& name);
  PoolEntry& pool(NameId id) { return pools_[id]; }
  // Returns the pool, and creates it if it doesn't exist.
  PoolEntry& AddPool(const std::string& name);

  // Number of a service's instances in a rack or a zone.
  std::uint32_t CountInRack(NameId type, NameId rack) const;
  std::uint32_t CountInZone(NameId type, NameId zone) const;

  // Number of running tasks of a type.
  std::uint32_t RunningCount(NameId type) const;

  NameTable& types() { return types_; }
  const NameTable& types() const { return types_; }
  NameTable& teams() { return teams_; }
  const contracts::Resources& team_committed(NameId team) const {
    return team_committed_[team];
  }
  NameId AddTeam(const std::string& name);

 private:
  static std::uint64_t TypeAndDomainKey(NameId type, NameId domain) {
    return (std::uint64_t{type} << 32) | domain;
  }
  void Index(WorkerId worker);
  void Unindex(WorkerId worker);
  void UpdateTotals(const TaskEntry& task, const WorkerEntry& worker,
                    bool added);

  NameTable worker_names_;
  NameTable pool_names_;
  NameTable domain_names_;
  NameTable types_;
  NameTable teams_;
  std::vector<WorkerEntry> workers_;
  std::vector<PoolEntry> pools_;
  std::vector<contracts::Resources> team_committed_;
  std::vector<std::uint32_t> running_per_type_;
  // WorkerEntry::tasks points into it, so entries must keep their addresses.
  std::map<contracts::AttemptId, TaskEntry> tasks_;
  // By TypeAndDomainKey; racks and zones share the ids of domain_names_.
  std::unordered_map<std::uint64_t, std::uint32_t> instances_per_domain_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_INTERNAL_LEDGER_H_
