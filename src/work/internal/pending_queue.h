// Tasks that no cell holds, grouped by requirements: if one task can't be
// placed, the others of its group can't either.
#ifndef CAROBMAST_WORK_INTERNAL_PENDING_QUEUE_H_
#define CAROBMAST_WORK_INTERNAL_PENDING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "contracts/types/log_record.h"
#include "framework/base/time.h"
#include "work/types/task_spec.h"

namespace carobmast::work {

class PendingQueue {
 public:
  // Adds a task, or changes when it is due. Tasks of the same requirements are
  // offered in the order of `offset`.
  void Add(const std::string& task, const TaskSpec& spec,
           contracts::Offset offset, MonotonicTime due);
  void Remove(const std::string& task);
  bool Contains(const std::string& task) const {
    return entries_.contains(task);
  }
  std::size_t size() const { return entries_.size(); }

  // Offers due tasks by descending priority. `offer` returns whether the task
  // was placed; a placed task is removed. After a refusal, the remaining tasks
  // of the same requirements are skipped. Places at most `max` tasks.
  void Offer(MonotonicTime now, std::size_t max,
             const std::function<bool(const std::string&)>& offer);

 private:
  // Priority, pool, kind, processors, memory, accelerators.
  using Requirements = std::tuple<int, std::string, int, std::uint64_t,
                                  std::uint64_t, std::uint32_t>;
  struct Entry {
    Requirements requirements;
    contracts::Offset offset = 0;
    MonotonicTime due;
    bool is_due = false;
  };

  void MakeDue(MonotonicTime now);

  std::map<std::string, Entry> entries_;
  std::set<std::pair<MonotonicTime, std::string>> not_due_;
  std::map<Requirements, std::set<std::pair<contracts::Offset, std::string>>>
      due_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_PENDING_QUEUE_H_
