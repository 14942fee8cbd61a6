#include "placement/pending_queue.h"

#include <algorithm>

namespace carobmast::placement {

namespace {

std::string LaneOf(const TaskRequest& request) {
  return request.type + "/" +
         std::to_string(static_cast<int>(request.priority));
}

}  // namespace

PendingQueue::PendingQueue(PendingQueueOptions options) : options_(options) {}

void PendingQueue::Push(TaskRequest request, MonotonicTime now) {
  const std::string lane = LaneOf(request);
  waiting_[lane].push_back({.request = std::move(request), .since = now});
  ++size_;
}

std::map<PendingQueue::Rank, std::string> PendingQueue::RankTypes(
    MonotonicTime now) const {
  std::map<Rank, std::string> ranks;
  for (const std::pair<const std::string, std::deque<Waiting>>& lane :
       waiting_) {
    const Waiting& first = lane.second.front();
    const std::int64_t raised = (now - first.since) / options_.aging_interval;
    const int priority = static_cast<int>(std::max<std::int64_t>(
        0, static_cast<int>(first.request.priority) - raised));
    const std::map<std::string, std::uint64_t>::const_iterator turn =
        last_turn_.find(lane.first);
    ranks.emplace(Rank{.priority = priority,
                       .is_long = IsLong(first.request.type),
                       .turn = turn == last_turn_.end() ? 0 : turn->second,
                       .type = lane.first},
                  lane.first);
  }
  return ranks;
}

void PendingQueue::Offer(std::size_t max_offers, MonotonicTime now,
                         const std::function<bool(const TaskRequest&)>& start) {
  std::map<Rank, std::string> ranks = RankTypes(now);
  while (!ranks.empty() && max_offers > 0) {
    --max_offers;
    const std::map<Rank, std::string>::iterator first = ranks.begin();
    Rank rank = first->first;
    const std::string lane = first->second;
    ranks.erase(first);
    std::deque<Waiting>& queue = waiting_[lane];
    queue.front().request.is_long = rank.is_long;
    if (!start(queue.front().request)) continue;
    queue.pop_front();
    --size_;
    rank.turn = ++turns_;
    if (queue.empty()) {
      waiting_.erase(lane);
      last_turn_.erase(lane);
      continue;
    }
    last_turn_[lane] = rank.turn;
    ranks.emplace(std::move(rank), lane);
  }
}

bool PendingQueue::Cancel(const std::string& type, const std::string& task) {
  for (int priority = 0; priority <= static_cast<int>(config::Priority::kLow);
       ++priority) {
    const std::string lane = type + "/" + std::to_string(priority);
    const std::map<std::string, std::deque<Waiting>>::iterator queue =
        waiting_.find(lane);
    if (queue == waiting_.end()) continue;
    const std::size_t removed =
        std::erase_if(queue->second, [&task](const Waiting& waiting) {
          return waiting.request.id.task == task;
        });
    size_ -= removed;
    if (queue->second.empty()) waiting_.erase(queue);
    if (removed > 0) return true;
  }
  return false;
}

void PendingQueue::DeclareRunTime(const std::string& type, Duration run_time) {
  RunTime& known = run_times_[type];
  if (!known.measured) known.average = run_time;
}

void PendingQueue::OnRunTime(const std::string& type, Duration run_time,
                             bool ended) {
  RunTime& known = run_times_[type];
  if (!ended) {
    // A straggler shows before it ends.
    known.average = std::max(known.average, run_time);
    return;
  }
  if (!known.measured) {
    known.average = run_time;
    known.measured = true;
    return;
  }
  const double changed =
      static_cast<double>(known.average.count()) *
          (1 - options_.run_time_weight) +
      static_cast<double>(run_time.count()) * options_.run_time_weight;
  known.average = Duration(static_cast<Duration::rep>(changed));
}

bool PendingQueue::IsLong(const std::string& type) const {
  const std::map<std::string, RunTime>::const_iterator found =
      run_times_.find(type);
  return found != run_times_.end() &&
         found->second.average > options_.long_threshold;
}

}  // namespace carobmast::placement
