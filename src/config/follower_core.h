// The decisions of a process that follows the configuration: when to read the
// log, which peer to ask, what to accept, when a set is in force, and when to
// write the whole set again before its records expire. Sans-I/O.
#ifndef CAROBMAST_CONFIG_FOLLOWER_CORE_H_
#define CAROBMAST_CONFIG_FOLLOWER_CORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "config/log_replay.h"
#include "config/types/peer_messages.h"
#include "contracts/types/log_record.h"
#include "framework/base/time.h"

namespace carobmast::config {

struct FollowerTiming {
  // How long the log may hold an empty answer back.
  Duration log_wait = std::chrono::seconds(4);
  Duration log_timeout = std::chrono::seconds(6);
  // Without an answer for this long the log counts as out.
  Duration log_silence = std::chrono::seconds(7);
  Duration log_retry_min = std::chrono::milliseconds(200);
  Duration log_retry_max = std::chrono::seconds(4);
  Duration peer_timeout = std::chrono::seconds(1);
  // Between two questions to one peer while the log answers.
  Duration peer_interval = std::chrono::seconds(10);
  // To a peer that has failed, at most.
  Duration peer_interval_max = std::chrono::seconds(30);
  // The same while the log does not answer, or before a set is in force.
  Duration peer_interval_urgent = std::chrono::seconds(1);
  Duration peer_interval_urgent_max = std::chrono::seconds(4);
  // The log gets this long to bring what a peer already has.
  Duration log_grace = std::chrono::seconds(2);
  // Age at which the whole set is written again; well under the retention.
  Duration compact_after = std::chrono::hours(1);
};

struct FollowerPeer {
  std::string name;
  std::string zone;
};

// The set in force, valid during the call that gets it.
struct InForceSet {
  Head head;
  const ObjectSet& set;
  // What differs from the set in force before; meaningless if `whole`.
  Change change;
  // Whether the set came as a whole.
  bool whole = false;
};

struct FollowerCoreOptions {
  // Of this process; unique among its peers.
  std::string name;
  std::string zone;
  std::vector<FollowerPeer> peers;
  FollowerTiming timing;
  RuleTable rules = AllRules();
  std::uint64_t seed = 1;
  // Called when another set comes into force; offsets only grow.
  std::function<void(const InForceSet&)> on_in_force;
  // Called for each record that is folded or that stops the folding.
  std::function<void(const Verdict&)> on_verdict;
};

// What a caller of NextLogRead, NextPeerCall or NextCompaction does: the
// action, or nothing until `at`.
struct LogStep {
  std::optional<contracts::ReadRequest> read;
  MonotonicTime at;
};
struct PeerStep {
  enum class Action { kWait, kHead, kFetch };
  Action action = Action::kWait;
  std::size_t peer = 0;
  FetchRequest fetch;
  MonotonicTime at;
};
struct CompactionStep {
  // Appended one after the other; given up at the first that fails.
  std::vector<contracts::NewRecord> records;
  MonotonicTime at;
};

// What a process knows about the set that a peer holds.
struct PeerStatus {
  FollowerPeer peer;
  // Empty before the first answer.
  std::optional<Head> head;
  bool reachable = false;
};

// Counts since the start.
struct FollowerCounters {
  std::uint64_t records_accepted = 0;
  std::uint64_t records_refused = 0;
  std::uint64_t log_errors = 0;
  std::uint64_t peer_errors = 0;
  std::uint64_t sets_from_peers = 0;
  std::uint64_t compactions_written = 0;
  // Peers that held another digest at the same offset.
  std::uint64_t digest_conflicts = 0;
};

class FollowerCore {
 public:
  FollowerCore(FollowerCoreOptions options, MonotonicTime now);

  // One read at a time.
  LogStep NextLogRead(MonotonicTime now) const;
  void OnLogAnswer(MonotonicTime now, contracts::Offset from,
                   const contracts::ReadAnswer& answer);
  void OnLogError(MonotonicTime now);

  // May be called again while other calls are under way, never twice for one
  // peer. Each call ends with one of the three events after it.
  PeerStep NextPeerCall(MonotonicTime now);
  void OnPeerHead(MonotonicTime now, std::size_t peer, const PeerHead& answer);
  void OnFetched(MonotonicTime now, std::size_t peer,
                 const FetchAnswer& answer);
  void OnPeerError(MonotonicTime now, std::size_t peer);

  // Calls that peers make.
  PeerHead OnHeadRequest(MonotonicTime now, const PeerHead& request);
  FetchAnswer OnFetchRequest(const FetchRequest& request) const;

  // One compaction at a time. `wall` is compared with the log's own stamps.
  CompactionStep NextCompaction(MonotonicTime now, WallTime wall);
  void OnCompactionEnd(MonotonicTime now, bool appended);

  // Whether a set is in force.
  bool in_force() const { return in_force_.has_value(); }
  // Of the set in force; offset 0 when there is none.
  Head head() const { return in_force_.value_or(Head{}); }
  const ConfigFold& fold() const { return replay_.fold(); }
  bool IsLogAvailable(MonotonicTime now) const;
  std::vector<PeerStatus> Peers() const;
  const FollowerCounters& counters() const { return counters_; }
  const FollowerTiming& timing() const { return options_.timing; }

 private:
  struct Peer {
    FollowerPeer info;
    MonotonicTime next_ask;
    std::optional<Head> head;
    MonotonicTime ahead_since;
    bool under_way = false;
    // Whether it has answered or failed since the start.
    bool asked = false;
    std::uint32_t failures = 0;
  };
  // A whole set that arrives in pages.
  struct Pages {
    std::size_t peer = 0;
    WholeSet whole;
    std::string after;
  };

  bool IsUrgent(MonotonicTime now) const;
  Duration AskInterval(MonotonicTime now, const Peer& peer);
  void NoteHead(MonotonicTime now, Peer& peer, const Head& head);
  bool ShouldFetch(MonotonicTime now, const Peer& peer) const;
  void OnRecords(MonotonicTime now, const FetchAnswer& answer);
  void OnPage(MonotonicTime now, std::size_t peer, const FetchAnswer& answer);
  void Remember(const contracts::LogRecord& record);
  void NoteCompactions(const std::vector<contracts::LogRecord>& records);
  void NoteVerdicts(const std::vector<Verdict>& verdicts);
  bool MayComeIntoForce() const;
  void UpdateInForce();

  FollowerCoreOptions options_;
  LogReplay replay_;
  std::mt19937_64 random_;
  std::vector<Peer> peers_;
  std::optional<Head> in_force_;
  // Joined since the set in force; `pending_whole_` when it does not tell all.
  Change pending_;
  bool pending_whole_ = true;

  MonotonicTime started_at_;
  std::optional<MonotonicTime> last_log_answer_;
  MonotonicTime next_log_read_;
  std::uint32_t log_failures_ = 0;

  // Accepted records after `ring_from_`, for peers.
  std::deque<contracts::LogRecord> ring_;
  std::size_t ring_bytes_ = 0;
  contracts::Offset ring_from_ = 0;
  std::optional<Pages> pages_;
  // The peer of the fetch that is under way.
  std::optional<std::size_t> fetching_;

  // When the log last got the set as a whole, by the log's stamps.
  std::optional<WallTime> whole_at_;
  std::map<std::string, std::set<std::uint32_t>> compaction_parts_;
  Duration compaction_jitter_;
  MonotonicTime next_compaction_;
  bool compaction_under_way_ = false;

  FollowerCounters counters_;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_FOLLOWER_CORE_H_
