#include "operators/append_flow.h"

#include <algorithm>
#include <utility>

namespace carobmast::operators {
namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
constexpr Duration kCallTimeout = std::chrono::seconds(3);
constexpr std::size_t kMaxRecordsPerRead = 500;

}  // namespace

AppendFlow::AppendFlow(AppendFlowOptions options, MonotonicTime now)
    : options_(std::move(options)),
      deadline_(now + options_.timeout),
      next_try_(now) {
  if (!options_.search_first) return;
  search_from_ = 1;
  must_search_ = true;
}

AppendStep AppendFlow::Next(MonotonicTime now) {
  if (!result_.has_value() && now >= deadline_) {
    const std::string timeout_reason =
        last_error_.empty() ? "the log gave no answer in time" : last_error_;
    Finish({.kind = maybe_appended_ ? AppendResultKind::kUnknown
                                    : AppendResultKind::kNotAppended,
            .reason = timeout_reason});
  }
  AppendStep step{.at = now};
  if (result_.has_value()) {
    step.result = result_;
  } else if (now < next_try_) {
    step.at = std::min(next_try_, deadline_);
  } else if (!search_from_.has_value() || must_search_) {
    step.read = contracts::ReadRequest{.stream = options_.stream,
                                       .from = search_from_.value_or(1),
                                       .max_records = kMaxRecordsPerRead,
                                       .timeout = kCallTimeout};
    // The first read is only for the end of the stream, which every answer
    // states, so one record is enough.
    if (!search_from_.has_value()) step.read->max_records = 1;
  } else {
    step.append = contracts::AppendRequest{.stream = options_.stream,
                                           .records = {options_.record},
                                           .timeout = kCallTimeout};
  }
  return step;
}

void AppendFlow::OnReadError(MonotonicTime now, const std::string& reason) {
  last_error_ = reason;
  next_try_ = now + kRetryInterval;
}

void AppendFlow::OnRead(MonotonicTime now, contracts::Offset,
                        const contracts::ReadAnswer& answer) {
  if (!search_from_.has_value()) {
    search_from_ = answer.next;
    return;
  }
  search_from_ = std::max(*search_from_, answer.first_kept);
  for (const contracts::LogRecord& record : answer.records) {
    search_from_ = std::max(*search_from_, record.offset + 1);
    if (record.id != options_.record.id) continue;
    Finish({.kind = AppendResultKind::kAppended,
            .offset = record.offset,
            .existing_data = record.data});
    return;
  }
  if (*search_from_ < answer.next) return;
  // The search reached the end of the stream without finding the id: append
  // again under the same id.
  must_search_ = false;
  next_try_ = now + kRetryInterval;
}

void AppendFlow::OnAppend(MonotonicTime now,
                          const contracts::AppendAnswer& answer) {
  last_error_ = answer.error;
  switch (answer.outcome) {
    case contracts::AppendOutcome::kAppended:
      Finish({.kind = AppendResultKind::kAppended,
              .offset = answer.offsets.empty() ? 0 : answer.offsets.front()});
      break;
    case contracts::AppendOutcome::kUnknown:
      maybe_appended_ = true;
      must_search_ = true;
      break;
    case contracts::AppendOutcome::kNotSent:
      next_try_ = now + kRetryInterval;
      break;
  }
}

void AppendFlow::Finish(AppendResult result) { result_ = std::move(result); }

}  // namespace carobmast::operators
