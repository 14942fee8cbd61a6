// Finds the queue of a caller's request by host and longest path prefix.
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
  // What follows the prefix.
  std::string remaining_path;
};

class QueueTable {
 public:
  QueueTable() = default;
  explicit QueueTable(const std::vector<jobs::QueuePolicy>& queues);
  std::optional<QueueMatch> Find(std::string_view host,
                                 std::string_view path) const;

 private:
  struct Entry {
    std::string prefix;
    std::string queue;
  };
  // By host; longer prefixes first.
  std::map<std::string, std::vector<Entry>, std::less<>> hosts_;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_QUEUE_TABLE_H_
