#include "node/queue_table.h"

#include <algorithm>

namespace carobmast::node {

QueueTable::QueueTable(const std::vector<jobs::QueuePolicy>& queues) {
  for (const jobs::QueuePolicy& queue : queues) {
    hosts_[queue.host].push_back({queue.prefix, queue.name});
  }
  for (auto& [host, entries] : hosts_) {
    std::sort(entries.begin(), entries.end(),
              [](const Entry& left, const Entry& right) {
                return left.prefix.size() > right.prefix.size();
              });
  }
}

std::optional<QueueMatch> QueueTable::Find(std::string_view host,
                                           std::string_view path) const {
  const std::string_view hostname = host.substr(0, host.find(':'));
  const auto entries = hosts_.find(hostname);
  if (entries == hosts_.end()) return std::nullopt;
  for (const Entry& entry : entries->second) {
    if (!path.starts_with(entry.prefix)) continue;
    return QueueMatch{
        .queue = entry.queue,
        .remaining_path = std::string(path.substr(entry.prefix.size()))};
  }
  return std::nullopt;
}

}  // namespace carobmast::node
