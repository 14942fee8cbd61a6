// Random faults of a shard's owners, its store, the network and the workers.
//
// Checked invariants: a task runs in one place at a time, not after an
// acknowledged finish, not before the step that it depends on, not beyond its
// attempts, and is not started on a worker that announced long before that it
// leaves; no accepted job is lost, and jobs that have not started are counted
// as pending. Once a cancel is acknowledged, no owner in force starts the job,
// its tasks stop in a calm time, and it ends as cancelled or as it had ended
// before, whenever its submissions arrive. Once the faults are over, all jobs
// end.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <random>

#include "fuzz_worker.h"
#include "jobs/job_record.h"
#include "jobs/shard_core.h"

namespace carobmast::jobs {
namespace {

using contracts::OrderOutcome;
using std::chrono::milliseconds;

constexpr char kDefaultSeed[] = "20261204";
constexpr char kDefaultRuns[] = "300";
constexpr std::uint32_t kMaxAttempts = 2;
constexpr milliseconds kTick{25};
// An owner that has not confirmed its claim in the store for this long stops.
constexpr milliseconds kUnprovenOwnershipTimeout{10000};
constexpr milliseconds kOrderTimeout{250};
constexpr milliseconds kMaxHoldPause{100};
// That workers grant.
constexpr milliseconds kLongestLease{10000};
// Time in which all accepted jobs must end after the faults: the timeout of an
// unconfirmed claim, the longest lease and the work, one after the other.
constexpr milliseconds kSettleTime{120000};
// Time after its announcement for which a leaving worker may still get starts.
constexpr milliseconds kDrainBound{2000};
// Longer than a test run, so that ended jobs stay known.
constexpr milliseconds kKeepEnded{3600000};
// Time after which the registry drops the entry of a worker that is gone.
constexpr milliseconds kEntryTimeout{4500};
// Time after which tasks of a cancelled job no longer run in a calm time, with
// a margin for the way of the orders.
constexpr milliseconds kCancelBound{4000};
constexpr milliseconds kCancelMargin{500};
// Calls of callers arrive this much later at most, and those that find no owner
// are repeated after a pause from this range.
constexpr int kMaxCallDelayMs = 8000;
constexpr int kMinCallPauseMs = 50;
constexpr int kMaxCallPauseMs = 150;
// Below the 120 s for which the ID of an unknown job stays cancelled.
constexpr milliseconds kMaxCancelAge{100000};
// Part of the calls that reach a former owner while there is one.
constexpr double kFormerOwnerCalls = 0.3;
// Much less than a long task takes, so that it outlives this and the bound.
constexpr milliseconds kMaxUnheededTime{2000};
// A restarted or replaced worker is unreachable for this part of the fault's
// time.
constexpr int kDownTimeDivisor = 8;
// A worker that restarts is cut off this much later at most.
constexpr int kMaxTimeToCutMs = 3000;
// A worker restarts this often in a row, after pauses of at most this length.
constexpr int kMinRestartsInRow = 2;
constexpr int kMaxRestartsInRow = 4;
constexpr int kMaxRestartPauseMs = 2000;
// The registry tells of a restart this much later at most.
constexpr int kMaxEntryDelayMs = 2000;
// Orders without an answer are carried out this late.
constexpr int kMinLateOrderMs = 2000;
constexpr int kMaxLateOrderMs = 12000;
constexpr double kLateOrderShare = 0.4;
// A clock that says nothing of that of the former incarnation begins below
// this time.
constexpr int kMaxFirstClockMs = 9000000;
// Of a worker that no order for a former incarnation can reach any more.
constexpr milliseconds kOldAge{3600000};
constexpr int kWorkers = 4;
constexpr std::size_t kNodes = 4;
// Few, so that owners also run out of them.
constexpr std::uint32_t kTokensPerOwner = 4;
constexpr int kLongTaskFactor = 2;
// Below kUnprovenOwnershipTimeout.
constexpr milliseconds kSplitTime{9000};
// Interval at which an owner asks the nodes whether they know a later one.
constexpr milliseconds kNodeInterval{250};

enum class Fault {
  kSubmit,
  kSubmitFailing,
  kCancel,
  kWithdraw,    // a submission that is not stored is given up
  kTakeOver,    // the former owner continues until it notices
  kKillOwner,   // the next one starts at once
  kPauseOwner,  // it may have been replaced when it resumes
  kStoreUnavailable,
  kLoseAppendAnswers,
  kUnreachableWorker,
  kLoseMessages,
  // Orders are not answered, and are carried out seconds later by whichever
  // incarnation there is.
  kLateOrders,
  // Connections outlive restarts: orders reach whichever incarnation there is.
  kOpenConnections,
  kCrashWorker,     // it restarts under its ID
  kRestartInRow,    // it restarts several times, and is cut off after the last
  kRestartAndCut,   // like kCrashWorker; it is cut off soon after
  kReplaceWorker,   // it crashes; an incarnation of another ID takes its place,
                    // while the registry still lists the former one
  kDrainWorker,     // it announces that it leaves, and is replaced later
  kRegistryUnread,  // no owner can read the registry
  kConfigUnread,    // new owners can't read the configuration
  kDropQueue,       // the queue is removed for a while
  kDieInAppend,     // the owner ends when part of a batch is stored
  kSplitOwners,     // a new owner starts; the former one does not reach the
                    // store, and each of them reaches some of the workers
                    // and nodes
  kRestartNode,     // it forgets which owners it knew
  kLateCopies,      // an earlier submission arrives twice more
  kReplaceBetween,  // the owner is replaced while a submission and its cancel
                    // wait there; both are tried again, in either order
  kWithdrawCancelled,  // a cancelled submission is given up and arrives again
  kUnheededStops,      // a running job is cancelled, and workers confirm stops
                       // that they don't carry out
  kCount,
};

constexpr const char* kFaultNames[] = {
    "submit",           "submit failing",  "cancel",
    "withdraw",         "take over",       "kill owner",
    "pause owner",      "store out",       "lose append answers",
    "cut worker",       "lose messages",   "late orders",
    "open connections", "crash worker",    "restart in row",
    "restart and cut",  "replace worker",  "drain worker",
    "registry silent",  "config unread",   "drop queue",
    "die in append",    "split owners",    "restart node",
    "late copies",      "replace between", "withdraw cancelled",
    "unheeded stops"};

// A fault, its target, its duration, and the time until the next fault.
struct FaultStep {
  Fault fault = Fault::kSubmit;
  int target = 0;
  int length_ms = 0;
  int wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const FaultStep& step) {
  return out << kFaultNames[static_cast<int>(step.fault)] << "(" << step.target
             << ", " << step.length_ms << " ms), " << step.wait_ms << " ms";
}

// Faults that restarts of workers are combined with in half of the runs.
constexpr Fault kRestartFaults[] = {Fault::kSubmit,
                                    Fault::kSubmit,
                                    Fault::kLateOrders,
                                    Fault::kLateOrders,
                                    Fault::kOpenConnections,
                                    Fault::kOpenConnections,
                                    Fault::kCrashWorker,
                                    Fault::kRestartInRow,
                                    Fault::kRestartInRow,
                                    Fault::kRestartAndCut,
                                    Fault::kUnreachableWorker,
                                    Fault::kLoseMessages,
                                    Fault::kTakeOver,
                                    Fault::kKillOwner,
                                    Fault::kSplitOwners,
                                    Fault::kStoreUnavailable};

rc::Gen<Fault> ArbitraryFault(bool combines_restarts) {
  if (combines_restarts) {
    return rc::gen::elementOf(std::vector<Fault>(std::begin(kRestartFaults),
                                                 std::end(kRestartFaults)));
  }
  return rc::gen::map(rc::gen::inRange(0, static_cast<int>(Fault::kCount)),
                      [](int fault) { return static_cast<Fault>(fault); });
}

rc::Gen<FaultStep> ArbitraryStep(bool combines_restarts) {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<FaultStep>(
          rc::gen::set(&FaultStep::fault, ArbitraryFault(combines_restarts)),
          rc::gen::set(&FaultStep::target, rc::gen::inRange(0, 100)),
          rc::gen::set(&FaultStep::length_ms, rc::gen::inRange(100, 9000)),
          rc::gen::set(&FaultStep::wait_ms, rc::gen::inRange(0, 4000))));
}

class FuzzWorld {
 public:
  explicit FuzzWorld(std::uint32_t seed) : random_(seed) {
    history_.max_attempts = kMaxAttempts;
    // In half of the runs all jobs are divided.
    if (random_() % 2 == 0) max_undivided_bytes_ = 1;
    // In half of them each batch contains one job.
    if (random_() % 2 == 0) max_batch_bytes_ = 1;
    for (int i = 0; i < kWorkers; ++i) {
      const contracts::Incarnation born_ms =
          WallMs() - (random_() % 2 == 0 ? kOldAge.count() : 0);
      workers_.push_back(std::make_unique<FuzzWorker>("w" + std::to_string(i),
                                                      history_, born_ms));
      listed_births_.push_back(born_ms);
    }
    TakeOver();
  }

