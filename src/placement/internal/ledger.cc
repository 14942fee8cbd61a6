#include "placement/internal/ledger.h"

#include <algorithm>

namespace carobmast::placement {

using contracts::Resources;

namespace {

std::uint64_t SaturatingSubtract(std::uint64_t a, std::uint64_t b) {
  return a > b ? a - b : 0;
}

void AdjustSum(std::uint64_t& count, std::uint64_t amount, bool added) {
  count = added ? count + amount : SaturatingSubtract(count, amount);
}

}  // namespace

NameId NameTable::Add(const std::string& name) {
  const std::pair<std::unordered_map<std::string, NameId>::iterator, bool>
      inserted = ids_.emplace(name, static_cast<NameId>(names_.size()));
  if (inserted.second) names_.push_back(name);
  return inserted.first->second;
}

NameId NameTable::Find(const std::string& name) const {
  const std::unordered_map<std::string, NameId>::const_iterator found =
      ids_.find(name);
  return found == ids_.end() ? kNoId : found->second;
}

bool Fits(const Resources& need, const Resources& available) {
  return need.milli_cpus <= available.milli_cpus &&
         need.memory <= available.memory &&
         need.accelerators <= available.accelerators;
}

Resources Sum(const Resources& a, const Resources& b) {
  return {.milli_cpus = a.milli_cpus + b.milli_cpus,
          .memory = {a.memory.bytes + b.memory.bytes},
          .accelerators = a.accelerators + b.accelerators};
}

Resources Difference(const Resources& a, const Resources& b) {
  return {.milli_cpus = SaturatingSubtract(a.milli_cpus, b.milli_cpus),
          .memory = {SaturatingSubtract(a.memory.bytes, b.memory.bytes)},
          .accelerators = static_cast<std::uint32_t>(
              SaturatingSubtract(a.accelerators, b.accelerators))};
}

PoolEntry& Ledger::AddPool(const std::string& name) {
  const NameId id = pool_names_.Add(name);
  if (id >= pools_.size()) pools_.resize(id + std::size_t{1});
  return pools_[id];
}

PoolEntry* Ledger::FindPool(const std::string& name) {
  const NameId id = pool_names_.Find(name);
  return id == kNoId ? nullptr : &pools_[id];
}

NameId Ledger::AddTeam(const std::string& name) {
  const NameId id = teams_.Add(name);
  if (id >= team_committed_.size()) team_committed_.resize(id + std::size_t{1});
  return id;
}

WorkerId Ledger::FindWorker(const std::string& name) const {
  const WorkerId id = worker_names_.Find(name);
  return id == kNoId || !workers_[id].registered ? kNoId : id;
}

void Ledger::AddWorker(const WorkerSpec& spec) {
  const WorkerId id = worker_names_.Add(spec.name);
  if (id >= workers_.size()) workers_.resize(id + std::size_t{1});
  if (workers_[id].registered) {
    Update(id, [&](WorkerEntry& worker) { worker.capacity = spec.capacity; });
    return;
  }
  AddPool(spec.pool);
  workers_[id] = {.name = spec.name,
                  .pool = pool_names_.Find(spec.pool),
                  .rack = domain_names_.Add(spec.zone + "/" + spec.rack),
                  .zone = domain_names_.Add(spec.zone),
                  .capacity = spec.capacity,
                  .registered = true};
  PoolEntry& pool = pools_[workers_[id].pool];
  pool.members.push_back(id);
  ++pool.workers;
  Index(id);
}

void Ledger::RemoveWorker(WorkerId id) {
  WorkerEntry& worker = workers_[id];
  while (!worker.tasks.empty()) {
    // A copy, because Remove erases the entry.
    const contracts::AttemptId task = worker.tasks.back()->id;
    Remove(task);
  }
  Unindex(id);
  PoolEntry& pool = pools_[worker.pool];
  std::erase(pool.members, id);
  --pool.workers;
  if (worker.quarantined) --pool.quarantined;
  worker = WorkerEntry{};
}

void Ledger::Update(WorkerId id,
                    const std::function<void(WorkerEntry&)>& change) {
  Unindex(id);
  WorkerEntry& worker = workers_[id];
  const bool was_quarantined = worker.quarantined;
  change(worker);
  PoolEntry& pool = pools_[worker.pool];
  if (worker.quarantined && !was_quarantined) ++pool.quarantined;
  if (!worker.quarantined && was_quarantined) --pool.quarantined;
  Index(id);
}

// Adds the worker's capacity to its pool, and the worker to the indexes if
// tasks may start there.
void Ledger::Index(WorkerId id) {
  WorkerEntry& worker = workers_[id];
  PoolEntry& pool = pools_[worker.pool];
  ++pool.worker_shapes[{worker.capacity.milli_cpus,
                        worker.capacity.memory.bytes,
                        worker.capacity.accelerators}];
  pool.capacity_cpus += worker.capacity.milli_cpus;
  worker.indexed = worker.usable && !worker.quarantined &&
                   (!worker.probation || worker.tasks.empty());
  if (!worker.indexed) return;
  const Resources free = worker.Free();
  pool.by_cpus.emplace(free.milli_cpus, id);
  pool.by_memory.emplace(free.memory.bytes, id);
  if (worker.capacity.accelerators > 0) {
    pool.by_accelerators.emplace(free.accelerators, id);
  }
}

void Ledger::Unindex(WorkerId id) {
  WorkerEntry& worker = workers_[id];
  PoolEntry& pool = pools_[worker.pool];
  const std::tuple<std::uint64_t, std::uint64_t, std::uint32_t> shape = {
      worker.capacity.milli_cpus, worker.capacity.memory.bytes,
      worker.capacity.accelerators};
  if (--pool.worker_shapes[shape] == 0) pool.worker_shapes.erase(shape);
  pool.capacity_cpus -= worker.capacity.milli_cpus;
  if (!worker.indexed) return;
  worker.indexed = false;
  const Resources free = worker.Free();
  pool.by_cpus.erase({free.milli_cpus, id});
  pool.by_memory.erase({free.memory.bytes, id});
  pool.by_accelerators.erase({free.accelerators, id});
}

TaskEntry* Ledger::Add(WorkerId worker_id, const TaskRequest& request,
                       MonotonicTime now) {
  const std::pair<std::map<contracts::AttemptId, TaskEntry>::iterator, bool>
      inserted = tasks_.emplace(request.id, TaskEntry{});
  if (!inserted.second) return nullptr;
  TaskEntry& task = inserted.first->second;
  task = {.id = request.id,
          .need = request.need,
          .started = now,
          .type = types_.Add(request.type),
          .team = AddTeam(request.team),
          .worker = worker_id,
          .kind = request.kind,
          .priority = request.priority,
          .checkpoints = request.checkpoints,
          .is_long = request.is_long};
  Update(worker_id, [&](WorkerEntry& worker) {
    worker.committed = Sum(worker.committed, task.need);
    worker.tasks.push_back(&task);
  });
  UpdateTotals(task, workers_[worker_id], true);
  return &task;
}

void Ledger::Remove(const contracts::AttemptId& id) {
  const std::map<contracts::AttemptId, TaskEntry>::iterator found =
      tasks_.find(id);
  if (found == tasks_.end()) return;
  TaskEntry& task = found->second;
  UpdateTotals(task, workers_[task.worker], false);
  Update(task.worker, [&](WorkerEntry& worker) {
    worker.committed = Difference(worker.committed, task.need);
    std::erase(worker.tasks, &task);
  });
  tasks_.erase(found);
}

void Ledger::UpdateTotals(const TaskEntry& task, const WorkerEntry& worker,
                          bool added) {
  Resources& committed = team_committed_[task.team];
  committed =
      added ? Sum(committed, task.need) : Difference(committed, task.need);
  if (task.type >= running_per_type_.size()) {
    running_per_type_.resize(task.type + std::size_t{1});
  }
  running_per_type_[task.type] += added ? 1 : -1;
  PoolEntry& pool = pools_[worker.pool];
  if (task.kind != contracts::TaskKind::kBatch) {
    AdjustSum(pool.service_cpus, task.need.milli_cpus, added);
  } else if (task.is_long) {
    AdjustSum(pool.long_cpus, task.need.milli_cpus, added);
  }
  // Only services are spread over racks and zones.
  if (task.kind != contracts::TaskKind::kService) return;
  for (const NameId domain : {worker.rack, worker.zone}) {
    const std::uint64_t key = TypeAndDomainKey(task.type, domain);
    std::uint32_t& count = instances_per_domain_[key];
    count += added ? 1 : -1;
    if (count == 0) instances_per_domain_.erase(key);
  }
}

TaskEntry* Ledger::FindTask(const contracts::AttemptId& id) {
  const std::map<contracts::AttemptId, TaskEntry>::iterator found =
      tasks_.find(id);
  return found == tasks_.end() ? nullptr : &found->second;
}

std::uint32_t Ledger::RunningCount(NameId type) const {
  return type < running_per_type_.size() ? running_per_type_[type] : 0;
}

std::uint32_t Ledger::CountInRack(NameId type, NameId rack) const {
  const std::unordered_map<std::uint64_t, std::uint32_t>::const_iterator found =
      instances_per_domain_.find(TypeAndDomainKey(type, rack));
  return found == instances_per_domain_.end() ? 0 : found->second;
}

std::uint32_t Ledger::CountInZone(NameId type, NameId zone) const {
  return CountInRack(type, zone);
}

}  // namespace carobmast::placement
