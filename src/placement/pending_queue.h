// The order in which waiting tasks are tried: by priority, short before long,
// and in turn between types, so that a type that can't start holds up no other.
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
  // A type is long when its tasks run longer than this on average.
  Duration long_threshold = std::chrono::minutes(5);
  // Weight of a new run time in the average.
  double run_time_weight = 0.3;
  // Waiting this long raises a task's priority by one.
  Duration aging_interval = std::chrono::minutes(10);
};

class PendingQueue {
 public:
  explicit PendingQueue(PendingQueueOptions options);

  void Push(TaskRequest request, MonotonicTime now);
  // Offers up to `max_offers` tasks to `start`, which returns whether it
  // started the task. After a refusal no other task of the same type is
  // offered.
  void Offer(std::size_t max_offers, MonotonicTime now,
             const std::function<bool(const TaskRequest&)>& start);
  // Removes a waiting task; false when there is none.
  bool Cancel(const std::string& type, const std::string& task);

  // Declared run times are starting points only; measured ones replace them.
  void DeclareRunTime(const std::string& type, Duration run_time);
  // A task of the type ended after `run_time`, or is still running after it.
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
  // Smaller is offered first.
  struct Rank {
    int priority = 0;
    bool is_long = false;
    std::uint64_t last_start = 0;
    std::string lane;
    friend auto operator<=>(const Rank&, const Rank&) = default;
  };

  std::map<Rank, std::string> RankLanes(MonotonicTime now) const;

  PendingQueueOptions options_;
  // By type and then priority.
  std::map<std::string, std::deque<WaitingTask>> lanes_;
  std::map<std::string, RunTimeEstimate> run_time_estimates_;
  // When a type last started a task, as a count of starts.
  std::map<std::string, std::uint64_t> last_starts_;
  std::uint64_t start_count_ = 0;
  std::size_t size_ = 0;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_PENDING_QUEUE_H_