  void Apply(const FaultStep& step) {
    const ShardTime until = TimeAfter(milliseconds(step.length_ms));
    const std::size_t target = static_cast<std::size_t>(step.target);
    switch (step.fault) {
      case Fault::kSubmit:
      case Fault::kSubmitFailing:
        Submit(step);
        break;
      case Fault::kCancel:
        CancelAny(target);
        break;
      case Fault::kWithdraw:
        Withdraw(target);
        break;
      case Fault::kTakeOver:
        TakeOver();
        break;
      case Fault::kKillOwner:
        RestartNode(owners_.back()->node);
        TakeOver();
        break;
      case Fault::kPauseOwner:
        owners_.back()->paused_until = until.steady;
        break;
      case Fault::kStoreUnavailable:
        store_unavailable_until_ = until.steady;
        break;
      case Fault::kLoseAppendAnswers:
        append_answers_lost_until_ = until.steady;
        break;
      case Fault::kUnreachableWorker:
        unreachable_until_[target % kWorkers] = until.steady;
        break;
      case Fault::kLoseMessages:
        lossy_until_ = until.steady;
        break;
      case Fault::kLateOrders:
        orders_late_until_ = until.steady;
        break;
      case Fault::kOpenConnections:
        connections_open_until_ = until.steady;
        break;
      case Fault::kCrashWorker:
        Restart(target % kWorkers, milliseconds(step.length_ms));
        break;
      case Fault::kRestartAndCut:
        Restart(target % kWorkers, milliseconds(step.length_ms));
        CutLater(target % kWorkers, milliseconds(0),
                 milliseconds(step.length_ms));
        break;
      case Fault::kRestartInRow:
        RestartInRow(target % kWorkers, milliseconds(step.length_ms));
        break;
      case Fault::kReplaceWorker:
        Replace(target % kWorkers, milliseconds(step.length_ms));
        break;
      case Fault::kDrainWorker:
        Drain(target % kWorkers, milliseconds(step.length_ms));
        break;
      case Fault::kRegistryUnread:
        registry_unread_until_ = until.steady;
        break;
      case Fault::kConfigUnread:
        config_unread_until_ = until.steady;
        break;
      case Fault::kDropQueue:
        queue_dropped_until_ = until.steady;
        break;
      case Fault::kDieInAppend:
        owners_.back()->dies_in_append = true;
        break;
      case Fault::kSplitOwners:
        Split(target, static_cast<std::size_t>(step.length_ms));
        break;
      case Fault::kRestartNode:
        RestartNode(target % kNodes);
        break;
      case Fault::kLateCopies:
        SendLateCopies(target);
        break;
      case Fault::kReplaceBetween:
        ReplaceBetween(step);
        break;
      case Fault::kWithdrawCancelled:
        WithdrawCancelled(step);
        break;
      case Fault::kUnheededStops:
        LeaveStopsUnheeded(step);
        break;
      case Fault::kCount:
        break;
    }
    Run(milliseconds(step.wait_ms));
  }

  void Run(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kTick) Tick();
  }

