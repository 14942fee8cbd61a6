// In-memory state of a shard's owner: jobs, occurrences, steps, tasks and runs,
// and the workers.
#ifndef CAROBMAST_JOBS_INTERNAL_MODEL_H_
#define CAROBMAST_JOBS_INTERNAL_MODEL_H_

#include <boost/icl/interval_set.hpp>
#include <boost/intrusive/list.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "contracts/task_workers.h"
#include "jobs/interference_model.h"
#include "jobs/internal/failed_attempts.h"
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

// Identifies a run by task and attempt. Unlike a pointer it stays valid when
// other runs end.
using RunKey = std::pair<contracts::TaskKey, std::uint32_t>;

// A run that a worker lists and the owner does not know.
struct UnknownRun {
  MonotonicTime since;
  std::uint32_t stops_sent = 0;
};

// One execution of a task on one worker, from its stored intent until its end
// is known.
struct Run : boost::intrusive::list_base_hook<
                 boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
  Task* task = nullptr;
  WorkerState* worker = nullptr;
  std::uint32_t attempt = 0;
  RunState state = RunState::kPlanned;
  // The batch that stores the intent; 0 while it is in no batch.
  std::uint64_t intent_batch = 0;
  std::string ticket;
  MonotonicTime sent_at;
  // The last time that its start was ordered.
  MonotonicTime ordered_at;
  MonotonicTime confirmed_at;
  // Whether a start may have reached the worker, whatever its answer was.
  bool may_have_arrived = false;
  bool order_in_flight = false;
  // Starts that were answered, and those that were not: each of these may be
  // carried out later. When the last of them was sent.
  std::uint32_t answered_starts = 0;
  std::uint32_t unanswered_starts = 0;
  MonotonicTime unanswered_start_at;
  // The earliest time to repeat an order.
  MonotonicTime retry_at;
  bool stop_requested = false;
  bool stop_in_flight = false;
  MonotonicTime stop_requested_at;
  std::optional<MonotonicTime> stop_confirmed_at;
  std::uint32_t stops_sent = 0;
  MonotonicTime stop_sent_at;
  // Why the last stop was not confirmed; empty when it was.
  std::string stop_error;
  // As last reported by the worker: progress in percent, and the measured
  // value, which is the latency in milliseconds of a standing task and the
  // processor use of a filler in thousandths of a processor.
  std::uint32_t percent = 0;
  std::uint32_t measured = 0;
  // The time on the worker's clock of the first report of this progress; empty
  // before the first report under the present conditions.
  std::optional<contracts::WorkerClock> progress_clock;
  // Speed of a filler, in percent.
  std::uint32_t pace = 100;
  std::uint32_t pace_sent = 100;
  bool pace_in_flight = false;
  // Whether a start may have arrived, or may yet, and nothing shows that the
  // run has begun.
  bool IsStartInDoubt() const {
    return state != RunState::kRunning && (order_in_flight || may_have_arrived);
  }
  // Whether a start is left that may be carried out once more. `has_begun`: the
  // run is known to have begun, with an answered start if there was one.
  bool HasSpareStart(bool has_begun) const {
    const std::uint32_t used = has_begun && answered_starts == 0 ? 1 : 0;
    const std::uint32_t in_flight = order_in_flight ? 1 : 0;
    return unanswered_starts + in_flight > used;
  }
  // The last time that the filler was not paused.
  MonotonicTime idle_since;
  // The filler's processor use at full speed, in thousandths of a processor; 0
  // until it was measured.
  std::uint64_t full_speed_milli_cpus = 0;
  MonotonicTime pace_changed_at;
  // For a standing task with a latency target: since when it has been over its
  // target, and the smoothed difference of log(latency / target) from the value
  // that the interference model expected.
  std::optional<MonotonicTime> over_since;
  double residual = 0;
  // Smoothed log(latency / target); empty before the first report.
  std::optional<double> level;
};

