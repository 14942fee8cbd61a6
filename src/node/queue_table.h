// Finds the queue of a request by its host and the longest matching path
// prefix.
#ifndef CAROBMAST_NODE_QUEUE_TABLE_H_
#define CAROBMAST_NODE_QUEUE_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/types/job.h"

namespace carobmast::node {

struct QueueMatch {
  std::string queue;
  // The part of the path after the queue's prefix.
  std::string remaining_path;
};

class QueueTable {
 public:
  QueueTable() = default;
  explicit QueueTable(const std::vector<jobs::QueuePolicy>& queues);
  // Ignores a port in `host`. Empty when no queue of the host matches.
  std::optional<QueueMatch> Find(std::string_view host,
                                 std::string_view path) const;

 private:
  struct Entry {
    std::string prefix;
    std::string queue;
  };
  // By host, sorted by descending length of the prefix.
  std::map<std::string, std::vector<Entry>, std::less<>> hosts_;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_QUEUE_TABLE_H_