  // Ends all faults; all accepted jobs must then end.
  void EndFaultsAndSettle() {
    split_until_ = store_unavailable_until_ = append_answers_lost_until_ =
        lossy_until_ = orders_late_until_ = connections_open_until_ =
            registry_unread_until_ = config_unread_until_ =
                queue_dropped_until_ = stops_unheeded_until_ = now_.steady;
    for (auto& [worker, until] : unreachable_until_) {
      until = std::min(until, now_.steady);
    }
    owners_.back()->paused_until = now_.steady;
    Run(kSettleTime);
  }

  void AssertInvariants() const {
    for (const std::string& violation : history_.violations) RC_FAIL(violation);
  }

  void AssertSettled() const {
    const ShardCore& core = *owners_.back()->core;
    for (const auto& [id, job] : accepted_) {
      const std::optional<JobState> state = core.StoredState(id);
      if (!state.has_value()) RC_FAIL("accepted job " + id + " is unknown");
      if (history_.IsRunning(id)) RC_FAIL("job " + id + " still runs");
      if (*state == JobState::kCompleted || *state == JobState::kCancelled) {
        if (*state == JobState::kCancelled && !cancelled_.contains(id)) {
          RC_FAIL("job " + id + " is cancelled without a request");
        }
        continue;
      }
      if (*state != JobState::kFailed) RC_FAIL("job " + id + " has not ended");
      if (history_.Failures(id) < kMaxAttempts) {
        RC_FAIL("job " + id + " failed before all its attempts had");
      }
    }
    for (const auto& [id, cancel] : acknowledged_cancels_) {
      if (history_.IsRunning(id)) RC_FAIL("cancelled job " + id + " runs");
    }
  }

 private:
  // A cancel that its caller takes for done.
  struct AcknowledgedCancel {
    MonotonicTime at;
    // The state in which the job is stored from then on, if it is.
    JobState state = JobState::kCancelled;
  };

  // The latest owner that the process of a node knows.
  struct FuzzNode {
    std::int64_t incarnation = 1;
    contracts::FencingToken token = 0;
  };

  // A registry entry of a worker that is gone, and until when it is listed.
  struct FormerEntry {
    MonotonicTime until;
    contracts::Incarnation born_ms = 0;
  };

  struct OwnerInstance {
    contracts::FencingToken token = 0;
    std::size_t node = 0;
    MonotonicTime nodes_asked_at;
    std::unique_ptr<ShardCore> core;
    bool dead = false;
    MonotonicTime paused_until;
    MonotonicTime last_proof_at;
    MonotonicTime store_cut_until;
    bool dies_in_append = false;
    // Whether the queue is configured; empty without a configuration.
    std::optional<bool> knows_queue;
    // By worker, whether a hold is in flight.
    std::map<std::string, bool> holds;
    // A batch that was stored but whose answer was lost.
    std::optional<Batch> unanswered;
    // Submitted jobs, with the change that must be stored before they are
    // accepted.
    std::vector<std::pair<std::string, std::uint64_t>> submissions;
    // Like submissions: cancels that are not acknowledged.
    std::vector<std::pair<std::string, std::uint64_t>> cancels;
  };

  // An action at a point in time.
  struct Event {
    MonotonicTime at;
    std::function<void()> act;
  };

  ShardTime TimeAfter(milliseconds time) const {
    return {.steady = now_.steady + time, .wall = now_.wall + time};
  }

  bool HappensWithProbability(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  milliseconds Delay(int least, int most) {
    return milliseconds(
        std::uniform_int_distribution<int>(least, most)(random_));
  }

  void After(milliseconds time, std::function<void()> act) {
    events_.push_back({now_.steady + time, std::move(act)});
  }

  void TakeOver() {
    std::unique_ptr<OwnerInstance> incarnation =
        std::make_unique<OwnerInstance>();
    OwnerInstance* owner = incarnation.get();
    last_token_ += kTokensPerOwner;
    owner->token = last_token_;
    owner->node = last_token_ / kTokensPerOwner % kNodes;
    LearnOwner(owner->node, owner->token);
    owner->last_proof_at = now_.steady;
    calm_since_ = now_.steady;
    store_epoch_ = owner->token;
    owner->core = std::make_unique<ShardCore>(
        ShardOptions{.token = owner->token,
                     .token_count = kTokensPerOwner,
                     .node = WitnessOf(owner->node),
                     .has_former_owners = !owners_.empty(),
                     .former_owners_need_nodes = true,
                     .longest_lease = kLongestLease,
                     .keep_ended = kKeepEnded,
                     .max_batch_bytes = max_batch_bytes_,
                     .max_undivided_bytes = max_undivided_bytes_},
        MakeHooks(owner));
    ReadConfig(*owner);
    for (const auto& [key, value] : stored_) {
      owner->core->Restore({.key = key, .value = value});
    }
    owner->core->FinishRestore(now_);
    ReadRegistry(*owner);
    owners_.push_back(std::move(incarnation));
  }

  Witness WitnessOf(std::size_t node) const {
    return {.id = "n" + std::to_string(node),
            .incarnation = nodes_[node].incarnation};
  }

  // All owners on the node end with its process.
  void RestartNode(std::size_t node) {
    ++nodes_[node].incarnation;
    LearnOwner(node, last_token_ + kTokensPerOwner);
    nodes_[node].token = 0;
    if (owners_.back()->dead) {
      After(kTick, [this] {
        if (owners_.back()->dead) TakeOver();
      });
    }
  }

  // Earlier owners on the node end.
  void LearnOwner(std::size_t node, contracts::FencingToken token) {
    nodes_[node].token = std::max(nodes_[node].token, token);
    for (const std::unique_ptr<OwnerInstance>& owner : owners_) {
      if (owner->node == node && owner->token < token) owner->dead = true;
    }
  }

  bool IsPaused(std::size_t node) const {
    return std::any_of(owners_.begin(), owners_.end(),
                       [this, node](const auto& owner) {
                         return owner->node == node && !owner->dead &&
                                owner->paused_until > now_.steady;
                       });
  }

  bool ReachesNode(const OwnerInstance& owner, std::size_t node) const {
    if (split_until_ <= now_.steady) return true;
    const bool is_newest = &owner == owners_.back().get();
    return is_newest == ((nodes_reached_by_newest_ >> node) % 2 == 1);
  }

  void AskNodes(OwnerInstance& owner) {
    if (now_.steady - owner.nodes_asked_at < kNodeInterval) return;
    owner.nodes_asked_at = now_.steady;
    for (std::size_t node = 0; node < kNodes; ++node) {
      const bool lost =
          lossy_until_ > now_.steady && HappensWithProbability(0.3);
      if (node == owner.node || lost || !ReachesNode(owner, node)) continue;
      After(Delay(0, 30), [this, &owner, node, asked_at = now_.steady] {
        AskNode(owner, node, asked_at);
      });
    }
  }

  void AskNode(OwnerInstance& owner, std::size_t node, MonotonicTime asked_at) {
    if (IsPaused(node) || nodes_[node].token > owner.token) return;
    LearnOwner(node, owner.token);
    const WitnessCandidate answer{.witness = WitnessOf(node), .zone = "z"};
    After(Delay(0, 300), [this, &owner, answer, asked_at] {
      if (owner.dead || owner.paused_until > now_.steady) return;
      owner.core->OnNodeAnswered(answer, asked_at, now_);
    });
  }

  void ReadConfig(OwnerInstance& owner) {
    if (config_unread_until_ > now_.steady) return;
    const bool has_queue = queue_dropped_until_ <= now_.steady;
    if (owner.knows_queue == has_queue) return;
    owner.knows_queue = has_queue;
    ClusterConfig config{.pools = {{.name = "pool"}}};
    if (has_queue) {
      config.queues.push_back({.name = "queue",
                               .host = "host",
                               .prefix = "/p/",
                               .pool = "pool",
                               .max_attempts = kMaxAttempts});
    }
    owner.core->SetConfig(config, now_);
  }

  void ReadRegistry(OwnerInstance& owner) {
    if (registry_unread_until_ > now_.steady) return;
    std::vector<WorkerEntry> entries;
    entries.reserve(workers_.size());
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      entries.push_back(MakeEntry(workers_[i]->id(), listed_births_[i],
                                  draining_since_.contains(i)));
    }
    for (const auto& [id, entry] : former_entries_) {
      if (entry.until <= now_.steady) continue;
      entries.push_back(MakeEntry(id, entry.born_ms, false));
    }
    owner.core->SetWorkers(entries, now_.steady, now_);
  }

