#include "requests/request_queue.h"

namespace carobmast::requests {

namespace {

// For each step of lower priority a request is queued as if it had arrived this
// much later. So requests of low priority do not starve.
constexpr Duration kPriorityStep = std::chrono::milliseconds(100);

MonotonicTime EffectiveArrival(config::Priority priority,
                               MonotonicTime arrived) {
  return arrived + kPriorityStep * static_cast<int>(priority);
}

}  // namespace

RequestQueue::Place RequestQueue::Push(RequestId id, std::size_t size_class,
                                       config::Priority priority,
                                       MonotonicTime arrived) {
  const Place place{.size_class = size_class,
                    .effective_arrival = EffectiveArrival(priority, arrived)};
  queues_[size_class].insert({place.effective_arrival, id});
  return place;
}

void RequestQueue::Remove(RequestId id, const Place& place) {
  queues_[place.size_class].erase({place.effective_arrival, id});
}

std::optional<RequestId> RequestQueue::Front(
    const std::function<bool(std::size_t size_class)>& may_run) const {
  const std::pair<MonotonicTime, RequestId>* first = nullptr;
  for (std::size_t i = 0; i < queues_.size(); ++i) {
    if (queues_[i].empty() || !may_run(i)) continue;
    const std::pair<MonotonicTime, RequestId>& front = *queues_[i].begin();
    if (first == nullptr || front < *first) first = &front;
  }
  if (first == nullptr) return std::nullopt;
  return first->second;
}

std::size_t RequestQueue::size() const {
  std::size_t total = 0;
  for (const auto& queue : queues_) total += queue.size();
  return total;
}

std::size_t RequestQueue::CountAhead(config::Priority priority,
                                     MonotonicTime now) const {
  // This is cheap: the core bounds the total length of the queues.
  const std::pair<MonotonicTime, RequestId> place{
      EffectiveArrival(priority, now), 0};
  std::size_t ahead = 0;
  for (const auto& queue : queues_) {
    if (queue.empty() || place < *queue.begin()) continue;
    if (*queue.rbegin() < place) {
      ahead += queue.size();
    } else {
      ahead += static_cast<std::size_t>(
          std::distance(queue.begin(), queue.lower_bound(place)));
    }
  }
  return ahead;
}

}  // namespace carobmast::requests
