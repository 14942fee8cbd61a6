// What a shard's owner keeps in memory: jobs down to single runs, and workers.
#ifndef CAROBMAST_JOBS_INTERNAL_MODEL_H_
#define CAROBMAST_JOBS_INTERNAL_MODEL_H_

#include <boost/intrusive/list.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "contracts/task_workers.h"
#include "jobs/interference_model.h"
#include "jobs/types/job.h"

namespace carobmast::jobs {

struct Job;
struct Occurrence;
struct Step;
struct Task;
struct WorkerState;

enum class RunState {
  kPlanned,  // the intent is not stored yet
  kSent,     // ordered; the worker has not confirmed
  kRunning,  // confirmed
};

// One execution of a task on one worker, from the intent to the known end.
struct Run : boost::intrusive::list_base_hook<
                 boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  Task* task = nullptr;
  WorkerState* worker = nullptr;
  std::uint32_t attempt = 0;
  RunState state = RunState::kPlanned;
  // The batch that stores the intent; 0 while none was taken.
  std::uint64_t intent_batch = 0;
  std::string ticket;
  MonotonicTime sent_at;
  MonotonicTime confirmed_at;
  // Orders may be out that the worker has not answered.
  bool may_have_arrived = false;
  bool order_in_flight = false;
  // The next time to repeat an order.
  MonotonicTime retry_at;
  bool stop_wanted = false;
  bool stop_in_flight = false;
  std::optional<MonotonicTime> stop_confirmed_at;
  std::string stop_reason;
  // As the worker last told.
  std::uint32_t percent = 0;
  std::uint32_t measured = 0;
  MonotonicTime progress_at;
  // Of a task that fills.
  std::uint32_t pace = 100;
  std::uint32_t pace_sent = 100;
  bool pace_in_flight = false;
  MonotonicTime idle_since;
  // Its use of processors at full speed, once it was seen.
  std::uint64_t full_milli_cpus = 0;
  MonotonicTime pace_changed_at;
  // Of a standing task with a latency target: since when it has been over it,
  // and by how much the logs of its latencies are above what was expected.
  std::optional<MonotonicTime> over_since;
  double excess = 0;
  // The log of its latency to its target, smoothed; empty before a report.
  std::optional<double> level;
};

struct Task {
  Step* step = nullptr;
  std::uint32_t index = 0;
  // The highest attempt number that was given out.
  std::uint32_t attempt = 0;
  std::uint32_t failures = 0;
  std::string checkpoint;
  bool finished = false;
  std::list<Run> runs;
  // The worker on which it failed last, or that it was moved from.
  std::string avoided_worker;
};

// What the advice service said of a worker; no text: it may not run the step.
struct Ticket {
  std::string text;
  std::int64_t born_ms = 0;
  MonotonicTime valid_until;
};

struct Step {
  Occurrence* occurrence = nullptr;
  const StepSpec* spec = nullptr;
  std::uint32_t number = 0;
  ImageId image = 0;
  std::vector<Task> tasks;
  std::uint32_t finished = 0;
  bool ready = false;
  MonotonicTime ready_at;
  // By worker, where the queue asks for advice.
  std::map<std::string, Ticket> tickets;
  // Of a standing step with a latency target: how its users load all its tasks.
  LoadEstimate load;
};

// The tasks of a standing step on one worker, in logs of latency to target.
struct StandingLevel {
  const Step* step = nullptr;
  // Without the tasks that fill, a little ahead of now.
  double own = 0;
  // What the tasks that fill add at full speed.
  double harm = 0;
};

struct Occurrence {
  Job* job = nullptr;
  std::uint32_t number = 0;
  std::vector<Step> steps;
  bool finished = false;
};

struct Job {
  std::string id;
  std::string queue;
  // The pool at acceptance, for when the queue is no longer configured.
  std::string pool;
  JobSpec spec;
  std::int64_t accepted_at_ms = 0;
  // Later jobs of a priority come after earlier ones.
  std::int64_t objective_ms = 0;
  std::uint32_t priority = 0;
  bool cancelled = false;
  bool started = false;
  JobState state = JobState::kQueued;
  // As it is stored; what callers are told.
  JobState stored_state = JobState::kQueued;
  std::int64_t ended_at_ms = 0;
  std::map<std::uint32_t, std::unique_ptr<Occurrence>> occurrences;
  std::uint32_t next_occurrence = 0;
  std::uint32_t finished_occurrences = 0;
  // Runs of all its tasks, and since when there have been none.
  std::uint32_t run_count = 0;
  MonotonicTime idle_since;
  // The number of its first change that is not in a batch yet; 0 for none.
  std::uint64_t change = 0;
  bool spec_written = false;
  // Between Restore and FinishRestore: the encoded progress.
  std::string restored_progress;

  bool IsOver() const {
    return state != JobState::kQueued && state != JobState::kRunning;
  }
};

struct WorkerState {
  std::string id;
  WorkerEntry entry;
  bool listed = false;
  // Emptied for its maintenance.
  bool cordoned = false;
  // The last time that the worker answered an order of this owner.
  std::optional<MonotonicTime> contact_at;
  std::optional<MonotonicTime> silent_since;
  // Orders, and holds, in a row without an answer.
  std::uint32_t unanswered = 0;
  std::uint32_t unanswered_holds = 0;
  std::optional<contracts::WorkerClock> clock;
  MonotonicTime clock_at;
  std::int64_t born_ms = 0;
  // The latest lease end that was sent, on the worker's clock.
  contracts::WorkerClock lease_end{0};
  MonotonicTime known_since;
  contracts::Resources used;
  // Processors asked for by tasks that fill.
  std::uint64_t fill_milli_cpus = 0;
  // Processors of standing tasks with a latency target.
  std::uint64_t standing_milli_cpus = 0;
  boost::intrusive::list<Run, boost::intrusive::constant_time_size<false>> runs;
  std::uint64_t acknowledged_end = 0;
  std::uint64_t seen_end = 0;
  // The change after which the ends up to `seen_end` are stored.
  std::uint64_t ends_change = 0;
  // Failures in a row, without a success in between.
  std::uint32_t failures_in_row = 0;
  std::string last_failed_job;
  std::uint32_t quarantines = 0;
  MonotonicTime quarantined_until;
  // By standing step with a latency target. Kept until a report, or until a run
  // comes or goes.
  std::vector<StandingLevel> standing_levels;
  bool levels_known = false;
  // The worst ratio of latency to target on the last report, and since when a
  // standing task here has been over its target.
  double pressure = 0;
  std::optional<MonotonicTime> over_since;

  // An entry may lapse while its worker runs on: what it runs is followed.
  bool IsToBeHeld() const {
    return entry.address.port != 0 && (listed || !runs.empty());
  }
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERNAL_MODEL_H_
