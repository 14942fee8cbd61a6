// What every task needs, from the configuration in force and the jobs in the
// log, and whether it is wanted.
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
  // Takes a configuration set that is in force; returns the ids of the tasks
  // that it adds, changes or removes.
  std::set<std::string> SetConfig(const config::Objects& objects);
  // Whether any set is in force; until then nothing is known to be unwanted.
  bool has_config() const { return has_config_; }

  // The specification of a task; null when it is not known.
  const TaskSpec* Find(const std::string& task, const WorkFold& fold);
  // Whether the task is to run: in the configuration, or of a job that was
  // neither cancelled nor forgotten.
  bool Wanted(const std::string& task, const WorkFold& fold) const;
  // The zones of a pool; empty for all.
  std::vector<std::string> ZonesOf(const std::string& pool) const;
  // Tasks that the configuration asks for.
  const std::map<std::string, TaskSpec>& configured() const {
    return configured_;
  }
  // Drops cached job specifications that the log has forgotten.
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