  WorkerEntry MakeEntry(const std::string& id, contracts::Incarnation born_ms,
                        bool draining) const {
    return {
        .id = id,
        .incarnation = born_ms,
        .address = {.ip = "127.0.0.1",
                    .port = static_cast<std::uint16_t>(1 + IndexOf(id))},
        .pool = "pool",
        .zone = "z",
        .rack = "r",
        .capacity = {.milli_cpus = 4000, .memory = {std::uint64_t{1} << 30}},
        .draining = draining};
  }

  contracts::Incarnation WallMs() const {
    return std::chrono::floor<milliseconds>(now_.wall.time_since_epoch())
        .count();
  }

  // Begins at 0 for half of the incarnations: then it may show what the clock
  // of the former one showed shortly before.
  contracts::WorkerClock FirstClock() {
    return HappensWithProbability(0.5) ? milliseconds(0)
                                       : Delay(0, kMaxFirstClockMs);
  }

  void Crash(std::size_t worker) {
    workers_[worker]->Crash(WallMs(), FirstClock());
    After(Delay(0, kMaxEntryDelayMs),
          [this, worker, id = workers_[worker]->id(),
           born_ms = workers_[worker]->born_ms()] {
            if (workers_[worker]->id() != id) return;
            listed_births_[worker] = std::max(listed_births_[worker], born_ms);
          });
  }

  void Restart(std::size_t worker, milliseconds time) {
    Crash(worker);
    unreachable_until_[worker] = now_.steady + time / kDownTimeDivisor;
  }

  void CutLater(std::size_t worker, milliseconds after, milliseconds time) {
    After(after + Delay(0, kMaxTimeToCutMs), [this, worker, time] {
      unreachable_until_[worker] = now_.steady + time;
    });
  }

  void RestartInRow(std::size_t worker, milliseconds time) {
    const std::int64_t restarts =
        Delay(kMinRestartsInRow, kMaxRestartsInRow).count();
    milliseconds after{0};
    for (std::int64_t i = 0; i < restarts; ++i) {
      After(after, [this, worker] { Crash(worker); });
      after += Delay(0, kMaxRestartPauseMs);
    }
    CutLater(worker, after, time);
  }

  void Replace(std::size_t worker, milliseconds time) {
    former_entries_[workers_[worker]->id()] = {
        .until = now_.steady + std::min(time, kEntryTimeout),
        .born_ms = listed_births_[worker]};
    workers_[worker]->Replace(
        "w" + std::to_string(worker) + "-" + std::to_string(++replaced_),
        WallMs(), FirstClock());
    listed_births_[worker] = workers_[worker]->born_ms();
    unreachable_until_[worker] = now_.steady + time / kDownTimeDivisor;
  }

  // The former owner stays in contact for longer than the leases that a new
  // one waits for.
  void Split(std::size_t workers, std::size_t nodes) {
    split_until_ = now_.steady + kSplitTime;
    owners_.back()->store_cut_until = split_until_;
    const std::size_t former_node = owners_.back()->node;
    TakeOver();
    reached_by_newest_ = workers;
    nodes_reached_by_newest_ = nodes;
    if (workers % 2 == 0) return;
    // The new owner reaches all other nodes, but one worker only.
    reached_by_newest_ = std::size_t{1} << (workers % kWorkers);
    nodes_reached_by_newest_ = ~(std::size_t{1} << former_node);
  }

  // Drains a worker and replaces it after `time` by a new incarnation of the
  // same name.
  void Drain(std::size_t worker, milliseconds time) {
    if (!draining_since_.emplace(worker, now_.steady).second) return;
    After(time, [this, worker] {
      draining_since_.erase(worker);
      Crash(worker);
    });
  }

  void CheckStart(std::size_t worker, const contracts::StartOrder& order) {
    const auto drains = draining_since_.find(worker);
    if (drains == draining_since_.end()) return;
    if (now_.steady - drains->second <= kDrainBound) return;
    history_.violations.push_back(order.task.job +
                                  " was started on a worker that leaves");
  }

