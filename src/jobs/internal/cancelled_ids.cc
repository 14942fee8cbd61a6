#include "jobs/internal/cancelled_ids.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "framework/base/error.h"
#include "jobs/generated/jobs.pb.h"
#include "jobs/job_record.h"

namespace carobmast::jobs {

namespace {

// A record is written again with each ID that is added to it: 13 KB at most, at
// 200 bytes an ID.
constexpr std::size_t kMaxIdsPerPage = 64;
// How long IDs are added to the same page. The first of them is remembered for
// this much longer than necessary, and one that is cancelled again sooner for
// this much shorter.
constexpr std::chrono::seconds kPageTime{10};

std::string KeyOfPage(std::uint64_t number) {
  return kCancelledIdsPrefix + std::to_string(number);
}

}  // namespace

CancelledIds::CancelledIds(CancelledIdsOptions options) : options_(options) {}

CancelledIds::Page& CancelledIds::OpenPage(MonotonicTime now) {
  if (!pages_.empty()) {
    Page& last = pages_.rbegin()->second;
    if (last.ids.size() < kMaxIdsPerPage && now - last.begun_at < kPageTime) {
      return last;
    }
  }
  const std::uint64_t number = pages_.empty() ? 0 : pages_.rbegin()->first + 1;
  Page& page = pages_[number];
  page.begun_at = now;
  return page;
}

CancelledIds::AddResult CancelledIds::Add(const std::string& id,
                                          MonotonicTime now) {
  const auto known = pages_by_id_.find(id);
  if (known == pages_by_id_.end()) {
    if (pages_by_id_.size() >= options_.max_ids) return AddResult::kNoRoom;
  } else if (now - pages_.at(known->second).last_added_at < kPageTime) {
    return AddResult::kKnown;
  }
  Page& page = OpenPage(now);
  page.ids.push_back(id);
  page.last_added_at = now;
  page.changed = true;
  pages_by_id_[id] = pages_.rbegin()->first;
  return AddResult::kStoring;
}

void CancelledIds::Expire(MonotonicTime now) {
  while (!pages_.empty()) {
    const auto first = pages_.begin();
    if (now - first->second.last_added_at <= options_.keep) return;
    for (const std::string& id : first->second.ids) {
      // A later page may hold it too.
      const auto known = pages_by_id_.find(id);
      if (known != pages_by_id_.end() && known->second == first->first) {
        pages_by_id_.erase(known);
      }
    }
    dropped_keys_.push_back(KeyOfPage(first->first));
    pages_.erase(first);
  }
}

void CancelledIds::Restore(const contracts::KeyedRecord& record) {
  if (!record.value.has_value()) return;
  const std::string_view prefix = kCancelledIdsPrefix;
  std::string_view digits = record.key;
  digits.remove_prefix(prefix.size());
  std::uint64_t number = 0;
  const std::from_chars_result parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), number);
  proto::CancelledIds page;
  if (parsed.ec != std::errc() || !page.ParseFromString(*record.value)) {
    throw Error("restore", record.key, "malformed record of cancelled IDs");
  }
  pages_[number].ids.assign(page.ids().begin(), page.ids().end());
  for (const std::string& id : page.ids()) {
    std::uint64_t& last_page =
        pages_by_id_.try_emplace(id, number).first->second;
    last_page = std::max(last_page, number);
  }
}

void CancelledIds::FinishRestore(MonotonicTime now) {
  for (auto& [number, page] : pages_) {
    page.begun_at = now;
    page.last_added_at = now;
  }
}

bool CancelledIds::HasChanges() const {
  return !dropped_keys_.empty() ||
         std::any_of(pages_.begin(), pages_.end(),
                     [](const auto& entry) { return entry.second.changed; });
}

void CancelledIds::TakeRecords(std::vector<contracts::KeyedRecord>& records) {
  for (std::string& key : dropped_keys_) {
    records.push_back({.key = std::move(key), .value = std::nullopt});
  }
  dropped_keys_.clear();
  for (auto& [number, page] : pages_) {
    if (!page.changed) continue;
    page.changed = false;
    proto::CancelledIds record;
    for (const std::string& id : page.ids) record.add_ids(id);
    records.push_back(
        {.key = KeyOfPage(number), .value = record.SerializeAsString()});
  }
}

}  // namespace carobmast::jobs
