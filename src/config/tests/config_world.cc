#include "config/tests/config_world.h"

#include <algorithm>

namespace carobmast::config {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kPeerDelay = std::chrono::milliseconds(10);
constexpr std::size_t kPeerCalls = 4;

RuleTable RulesUpTo(std::uint32_t version) {
  RuleTable rules = AllRules();
  // Rule version 2 of the tests: version 1, and no job may have 13 tasks.
  if (version < 2) return rules;
  rules[2] = [](const ObjectSet& set, const Change& change,
                const std::vector<StampedObject>& replaced) {
    std::vector<CheckError> errors = CheckChangeV1(set, change, replaced);
    for (const Object& object : change.put) {
      const BatchJob* job = std::get_if<BatchJob>(&object);
      if (job == nullptr || job->tasks != 13) continue;
      errors.push_back({.object = job->name, .reason = "has 13 tasks"});
    }
    return errors;
  };
  return rules;
}

}  // namespace

ConfigSimulation::ConfigSimulation(SimulationOptions options)
    : options_(options),
      random_(options_.seed),
      processes_(options_.processes),
      calls_(options_.processes) {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    processes_[i].name = "process-" + std::to_string(i);
    processes_[i].zone = i % options_.zones;
  }
  for (std::size_t i = 0; i < processes_.size(); ++i) Start(i);
}

WallTime ConfigSimulation::wall() const {
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      now_.time_since_epoch()));
}

void ConfigSimulation::Kill(std::size_t i) {
  processes_[i].core.reset();
  calls_[i] = Calls{};
}

void ConfigSimulation::Start(std::size_t i) {
  Kill(i);
  Process& process = processes_[i];
  process.in_force.clear();
  process.verdicts.clear();
  FollowerCoreOptions options{
      .name = process.name,
      .zone = std::to_string(process.zone),
      .timing = options_.timing,
      .rules = RulesUpTo(i >= options_.first_with_rules_2 ? 2 : 1),
      .seed = options_.seed + ++starts_};
  for (std::size_t peer = 0; peer < processes_.size(); ++peer) {
    // The list of peers omits the process itself, so that the indices of later
    // processes are one lower in it.
    if (peer == i) continue;
    options.peers.push_back({.name = processes_[peer].name,
                             .zone = std::to_string(processes_[peer].zone)});
  }
  options.on_in_force = [&process](const InForceSet& set) {
    process.in_force.push_back(set.head);
  };
  options.on_verdict = [&process](const Verdict& verdict) {
    process.verdicts.push_back(verdict);
  };
  process.core = std::make_unique<FollowerCore>(std::move(options), now_);
}

void ConfigSimulation::CutZone(std::size_t zone, bool cut) {
  if (cut) {
    cut_zones_.insert(zone);
  } else {
    cut_zones_.erase(zone);
  }
}

bool ConfigSimulation::CanReachLog(std::size_t i) const {
  return !log.unavailable && !processes_[i].log_cut;
}

bool ConfigSimulation::CanReach(std::size_t from, std::size_t to) const {
  if (!IsUp(from) || !IsUp(to)) return false;
  if (processes_[from].zone == processes_[to].zone) return true;
  return !cut_zones_.contains(processes_[from].zone) &&
         !cut_zones_.contains(processes_[to].zone);
}

bool ConfigSimulation::ShouldLoseAnswer() {
  return lose_answers && std::uniform_int_distribution<int>(0, 2)(random_) == 0;
}

void ConfigSimulation::EndLogCall(std::size_t i, const LogCall& call) {
  calls_[i].log.reset();
  if (!CanReachLog(i) || ShouldLoseAnswer()) {
    processes_[i].core->OnLogError(now_);
    return;
  }
  processes_[i].core->OnLogAnswer(now_, call.request.from,
                                  log.Read(call.request));
}

void ConfigSimulation::StepLog(std::size_t i) {
  std::optional<LogCall>& call = calls_[i].log;
  if (call.has_value()) {
    // A long poll ends as soon as there is a record to read.
    const bool has_records = CanReachLog(i) && log.next() > call->request.from;
    const bool ends =
        now_ >= call->deadline || (now_ >= call->due && has_records);
    if (!ends) return;
    const LogCall ended = *call;
    EndLogCall(i, ended);
    return;
  }
  LogStep step = processes_[i].core->NextLogRead(now_);
  if (!step.read.has_value()) return;
  const Duration wait =
      CanReachLog(i) ? log_delay + step.read->wait : step.read->timeout;
  call = LogCall{
      .request = *step.read, .due = now_ + log_delay, .deadline = now_ + wait};
}

void ConfigSimulation::EndPeerCall(std::size_t i, const PeerCall& call) {
  FollowerCore& core = *processes_[i].core;
  const std::size_t to =
      call.step.peer < i ? call.step.peer : call.step.peer + 1;
  if (!CanReach(i, to) || ShouldLoseAnswer()) {
    core.OnPeerError(now_, call.step.peer);
    return;
  }
  FollowerCore& peer = *processes_[to].core;
  if (call.step.action == PeerStep::Action::kHead) {
    const PeerHead local{.process = processes_[i].name,
                         .head = core.fold().head()};
    core.OnPeerHead(now_, call.step.peer, peer.OnHeadRequest(now_, local));
  } else {
    core.OnFetched(now_, call.step.peer, peer.OnFetchRequest(call.step.fetch));
  }
}

void ConfigSimulation::StepPeers(std::size_t i) {
  std::vector<PeerCall>& calls = calls_[i].peers;
  std::vector<PeerCall> ended;
  std::erase_if(calls, [&](const PeerCall& call) {
    if (now_ < call.due) return false;
    ended.push_back(call);
    return true;
  });
  for (const PeerCall& call : ended) EndPeerCall(i, call);
  while (calls.size() < kPeerCalls) {
    const PeerStep step = processes_[i].core->NextPeerCall(now_);
    if (step.action == PeerStep::Action::kWait) return;
    const std::size_t to = step.peer < i ? step.peer : step.peer + 1;
    const Duration duration =
        CanReach(i, to) ? kPeerDelay : options_.timing.peer_timeout;
    calls.push_back({.step = step, .due = now_ + duration});
  }
}

void ConfigSimulation::StepCompaction(std::size_t i) {
  const CompactionStep step = processes_[i].core->NextCompaction(now_, wall());
  if (step.records.empty()) return;
  const bool reached = CanReachLog(i);
  if (reached) {
    for (const contracts::NewRecord& record : step.records) {
      log.Append(record, wall());
    }
  }
  processes_[i].core->OnCompactionEnd(now_, reached && !ShouldLoseAnswer());
}

void ConfigSimulation::Step() {
  now_ += kTick;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    if (!IsUp(i)) continue;
    StepLog(i);
    StepPeers(i);
    StepCompaction(i);
  }
}

void ConfigSimulation::RunFor(Duration time) {
  const MonotonicTime end = now_ + time;
  while (now_ < end) Step();
}

bool ConfigSimulation::RunUntilInForce(contracts::Offset offset,
                                       Duration limit) {
  const MonotonicTime end = now_ + limit;
  for (;;) {
    bool all = true;
    for (const Process& process : processes_) {
      if (process.core != nullptr && process.core->head().offset != offset) {
        all = false;
      }
    }
    if (all) return true;
    if (now_ >= end) return false;
    Step();
  }
}

}  // namespace carobmast::config
