// A simulated clock with a queue of events, for tests and measurements.
#ifndef CAROBMAST_REQUESTS_FAKES_VIRTUAL_TIME_H_
#define CAROBMAST_REQUESTS_FAKES_VIRTUAL_TIME_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "framework/base/time.h"

namespace carobmast::requests::fakes {

class VirtualTime {
 public:
  MonotonicTime now() const { return now_; }

  void At(MonotonicTime time, std::function<void()> run) {
    events_.push({std::max(time, now_), next_++, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }

  // Runs all events due up to `end`, then sets the clock to `end`.
  void RunUntil(MonotonicTime end) {
    while (!events_.empty() && events_.top().time <= end) {
      // Removed before it runs, because it may add others.
      const std::function<void()> run =
          std::move(const_cast<Event&>(events_.top()).run);
      now_ = events_.top().time;
      events_.pop();
      run();
    }
    now_ = end;
  }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t number = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::tie(other.time, other.number) < std::tie(time, number);
    }
  };

  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace carobmast::requests::fakes

#endif  // CAROBMAST_REQUESTS_FAKES_VIRTUAL_TIME_H_
