#include "config/log_replay.h"

#include <utility>

#include "framework/base/error.h"

namespace carobmast::config {

LogReplay::LogReplay(RuleTable rules) : fold_(std::move(rules)) {}

contracts::Offset LogReplay::NextRead() const {
  return search_.has_value() ? search_->next : fold_.head().through + 1;
}

void LogReplay::StartSearch(contracts::Offset first_kept) {
  search_.emplace(CompactionSearch{
      .next = first_kept, .collector = CompactionCollector(fold_.max_rules())});
  caught_up_ = false;
}

void LogReplay::OnSearchRead(const contracts::ReadAnswer& answer,
                             CompactionSearch& search) {
  for (const contracts::LogRecord& record : answer.records) {
    if (record.offset < search.next) continue;
    search.next = record.offset + 1;
    const std::optional<WholeSet> whole =
        search.collector.OnRecord(record, answer.first_kept);
    if (!whole.has_value()) continue;
    try {
      fold_.Adopt(*whole);
    } catch (const Error&) {
      // This compaction is unusable, but a later one may be usable.
      continue;
    }
    search_.reset();
    return;
  }
}

std::vector<Verdict> LogReplay::OnRead(
    contracts::Offset from, const contracts::ReadAnswer& answer,
    const std::function<void(const Verdict&)>& on_verdict) {
  // A late answer to a read that was sent before a set was adopted or a search
  // ended.
  if (from > NextRead()) return {};
  const contracts::Offset needed = fold_.head().through + 1;
  const bool has_gap = answer.first_kept > needed;
  if (search_.has_value() && !has_gap) search_.reset();
  if (has_gap && (!search_.has_value() || search_->next < answer.first_kept)) {
    StartSearch(answer.first_kept);
  }
  if (search_.has_value()) {
    if (from <= search_->next) OnSearchRead(answer, *search_);
    return {};
  }
  // The search may have read beyond records that are now needed.
  if (from > needed) return {};
  std::vector<Verdict> verdicts;
  for (const contracts::LogRecord& record : answer.records) {
    if (record.offset <= fold_.head().through) continue;
    verdicts.push_back(fold_.OnRecord(record));
    if (on_verdict) on_verdict(verdicts.back());
    if (fold_.stopped().has_value()) break;
  }
  caught_up_ = fold_.head().through + 1 >= answer.next;
  return verdicts;
}

}  // namespace carobmast::config
