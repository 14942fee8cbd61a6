// The requirements of every task, from the configuration in force and the jobs
// in the log, and whether the task should run.
#ifndef CAROBMAST_WORK_INTERNAL_TASK_CATALOG_H_
#define CAROBMAST_WORK_INTERNAL_TASK_CATALOG_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/types/objects.h"
#include "work/types/task_spec.h"
#include "work/work_fold.h"

namespace carobmast::work {

class TaskCatalog {
 public:
  // Takes a configuration set that came into force. Returns the ids of the
  // tasks that it adds, changes or removes.
  std::set<std::string> SetConfig(const config::Objects& objects);
  // Whether a configuration set is in force. Before that, no task counts as
  // unwanted.
  bool has_config() const { return has_config_; }

  // The specification of a task; null if it is unknown.
  const TaskSpec* Find(const std::string& task, const WorkFold& fold);
  // Whether the task should run: it is in the configuration, or its job is
  // known and was not cancelled.
  bool Wanted(const std::string& task, const WorkFold& fold) const;
  // The zones of a pool; empty if it may use all zones.
  std::vector<std::string> ZonesOf(const std::string& pool) const;
  // The services and standing workers of the configuration, by task id.
  const std::map<std::string, TaskSpec>& configured() const {
    return configured_;
  }
  // Drops cached specifications of jobs that the fold has dropped.
  void ForgetJobs(const WorkFold& fold);

 private:
  TaskSpec JobSpec(const config::BatchJob& job) const;
  config::Priority PriorityOf(const std::string& team) const;

  bool has_config_ = false;
  std::map<std::string, config::Team> teams_;
  std::map<std::string, config::VmPool> pools_;
  std::map<std::string, TaskSpec> configured_;
  // By submission.
  std::map<std::string, TaskSpec> jobs_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_TASK_CATALOG_H_