  // The cancel was stored before it was acknowledged, so that the newest owner
  // knows it.
  void CheckOrder(const OwnerInstance& owner, const std::string& job) {
    if (!acknowledged_cancels_.contains(job)) return;
    if (&owner != owners_.back().get() || owner.dead) return;
    if (owner.paused_until > now_.steady) return;
    history_.violations.push_back(
        job + " was started after its cancel was acknowledged");
  }

  ShardHooks MakeHooks(OwnerInstance* owner) {
    return {.start =
                [this, owner](const contracts::WorkerTarget& target,
                              const contracts::StartOrder& order) {
                  CheckOrder(*owner, order.task.job);
                  Send(
                      owner, target.id, order.incarnation,
                      [this, order](FuzzWorker& worker, bool late) {
                        if (!late) CheckStart(IndexOf(worker.id()), order);
                        contracts::OrderAnswer answer = worker.Start(order);
                        if (answer.outcome == OrderOutcome::kDone) {
                          started_jobs_.insert(order.task.job);
                        }
                        return answer;
                      },
                      [this, owner, target,
                       order](const contracts::OrderAnswer& answer) {
                        owner->core->OnStart(target.id, order, answer, now_);
                      });
                },
            .stop =
                [this, owner](const contracts::WorkerTarget& target,
                              const contracts::StopOrder& order) {
                  Send(
                      owner, target.id, order.incarnation,
                      [this, order](FuzzWorker& worker, bool) {
                        // Only what the owner does about cancelled jobs is
                        // checked under such workers.
                        return stops_unheeded_until_ > now_.steady &&
                                       cancelled_.contains(order.task.job)
                                   ? worker.ConfirmStop(order)
                                   : worker.Stop(order);
                      },
                      [this, owner, target,
                       order](const contracts::OrderAnswer& answer) {
                        owner->core->OnStop(target.id, order, answer, now_);
                      });
                },
            .pace = [](const contracts::WorkerTarget&,
                       const contracts::PaceOrder&) {},
            .advise = nullptr,
            .fenced = [owner](const std::string&) { owner->dead = true; },
            .changed = [] {},
            .hold_now = [](const std::string&) {},
            .decided = [](const std::string&,
                          const std::vector<telemetry::Field>&) {}};
  }

  std::size_t IndexOf(const std::string& worker) const {
    return static_cast<std::size_t>(std::stoi(worker.substr(1)));
  }

  bool IsUnreachable(std::size_t worker, const OwnerInstance& owner) const {
    if (split_until_ > now_.steady) {
      const bool is_newest = &owner == owners_.back().get();
      const bool reached_by_newest = (reached_by_newest_ >> worker) % 2 == 1;
      if (is_newest != reached_by_newest) return true;
    }
    const auto cut = unreachable_until_.find(worker);
    return cut != unreachable_until_.end() && cut->second > now_.steady;
  }

  bool IsOrderLate() {
    return orders_late_until_ > now_.steady &&
           HappensWithProbability(kLateOrderShare);
  }

  milliseconds OrderDelay(bool late, int max_ms) {
    if (!late) return Delay(0, max_ms);
    const milliseconds delay = Delay(kMinLateOrderMs, kMaxLateOrderMs);
    late_order_at_ = std::max(late_order_at_, now_.steady + delay);
    return delay;
  }

  // Whether the process behind the connection, or the one that is there when a
  // late order is carried out, gets an order for this incarnation.
  bool Receives(std::size_t worker, contracts::Incarnation incarnation,
                bool late) const {
    return late || connections_open_until_ > now_.steady ||
           workers_[worker]->Receives(incarnation);
  }

  // Sends an order to a worker, and its answer back. A lost order is never
  // answered; a late one is carried out seconds later and not answered.
  void Send(
      OwnerInstance* owner, const std::string& id,
      contracts::Incarnation incarnation,
      std::function<contracts::OrderAnswer(FuzzWorker&, bool late)> execute,
      std::function<void(const contracts::OrderAnswer&)> on_answer) {
    const std::size_t index = IndexOf(id);
    const bool lossy = lossy_until_ > now_.steady;
    const bool late = IsOrderLate();
    const bool lost =
        IsUnreachable(index, *owner) || (lossy && HappensWithProbability(0.3));
    const bool answer_lost =
        lost || late || (lossy && HappensWithProbability(0.3));
    if (!lost) {
      After(OrderDelay(late, 30), [this, owner, index, id, incarnation, execute,
                                   on_answer, answer_lost, late] {
        contracts::OrderAnswer answer;
        if (workers_[index]->id() != id) {
          answer.outcome = OrderOutcome::kOtherIncarnation;
        } else if (Receives(index, incarnation, late)) {
          answer = execute(*workers_[index], late);
        } else {
          answer.outcome = OrderOutcome::kNotSent;
        }
        if (answer_lost) return;
        After(Delay(0, 30), [owner, on_answer, answer] {
          if (!owner->dead) on_answer(answer);
        });
      });
    }
    if (answer_lost) {
      After(kOrderTimeout, [owner, on_answer] {
        if (!owner->dead) on_answer({.outcome = OrderOutcome::kUnknown});
      });
    }
  }

  void HoldWorkers(OwnerInstance& owner) {
    for (const std::string& id : owner.core->WorkersToHold()) {
      bool& in_flight = owner.holds[id];
      if (in_flight) continue;
      in_flight = true;
      const milliseconds pause = owner.core->PlanHold(id, now_).pause;
      After(std::min(pause, kMaxHoldPause),
            [this, &owner, id] { SendHold(owner, id); });
    }
  }

