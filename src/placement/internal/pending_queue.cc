#include "placement/pending_queue.h"

#include <algorithm>

namespace carobmast::placement {

namespace {

std::string LaneKey(const TaskRequest& request) {
  return request.type + "/" +
         std::to_string(static_cast<int>(request.priority));
}

}  // namespace

PendingQueue::PendingQueue(PendingQueueOptions options) : options_(options) {}

void PendingQueue::Push(TaskRequest request, MonotonicTime now) {
  const std::string lane = LaneKey(request);
  lanes_[lane].push_back({.request = std::move(request), .since = now});
  ++size_;
}

std::map<PendingQueue::Rank, std::string> PendingQueue::RankLanes(
    MonotonicTime now) const {
  std::map<Rank, std::string> ranks;
  for (const std::pair<const std::string, std::deque<WaitingTask>>& lane :
       lanes_) {
    const WaitingTask& first = lane.second.front();
    const std::int64_t priority_steps =
        (now - first.since) / options_.aging_interval;
    const int priority = static_cast<int>(std::max<std::int64_t>(
        0, static_cast<int>(first.request.priority) - priority_steps));
    const std::map<std::string, std::uint64_t>::const_iterator last_start =
        last_starts_.find(lane.first);
    ranks.emplace(
        Rank{.priority = priority,
             .is_long = IsLong(first.request.type),
             .last_start =
                 last_start == last_starts_.end() ? 0 : last_start->second,
             .lane_key = lane.first},
        lane.first);
  }
  return ranks;
}

void PendingQueue::Offer(std::size_t max_offers, MonotonicTime now,
                         const std::function<bool(const TaskRequest&)>& start) {
  std::map<Rank, std::string> ranks = RankLanes(now);
  while (!ranks.empty() && max_offers > 0) {
    --max_offers;
    const std::map<Rank, std::string>::iterator first = ranks.begin();
    Rank rank = first->first;
    const std::string lane = first->second;
    ranks.erase(first);
    std::deque<WaitingTask>& queue = lanes_[lane];
    queue.front().request.is_long = rank.is_long;
    if (!start(queue.front().request)) continue;
    queue.pop_front();
    --size_;
    rank.last_start = ++start_count_;
    if (queue.empty()) {
      lanes_.erase(lane);
      last_starts_.erase(lane);
      continue;
    }
    last_starts_[lane] = rank.last_start;
    ranks.emplace(std::move(rank), lane);
  }
}

bool PendingQueue::Cancel(const std::string& type, const std::string& task) {
  for (int priority = 0; priority <= static_cast<int>(config::Priority::kLow);
       ++priority) {
    const std::string lane = type + "/" + std::to_string(priority);
    const std::map<std::string, std::deque<WaitingTask>>::iterator queue =
        lanes_.find(lane);
    if (queue == lanes_.end()) continue;
    const std::size_t removed =
        std::erase_if(queue->second, [&task](const WaitingTask& waiting) {
          return waiting.request.id.task == task;
        });
    size_ -= removed;
    if (queue->second.empty()) lanes_.erase(queue);
    if (removed > 0) return true;
  }
  return false;
}

void PendingQueue::DeclareRunTime(const std::string& type, Duration run_time) {
  RunTimeEstimate& estimate = run_time_estimates_[type];
  if (!estimate.measured) estimate.average = run_time;
}

void PendingQueue::OnRunTime(const std::string& type, Duration run_time,
                             bool ended) {
  RunTimeEstimate& estimate = run_time_estimates_[type];
  if (!ended) {
    // Stragglers raise the estimate before they end.
    estimate.average = std::max(estimate.average, run_time);
    return;
  }
  if (!estimate.measured) {
    estimate.average = run_time;
    estimate.measured = true;
    return;
  }
  const double smoothed =
      static_cast<double>(estimate.average.count()) *
          (1 - options_.run_time_weight) +
      static_cast<double>(run_time.count()) * options_.run_time_weight;
  estimate.average = Duration(static_cast<Duration::rep>(smoothed));
}

bool PendingQueue::IsLong(const std::string& type) const {
  const std::map<std::string, RunTimeEstimate>::const_iterator found =
      run_time_estimates_.find(type);
  return found != run_time_estimates_.end() &&
         found->second.average > options_.long_threshold;
}

}  // namespace carobmast::placement
