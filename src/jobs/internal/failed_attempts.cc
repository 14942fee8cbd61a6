#include "jobs/internal/failed_attempts.h"

#include <algorithm>

namespace carobmast::jobs {

namespace {

// Bounds the record of a task whose queue allows many attempts.
constexpr std::size_t kMaxKeptAttempts = 32;

bool IsRunning(const proto::Task& record, std::uint32_t attempt) {
  return std::any_of(
      record.runs().begin(), record.runs().end(),
      [attempt](const proto::Run& run) { return run.attempt() == attempt; });
}

}  // namespace

bool FailedAttempts::Add(std::uint32_t attempt) {
  const bool some_left_out = latest_.size() < count_;
  if (some_left_out && !latest_.empty() && attempt < *latest_.begin()) {
    return false;
  }
  if (!latest_.insert(attempt).second) return false;
  ++count_;
  DropEarliest();
  return true;
}

void FailedAttempts::Encode(proto::Task& record) const {
  record.set_failures(count_);
  record.mutable_failed_attempts()->Assign(latest_.begin(), latest_.end());
}

void FailedAttempts::Decode(const proto::Task& record) {
  latest_ = {record.failed_attempts().begin(), record.failed_attempts().end()};
  count_ = record.failures();
  if (!latest_.empty()) return;
  for (std::uint32_t attempt = record.attempt();
       attempt > 0 && latest_.size() < count_; --attempt) {
    if (!IsRunning(record, attempt)) latest_.insert(attempt);
  }
  count_ = static_cast<std::uint32_t>(latest_.size());
  DropEarliest();
}

void FailedAttempts::DropEarliest() {
  while (latest_.size() > kMaxKeptAttempts) latest_.erase(latest_.begin());
}

}  // namespace carobmast::jobs