  void SendHold(OwnerInstance& owner, const std::string& id) {
    if (owner.dead) return;
    const std::size_t index = IndexOf(id);
    const contracts::HoldOrder order = owner.core->PlanHold(id, now_).order;
    const MonotonicTime sent_at = now_.steady;
    const bool lossy = lossy_until_ > now_.steady;
    const bool late = IsOrderLate();
    const bool lost =
        IsUnreachable(index, owner) || (lossy && HappensWithProbability(0.3));
    const bool answer_lost =
        lost || late || (lossy && HappensWithProbability(0.3));
    const std::function<void(const contracts::HoldAnswer&)> on_answer =
        [this, &owner, id, order,
         sent_at](const contracts::HoldAnswer& answer) {
          if (owner.dead) return;
          owner.holds[id] = false;
          owner.core->OnHold(id, order, answer, sent_at, now_);
        };
    if (!lost) {
      After(OrderDelay(late, 100),
            [this, id, index, order, answer_lost, late, on_answer] {
              contracts::HoldAnswer answer;
              if (workers_[index]->id() != id) {
                answer.outcome = OrderOutcome::kOtherIncarnation;
              } else if (Receives(index, order.incarnation, late)) {
                answer = workers_[index]->Hold(order);
              } else {
                answer.outcome = OrderOutcome::kNotSent;
              }
              if (answer_lost) return;
              After(Delay(0, 30), [on_answer, answer] { on_answer(answer); });
            });
    }
    if (answer_lost) {
      After(kOrderTimeout,
            [on_answer] { on_answer({.outcome = OrderOutcome::kUnknown}); });
    }
  }

  void Store(OwnerInstance& owner) {
    if (std::max(store_unavailable_until_, owner.store_cut_until) >
        now_.steady) {
      return;
    }
    if (owner.token < store_epoch_) {
      owner.dead = true;
      return;
    }
    owner.last_proof_at = now_.steady;
    if (owner.unanswered.has_value()) {
      // A repeated append gets the same answer from the store as the first.
      OnStored(owner, *owner.unanswered);
      owner.unanswered.reset();
    }
    if (!owner.core->HasChanges()) return;
    Batch batch = owner.core->TakeBatch(now_);
    if (owner.dies_in_append && !batch.records.empty()) {
      owner.dead = true;
      batch.records.resize(random_() % batch.records.size());
      if (&owner == owners_.back().get()) {
        After(kTick, [this, &owner] {
          if (&owner == owners_.back().get()) TakeOver();
        });
      }
    }
    for (const contracts::KeyedRecord& record : batch.records) {
      if (record.value.has_value()) {
        stored_[record.key] = *record.value;
      } else {
        stored_.erase(record.key);
      }
    }
    if (owner.dead) return;
    if (append_answers_lost_until_ > now_.steady &&
        HappensWithProbability(0.5)) {
      owner.unanswered = std::move(batch);
      return;
    }
    OnStored(owner, batch);
  }

  void OnStored(OwnerInstance& owner, const Batch& batch) {
    owner.core->OnStored(batch.number, now_);
    std::erase_if(owner.submissions, [this, &owner](const auto& waiting) {
      if (owner.core->stored_changes() < waiting.second) return false;
      accepted_[waiting.first] = true;
      return true;
    });
    std::erase_if(owner.cancels, [this, &owner](const auto& waiting) {
      if (owner.core->stored_changes() < waiting.second) return false;
      AcknowledgeCancel(owner, waiting.first);
      return true;
    });
  }

  void Tick() {
    now_.steady += kTick;
    now_.wall += kTick;
    for (const std::unique_ptr<FuzzWorker>& worker : workers_) {
      worker->AdvanceTime(kTick);
    }
    for (std::size_t i = 0; i < events_.size();) {
      if (events_[i].at > now_.steady) {
        ++i;
        continue;
      }
      const std::function<void()> act = std::move(events_[i].act);
      events_.erase(events_.begin() + static_cast<std::ptrdiff_t>(i));
      act();
    }
    for (const std::unique_ptr<OwnerInstance>& owner : owners_) {
      if (owner->dead || owner->paused_until > now_.steady) continue;
      // A paused owner checks this first when it resumes.
      if (owner.get() != owners_.back().get() &&
          now_.steady - owner->last_proof_at > kUnprovenOwnershipTimeout) {
        owner->dead = true;
        continue;
      }
      owner->core->Tick(now_);
      ReadConfig(*owner);
      ReadRegistry(*owner);
      Store(*owner);
      if (owner->dead) continue;
      HoldWorkers(*owner);
      AskNodes(*owner);
    }
    CheckPendingCount(*owners_.back());
    if (IsDisturbed()) calm_since_ = now_.steady;
    CheckCancelledJobs(*owners_.back());
  }

  bool IsDisturbed() const {
    for (const MonotonicTime until :
         {store_unavailable_until_, append_answers_lost_until_, lossy_until_,
          orders_late_until_, late_order_at_, connections_open_until_,
          split_until_, registry_unread_until_, config_unread_until_,
          queue_dropped_until_, stops_unheeded_until_}) {
      if (until > now_.steady) return true;
    }
    for (const auto& [worker, until] : unreachable_until_) {
      if (until > now_.steady) return true;
    }
    for (const std::unique_ptr<OwnerInstance>& owner : owners_) {
      const bool is_newest = owner == owners_.back();
      if (owner->dead == is_newest) return true;
      if (is_newest && owner->paused_until > now_.steady) return true;
    }
    return false;
  }

  // StoredState also names a state of a job that is not stored yet.
  std::optional<JobState> StateInStore(const OwnerInstance& owner,
                                       const std::string& id) const {
    if (!stored_.contains(kProgressPrefix + id)) return std::nullopt;
    return owner.core->StoredState(id);
  }

  bool IsStoredInAnotherState(const OwnerInstance& owner, const std::string& id,
                              const AcknowledgedCancel& cancel) const {
    return StateInStore(owner, id).value_or(cancel.state) != cancel.state;
  }

  // In a calm time.
  void CheckCancelledJobs(const OwnerInstance& owner) {
    constexpr milliseconds kBound = kCancelBound + kCancelMargin;
    if (now_.steady - calm_since_ <= kBound) return;
    for (const auto& [id, cancel] : acknowledged_cancels_) {
      if (now_.steady - cancel.at <= kBound) continue;
      if (history_.IsRunning(id)) {
        history_.violations.push_back(
            id + " runs after its cancel was acknowledged");
      }
      if (IsStoredInAnotherState(owner, id, cancel)) {
        history_.violations.push_back(
            id + " is stored in a state that its acknowledged cancel excludes");
      }
    }
  }

