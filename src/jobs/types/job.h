// Plain data of jobs: what callers hand in and what operators configure.
#ifndef CAROBMAST_JOBS_TYPES_JOB_H_
#define CAROBMAST_JOBS_TYPES_JOB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "contracts/types/worker.h"
#include "framework/base/time.h"
#include "framework/net/http_client.h"

namespace carobmast::jobs {

// One step: a number of like tasks.
struct StepSpec {
  std::uint32_t count = 1;
  // Of one task.
  contracts::Resources need;
  // The caller's rough estimate of a task's duration.
  std::chrono::milliseconds estimate{0};
  // Numbers of earlier steps that must be finished first.
  std::vector<std::uint32_t> depends_on;
  bool checkpoints = false;
  // The tasks work only together, under one attempt number.
  bool gang = false;
  bool same_rack = false;
  // A label that the worker must have; empty for any worker.
  std::string required_label;
  // The rack that holds the data; empty for none.
  std::string preferred_rack;
  // Most tasks of the step on one worker; 0 for any number.
  std::uint32_t max_per_worker = 0;
  // Copies may run side by side; the first to finish counts.
  bool speculative = false;
  // Runs until the job is cancelled.
  bool standing = false;
  // Tasks of one image behave alike.
  std::string image;
  // Latency that a standing task owes its users; zero for none.
  std::chrono::milliseconds latency_target{0};
  // Runs on processors that other tasks leave unused.
  bool fills = false;
  // Standing tasks of the step that may be away at once by orders of the
  // system.
  std::optional<std::uint32_t> max_away;
};

struct JobSpec {
  // What the tasks do; passed on to the workers as it is.
  std::string text;
  std::vector<StepSpec> steps;
  // Above 0 the steps run this many times, from `first_due` on.
  std::uint32_t occurrences = 0;
  WallTime first_due;
  std::chrono::milliseconds interval{0};
};

// The advice service's pace for a queue.
struct AdvicePolicy {
  std::chrono::milliseconds decide{0};
  std::chrono::milliseconds each{0};
  std::chrono::milliseconds valid{0};
};

struct QueuePolicy {
  std::string name;
  // Callers reach the queue by this host and path prefix.
  std::string host;
  std::string prefix;
  // The pool whose workers run its tasks.
  std::string pool;
  // 0 comes first.
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  // A job is on time within `stretch` times its longest chain and
  // `target_latency` more.
  double stretch = 1;
  std::chrono::milliseconds target_latency{0};
  std::optional<AdvicePolicy> advice;
};

struct PoolPolicy {
  std::string name;
  // Its workers refuse what does not fit.
  bool rejects_overload = true;
  // Its VMs are off and wait to be moved to other pools.
  bool spare = false;
};

// The operators' configuration, in force as a whole.
struct ClusterConfig {
  std::uint64_t version = 0;
  std::vector<QueuePolicy> queues;
  std::vector<PoolPolicy> pools;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
};

// A worker as the registry describes it.
struct WorkerEntry {
  std::string id;
  net::Address address;
  std::string pool;
  std::string zone;
  std::string rack;
  std::vector<std::string> labels;
  contracts::Resources capacity;
  bool draining = false;
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_TYPES_JOB_H_
