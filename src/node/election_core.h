// Decides when this node claims the shard: it tracks the owner's heartbeats and
// claims when the owner is silent and no reachable node hears from it. Does no
// I/O itself.
//
// Only a stored claim makes a node the owner. The election merely decides when
// to try to store one.
#ifndef CAROBMAST_NODE_ELECTION_CORE_H_
#define CAROBMAST_NODE_ELECTION_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "framework/net/http_client.h"

namespace carobmast::node {

struct NodeInfo {
  std::string name;
  // Listen address of its links (TCP) and datagrams (UDP).
  net::Address address;
  // The node of the highest rank is preferred as owner.
  std::uint32_t rank = 0;
};

// A stored claim of the shard.
struct OwnerClaim {
  // The fencing token; 0 while no claim is known.
  std::uint64_t token = 0;
  std::string node;
  net::Address address;
  // Earlier owners that may still believe they own the shard, and the time of
  // the claim. Set only in claims read from the stream.
  std::vector<std::string> former;
  WallTime claimed_at;
  // The highest rank among the nodes that the claimer knew, its own included.
  // Set only in claims read from the stream.
  std::uint32_t highest_rank = 0;
  // Whether this owner, and each of `former`, extends leases without the store
  // only while nodes confirm it. Set only in claims read from the stream.
  bool needs_nodes = false;
  bool former_need_nodes = false;
};

// Earlier owners that may still believe they own the shard.
struct FormerOwners {
  std::set<std::string> names;
  // Whether the shard had an owner before, of whichever node.
  bool any = true;
  // Whether all of them extend leases without the store only while nodes
  // confirm them.
  bool need_nodes = true;
};

// The former owners for a claim that `node` stores at `now`. `previous` is the
// newest claim, or empty when there is none.
FormerOwners FindFormerOwners(const std::optional<OwnerClaim>& previous,
                              const std::string& node, WallTime now);

enum class MessageKind { kHello, kOwnerState, kProbe, kProbeAnswer, kTakeOver };

// A datagram between nodes.
struct NodeMessage {
  MessageKind kind = MessageKind::kHello;
  NodeInfo sender;
  // The newest claim known to the sender.
  OwnerClaim claim;
  bool store_reached = false;
  bool hears_owner = false;
  // The sender is shutting down and claims no more.
  bool leaving = false;
  // Identifies the sender's process among those of its name.
  std::int64_t incarnation = 0;
  std::string zone;
  // The owner's clock when it sent its state; in hellos, that of the last state
  // received from this owner. Shows at what time the sender of the hello knew
  // no later owner.
  std::optional<MonotonicTime> owner_time;
  std::uint32_t round = 0;
  // Only in kOwnerState, and there only now and then, since the owner answers
  // each node several times a second.
  bool has_details = false;
  // The nodes that are preferred to take over.
  std::vector<NodeInfo> members;
  std::map<std::string, std::uint32_t> pending_counts;
};

struct ElectionOptions {
  NodeInfo self;
  std::int64_t incarnation = 0;
  std::string zone;
  Duration hello_interval = std::chrono::milliseconds(250);
  // Interval at which the owner sends a node its preferred successors and the
  // pending counts.
  Duration details_interval = std::chrono::milliseconds(1000);
  // Number of preferred successors that the owner tells, and of nodes that a
  // probe asks.
  std::size_t max_listed_members = 12;
  // A node that has not heard from the owner for this long probes the others.
  Duration suspect_after = std::chrono::milliseconds(750);
  // Added to `suspect_after` for a new owner, which restores the shard first.
  Duration new_owner_grace = std::chrono::milliseconds(750);
  // How long a probe waits for answers.
  Duration probe_wait = std::chrono::milliseconds(100);
  // Pause after a probe that did not lead to a claim, or a claim that failed.
  Duration probe_pause = std::chrono::milliseconds(250);
  // A node that gets no answer to its probes claims only after the owner has
  // been silent for this long.
  Duration isolated_wait = std::chrono::milliseconds(2500);
  // A store that has failed for this long counts as unreachable, and the owner
  // asks another node to take over.
  Duration store_unreachable_after = std::chrono::milliseconds(500);
  // An owner that has to hand over waits this long for a much larger node that
  // it hears to reach the store as well: after an outage the smaller nodes may
  // be the first to report.
  Duration larger_node_wait = std::chrono::milliseconds(600);
  // A node that has not claimed the shard this long after it was asked to take
  // over, and has not reported the loss of the store since, is passed over.
  Duration takeover_timeout = std::chrono::milliseconds(1500);
  // An owner hands over to a much larger node once it has owned the shard, and
  // heard from that node, for this long.
  Duration stability_period = std::chrono::seconds(3);
  // Bounds of the retry delay for refused callers. The lower one is the time a
  // change of owner takes; after the upper one few callers still want their
  // answer.
  Duration min_retry_after = std::chrono::seconds(1);
  Duration max_retry_after = std::chrono::seconds(4);
  // An owner whose store calls have failed for this long can't confirm its
  // claim any more and stops.
  Duration max_unconfirmed_ownership = std::chrono::seconds(10);
};

// Why a node claims the shard.
struct ClaimBasis {
  std::string reason;
  // The owner that asked the node to take over, if one did.
  std::string asked_by;
  // The age of the owner's last state; empty if none has come since its claim.
  std::optional<Duration> owner_state_age;
  // Number of nodes that answered the last probe.
  std::size_t answers = 0;
};

struct ElectionHooks {
  std::function<void(const net::Address&, const NodeMessage&)> send;
  // Tries to store a claim. The result is passed to OnClaimed or OnClaimFailed.
  std::function<void(const ClaimBasis& basis)> claim;
  // Called when this node no longer owns the shard.
  std::function<void(const std::string& reason)> stop_owning;
  // A node's answer shows that it knew no later owner at `owner_time`. Called
  // while this node owns the shard.
  std::function<void(const NodeMessage& answer)> node_answered;
  // Logs a change of owner or a request to take over; `detail` names the node.
  std::function<void(const std::string& event, const std::string& detail)>
      log_change;
};

// The caller passes in all events with the current time and calls Tick
// regularly.
class ElectionCore {
 public:
  ElectionCore(ElectionOptions options, ElectionHooks hooks);

