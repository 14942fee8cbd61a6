// Several processes that follow the configuration, in virtual time: a fake log,
// reads and peer calls that take time, cuts, kills and restarts.
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

struct WorldOptions {
  std::size_t processes = 6;
  std::size_t zones = 3;
  std::uint64_t seed = 1;
  FollowerTiming timing;
  // Processes from this index on know rule version 2 as well.
  std::size_t first_with_rules_2 = 1000;
};

class ConfigWorld {
 public:
  explicit ConfigWorld(WorldOptions options);

  // What a process has done since it was started.
  struct Process {
    std::string name;
    std::size_t zone = 0;
    std::unique_ptr<FollowerCore> core;
    std::vector<Head> in_force;
    std::vector<Verdict> verdicts;
    bool log_cut = false;
  };

  FakeLog log;
  // Read answers and appends that are lost, and how long the log takes.
  bool lose_answers = false;
  Duration log_delay = std::chrono::milliseconds(20);

  std::size_t size() const { return processes_.size(); }
  const Process& process(std::size_t i) const { return processes_[i]; }
  bool IsUp(std::size_t i) const { return processes_[i].core != nullptr; }
  MonotonicTime now() const { return now_; }
  WallTime wall() const;

  void Kill(std::size_t i);
  // Starts it anew, with nothing kept.
  void Start(std::size_t i);
  void CutFromLog(std::size_t i, bool cut) { processes_[i].log_cut = cut; }
  // Cuts a zone from all others; its processes still reach one another.
  void CutZone(std::size_t zone, bool cut);
  bool CanReachLog(std::size_t i) const;
  bool CanReach(std::size_t from, std::size_t to) const;

  void RunFor(Duration time);
  // Runs until every process that is up holds `offset`; false after `limit`.
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
  bool Lose();

  WorldOptions options_;
  std::mt19937_64 random_;
  std::vector<Process> processes_;
  std::vector<Calls> calls_;
  std::set<std::size_t> cut_zones_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t starts_ = 0;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_TESTS_CONFIG_WORLD_H_