struct Task {
  Step* step = nullptr;
  std::uint32_t index = 0;
  // The highest attempt number assigned so far.
  std::uint32_t attempt = 0;
  // Of a gang, its first task keeps them.
  FailedAttempts failures;
  std::string checkpoint;
  // Whether a checkpoint was too long to be kept.
  bool checkpoint_refused = false;
  bool finished = false;
  std::list<Run> runs;
  // The end of its last run that this owner has followed.
  MonotonicTime idle_since;
  // No attempt before: a start of an earlier one may still be carried out.
  MonotonicTime not_before;
  // The worker where the task failed last or from which it was moved.
  std::string avoided_worker;
};

// The advice service's answer for one worker. An empty text means that the
// worker may not run the step.
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
  // Number of finished tasks.
  std::uint32_t finished = 0;
  // Whether the step is in the queue of steps with waiting tasks.
  bool ready = false;
  MonotonicTime ready_at;
  // Whether a task of it found no room in the last schedule.
  bool lacks_room = false;
  // Whether it has planned runs that are in no batch yet, and the last batch
  // that has taken such.
  bool has_new_runs = false;
  std::uint64_t runs_batch = 0;
  // By worker ID; only for queues that require advice.
  std::map<std::string, Ticket> tickets;
  // Of a gang: workers on which a member has failed, the latest last. Until the
  // time it waits for room on others.
  std::vector<std::string> avoided_workers;
  MonotonicTime avoided_until;
  // For a standing step with a latency target: the level that the load of its
  // users causes on all its tasks.
  LoadEstimate load;
  // Of a divided job: blocks with changes that are in no batch yet, and blocks
  // that have a record.
  std::set<std::uint32_t> changed_blocks;
  std::set<std::uint32_t> stored_blocks;
};

// Levels of the tasks of one standing step on one worker, as log(latency /
// target).
struct LatencyLevel {
  const Step* step = nullptr;
  // The expected level without fillers.
  double base_level = 0;
  // What the fillers of the worker add at full speed.
  double slowdown = 0;
};

struct Occurrence {
  Job* job = nullptr;
  std::uint32_t number = 0;
  std::vector<Step> steps;
  bool finished = false;
};

using OccurrenceSet = boost::icl::interval_set<std::uint32_t>;
using OccurrenceInterval = boost::icl::interval<std::uint32_t>;

struct Job {
  std::string id;
  std::string queue;
  // Of its queue, as last configured; the one at acceptance for an owner that
  // has not seen the queue configured. `max_attempts` is 0 when it is unknown,
  // for jobs accepted by an earlier version.
  QueuePolicy policy;
  JobSpec spec;
  std::int64_t accepted_at_ms = 0;
  // The wall time, in milliseconds, by which the job should end. Jobs of the
  // same priority are scheduled in this order.
  std::int64_t objective_ms = 0;
  std::uint32_t priority = 0;
  bool cancelled = false;
  bool started = false;
  JobState state = JobState::kQueued;
  // The state as stored, which callers are told.
  JobState stored_state = JobState::kQueued;
  std::int64_t ended_at_ms = 0;
  // Since when this owner has known the end.
  MonotonicTime over_since;
  std::map<std::uint32_t, std::unique_ptr<Occurrence>> occurrences;
  std::uint32_t next_occurrence = 0;
  std::uint32_t finished_occurrences = 0;
  // Occurrences that are over and no longer in `occurrences`.
  OccurrenceSet retired_occurrences;
  // Finished occurrences of which some runs may not be over.
  std::set<std::uint32_t> retiring_occurrences;
  // Whether the progress of its tasks is stored in blocks, since it may exceed
  // one record.
  bool divided = false;
  // Number of runs of all its tasks, and since when it has been 0.
  std::uint32_t run_count = 0;
  MonotonicTime idle_since;
  // The number of its first change that is in no batch yet; 0 for none.
  std::uint64_t change = 0;
  bool spec_written = false;
  // Submissions that wait for the job to be stored.
  std::uint32_t waiting_submissions = 0;
  // Whether it has become worthless before its first run.
  bool counted_worthless = false;
  // Whether it has become late while tasks of it lacked room.
  bool counted_late = false;
  // The encoded progress, between Restore and FinishRestore only.
  std::string restored_progress;

