// A task held by a cell of this scheduler, and the worker that runs it.
#ifndef CAROBMAST_WORK_INTERNAL_LOCAL_TASK_H_
#define CAROBMAST_WORK_INTERNAL_LOCAL_TASK_H_

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "contracts/types/worker.h"
#include "framework/base/time.h"
#include "work/types/task_spec.h"
#include "work/work_fold.h"

namespace carobmast::work {

// States and events of charts/task.yaml, in the order in which MakeTaskChart
// names them.
enum class LocalTaskState {
  kHeld,
  kReady,
  kStarting,
  kRunning,
  kStopping,
  kEnded,
  kGone,
};

enum class LocalTaskEvent {
  kResolved,
  kStartSent,
  kStartRefused,
  kFoundRunning,
  kFoundEnded,
  kWorkerGone,
  kStopWanted,
  kGiveUp,
  kRecorded,
};

// How an attempt ended.
struct AttemptEnd {
  std::uint32_t attempt = 0;
  // kRunning means that the attempt was lost: its worker is gone, its lease
  // expired, or the worker no longer reports it.
  contracts::TaskState state = contracts::TaskState::kStopped;
  std::string checkpoint;
  std::string reason;
};

struct LocalTask
    : boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  std::string id;
  std::string cell;
  TaskSpec spec;
  // Whether `spec` is known, which needs the configuration or the job.
  bool has_spec = false;
  bool taken_after_claim = false;
  LocalTaskState state = LocalTaskState::kHeld;
  // The newest attempt, 0 if there is none, and the worker on which it may run,
  // otherwise empty.
  std::uint32_t attempt = 0;
  std::string worker;
  std::uint32_t first_attempt = 1;
  std::uint32_t next_attempt = 1;
  // The first attempt number that belongs to the next owner.
  std::uint32_t attempt_limit = 1 + kAttemptsPerClaim;
  // Chosen when the task was taken; the resources are reserved there as attempt
  // 0.
  std::string planned_worker;
  std::optional<AttemptEnd> attempt_end;
  std::string checkpoint;
  std::string endpoint;
  contracts::Resources used;
  // A start had no complete answer, so it may still take effect at any time.
  bool start_uncertain = false;
  bool start_in_flight = false;
  bool stop_in_flight = false;
  // Id of the first command whose report must list the attempt if it still
  // runs.
  std::uint64_t first_listing_command = 0;
  MonotonicTime running_since;
  MonotonicTime not_before;
  std::uint32_t restarts = 0;
};

using LocalTaskList =
    boost::intrusive::list<LocalTask,
                           boost::intrusive::constant_time_size<false>>;

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_LOCAL_TASK_H_
