#include "work/worker_table.h"

namespace carobmast::work {
namespace {

template <typename Number>
Number SaturatingSubtract(Number from, Number amount) {
  return from > amount ? from - amount : Number{0};
}

contracts::Resources Plus(const contracts::Resources& a,
                          const contracts::Resources& b) {
  return {.milli_cpus = a.milli_cpus + b.milli_cpus,
          .memory = {.bytes = a.memory.bytes + b.memory.bytes},
          .accelerators = a.accelerators + b.accelerators};
}

contracts::Resources Minus(const contracts::Resources& a,
                           const contracts::Resources& b) {
  return {
      .milli_cpus = SaturatingSubtract(a.milli_cpus, b.milli_cpus),
      .memory = {.bytes = SaturatingSubtract(a.memory.bytes, b.memory.bytes)},
      .accelerators = SaturatingSubtract(a.accelerators, b.accelerators)};
}

}  // namespace

bool Fits(const contracts::Resources& need, const contracts::Resources& free) {
  return need.milli_cpus <= free.milli_cpus && need.memory <= free.memory &&
         need.accelerators <= free.accelerators;
}

contracts::Resources OwnedWorker::Free() const {
  return Minus(capacity, committed);
}

template <typename Change>
void WorkerTable::Update(const std::string& worker, Change change) {
  const auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  OwnedWorker& entry = found->second;
  if (entry.usable) {
    index_[entry.pool].erase({entry.Free().milli_cpus, worker});
  }
  change(entry);
  if (entry.usable) {
    index_[entry.pool].emplace(entry.Free().milli_cpus, worker);
  }
}

void WorkerTable::Add(const std::string& worker, const std::string& cell,
                      const std::string& pool) {
  Remove(worker);
  workers_[worker] = {.worker = worker, .cell = cell, .pool = pool};
}

void WorkerTable::Remove(const std::string& worker) {
  SetUsable(worker, false);
  workers_.erase(worker);
}

void WorkerTable::SetCapacity(const std::string& worker,
                              const contracts::Resources& capacity) {
  Update(worker, [&](OwnedWorker& entry) { entry.capacity = capacity; });
}

void WorkerTable::SetUsable(const std::string& worker, bool usable) {
  Update(worker, [&](OwnedWorker& entry) { entry.usable = usable; });
}

bool WorkerTable::Reserve(const std::string& worker,
                          const contracts::AttemptId& id,
                          const contracts::Resources& need) {
  const OwnedWorker* entry = Find(worker);
  if (entry == nullptr || !Fits(need, entry->Free())) return false;
  Adopt(worker, id, need);
  return true;
}

void WorkerTable::Adopt(const std::string& worker,
                        const contracts::AttemptId& id,
                        const contracts::Resources& taken) {
  Release(worker, id);
  Update(worker, [&](OwnedWorker& entry) {
    entry.reservations[id] = taken;
    entry.committed = Plus(entry.committed, taken);
  });
}

void WorkerTable::Release(const std::string& worker,
                          const contracts::AttemptId& id) {
  Update(worker, [&](OwnedWorker& entry) {
    const auto found = entry.reservations.find(id);
    if (found == entry.reservations.end()) return;
    entry.committed = Minus(entry.committed, found->second);
    entry.reservations.erase(found);
  });
}

const OwnedWorker* WorkerTable::Find(const std::string& worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? nullptr : &found->second;
}

const std::set<std::pair<std::uint64_t, std::string>>* WorkerTable::FreeIndex(
    const std::string& pool) const {
  const auto found = index_.find(pool);
  return found == index_.end() ? nullptr : &found->second;
}

}  // namespace carobmast::work
