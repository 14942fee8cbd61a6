// Status of a scheduler: its cells, tasks, jobs and service endpoints.
#ifndef CAROBMAST_WORK_TYPES_STATUS_H_
#define CAROBMAST_WORK_TYPES_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "contracts/types/worker.h"

namespace carobmast::work {

struct CellStatus {
  std::string cell;
  // Name of the state in the cell chart (charts/cell.yaml).
  std::string state;
  std::string owner;
  contracts::FencingToken token = 0;
  std::uint32_t members = 0;
  // Members that were neither fenced nor confirmed gone since the claim.
  std::vector<std::string> unresolved;
};

struct TaskStatus {
  std::string task;
  std::string object;
  // Name of the state in the task chart (charts/task.yaml) for tasks of the
  // scheduler's own cells, otherwise the stage in the log.
  std::string state;
  std::string cell;
  std::string worker;
  std::uint32_t attempt = 0;
  std::string endpoint;
  // What the task waits for; empty when it doesn't wait.
  std::string waits_for;
};

struct JobStatus {
  std::string submission;
  std::string job;
  // "pending", "running", "finished", "cancelled" or "held".
  std::string state;
  std::uint32_t tasks = 0;
  std::uint32_t finished = 0;
  std::uint32_t running = 0;
  std::uint32_t held = 0;
  std::string reason;
};

struct SchedulerStatus {
  std::string scheduler;
  std::string zone;
  // Offset of the newest record of the work stream that was read.
  std::uint64_t offset = 0;
  // Whether the state of the work stream is complete.
  bool ready = false;
  std::vector<CellStatus> cells;
  std::vector<TaskStatus> tasks;
  std::vector<JobStatus> jobs;
};

// A cell of this scheduler whose members are all fenced or gone, so that all
// instances in it are known.
struct CellHead {
  std::string cell;
  contracts::FencingToken token = 0;
};

// A running instance of a service on a worker of this scheduler.
struct InstanceEndpoint {
  std::string service;
  std::string task;
  std::uint32_t attempt = 0;
  std::string cell;
  contracts::FencingToken token = 0;
  std::string endpoint;
  std::string worker;
  std::string zone;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // The worker is leaving, or the instance is being stopped.
  bool leaving = false;
};

// The service instances in the cells of one scheduler.
struct Endpoints {
  std::vector<CellHead> cells;
  std::vector<InstanceEndpoint> instances;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_TYPES_STATUS_H_