  // A claim read from the store or received from a node; older ones than the
  // known claim are ignored.
  void OnClaim(const OwnerClaim& claim, MonotonicTime now);
  // The stream of claims has been read to its end. The node claims the shard
  // if nobody has, or if the newest claim is from an earlier run of this node.
  void OnClaimsRead(MonotonicTime now);
  // Results of hooks.claim. OnClaimed returns whether this node owns the shard
  // by this claim from now on; an ownership by an earlier claim is over then.
  bool OnClaimed(const OwnerClaim& claim, MonotonicTime now);
  void OnClaimFailed(MonotonicTime now);
  // The claim was superseded by one that is not known here yet.
  void OnOwnershipLost(MonotonicTime now);
  // A call to the store has just succeeded or failed.
  void OnStoreResult(bool reached, MonotonicTime now);
  // The link to the owner broke: probes at once instead of waiting for missed
  // heartbeats.
  void OnOwnerLinkLost(MonotonicTime now);
  void OnMessage(const NodeMessage& message, MonotonicTime now);
  void Tick(MonotonicTime now);
  // Makes this node leave: it claims no more and, if it is the owner, asks
  // another node to take over. Call repeatedly until another node has claimed
  // the shard; requests may be lost.
  void Leave(MonotonicTime now);

  // The highest rank among this node and those it has heard of.
  std::uint32_t HighestRank() const;
  // The newest known claim.
  const OwnerClaim& claim() const { return claim_; }
  bool owns() const;
  // Whether the owner, which may be this node, was heard from recently enough.
  bool HearsOwner(MonotonicTime now) const;
  // A time that the clock of the owner has reached, unless the owner is of a
  // version that does not tell it.
  std::optional<MonotonicTime> OwnerClock(MonotonicTime now) const;
  // Whether the owner has been heard from since its claim became known.
  bool HasHeardClaim() const { return owns() || owner_state_at_.has_value(); }
  // False once calls to the store have failed for `store_unreachable_after`.
  bool StoreReached(MonotonicTime now) const;
  // The delay after which a refused caller should retry: the length of the
  // outage of the owner or the store so far, within bounds. Callers then retry
  // soon after a short outage and need only a few tries in a long one.
  Duration RetryAfter(MonotonicTime now) const;
  // Pending jobs by queue, as last reported by the owner. Empty after a change
  // of owner until the new one has reported.
  const std::map<std::string, std::uint32_t>& pending_counts() const {
    return pending_counts_;
  }
  void SetPendingCounts(std::map<std::string, std::uint32_t> counts);