  // The owner counts at least all accepted jobs of which no worker has started
  // a task.
  void CheckPendingCount(const OwnerInstance& owner) {
    if (owner.dead || owner.paused_until > now_.steady) return;
    const ShardCore& core = *owner.core;
    std::uint32_t waiting = 0;
    for (const auto& [id, job] : accepted_) {
      if (!started_jobs_.contains(id) && !cancelled_.contains(id)) ++waiting;
    }
    const std::map<std::string, std::uint32_t> counts = core.PendingCounts();
    const auto counted = counts.find("queue");
    if (waiting > (counted == counts.end() ? 0 : counted->second)) {
      history_.violations.push_back(std::to_string(waiting) +
                                    " jobs are pending, but fewer are counted");
    }
  }

  // Makes a submission, which is not sent yet.
  std::string MakeSubmission(const FaultStep& step) {
    while (WasCancelledLongAgo("j" + std::to_string(submitted_))) ++submitted_;
    std::string id = "j" + std::to_string(submitted_++);
    const std::uint32_t count = 1 + static_cast<std::uint32_t>(step.target % 3);
    // Some tasks last longer than a successor waits for leases.
    const int length_ms = step.target % 5 == 0
                              ? kLongTaskFactor * step.length_ms
                              : step.length_ms / 4;
    StepSpec spec{.count = count,
                  .need = {.milli_cpus = 1000, .memory = {1}},
                  .estimate = milliseconds(length_ms)};
    JobSpec job{
        .text = (step.fault == Fault::kSubmitFailing ? "fails " : "runs ") +
                std::to_string(length_ms),
        .steps = {spec}};
    if (step.target % 2 == 0) {
      spec.depends_on = {0};
      job.steps.push_back(spec);
    }
    history_.first_step_tasks[id] = count;
    jobs_[id] = job;
    return id;
  }

  void Submit(const FaultStep& step) {
    SubmitTo(*owners_.back(), MakeSubmission(step));
  }

  // Whether the ID may be forgotten if no job of it was stored.
  bool WasCancelledLongAgo(const std::string& id) const {
    const auto first = first_cancels_.find(id);
    return first != first_cancels_.end() &&
           now_.steady - first->second > kMaxCancelAge;
  }

  void SubmitTo(OwnerInstance& owner, const std::string& id) {
    if (WasCancelledLongAgo(id)) return;
    // A submission that arrives again may run although its copy was withdrawn.
    if (++arrivals_[id] > 1) history_.withdrawn.erase(id);
    const SubmitAnswer answer =
        owner.core->Submit(id, "queue", jobs_.at(id), now_);
    if (answer.outcome != SubmitOutcome::kNewJob &&
        answer.outcome != SubmitOutcome::kKnownJob) {
      return;
    }
    if (owner.dead || owner.core->stored_changes() < answer.change) {
      owner.submissions.emplace_back(id, answer.change);
    } else {
      accepted_[id] = true;
    }
  }

  void CancelAt(OwnerInstance& owner, const std::string& id) {
    first_cancels_.emplace(id, now_.steady);
    // A former owner can store nothing.
    if (owner.token == store_epoch_) cancelled_.insert(id);
    const CancelAnswer answer = owner.core->Cancel(id, now_);
    if (answer.outcome == CancelOutcome::kNoRoom) return;
    if (owner.dead || owner.core->stored_changes() < answer.change) {
      owner.cancels.emplace_back(id, answer.change);
    } else {
      AcknowledgeCancel(owner, id);
    }
  }

  void AcknowledgeCancel(const OwnerInstance& owner, const std::string& id) {
    const JobState state =
        StateInStore(owner, id).value_or(JobState::kCancelled);
    if (state != JobState::kCancelled && state != JobState::kCompleted &&
        state != JobState::kFailed) {
      history_.violations.push_back("the cancel of " + id +
                                    " was acknowledged, but it has not ended");
    }
    acknowledged_cancels_.emplace(
        id, AcknowledgedCancel{.at = now_.steady, .state = state});
  }

  // An owner that a call reaches now: not always the newest.
  OwnerInstance* ReachedOwner() {
    std::vector<OwnerInstance*> former;
    for (const std::unique_ptr<OwnerInstance>& owner : owners_) {
      if (owner->dead || owner->paused_until > now_.steady) continue;
      if (owner != owners_.back()) former.push_back(owner.get());
    }
    if (!former.empty() && HappensWithProbability(kFormerOwnerCalls)) {
      return former[random_() % former.size()];
    }
    OwnerInstance& newest = *owners_.back();
    return newest.dead || newest.paused_until > now_.steady ? nullptr : &newest;
  }

  // A call that finds no owner is repeated, and may be overtaken meanwhile.
  void Call(std::function<void(OwnerInstance&)> call) {
    OwnerInstance* owner = ReachedOwner();
    if (owner != nullptr) {
      call(*owner);
      return;
    }
    After(Delay(kMinCallPauseMs, kMaxCallPauseMs),
          [this, call = std::move(call)] { Call(call); });
  }

  void SubmitLater(const std::string& id) {
    After(Delay(0, kMaxCallDelayMs), [this, id] {
      Call([this, id](OwnerInstance& owner) { SubmitTo(owner, id); });
    });
  }

  void CancelLater(const std::string& id) {
    After(Delay(0, kMaxCallDelayMs), [this, id] {
      Call([this, id](OwnerInstance& owner) { CancelAt(owner, id); });
    });
  }

  void SendLateCopies(std::size_t target) {
    if (jobs_.empty()) return;
    const std::string id = Pick(jobs_, target);
    SubmitLater(id);
    SubmitLater(id);
  }

  void ReplaceBetween(const FaultStep& step) {
    const std::string id = MakeSubmission(step);
    OwnerInstance& former = *owners_.back();
    // Nothing of it is stored.
    if (step.target % 4 == 0) SubmitTo(former, id);
    if (step.target % 4 <= 1) CancelAt(former, id);
    if (step.target % 4 == 1) SubmitTo(former, id);
    TakeOver();
    SubmitLater(id);
    CancelLater(id);
  }

