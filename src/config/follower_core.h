// Decides for a process that follows the configuration when to read the log,
// which peer to call, what to accept, when a set comes into force, and when to
// append a compaction before the records of the set expire. Does no I/O.
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
  // Long-poll time: how long the log may delay an empty answer.
  Duration log_wait = std::chrono::seconds(4);
  Duration log_timeout = std::chrono::seconds(6);
  // The log counts as unavailable after this time without an answer.
  Duration log_silence = std::chrono::seconds(7);
  Duration log_retry_min = std::chrono::milliseconds(200);
  Duration log_retry_max = std::chrono::seconds(4);
  Duration peer_timeout = std::chrono::seconds(1);
  // Between two head calls to one peer while the log is available.
  Duration peer_interval = std::chrono::seconds(10);
  // Upper bound of the interval after failed calls to a peer.
  Duration peer_interval_max = std::chrono::seconds(30);
  // Both intervals while the log is unavailable or no set is in force.
  Duration peer_interval_urgent = std::chrono::seconds(1);
  Duration peer_interval_urgent_max = std::chrono::seconds(4);
  // How long a peer must be ahead before its set is fetched while the log is
  // available; the log usually delivers the same records first.
  Duration log_grace = std::chrono::seconds(2);
  // Age of the last compaction after which the next one is due. Must be well
  // below the retention of the log.
  Duration compact_after = std::chrono::hours(1);
  // Between two compactions, or tries to write one.
  Duration compaction_pause = std::chrono::seconds(30);
};

struct FollowerPeer {
  std::string name;
  std::string zone;
};

// The set in force. Valid only during the callback that receives it.
struct InForceSet {
  Head head;
  const ObjectSet& set;
  // The difference to the previous set in force; meaningless if `whole`.
  Change change;
  // Whether the set replaces the previous one as a whole, without a known
  // difference.
  bool whole = false;
};

struct FollowerCoreOptions {
  // Name of this process, unique among its peers.
  std::string name;
  std::string zone;
  std::vector<FollowerPeer> peers;
  FollowerTiming timing;
  RuleTable rules = AllRules();
  std::uint64_t seed = 1;
  // Called when another set comes into force, in increasing order of offsets.
  std::function<void(const InForceSet&)> on_in_force;
  // Called for each record that is folded and for one that stops the fold.
  std::function<void(const Verdict&)> on_verdict;
};

// NextLogRead, NextPeerCall and NextCompaction each return a step: an action
// for the caller or, when there is none, the time `at` to ask again.
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
  // To be appended one at a time, until the first failure.
  std::vector<contracts::NewRecord> records;
  MonotonicTime at;
};

// What is known about a peer.
struct PeerStatus {
  FollowerPeer peer;
  // Head that the peer last reported; empty before the first report and after a
  // failed call.
  std::optional<Head> head;
  bool reachable = false;
};

// Counters since the start of the process.
struct FollowerCounters {
  std::uint64_t records_accepted = 0;
  std::uint64_t records_refused = 0;
  std::uint64_t log_errors = 0;
  std::uint64_t peer_errors = 0;
  std::uint64_t sets_from_peers = 0;
  std::uint64_t compactions_written = 0;
  // Heads of peers that had another digest at the same offset.
  std::uint64_t digest_conflicts = 0;
};

class FollowerCore {
 public:
  FollowerCore(FollowerCoreOptions options, MonotonicTime now);

  // The caller must have at most one read in flight, and report its end by
  // OnLogAnswer or OnLogError.
  LogStep NextLogRead(MonotonicTime now) const;
  void OnLogAnswer(MonotonicTime now, contracts::Offset from,
                   const contracts::ReadAnswer& answer);
  void OnLogError(MonotonicTime now);

  // May be called while other calls are in flight; never returns a peer that
  // has one. The caller must report the end of each call by OnPeerHead,
  // OnFetched or OnPeerError.
  PeerStep NextPeerCall(MonotonicTime now);
  void OnPeerHead(MonotonicTime now, std::size_t peer, const PeerHead& answer);
  void OnFetched(MonotonicTime now, std::size_t peer,
                 const FetchAnswer& answer);
  void OnPeerError(MonotonicTime now, std::size_t peer);