 private:
  enum class State { kStarting, kFollowing, kProbing, kClaiming, kOwning };
  struct Member {
    NodeInfo info;
    // Start of the period in which it has been heard from without a gap of more
    // than kMemberTimeout.
    MonotonicTime heard_since;
    MonotonicTime last_seen_at;
    bool store_reached = false;
    bool leaving = false;
    MonotonicTime details_sent_at;
  };

  NodeMessage MakeMessage(MessageKind kind, MonotonicTime now) const;
  void SendHello(MonotonicTime now);
  void OnHello(const NodeMessage& message, MonotonicTime now);
  void OnOwnerState(const NodeMessage& message, MonotonicTime now);
  void UpdateOwnerClock(MonotonicTime owner_time, MonotonicTime now);
  void OnProbe(const NodeMessage& message, MonotonicTime now);
  void OnTakeOver(const NodeMessage& message, MonotonicTime now);
  // The `max_listed_members` preferred nodes, among those heard from recently
  // if `only_heard`.
  std::vector<NodeInfo> PreferredMembers(bool only_heard,
                                         MonotonicTime now) const;
  // Claims the shard again after a restart, or leaves it to a much larger node
  // that has said hello.
  void Reclaim(MonotonicTime now);
  void StartProbe(MonotonicTime now);
  // Says hello to an owner that is not heard, and begins its probe anew.
  void LookForOwner(MonotonicTime now);
  void EndProbe(MonotonicTime now);
  void Claim(const ClaimBasis& basis);
  std::optional<Duration> OwnerStateAge(MonotonicTime now) const;
  // Whether a much larger node has been available for `stability_period`.
  bool HasLargerNode(MonotonicTime now) const;
  // Whether the node is in contact, stays, and has not been asked in vain.
  bool MayTakeOver(const Member& member, MonotonicTime now) const;
  // Whether `left` is preferred over `right` to take over from this node.
  bool IsBetterSuccessor(const Member& left, const Member& right) const;
  // The preferred node among those that may take over and reach the store; null
  // when there is none or a much larger one is worth waiting for.
  const Member* FindSuccessor(MonotonicTime now);
  // Asks the successor, if there is one, to take over.
  void HandOver(MonotonicTime now);
  void RequestTakeover(const Member& member, MonotonicTime now);
  // Tells all known nodes that this one owns the shard.
  void AnnounceOwnership(MonotonicTime now);
  void StopOwning(const std::string& reason);
  // Whether `left` is preferred over `right` as owner.
  static bool Outranks(const NodeInfo& left, const NodeInfo& right);

  ElectionOptions options_;
  ElectionHooks hooks_;
  State state_ = State::kStarting;
  OwnerClaim claim_;
  bool claims_read_ = false;
  MonotonicTime owner_heard_at_;
  MonotonicTime owner_silent_since_;
  MonotonicTime hello_sent_at_;
  // When the running probe ends, or else when the next one may start.
  MonotonicTime next_probe_step_at_;
  MonotonicTime takeover_requested_at_;
  // Since when the owner has known a node to hand over to; the epoch for none.
  MonotonicTime successor_known_since_;
  // By node, when it was asked to take over; of this ownership. Without nodes
  // that have lost the store since.
  std::map<std::string, MonotonicTime> takeover_requests_;
  MonotonicTime owns_since_;
  std::optional<MonotonicTime> store_failing_since_;
  // When this node, whose earlier run owned the shard, claims it again.
  std::optional<MonotonicTime> reclaim_at_;
  // Preferred members as last computed by the owner.
  std::vector<NodeInfo> listed_members_;
  MonotonicTime listed_members_at_;
  std::uint32_t probe_round_ = 0;
  // Probes after which this node left the claim to a preferred node.
  std::uint32_t deferrals_ = 0;
  bool leaving_ = false;
  std::vector<NodeMessage> probe_answers_;
  // Other known nodes, by name.
  std::map<std::string, Member> members_;
  std::map<std::string, std::uint32_t> pending_counts_;
  // Of the last state received under the present claim.
  std::optional<MonotonicTime> owner_time_;
  // When that state was received.
  std::optional<MonotonicTime> owner_state_at_;
  // The owner's clock less that of this node, as far as its states show; a
  // state that was held up shows less.
  std::optional<Duration> owner_clock_ahead_;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_ELECTION_CORE_H_
