#include "scheduler/status_json.h"

namespace carobmast::scheduler {
namespace {

namespace json = boost::json;

json::array StringsToJson(const std::vector<std::string>& strings) {
  json::array array;
  for (const std::string& text : strings) array.emplace_back(text);
  return array;
}

json::object ToJson(const work::CellStatus& cell) {
  return {{"cell", cell.cell},
          {"state", cell.state},
          {"owner", cell.owner},
          {"token", cell.token},
          {"members", cell.members},
          {"unresolved", StringsToJson(cell.unresolved)}};
}

json::object ToJson(const work::TaskStatus& task) {
  return {{"task", task.task},         {"object", task.object},
          {"state", task.state},       {"cell", task.cell},
          {"worker", task.worker},     {"attempt", task.attempt},
          {"endpoint", task.endpoint}, {"waits_for", task.waits_for}};
}

json::object ToJson(const work::JobStatus& job) {
  return {{"submission", job.submission},
          {"job", job.job},
          {"state", job.state},
          {"tasks", job.tasks},
          {"finished", job.finished},
          {"running", job.running},
          {"held", job.held},
          {"reason", job.reason}};
}

// Also matches when `name` is the submission that the task belongs to.
bool Matches(const work::TaskStatus& task, const std::string& name) {
  return name.empty() || task.task == name || task.object == name ||
         task.task.starts_with(name + "/");
}

// Also matches when `name` is the name of a task of the job's submission.
bool Matches(const work::JobStatus& job, const std::string& name) {
  return name.empty() || job.submission == name || job.job == name ||
         name.starts_with(job.submission + "/");
}

// Appends the items that match the filter until `array` holds filter.max items.
// Returns the number of matching items that were omitted.
template <typename Item>
std::size_t AddMatchingItems(const std::vector<Item>& items,
                             const StatusFilter& filter, json::array& array) {
  std::size_t omitted = 0;
  for (const Item& item : items) {
    if (!Matches(item, filter.name)) continue;
    if (array.size() < filter.max) {
      array.push_back(ToJson(item));
    } else {
      ++omitted;
    }
  }
  return omitted;
}

}  // namespace

json::object StatusToJson(const work::SchedulerStatus& status,
                          const StatusFilter& filter) {
  json::array cells;
  for (const work::CellStatus& cell : status.cells) {
    cells.push_back(ToJson(cell));
  }
  json::array tasks;
  const std::size_t more_tasks = AddMatchingItems(status.tasks, filter, tasks);
  json::array jobs;
  const std::size_t more_jobs = AddMatchingItems(status.jobs, filter, jobs);
  return {{"scheduler", status.scheduler}, {"zone", status.zone},
          {"offset", status.offset},       {"ready", status.ready},
          {"cells", std::move(cells)},     {"tasks", std::move(tasks)},
          {"more_tasks", more_tasks},      {"jobs", std::move(jobs)},
          {"more_jobs", more_jobs}};
}

json::object CountersToJson(const work::SchedulerCounters& counters) {
  return {{"claims", counters.claims},
          {"cells_lost", counters.cells_lost},
          {"appends", counters.appends},
          {"commands", counters.commands},
          {"starts", counters.starts},
          {"adopted", counters.adopted},
          {"stops", counters.stops},
          {"strays", counters.strays},
          {"stale_answers", counters.stale_answers},
          {"workers_gone", counters.workers_gone},
          {"leases_expired", counters.leases_expired},
          {"takes_lost", counters.takes_lost},
          {"workers_set_aside", counters.workers_set_aside},
          {"snapshots", counters.snapshots}};
}

}  // namespace carobmast::scheduler
