// Simulates several processes that follow the configuration in virtual time,
// with a fake log, delayed reads and peer calls, network cuts, kills and
// restarts.
#ifndef CAROBMAST_CONFIG_TESTS_CONFIG_WORLD_H_
#define CAROBMAST_CONFIG_TESTS_CONFIG_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/follower_core.h"
#include "config/tests/fake_log.h"

namespace carobmast::config {

struct SimulationOptions {
  std::size_t processes = 6;
  std::size_t zones = 3;
  std::uint64_t seed = 1;
  FollowerTiming timing;
  // Processes from this index on know rule version 2 as well.
  std::size_t first_with_rules_2 = 1000;
};

class ConfigSimulation {
 public:
  explicit ConfigSimulation(SimulationOptions options);

  // A process with the sets in force and the verdicts since its last start.
  // `core` is null while it is not running.
  struct Process {
    std::string name;
    std::size_t zone = 0;
    std::unique_ptr<FollowerCore> core;
    std::vector<Head> in_force;
    std::vector<Verdict> verdicts;
    bool log_cut = false;
  };

  FakeLog log;
  // Whether a third of the answers of the log and of peers are lost at random.
  bool lose_answers = false;
  // How long the log takes to answer a read.
  Duration log_delay = std::chrono::milliseconds(20);

  std::size_t size() const { return processes_.size(); }
  const Process& process(std::size_t i) const { return processes_[i]; }
  bool IsUp(std::size_t i) const { return processes_[i].core != nullptr; }
  MonotonicTime now() const { return now_; }
  WallTime wall() const;

  void Kill(std::size_t i);
  // Starts or restarts a process with no state.
  void Start(std::size_t i);
  void CutFromLog(std::size_t i, bool cut) { processes_[i].log_cut = cut; }
  // Cuts a zone off from all others; processes within it still reach one
  // another.
  void CutZone(std::size_t zone, bool cut);
  bool CanReachLog(std::size_t i) const;
  bool CanReach(std::size_t from, std::size_t to) const;

  void RunFor(Duration time);
  // Runs until the set of `offset` is in force in all running processes.
  // Returns false if that takes longer than `limit`.
  bool RunUntilInForce(contracts::Offset offset, Duration limit);

 private:
  struct LogCall {
    contracts::ReadRequest request;
    MonotonicTime due;
    MonotonicTime deadline;
  };
  struct PeerCall {
    PeerStep step;
    MonotonicTime due;
  };
  struct Calls {
    std::optional<LogCall> log;
    std::vector<PeerCall> peers;
    MonotonicTime log_idle_until;
  };

  void Step();
  void StepLog(std::size_t i);
  void StepPeers(std::size_t i);
  void StepCompaction(std::size_t i);
  void EndLogCall(std::size_t i, const LogCall& call);
  void EndPeerCall(std::size_t i, const PeerCall& call);
  bool ShouldLoseAnswer();

  SimulationOptions options_;
  std::mt19937_64 random_;
  std::vector<Process> processes_;
  std::vector<Calls> calls_;
  std::set<std::size_t> cut_zones_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t starts_ = 0;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TESTS_CONFIG_WORLD_H_
