// What callers ask of a node, and the answers, free of any wire format.
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
  // Prefix of the queue and, but for the count of a queue, the job's ID.
  std::string path;
  // How long the caller waits.
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
  kInvalid,  // the caller's mistake; `reason` says which
  kTooLarge,
  kRetryLater,  // nothing was done; `retry_after` says when to come back
  kUndecided,   // it may have been done or not
};

struct FrontAnswer {
  FrontOutcome outcome = FrontOutcome::kRetryLater;
  jobs::JobState state = jobs::JobState::kQueued;
  std::uint32_t pending = 0;
  Duration retry_after = std::chrono::seconds(1);
  std::string reason;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_TYPES_FRONT_H_
