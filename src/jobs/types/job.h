// Job specifications from callers, and the operators' configuration.
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

// One step of a job: `count` identical tasks.
struct StepSpec {
  std::uint32_t count = 1;
  // Resources of one task.
  contracts::Resources need;
  // The caller's rough estimate of a task's duration.
  std::chrono::milliseconds estimate{0};
  // Indices of earlier steps that must finish first.
  std::vector<std::uint32_t> depends_on;
  bool checkpoints = false;
  // The tasks run only all together, under one attempt number.
  bool gang = false;
  bool same_rack = false;
  // A label that the worker must have; empty for any worker.
  std::string required_label;
  // The rack that holds the data; empty for none.
  std::string preferred_rack;
  // Maximum number of the step's tasks on one worker; 0 for no limit.
  std::uint32_t max_per_worker = 0;
  // Slow tasks may be copied to a second worker; the first copy to finish
  // counts.
  bool speculative = false;
  // Standing task: a long-running service that runs until the job is cancelled.
  bool standing = false;
  // Tasks of the same image are assumed to interfere alike with other tasks.
  std::string image;
  // Latency target of a standing task; zero for none.
  std::chrono::milliseconds latency_target{0};
  // Filler task: runs on processors that other tasks leave unused, and is
  // slowed down when it harms standing tasks.
  bool fills = false;
  // Maximum number of the step's standing tasks that the scheduler may make
  // unavailable at once by moving them. When empty, an evacuated worker may
  // lose any number at once.
  std::optional<std::uint32_t> max_away;
};

struct JobSpec {
  // What the tasks do. Passed to the workers unchanged.
  std::string text;
  std::vector<StepSpec> steps;
  // Above 0, the steps run this many times, the first time at `first_due` and
  // then every `interval`.
  std::uint32_t occurrences = 0;
  WallTime first_due;
  std::chrono::milliseconds interval{0};
};

// Timing of the advice service for a queue: the time for a decision, the time
// for each worker asked about, and the lifetime of a ticket.
struct AdvicePolicy {
  std::chrono::milliseconds decide{0};
  std::chrono::milliseconds each{0};
  std::chrono::milliseconds valid{0};
};

struct QueuePolicy {
  std::string name;
  // Host and path prefix under which callers reach the queue.
  std::string host;
  std::string prefix;
  // The pool whose workers run its tasks.
  std::string pool;
  // 0 is the highest priority.
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  // A job is on time when it ends within `stretch` times the estimate of its
  // longest chain of steps, plus `target_latency`.
  double stretch = 1;
  std::chrono::milliseconds target_latency{0};
  std::optional<AdvicePolicy> advice;
};

struct PoolPolicy {
  std::string name;
  // Its workers refuse tasks that do not fit.
  bool rejects_overload = true;
  // Its VMs are switched off until they are moved to other pools.
  bool spare = false;
};

// The operators' configuration; always replaced as a whole.
struct ClusterConfig {
  std::uint64_t version = 0;
  std::vector<QueuePolicy> queues;
  std::vector<PoolPolicy> pools;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
};

// A worker as the registry describes it.
struct WorkerEntry {
  std::string id;
  // That the entry describes.
  contracts::Incarnation incarnation = 0;
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
