// Queue of waiting tasks, ordered by priority, then short before long types,
// then round robin between types, so that a type that can't start blocks no
// other.
#ifndef CAROBMAST_PLACEMENT_PENDING_QUEUE_H_
#define CAROBMAST_PLACEMENT_PENDING_QUEUE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "placement/types/placement_types.h"

namespace carobmast::placement {

struct PendingQueueOptions {
  // A type whose average run time exceeds this is long.
  Duration long_threshold = std::chrono::minutes(5);
  // Weight of a new measurement in the exponential moving average.
  double run_time_weight = 0.3;
  // The priority of a waiting task rises by one level per interval, so that low
  // priorities don't starve.
  Duration aging_interval = std::chrono::minutes(10);
};

class PendingQueue {
 public:
  explicit PendingQueue(PendingQueueOptions options);

  void Push(TaskRequest request, MonotonicTime now);
  // Makes up to `max_offers` calls of `start`, which returns whether it started
  // the task. After a refusal no other task of the same type and priority is
  // offered.
  void Offer(std::size_t max_offers, MonotonicTime now,
             const std::function<bool(const TaskRequest&)>& start);
  // Removes a waiting task; false when there is none.
  bool Cancel(const std::string& type, const std::string& task);

  // Sets the initial estimate for a type. Measured run times replace it.
  void DeclareRunTime(const std::string& type, Duration run_time);
  // Records that a task of the type ended after `run_time`, or still runs after
  // that time.
  void OnRunTime(const std::string& type, Duration run_time, bool ended);
  bool IsLong(const std::string& type) const;

  std::size_t size() const { return size_; }

 private:
  struct WaitingTask {
    TaskRequest request;
    MonotonicTime since;
  };
  struct RunTimeEstimate {
    Duration average = Duration::zero();
    bool measured = false;
  };
  // Order of the lanes; smaller is offered first.
  struct Rank {
    int priority = 0;
    bool is_long = false;
    std::uint64_t last_start = 0;
    std::string lane_key;
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };

  std::map<Rank, std::string> RankLanes(MonotonicTime now) const;

  PendingQueueOptions options_;
  // A lane holds the waiting tasks of one type and priority, in order of
  // arrival.
  std::map<std::string, std::deque<WaitingTask>> lanes_;
  std::map<std::string, RunTimeEstimate> run_time_estimates_;
  // Value of start_count_ at the last start from each lane.
  std::map<std::string, std::uint64_t> last_starts_;
  std::uint64_t start_count_ = 0;
  std::size_t size_ = 0;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_PENDING_QUEUE_H_
