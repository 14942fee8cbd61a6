// The requirements of a task, from the configuration or its job.
#ifndef CAROBMAST_WORK_TYPES_TASK_SPEC_H_
#define CAROBMAST_WORK_TYPES_TASK_SPEC_H_

#include <cstdint>
#include <string>

#include "config/types/objects.h"
#include "contracts/types/worker.h"

namespace carobmast::work {

struct TaskSpec {
  contracts::TaskKind kind = contracts::TaskKind::kBatch;
  // Name of the service, standing worker or batch job that it belongs to.
  std::string object;
  std::string team;
  std::string pool;
  std::string program;
  contracts::Resources resources;
  config::Priority priority = config::Priority::kNormal;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool checkpoints = false;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_TYPES_TASK_SPEC_H_
