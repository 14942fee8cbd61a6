#include "scheduler/status_json.h"

namespace carobmast::scheduler {
namespace {

namespace json = boost::json;

json::array Strings(const std::vector<std::string>& strings) {
  json::array array;
  for (const std::string& text : strings) array.emplace_back(text);
  return array;
}

json::object ToJson(const work::CellStatus& cell) {
  return {{"cell", cell.cell},       {"state", cell.state},
          {"owner", cell.owner},     {"token", cell.token},
          {"members", cell.members}, {"unresolved", Strings(cell.unresolved)}};
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

bool Matches(const work::TaskStatus& task, const std::string& name) {
  return name.empty() || task.task == name || task.object == name ||
         task.task.starts_with(name + "/");
}

bool Matches(const work::JobStatus& job, const std::string& name) {
  return name.empty() || job.submission == name || job.job == name ||
         name.starts_with(job.submission + "/");
}

// Adds the matching items up to the limit; returns how many were left out.
template <typename Item>
std::size_t AddItems(const std::vector<Item>& items, const StatusFilter& filter,
                     json::array& array) {
  std::size_t left_out = 0;
  for (const Item& item : items) {
    if (!Matches(item, filter.name)) continue;
    if (array.size() < filter.max) {
      array.push_back(ToJson(item));
    } else {
      ++left_out;
    }
  }
  return left_out;
}

}  // namespace

json::object StatusToJson(const work::SchedulerStatus& status,
                          const StatusFilter& filter) {
  json::array cells;
  for (const work::CellStatus& cell : status.cells) {
    cells.push_back(ToJson(cell));
  }
  json::array tasks;
  const std::size_t more_tasks = AddItems(status.tasks, filter, tasks);
  json::array jobs;
  const std::size_t more_jobs = AddItems(status.jobs, filter, jobs);
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
