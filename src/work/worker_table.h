// The resources of the workers that one scheduler owns: capacity, reservations,
// and an index by free processors.
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

// A worker of an owned cell.
struct OwnedWorker {
  std::string worker;
  std::string cell;
  std::string pool;
  contracts::Resources capacity;
  // Sum of all reservations. Exceeds `capacity` only if the worker reported
  // running attempts that need more than it has.
  contracts::Resources committed;
  std::map<contracts::AttemptId, contracts::Resources> reservations;
  // Whether new tasks may start here: the worker is fenced, reachable and not
  // leaving.
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

  // Reserves resources for an attempt; returns false if not enough are free.
  bool Reserve(const std::string& worker, const contracts::AttemptId& id,
               const contracts::Resources& need);
  // Records the resources of an attempt that runs already, even beyond the
  // capacity.
  void Adopt(const std::string& worker, const contracts::AttemptId& id,
             const contracts::Resources& taken);
  // Releases the resources of an attempt, if it has a reservation here.
  void Release(const std::string& worker, const contracts::AttemptId& id);

  // Returns null if there is none.
  const OwnedWorker* Find(const std::string& worker) const;
  const std::map<std::string, OwnedWorker>& workers() const { return workers_; }
  // Usable workers of a pool, ordered by free thousandths of processors; null
  // if there are none.
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
