// Answers to operators' questions about the configuration: pure functions from
// what was read in the log to results.
#ifndef CAROBMAST_OPERATORS_EXPLAIN_H_
#define CAROBMAST_OPERATORS_EXPLAIN_H_

#include <boost/json.hpp>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "config/fold.h"
#include "config/object_set.h"
#include "contracts/types/log_record.h"

namespace carobmast::operators {

// One record of the configuration stream, for people.
struct HistoryEntry {
  contracts::Offset offset = 0;
  WallTime at;
  std::string id;
  std::string publisher;
  std::string verdict;
  std::string reason;
  std::vector<std::string> put;
  std::vector<std::string> removed;
};

// The newest publishes that the log still has, oldest first.
class History {
 public:
  explicit History(std::size_t max_entries) : max_entries_(max_entries) {}

  // Compactions are left out.
  void Add(const config::Verdict& verdict, const contracts::LogRecord& record);

  const std::deque<HistoryEntry>& entries() const { return entries_; }

 private:
  std::size_t max_entries_;
  std::deque<HistoryEntry> entries_;
};

// UTC, e.g. "2026-03-01T12:00:00.000Z".
std::string FormatTime(WallTime time);

boost::json::object HistoryToJson(const HistoryEntry& entry);

// Whether the entry put or removed the object.
bool ChangesObject(const HistoryEntry& entry, const std::string& name);

// What is known about the object `name`: its fields, references in both
// directions, its last change, and earlier changes that the log still has.
// Its member `found` is false when the set in force does not have it.
boost::json::object Explain(const config::ConfigFold& fold,
                            const History& history, const std::string& name);

// What publishing `wanted` on the set in force would change, field by field,
// and which running tasks it would stop.
boost::json::object Difference(const config::ConfigFold& fold,
                               const config::Objects& wanted);

}  // namespace carobmast::operators

#endif  // CAROBMAST_OPERATORS_EXPLAIN_H_
