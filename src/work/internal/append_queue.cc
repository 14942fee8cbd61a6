#include "work/internal/append_queue.h"

#include <algorithm>
#include <utility>

#include "work/work_record.h"

namespace carobmast::work {
namespace {

// Tasks or results per record; keeps a record well below kMaxRecordBytes.
constexpr std::size_t kMaxItemsPerRecord = 500;

template <typename Item>
std::vector<std::vector<Item>> Split(std::vector<Item> items) {
  std::vector<std::vector<Item>> groups;
  for (Item& item : items) {
    if (groups.empty() || groups.back().size() == kMaxItemsPerRecord) {
      groups.emplace_back();
    }
    groups.back().push_back(std::move(item));
  }
  return groups;
}

}  // namespace

AppendQueue::AppendQueue(AppendQueueOptions options)
    : options_(std::move(options)) {}

std::string AppendQueue::Add(const WorkRecord& record) {
  std::string id = options_.self + "#" + std::to_string(next_record_++);
  queue_.push_back({.id = id, .data = EncodeRecord(record)});
  return id;
}

void AppendQueue::AddTake(const std::string& cell,
                          contracts::FencingToken token,
                          const std::string& task) {
  takes_[{cell, token}].push_back(task);
}

void AppendQueue::AddResult(const std::string& cell,
                            contracts::FencingToken token, ResultEntry result) {
  results_[{cell, token}].push_back(std::move(result));
}

void AppendQueue::QueueGroups() {
  for (auto& [key, results] : results_) {
    for (std::vector<ResultEntry>& group : Split(std::move(results))) {
      Add(ResultsRecord{
          .cell = key.first, .token = key.second, .results = std::move(group)});
    }
  }
  results_.clear();
  for (auto& [key, tasks] : takes_) {
    for (std::vector<std::string>& group : Split(std::move(tasks))) {
      Add(TakeRecord{
          .cell = key.first, .token = key.second, .tasks = std::move(group)});
    }
  }
  takes_.clear();
}

std::optional<AppendBatch> AppendQueue::Poll(MonotonicTime now) {
  if (now < not_before_) return std::nullopt;
  if (phase_ == Phase::kSent || phase_ == Phase::kUnknown) return std::nullopt;
  if (phase_ == Phase::kIdle) {
    QueueGroups();
    if (queue_.empty()) return std::nullopt;
    const std::size_t count = std::min(queue_.size(), options_.max_batch);
    const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
    batch_.records.assign(queue_.begin(), end);
    queue_.erase(queue_.begin(), end);
  }
  ++batch_.id;
  ++appends_;
  phase_ = Phase::kSent;
  not_before_ = now + options_.interval;
  return batch_;
}

void AppendQueue::OnAnswer(MonotonicTime now, std::uint64_t id,
                           contracts::AppendOutcome outcome) {
  if (id != batch_.id || phase_ != Phase::kSent) return;
  switch (outcome) {
    case contracts::AppendOutcome::kAppended:
      phase_ = Phase::kIdle;
      break;
    case contracts::AppendOutcome::kNotSent:
      phase_ = Phase::kRetry;
      not_before_ = now + options_.retry;
      break;
    case contracts::AppendOutcome::kUnknown:
      phase_ = Phase::kUnknown;
      unknown_since_ = now;
      break;
  }
}

void AppendQueue::OnRead(MonotonicTime now, MonotonicTime started,
                         const std::vector<contracts::LogRecord>& records,
                         bool at_end) {
  if (phase_ == Phase::kIdle) return;
  const std::string& first = batch_.records.front().id;
  const bool found = std::any_of(records.begin(), records.end(),
                                 [&first](const contracts::LogRecord& record) {
                                   return record.id == first;
                                 });
  if (found) {
    phase_ = Phase::kIdle;
    return;
  }
  if (phase_ == Phase::kUnknown && at_end && started > unknown_since_) {
    phase_ = Phase::kRetry;
    not_before_ = now + options_.retry;
  }
}

bool AppendQueue::Idle() const {
  return phase_ == Phase::kIdle && queue_.empty() && takes_.empty() &&
         results_.empty();
}

}  // namespace carobmast::work
