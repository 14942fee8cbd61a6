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

// Order of service under contention, most important first.
enum class Priority { kUrgent, kHigh, kNormal, kLow };

// A team with a quota over everything that it runs.
struct Team {
  std::string name;
  contracts::Resources quota;
  Priority priority = Priority::kNormal;
  // Requests that the team may have in flight at one gateway; 0 for no limit.
  std::uint32_t max_requests = 0;
};

// A class of requests or tasks by their usual length.
struct SizeClass {
  std::string name;
  // Work longer than this belongs to the next class.
  Duration up_to = Duration::zero();
  // Share of a service's slots that the class may hold, in percent.
  std::uint32_t max_share = 100;
};

// Workers of one kind.
struct VmPool {
  std::string name;
  std::vector<std::string> zones;
  std::uint32_t workers = 0;
  contracts::Resources worker;
  std::uint32_t rack_size = 8;
  // Whether a reserve is kept free ahead of known crests.
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
  // Requests without a deadline of their own get this one.
  Duration deadline = std::chrono::seconds(1);
  // Names of size classes, shortest first; may be empty.
  std::vector<std::string> size_classes;
};

// Work that runs to its end, exactly once for each submission.
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
  // Whether its tasks can write checkpoints.
  bool checkpoints = false;
  // Jobs of which a submission must have finished first.
  std::vector<std::string> after;
};

// A worker process that runs all the time, each replica in one place at once.
struct StandingWorker {
  std::string name;
  std::string team;
  std::string pool;
  std::string program;
  std::uint32_t replicas = 1;
  contracts::Resources task;
};

// A VM that gets no new work, by the operators' will. Its name is the VM's.
struct DrainedVm {
  std::string name;
  // For operators.
  std::string reason;
};

// Who may publish. While a set has none, everybody may.
struct Publisher {
  std::string name;
  // Public key (Ed25519) as 64 lower-case hexadecimal digits.
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

// All objects of a set, each kind by name. A name is unique over all kinds.
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
