#include "config/log_replay.h"

#include <utility>

#include "framework/base/error.h"

namespace carobmast::config {

LogReplay::LogReplay(RuleTable rules) : fold_(std::move(rules)) {}

contracts::Offset LogReplay::NextRead() const {
  return seek_.has_value() ? seek_->next : fold_.head().through + 1;
}

void LogReplay::StartSeek(contracts::Offset first_kept) {
  seek_.emplace(Seek{.next = first_kept,
                     .collector = CompactionCollector(fold_.max_rules())});
  caught_up_ = false;
}

void LogReplay::OnSeekRead(const contracts::ReadAnswer& answer, Seek& seek) {
  for (const contracts::LogRecord& record : answer.records) {
    if (record.offset < seek.next) continue;
    seek.next = record.offset + 1;
    const std::optional<WholeSet> whole =
        seek.collector.OnRecord(record, answer.first_kept);
    if (!whole.has_value()) continue;
    try {
      fold_.Adopt(*whole);
    } catch (const Error&) {
      // Not usable: the next compaction may be.
      continue;
    }
    seek_.reset();
    return;
  }
}

std::vector<Verdict> LogReplay::OnRead(
    contracts::Offset from, const contracts::ReadAnswer& answer,
    const std::function<void(const Verdict&)>& on_verdict) {
  // The answer to a read that was asked before a set was adopted.
  if (from > NextRead()) return {};
  const contracts::Offset needed = fold_.head().through + 1;
  const bool has_gap = answer.first_kept > needed;
  if (seek_.has_value() && !has_gap) seek_.reset();
  if (has_gap && (!seek_.has_value() || seek_->next < answer.first_kept)) {
    StartSeek(answer.first_kept);
  }
  if (seek_.has_value()) {
    if (from <= seek_->next) OnSeekRead(answer, *seek_);
    return {};
  }
  // The search may have gone past records that are needed now.
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