  bool IsOver() const {
    return state != JobState::kQueued && state != JobState::kRunning;
  }
};

struct WorkerState {
  std::string id;
  WorkerEntry entry;
  bool listed = false;
  // Under maintenance: evacuated, and gets no new tasks.
  bool cordoned = false;
  // The last time that the worker answered an order of this owner.
  std::optional<MonotonicTime> contact_at;
  std::optional<MonotonicTime> silent_since;
  // Consecutive orders, and consecutive holds, without an answer.
  std::uint32_t unanswered_orders_in_row = 0;
  std::uint32_t unanswered_holds_in_row = 0;
  std::optional<contracts::WorkerClock> clock;
  MonotonicTime clock_at;
  contracts::Incarnation born_ms = 0;
  // Whether this incarnation refuses orders for former ones: it has carried out
  // one with the worker's present token.
  bool is_fenced = false;
  // Whether no former owner can have acknowledged ends of this incarnation.
  bool followed_from_birth = false;
  // The latest lease end sent to the worker, on the worker's clock, and when it
  // was sent.
  contracts::WorkerClock lease_end{0};
  MonotonicTime leased_at;
  // Until when leases may last that orders for a former incarnation have set.
  MonotonicTime foreign_leases_until;
  // Whether the last answer showed the clock of another incarnation.
  bool restart_suspected = false;
  MonotonicTime known_since;
  // Since when its registry entry has had this address.
  MonotonicTime address_since;
  // No report is asked for before.
  MonotonicTime next_report_at;
  // The time of the last report about its runs, on the worker's clock.
  contracts::WorkerClock reported_clock{0};
  contracts::Resources used;
  // The part of `used` that standing tasks hold.
  contracts::Resources standing;
  // Processors requested by fillers, in thousandths of one.
  std::uint64_t filler_milli_cpus = 0;
  // Processors requested by standing tasks with a latency target, in
  // thousandths of one.
  std::uint64_t critical_milli_cpus = 0;
  boost::intrusive::list<Run, boost::intrusive::constant_time_size<false>> runs;
  // Of the last report.
  std::map<RunKey, UnknownRun> unknown_runs;
  // Runs in the last report that should have been stopped before.
  std::size_t leftover_runs = 0;
  MonotonicTime leftover_logged_at;
  // The last end that may be acknowledged, and the last that this incarnation
  // was seen to take as acknowledged.
  std::uint64_t acknowledged_end = 0;
  std::uint64_t forgotten_end = 0;
  // Whether a hold with an acknowledgement is on its way, and since when one
  // has waited for the answers to starts.
  bool acknowledgement_in_flight = false;
  std::optional<MonotonicTime> acknowledgement_waits_since;
  // Since when ends have waited to be acknowledged, for whatever reason.
  std::optional<MonotonicTime> acknowledgement_due_since;
  // Until when starts of ended runs may be carried out once more.
  MonotonicTime spare_starts_until;
  std::uint64_t seen_end = 0;
  // The number of the change that must be stored before the ends up to
  // `seen_end` may be acknowledged.
  std::uint64_t ends_change = 0;
  // Consecutive failures without a success in between, not counting several in
  // a row of the same job.
  std::uint32_t failures_in_row = 0;
  std::string last_failed_job;
  // Quarantines since the last success, up to the limit of doublings.
  std::uint32_t quarantines = 0;
  MonotonicTime quarantined_until;
  // By standing step with a latency target. Valid until the next report, or
  // until a run is added or removed.
  std::vector<LatencyLevel> latency_levels;
  bool latency_levels_valid = false;
  // When the latencies and speeds in a report were last evaluated.
  MonotonicTime latencies_at;
  // The highest ratio of latency to target in the last report, and since when a
  // standing task here has been over its target.
  double worst_latency_ratio = 0;
  std::optional<MonotonicTime> over_since;

  // Whether the owner holds the worker. A worker whose registry entry has
  // expired is still held while it has runs, to follow them to their end.
  bool NeedsHold() const {
    return entry.address.port != 0 && (listed || !runs.empty());
  }
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERNAL_MODEL_H_
