// The choice of a worker for a task, as a hook.
#ifndef CAROBMAST_WORK_PICK_WORKER_H_
#define CAROBMAST_WORK_PICK_WORKER_H_

#include <functional>
#include <optional>
#include <string>

#include "framework/base/time.h"
#include "work/types/task_spec.h"
#include "work/worker_table.h"

namespace carobmast::work {

struct PlacementRequest {
  std::string task;
  TaskSpec spec;
  // Only workers of this cell; empty for all that the scheduler owns.
  std::string cell;
};

// Names a usable worker with room for the task, or none. Must depend on its
// arguments alone, or on what it learned from earlier events.
using PickWorker = std::function<std::optional<std::string>(
    const PlacementRequest& request, const WorkerTable& workers,
    MonotonicTime now)>;

// The plain choice: batch goes to the fullest worker that has room, services
// and standing workers to the emptiest. Looks at no more than a few workers.
PickWorker PickFirstFit();

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_PICK_WORKER_H_
