// The text of a scheduler's GET /status.
#ifndef CAROBMAST_SCHEDULER_STATUS_JSON_H_
#define CAROBMAST_SCHEDULER_STATUS_JSON_H_

#include <boost/json.hpp>
#include <cstddef>
#include <string>

#include "work/scheduler_core.h"
#include "work/types/status.h"

namespace carobmast::scheduler {

struct StatusFilter {
  // Only tasks and jobs of this object, task or submission; empty for all.
  std::string name;
  // Most tasks, and most jobs, in the answer.
  std::size_t max = 1000;
};

// Cells, tasks and jobs; "more_tasks" and "more_jobs" count what was left out.
boost::json::object StatusToJson(const work::SchedulerStatus& status,
                                 const StatusFilter& filter);

boost::json::object CountersToJson(const work::SchedulerCounters& counters);

}  // namespace carobmast::scheduler

#endif  // CAROBMAST_SCHEDULER_STATUS_JSON_H_
