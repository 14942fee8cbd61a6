#include "node/record_groups.h"

#include <utility>

namespace carobmast::node {

namespace {

std::size_t SizeOf(const contracts::KeyedRecord& record) {
  return record.key.size() + (record.value ? record.value->size() : 0);
}

}  // namespace

std::vector<std::vector<contracts::KeyedRecord>> GroupRecords(
    std::vector<contracts::KeyedRecord> records, std::size_t max_bytes) {
  std::vector<std::vector<contracts::KeyedRecord>> groups;
  std::size_t bytes = 0;
  for (contracts::KeyedRecord& record : records) {
    const std::size_t size = SizeOf(record);
    if (groups.empty() || bytes + size > max_bytes) {
      groups.emplace_back();
      bytes = 0;
    }
    bytes += size;
    groups.back().push_back(std::move(record));
  }
  return groups;
}

}  // namespace carobmast::node
