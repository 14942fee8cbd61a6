// Whether a submitted job is taken or turned away.
//
// Answers a pool that has had no room for a queue for so long that a job of the
// queue would have become worthless meanwhile, e.g. because tasks that last
// hold all of it: callers hear at once that the job was not taken, and when to
// come back, instead of waiting for a result that comes too late.
#ifndef CAROBMAST_JOBS_ADMISSION_H_
#define CAROBMAST_JOBS_ADMISSION_H_

#include <chrono>
#include <optional>
#include <string>

#include "framework/base/time.h"

namespace carobmast::jobs {

// A job that ends later than this multiple of its objective counts as
// worthless.
inline constexpr int kUsefulObjectives = 3;

struct AdmissionInput {
  std::string id;
  // The time within which the job should end.
  std::chrono::milliseconds objective{0};
  // How long no task of the queue has found room while some waited; empty when
  // none waits or one has found room.
  std::optional<Duration> without_room;
};

// Returns when the caller should come back if the job is turned away; empty if
// it is taken. Callers come back the later the longer there has been no room,
// spread by their IDs so that they don't all come at once.
std::optional<std::chrono::milliseconds> RetryAfterIfRejected(
    const AdmissionInput& input);

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_ADMISSION_H_
