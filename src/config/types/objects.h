// The named objects of a configuration set.
#ifndef CAROBMAST_CONFIG_TYPES_OBJECTS_H_
#define CAROBMAST_CONFIG_TYPES_OBJECTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "contracts/types/worker.h"
#include "framework/base/time.h"
#include "framework/base/units.h"

namespace carobmast::config {

// Priority of a team under contention, highest first.
enum class Priority { kUrgent, kHigh, kNormal, kLow };

// A team and the resource quota shared by all its work.
struct Team {
  std::string name;
  contracts::Resources quota;
  Priority priority = Priority::kNormal;
  // Limit of requests in flight for the team at each gateway; 0 for no limit.
  std::uint32_t max_requests = 0;
};

// A class of requests or tasks by run time.
struct SizeClass {
  std::string name;
  // Longest run time of the class; longer work belongs to the next class.
  Duration up_to = Duration::zero();
  // Largest share of a service's slots that the class may occupy, in percent.
  std::uint32_t max_share = 100;
};

// A pool of identical workers.
struct VmPool {
  std::string name;
  std::vector<std::string> zones;
  std::uint32_t workers = 0;
  contracts::Resources worker;
  std::uint32_t rack_size = 8;
  // Whether some capacity is kept free ahead of predictable load peaks.
  bool guards = false;
};

// A latency-critical service with interchangeable instances.
struct Service {
  std::string name;
  std::string team;
  std::string pool;
  std::string program;
  std::uint32_t instances = 1;
  contracts::Resources instance;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  // Deadline of requests that state none.
  Duration deadline = std::chrono::seconds(1);
  // Names of size classes in increasing order of `up_to`; may be empty.
  std::vector<std::string> size_classes;
};

// Work that runs to completion, exactly once for each submission.
struct BatchJob {
  std::string name;
  std::string team;
  std::string pool;
  std::string program;
  std::uint32_t tasks = 1;
  contracts::Resources task;
  Duration expected_run_time = std::chrono::minutes(1);
  // Attempts per task before it is held for an operator.
  std::uint32_t max_attempts = 5;
  // Whether the tasks can write checkpoints.
  bool checkpoints = false;
  // Names of jobs of which a submission must have finished first.
  std::vector<std::string> after;
};

// A continuously running process. At most one instance of each replica runs at
// a time.
struct StandingWorker {
  std::string name;
  std::string team;
  std::string pool;
  std::string program;
  std::uint32_t replicas = 1;
  contracts::Resources task;
};

// A VM that operators have drained: it gets no new work. The object has the
// name of the VM.
struct DrainedVm {
  std::string name;
  // For the information of operators.
  std::string reason;
};

// A publisher that may change the set. While a set has no publishers, anyone
// may publish.
struct Publisher {
  std::string name;
  // Ed25519 public key as 64 lower-case hexadecimal digits.
  std::string key;
};

// The kinds of objects, in the order of Object's alternatives.
enum class Kind {
  kTeam,
  kSizeClass,
  kVmPool,
  kService,
  kBatchJob,
  kStandingWorker,
  kDrainedVm,
  kPublisher
};

using Object = std::variant<Team, SizeClass, VmPool, Service, BatchJob,
                            StandingWorker, DrainedVm, Publisher>;

// All objects of a set by kind and name. Names are unique across kinds.
struct Objects {
  std::map<std::string, Team> teams;
  std::map<std::string, SizeClass> size_classes;
  std::map<std::string, VmPool> vm_pools;
  std::map<std::string, Service> services;
  std::map<std::string, BatchJob> batch_jobs;
  std::map<std::string, StandingWorker> standing_workers;
  std::map<std::string, DrainedVm> drained_vms;
  std::map<std::string, Publisher> publishers;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TYPES_OBJECTS_H_
