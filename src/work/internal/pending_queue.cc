#include "work/internal/pending_queue.h"

#include <utility>
#include <vector>

namespace carobmast::work {

void PendingQueue::Add(const std::string& task, const TaskSpec& spec,
                       contracts::Offset offset, MonotonicTime due) {
  Remove(task);
  places_[task] = {
      .shape = {static_cast<int>(spec.priority), spec.pool,
                static_cast<int>(spec.kind), spec.resources.milli_cpus,
                spec.resources.memory.bytes, spec.resources.accelerators},
      .offset = offset,
      .due = due};
  later_.emplace(due, task);
}

void PendingQueue::Remove(const std::string& task) {
  const auto found = places_.find(task);
  if (found == places_.end()) return;
  const Place& place = found->second;
  if (place.is_due) {
    const auto group = due_.find(place.shape);
    group->second.erase({place.offset, task});
    if (group->second.empty()) due_.erase(group);
  } else {
    later_.erase({place.due, task});
  }
  places_.erase(found);
}

void PendingQueue::MakeDue(MonotonicTime now) {
  while (!later_.empty() && later_.begin()->first <= now) {
    const std::string task = later_.begin()->second;
    later_.erase(later_.begin());
    Place& place = places_[task];
    place.is_due = true;
    due_[place.shape].emplace(place.offset, task);
  }
}

void PendingQueue::Offer(MonotonicTime now, std::size_t max,
                         const std::function<bool(const std::string&)>& offer) {
  MakeDue(now);
  std::vector<Shape> shapes;
  shapes.reserve(due_.size());
  for (const auto& [shape, group] : due_) shapes.push_back(shape);
  std::size_t placed = 0;
  for (const Shape& shape : shapes) {
    while (placed < max && due_.contains(shape)) {
      const std::string task = due_[shape].begin()->second;
      if (!offer(task)) break;
      ++placed;
      Remove(task);
    }
  }
}

}  // namespace carobmast::work
