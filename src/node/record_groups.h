// Divides the records of a batch into appends that a slow link can carry.
#ifndef CAROBMAST_NODE_RECORD_GROUPS_H_
#define CAROBMAST_NODE_RECORD_GROUPS_H_

#include <cstddef>
#include <vector>

#include "contracts/keyed_log.h"

namespace carobmast::node {

// Keeps the order of the records. A group exceeds `max_bytes` only if its
// single record does.
std::vector<std::vector<contracts::KeyedRecord>> GroupRecords(
    std::vector<contracts::KeyedRecord> records, std::size_t max_bytes);

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_RECORD_GROUPS_H_
