// What a scheduler tells about itself.
#ifndef CAROBMAST_WORK_TYPES_STATUS_H_
#define CAROBMAST_WORK_TYPES_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "contracts/types/worker.h"

namespace carobmast::work {

struct CellStatus {
  std::string cell;
  // Of the ownership chart.
  std::string state;
  std::string owner;
  contracts::FencingToken token = 0;
  std::uint32_t members = 0;
  // Members that were neither fenced nor confirmed gone.
  std::vector<std::string> unresolved;
};

struct TaskStatus {
  std::string task;
  std::string object;
  // Of the task chart for tasks of own cells, else the stage in the log.
  std::string state;
  std::string cell;
  std::string worker;
  std::uint32_t attempt = 0;
  std::string endpoint;
  // Why it waits; empty when it doesn't.
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
  // Last offset of the work stream that was read.
  std::uint64_t offset = 0;
  // Whether the state of the work stream is whole.
  bool ready = false;
  std::vector<CellStatus> cells;
  std::vector<TaskStatus> tasks;
  std::vector<JobStatus> jobs;
};

// An own cell of which every member was fenced or is gone: its instances are
// all known.
struct ServingCell {
  std::string cell;
  contracts::FencingToken token = 0;
};

// An instance of a service that runs on an own worker.
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
  // Its worker is leaving, or the instance is being stopped.
  bool leaving = false;
};

// What the own cells serve.
struct Endpoints {
  std::vector<ServingCell> cells;
  std::vector<InstanceEndpoint> instances;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_TYPES_STATUS_H_