  // Answer the calls of peers.
  PeerHead OnHeadRequest(MonotonicTime now, const PeerHead& request);
  FetchAnswer OnFetchRequest(const FetchRequest& request) const;

  // Returns records only while no compaction is in flight; the caller must
  // report its end by OnCompactionEnd. `wall` is compared with the append times
  // that the log gave its records.
  CompactionStep NextCompaction(MonotonicTime now, WallTime wall);
  void OnCompactionEnd(MonotonicTime now, bool appended);

  // Whether a set is in force.
  bool in_force() const { return in_force_.has_value(); }
  // Head of the set in force; offset 0 when there is none.
  Head head() const { return in_force_.value_or(Head{}); }
  const ConfigFold& fold() const { return replay_.fold(); }
  bool IsLogAvailable(MonotonicTime now) const;
  std::vector<PeerStatus> Peers() const;
  const FollowerCounters& counters() const { return counters_; }
  const FollowerTiming& timing() const { return options_.timing; }

 private:
  struct Peer {
    FollowerPeer info;
    MonotonicTime next_head_call;
    std::optional<Head> head;
    // Since when the peer has had a newer set.
    MonotonicTime ahead_since;
    bool call_in_flight = false;
    // Whether a call has ended since the start, with an answer or an error.
    bool attempted = false;
    // Consecutive failed calls.
    std::uint32_t failures = 0;
  };
  // A complete set being fetched from a peer page by page.
  struct PagedFetch {
    std::size_t peer = 0;
    WholeSet whole;
    // Name of the last object received.
    std::string after;
  };

  // Whether peers are called at the urgent intervals.
  bool IsUrgent(MonotonicTime now) const;
  // Time until the next head call to `peer`, with backoff and random spread.
  Duration HeadCallInterval(MonotonicTime now, const Peer& peer);
  void UpdatePeerHead(MonotonicTime now, Peer& peer, const Head& head);
  bool ShouldFetch(MonotonicTime now, const Peer& peer) const;
  void OnRecords(MonotonicTime now, const FetchAnswer& answer);
  void OnPage(MonotonicTime now, std::size_t peer, const FetchAnswer& answer);
  // Adds an accepted record to the recent records.
  void KeepForPeers(const contracts::LogRecord& record);
  // Updates last_compaction_at_.
  void TrackCompactions(const std::vector<contracts::LogRecord>& records);
  // Calls on_verdict, counts, and merges accepted changes into the pending one.
  void ReportVerdicts(const std::vector<Verdict>& verdicts);
  bool CanComeIntoForce() const;
  void UpdateInForce();

  FollowerCoreOptions options_;
  LogReplay replay_;
  std::mt19937_64 random_;
  std::vector<Peer> peers_;
  std::optional<Head> in_force_;
  // Changes merged since the set in force. Incomplete if `pending_whole_`,
  // which is set when a complete set was adopted.
  Change pending_change_;
  bool pending_whole_ = true;

  MonotonicTime started_at_;
  std::optional<MonotonicTime> last_log_answer_;
  MonotonicTime next_log_read_;
  std::uint32_t log_failures_ = 0;

  // The accepted records after `recent_from_`, kept to answer fetches of peers.
  std::deque<contracts::LogRecord> recent_records_;
  std::size_t recent_bytes_ = 0;
  contracts::Offset recent_from_ = 0;
  std::optional<PagedFetch> paged_fetch_;
  // The peer of the fetch in flight.
  std::optional<std::size_t> fetch_peer_;

  // Append time of the last complete compaction in the log. Before one is seen,
  // the append time of the first other record read, or else the time of the
  // first check whether a compaction is due.
  std::optional<WallTime> last_compaction_at_;
  // Parts seen of incomplete compactions, by group.
  std::map<std::string, std::set<std::uint32_t>> compaction_parts_;
  // Random delay, so that not all processes append a compaction together.
  Duration compaction_jitter_;
  MonotonicTime next_compaction_;
  bool compaction_in_flight_ = false;

  FollowerCounters counters_;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_FOLLOWER_CORE_H_
