// Requests of callers to a node and its answers, independent of the wire
// format.
#ifndef CAROBMAST_NODE_TYPES_FRONT_H_
#define CAROBMAST_NODE_TYPES_FRONT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "framework/base/time.h"
#include "jobs/types/job.h"

namespace carobmast::node {

enum class FrontKind { kSubmit, kState, kCancel, kOther };

struct FrontRequest {
  FrontKind kind = FrontKind::kOther;
  std::string host;
  // The path prefix of a queue, followed by the job's ID. A request for the
  // queue's pending count has no ID.
  std::string path;
  // How long the caller waits for the answer, if it says so.
  std::optional<Duration> caller_timeout;
  std::string body;
};

enum class FrontOutcome {
  kAccepted,
  kState,
  kCancelled,
  kPendingCount,
  kNoQueue,
  kUnknownJob,
  kInvalid,  // the request is malformed; `reason` says how
  kTooLarge,
  kRetryLater,  // nothing was done; the caller retries after `retry_after`
  kUndecided,   // the request may or may not have taken effect
};

struct FrontAnswer {
  FrontOutcome outcome = FrontOutcome::kRetryLater;
  jobs::JobState state = jobs::JobState::kQueued;
  std::uint32_t pending = 0;
  // Only for kRetryLater; empty for as soon as the caller likes.
  std::optional<Duration> retry_after;
  std::string reason;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_TYPES_FRONT_H_
