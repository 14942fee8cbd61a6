// The ledger of the workers that one scheduler owns: what each has, what is
// committed, and an index by free processors.
#ifndef CAROBMAST_WORK_WORKER_TABLE_H_
#define CAROBMAST_WORK_WORKER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "contracts/types/worker.h"

namespace carobmast::work {

// One owned worker.
struct OwnedWorker {
  std::string worker;
  std::string cell;
  std::string pool;
  contracts::Resources capacity;
  // Sum of all reservations. Exceeds `capacity` only if the worker reported
  // more than it has.
  contracts::Resources committed;
  std::map<contracts::AttemptId, contracts::Resources> reservations;
  // Fenced, reachable, not leaving: new tasks may start here.
  bool usable = false;

  contracts::Resources Free() const;
};

// Whether `need` fits into `free`.
bool Fits(const contracts::Resources& need, const contracts::Resources& free);

class WorkerTable {
 public:
  void Add(const std::string& worker, const std::string& cell,
           const std::string& pool);
  void Remove(const std::string& worker);
  void SetCapacity(const std::string& worker,
                   const contracts::Resources& capacity);
  void SetUsable(const std::string& worker, bool usable);

  // Commits room for an attempt; false when there is not enough.
  bool Reserve(const std::string& worker, const contracts::AttemptId& id,
               const contracts::Resources& need);
  // Records room that an attempt takes already, even beyond the capacity.
  void Adopt(const std::string& worker, const contracts::AttemptId& id,
             const contracts::Resources& taken);
  // Returns the room of an attempt; nothing when it has none here.
  void Release(const std::string& worker, const contracts::AttemptId& id);

  // Null when there is none.
  const OwnedWorker* Find(const std::string& worker) const;
  const std::map<std::string, OwnedWorker>& workers() const { return workers_; }
  // Usable workers of a pool by free thousandths of processors; null when there
  // are none.
  const std::set<std::pair<std::uint64_t, std::string>>* FreeIndex(
      const std::string& pool) const;

 private:
  template <typename Change>
  void Update(const std::string& worker, Change change);

  std::map<std::string, OwnedWorker> workers_;
  std::map<std::string, std::set<std::pair<std::uint64_t, std::string>>> index_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_WORKER_TABLE_H_
