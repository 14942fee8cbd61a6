// Converts a scheduler's status and counters to JSON, for GET /status and
// metrics.
#ifndef CAROBMAST_SCHEDULER_STATUS_JSON_H_
#define CAROBMAST_SCHEDULER_STATUS_JSON_H_

#include <boost/json.hpp>
#include <cstddef>
#include <string>

#include "work/scheduler_core.h"
#include "work/types/status.h"

namespace carobmast::scheduler {

// Selects the tasks and jobs in the answer to GET /status.
struct StatusFilter {
  // Name of an object, task or submission: only its tasks and jobs are
  // included. Empty for all.
  std::string name;
  // Maximum number of tasks, and of jobs, in the answer.
  std::size_t max = 1000;
};

// Returns the status with all cells and the tasks and jobs that `filter`
// selects. "more_tasks" and "more_jobs" are the numbers of matching tasks and
// jobs omitted because of filter.max.
boost::json::object StatusToJson(const work::SchedulerStatus& status,
                                 const StatusFilter& filter);

// The keys become part of metric names: carobmast_scheduler_KEY_total.
boost::json::object CountersToJson(const work::SchedulerCounters& counters);

}  // namespace carobmast::scheduler

#endif  // CAROBMAST_SCHEDULER_STATUS_JSON_H_
