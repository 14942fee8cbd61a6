// How long the caller of a job call still waits when the call arrives at the
// owner. Calls may be held up in links and in paused nodes.
#ifndef CAROBMAST_NODE_CALL_TIME_H_
#define CAROBMAST_NODE_CALL_TIME_H_

#include <optional>

#include "framework/base/time.h"
#include "jobs/generated/jobs.pb.h"

namespace carobmast::node {

// Sets the time that is left for the call. `owner_now` is a time that the
// owner's clock has reached; empty when none is known.
void SetTimeLeft(jobs::proto::JobCall& call, Duration time_left,
                 std::optional<MonotonicTime> owner_now);

// What is left of the call's time at `now`, on the owner's clock; zero or less
// when its caller has given up. `fallback` is for calls of earlier versions,
// which do not say.
Duration TimeLeft(const jobs::proto::JobCall& call, MonotonicTime now,
                  Duration fallback);

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_CALL_TIME_H_
