// Whether a submitted job is taken or turned away for load.
//
// Answers three load patterns. A pool has had no room for a queue for so long
// that a job of the queue would have become worthless meanwhile, e.g. because
// tasks that last hold all of it. Or a queue gets more than it can do for long,
// so that a part of what it takes becomes worthless before it begins: about
// that part is turned away. Callers then hear at once that the job was not
// taken, and when to come back, instead of waiting for a result that comes too
// late. Or short jobs of a queue are late for want of room: jobs of standing
// tasks, which would hold room for good, are turned away until that is over.
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

// When the caller of a job should come back that is turned away since its pool
// has no room now. Spread by IDs.
std::chrono::milliseconds RetryAfterShortage(const std::string& id);

// The admission of one queue.
class QueueAdmission {
 public:
  // A job of the queue with a deadline was taken.
  void OnTaken(MonotonicTime now);
  // A job of the queue can't end on time any more, and tasks of it lack room.
  void OnLate(MonotonicTime now);
  // A job of the queue has got its first run.
  void OnBegun(MonotonicTime now);
  // A job of the queue has become worthless before its first run, or while
  // tasks of it lacked room.
  void OnWorthless(MonotonicTime now);

  // Returns when the caller should come back if the job is turned away; empty
  // if it is taken. The time grows with the time without room, and is spread by
  // IDs so that callers don't all come back at once.
  std::optional<std::chrono::milliseconds> RetryAfterIfRejected(
      const AdmissionInput& input, MonotonicTime now);
  // Whether a notable part of the recent jobs is late for want of room.
  bool IsShortOfRoom(MonotonicTime now);

 private:
  void Decay(MonotonicTime now);
  // Whether this job belongs to the part that is turned away.
  bool IsInExcess(MonotonicTime now);

  // Numbers of recent jobs, weighted by age.
  double begun_ = 0;
  double worthless_ = 0;
  double rejected_ = 0;
  double taken_ = 0;
  double late_ = 0;
  MonotonicTime decayed_at_;
  // Sum of the shares to turn away, less the jobs turned away.
  double owed_rejections_ = 0;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_ADMISSION_H_
