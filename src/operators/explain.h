// Results of the commands explain, diff and history: pure functions of the
// configuration and its history as read from the log.
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

// One publish in the configuration stream, as shown to operators.
struct HistoryEntry {
  contracts::Offset offset = 0;
  WallTime at;
  std::string id;
  std::string publisher;
  // "accepted", "refused" or "unknown" (not understood by this program).
  std::string verdict;
  std::string reason;
  // Names of the objects added or changed, and of those removed.
  std::vector<std::string> put;
  std::vector<std::string> removed;
};

// The newest publishes that the log still holds, oldest first; at most
// `max_entries`.
class History {
 public:
  explicit History(std::size_t max_entries) : max_entries_(max_entries) {}

  // Ignores records without effect, such as compactions.
  void Add(const config::Verdict& verdict, const contracts::LogRecord& record);

  const std::deque<HistoryEntry>& entries() const { return entries_; }

 private:
  std::size_t max_entries_;
  std::deque<HistoryEntry> entries_;
};

// Formats a time in UTC with milliseconds: "2026-03-01T12:00:00.000Z".
std::string FormatTime(WallTime time);

boost::json::object HistoryToJson(const HistoryEntry& entry);

// Whether the entry added, changed or removed the object.
bool ChangesObject(const HistoryEntry& entry, const std::string& name);

// Describes the object `name`: its fields, the objects it refers to and is
// referred to by, its last change, and the earlier changes that the log still
// holds. The member "found" is false when the set in force has no such object.
boost::json::object Explain(const config::ConfigFold& fold,
                            const History& history, const std::string& name);

// Describes what publishing `wanted` would change in the set in force, field by
// field, and how many running tasks it would stop.
boost::json::object Difference(const config::ConfigFold& fold,
                               const config::Objects& wanted);

}  // namespace carobmast::operators

#endif  // CAROBMAST_OPERATORS_EXPLAIN_H_
