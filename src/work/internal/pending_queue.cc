#include "work/internal/pending_queue.h"

#include <utility>
#include <vector>

namespace carobmast::work {

void PendingQueue::Add(const std::string& task, const TaskSpec& spec,
                       contracts::Offset offset, MonotonicTime due) {
  Remove(task);
  entries_[task] = {
      .requirements = {static_cast<int>(spec.priority), spec.pool,
                       static_cast<int>(spec.kind), spec.resources.milli_cpus,
                       spec.resources.memory.bytes,
                       spec.resources.accelerators},
      .offset = offset,
      .due = due};
  not_due_.emplace(due, task);
}

void PendingQueue::Remove(const std::string& task) {
  const auto found = entries_.find(task);
  if (found == entries_.end()) return;
  const Entry& entry = found->second;
  if (entry.is_due) {
    const auto group = due_.find(entry.requirements);
    group->second.erase({entry.offset, task});
    if (group->second.empty()) due_.erase(group);
  } else {
    not_due_.erase({entry.due, task});
  }
  entries_.erase(found);
}

void PendingQueue::MakeDue(MonotonicTime now) {
  while (!not_due_.empty() && not_due_.begin()->first <= now) {
    const std::string task = not_due_.begin()->second;
    not_due_.erase(not_due_.begin());
    Entry& entry = entries_[task];
    entry.is_due = true;
    due_[entry.requirements].emplace(entry.offset, task);
  }
}

void PendingQueue::Offer(MonotonicTime now, std::size_t max,
                         const std::function<bool(const std::string&)>& offer) {
  MakeDue(now);
  std::vector<Requirements> groups;
  groups.reserve(due_.size());
  for (const auto& [requirements, group] : due_) groups.push_back(requirements);
  std::size_t placed = 0;
  for (const Requirements& requirements : groups) {
    while (placed < max && due_.contains(requirements)) {
      const std::string task = due_[requirements].begin()->second;
      if (!offer(task)) break;
      ++placed;
      Remove(task);
    }
  }
}

}  // namespace carobmast::work
