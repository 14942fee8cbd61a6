// Hook that chooses a worker for a task.
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
  // Only workers of this cell qualify; empty for all workers of the scheduler.
  std::string cell;
};

// Returns a usable worker with enough free resources for the task, or nothing.
// Must depend only on its arguments and on what it learned from earlier events.
using PickWorker = std::function<std::optional<std::string>(
    const PlacementRequest& request, const WorkerTable& workers,
    MonotonicTime now)>;

// Default policy: batch tasks go to the fullest worker that fits them, services
// and standing workers to the emptiest. Examines a small number of workers
// only, unless the request names a cell.
PickWorker PickFirstFit();

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_PICK_WORKER_H_
