// Requests of one service that wait for a slot. Each size class has its own
// queue, in the order of arrival with an advantage for higher priorities.
#ifndef CAROBMAST_REQUESTS_REQUEST_QUEUE_H_
#define CAROBMAST_REQUESTS_REQUEST_QUEUE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "config/types/objects.h"
#include "framework/base/time.h"
#include "requests/types/request.h"

namespace carobmast::requests {

class RequestQueue {
 public:
  explicit RequestQueue(std::size_t classes) : queues_(classes) {}

  // Position of a waiting request; needed to remove it.
  struct Place {
    std::size_t size_class = 0;
    MonotonicTime effective_arrival;
  };

  Place Push(RequestId id, std::size_t size_class, config::Priority priority,
             MonotonicTime arrived);
  void Remove(RequestId id, const Place& place);

  // Returns the first request in order among the size classes for which
  // `may_run` holds. The request stays in the queue.
  std::optional<RequestId> Front(
      const std::function<bool(std::size_t size_class)>& may_run) const;

  std::size_t size() const;
  // Number of requests that precede one of that priority arriving at `now`.
  std::size_t CountAhead(config::Priority priority, MonotonicTime now) const;

 private:
  std::vector<std::set<std::pair<MonotonicTime, RequestId>>> queues_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_REQUEST_QUEUE_H_