  void WithdrawCancelled(const FaultStep& step) {
    const std::string id = MakeSubmission(step);
    OwnerInstance& owner = *owners_.back();
    SubmitTo(owner, id);
    CancelAt(owner, id);
    const auto submission = std::find_if(
        owner.submissions.begin(), owner.submissions.end(),
        [&id](const auto& waiting) { return waiting.first == id; });
    if (submission != owner.submissions.end()) {
      WithdrawFrom(owner, submission);
    }
    SubmitLater(id);
    SubmitLater(id);
  }

  void Withdraw(std::size_t target) {
    OwnerInstance& owner = *owners_.back();
    if (owner.submissions.empty()) return;
    WithdrawFrom(owner, owner.submissions.begin() +
                            static_cast<std::ptrdiff_t>(
                                target % owner.submissions.size()));
  }

  void WithdrawFrom(
      OwnerInstance& owner,
      std::vector<std::pair<std::string, std::uint64_t>>::iterator submission) {
    const std::string id = submission->first;
    owner.submissions.erase(submission);
    if (owner.core->Withdraw(id) && arrivals_[id] == 1) {
      history_.withdrawn.insert(id);
    }
  }

  void LeaveStopsUnheeded(const FaultStep& step) {
    stops_unheeded_until_ =
        now_.steady + std::min(milliseconds(step.length_ms), kMaxUnheededTime);
    std::map<std::string, bool> running;
    for (const auto& [id, job] : accepted_) {
      if (history_.IsRunning(id)) running[id] = true;
    }
    if (running.empty()) return;
    const std::string id = Pick(running, static_cast<std::size_t>(step.target));
    Call([this, id](OwnerInstance& owner) { CancelAt(owner, id); });
  }

  template <typename Map>
  static std::string Pick(const Map& map, std::size_t target) {
    return std::next(map.begin(),
                     static_cast<std::ptrdiff_t>(target % map.size()))
        ->first;
  }

  // Half of the cancels are for accepted jobs. The others may have any ID that
  // was sent, or one that is not sent yet.
  void CancelAny(std::size_t target) {
    std::string id;
    if (target % 2 == 0) {
      if (accepted_.empty()) return;
      id = Pick(accepted_, target / 2);
    } else if (target % 4 == 1 && !jobs_.empty()) {
      id = Pick(jobs_, target / 4);
    } else {
      id = "j" + std::to_string(submitted_ + target / 4 % 3);
    }
    Call([this, id](OwnerInstance& owner) { CancelAt(owner, id); });
  }

  std::mt19937 random_;
  std::size_t max_batch_bytes_ = ShardOptions{}.max_batch_bytes;
  std::size_t max_undivided_bytes_ = ShardOptions{}.max_undivided_bytes;
  ShardTime now_{.steady = MonotonicTime(std::chrono::seconds(1000)),
                 .wall = WallTime(std::chrono::seconds(1700000000))};
  RunHistory history_;
  std::vector<std::unique_ptr<FuzzWorker>> workers_;
  std::vector<std::unique_ptr<OwnerInstance>> owners_;
  std::deque<Event> events_;
  contracts::FencingToken last_token_ = 0;
  contracts::FencingToken store_epoch_ = 0;
  std::map<std::string, std::string> stored_;
  MonotonicTime store_unavailable_until_;
  MonotonicTime append_answers_lost_until_;
  MonotonicTime lossy_until_;
  MonotonicTime orders_late_until_;
  MonotonicTime connections_open_until_;
  MonotonicTime split_until_;
  // One bit for each worker or node.
  std::size_t reached_by_newest_ = 0;
  std::size_t nodes_reached_by_newest_ = 0;
  std::vector<FuzzNode> nodes_{kNodes};
  MonotonicTime registry_unread_until_;
  MonotonicTime config_unread_until_;
  MonotonicTime queue_dropped_until_;
  // By worker, since when it has announced that it leaves.
  std::map<std::size_t, MonotonicTime> draining_since_;
  std::map<std::size_t, MonotonicTime> unreachable_until_;
  std::uint32_t submitted_ = 0;
  std::map<std::string, bool> accepted_;
  // Every submission that was made, by ID, and how often it has arrived.
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, int> arrivals_;
  // Jobs whose cancel has reached an owner in force.
  std::set<std::string> cancelled_;
  std::map<std::string, MonotonicTime> first_cancels_;
  std::map<std::string, AcknowledgedCancel> acknowledged_cancels_;
  MonotonicTime stops_unheeded_until_;
  // The last arrival of an order that was delayed.
  MonotonicTime late_order_at_;
  // Since when no fault has been in effect, with one owner only.
  MonotonicTime calm_since_;
  // By worker, the time of birth that the registry tells.
  std::vector<contracts::Incarnation> listed_births_;
  // By ID, incarnations that are over and still listed by the registry.
  std::map<std::string, FormerEntry> former_entries_;
  std::uint32_t replaced_ = 0;
  // Jobs of which a worker has started a task.
  std::set<std::string> started_jobs_;
};

std::string FromEnvironment(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

}  // namespace

class JobsFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobsFuzzTest);
  CPPUNIT_TEST(InvariantsHold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvariantsHold() {
    const std::string seed = FromEnvironment("CAROBMAST_SEED", kDefaultSeed);
    const std::string runs = FromEnvironment("CAROBMAST_RUNS", kDefaultRuns);
    std::cout << "\nseed " << seed << ", runs " << runs << std::endl;
    const std::string parameters =
        "seed=" + seed + " max_success=" + runs + " max_size=30";
    setenv("RC_PARAMS", parameters.c_str(), 1);
    const bool holds = rc::check("invariants of jobs hold", [] {
      FuzzWorld world(*rc::gen::arbitrary<std::uint32_t>());
      const std::vector<FaultStep> steps =
          *rc::gen::container<std::vector<FaultStep>>(
              ArbitraryStep(*rc::gen::arbitrary<bool>()));
      for (const FaultStep& step : steps) {
        world.Apply(step);
        world.AssertInvariants();
      }
      world.EndFaultsAndSettle();
      world.AssertInvariants();
      world.AssertSettled();
    });
    CPPUNIT_ASSERT(holds);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(JobsFuzzTest, "jobs_fuzz_test");

}  // namespace carobmast::jobs
