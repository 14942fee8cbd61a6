// IDs that were cancelled although no job of that ID was known. A submission
// that arrives later must not start the job.
#ifndef CAROBMAST_JOBS_INTERNAL_CANCELLED_IDS_H_
#define CAROBMAST_JOBS_INTERNAL_CANCELLED_IDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "contracts/keyed_log.h"
#include "framework/base/time.h"

namespace carobmast::jobs {

struct CancelledIdsOptions {
  // Minimum time for which an ID is remembered. A new owner counts it anew.
  std::chrono::milliseconds keep{120000};
  // None is forgotten early to make room: further ones are refused.
  std::size_t max_ids = 16384;
};

class CancelledIds {
 public:
  explicit CancelledIds(CancelledIdsOptions options);

  enum class AddResult {
    kStoring,  // TakeRecords returns the record that holds it
    kKnown,    // remembered, and added so recently that nothing changes
    kNoRoom,
  };
  // Remembers the ID from now on.
  AddResult Add(const std::string& id, MonotonicTime now);
  bool Contains(const std::string& id) const {
    return pages_by_id_.contains(id);
  }
  std::size_t size() const { return pages_by_id_.size(); }
  // Forgets IDs whose time is over. Must be called regularly.
  void Expire(MonotonicTime now);

  // Adds a record of the stream. Throws Error (step "restore") when it can't be
  // decoded.
  void Restore(const contracts::KeyedRecord& record);
  // The time of all restored IDs begins.
  void FinishRestore(MonotonicTime now);

  bool HasChanges() const;
  // Appends the records that have changed to `records`.
  void TakeRecords(std::vector<contracts::KeyedRecord>& records);

 private:
  // The IDs of one record.
  struct Page {
    std::vector<std::string> ids;
    MonotonicTime begun_at;
    MonotonicTime last_added_at;
    bool changed = false;
  };
  Page& OpenPage(MonotonicTime now);

  CancelledIdsOptions options_;
  std::map<std::uint64_t, Page> pages_;
  std::map<std::string, std::uint64_t> pages_by_id_;
  std::vector<std::string> dropped_keys_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERNAL_CANCELLED_IDS_H_
