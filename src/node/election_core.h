// Decides who owns the shard: follows the owner's heartbeats, and claims when
// the owner is silent and no node that can be reached hears it. Sans-I/O.
//
// A claim that is stored is the truth; what is decided here only says when to
// try one.
#ifndef CAROBMAST_NODE_ELECTION_CORE_H_
#define CAROBMAST_NODE_ELECTION_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "framework/net/http_client.h"

namespace carobmast::node {

struct NodeInfo {
  std::string name;
  // Where its datagrams and its link arrive.
  net::Address address;
  // Larger comes first as owner.
  std::uint32_t rank = 0;
};

// The newest stored claim.
struct OwnerClaim {
  // Also the fencing token; 0 while none is known.
  std::uint64_t token = 0;
  std::string node;
  net::Address address;
  // Only where it was read from the stream: earlier owners that may still take
  // themselves for one, and when the claim was made.
  std::vector<std::string> former;
  WallTime claimed_at;
};

enum class MessageKind { kHello, kOwnerState, kProbe, kProbeAnswer, kTakeOver };

// What nodes tell one another by datagram.
struct NodeMessage {
  MessageKind kind = MessageKind::kHello;
  NodeInfo sender;
  // The newest claim that the sender knows.
  OwnerClaim claim;
  bool store_reached = false;
  bool hears_owner = false;
  std::uint32_t round = 0;
  // In kOwnerState.
  std::vector<NodeInfo> members;
  std::map<std::string, std::uint32_t> pending_counts;
};

struct ElectionOptions {
  NodeInfo self;
  Duration hello_interval = std::chrono::milliseconds(250);
  // An owner that was not heard for this long is suspected.
  Duration suspect_after = std::chrono::milliseconds(750);
  // A new owner may be silent for this much longer while it restores the shard.
  Duration new_owner_grace = std::chrono::milliseconds(750);
  // How long a probe's answers are awaited.
  Duration probe_wait = std::chrono::milliseconds(100);
  // Pause after a probe that did not lead to a claim.
  Duration probe_pause = std::chrono::milliseconds(250);
  // A node whose probe nobody answers waits this long before it claims.
  Duration isolated_wait = std::chrono::milliseconds(2500);
  // A store that has failed for this long makes the owner give up the shard.
  Duration store_unreachable_after = std::chrono::milliseconds(500);
  // An owner makes way for a much larger node once it has owned the shard, and
  // heard that node, for this long.
  Duration stability_period = std::chrono::seconds(3);
  // Bounds of what refused callers are told: the time that a new owner takes,
  // and a time after which few still want their answer.
  Duration min_retry_after = std::chrono::seconds(1);
  Duration max_retry_after = std::chrono::seconds(4);
  // An owner without any proof of its claim stops after this.
  Duration max_unconfirmed_ownership = std::chrono::seconds(10);
};

struct ElectionHooks {
  std::function<void(const net::Address&, const NodeMessage&)> send;
  // Try to store a claim that follows `previous`.
  std::function<void()> claim;
  // The shard is no longer ours.
  std::function<void(const std::string& reason)> stop_owning;
  std::function<void(const std::string& event, const std::string& detail)>
      log_change;
};

class ElectionCore {
 public:
  ElectionCore(ElectionOptions options, ElectionHooks hooks);

  // The newest claim, as read from the store or told by a node.
  void OnClaim(const OwnerClaim& claim, MonotonicTime now);
  // The stream of claims has been read to its end.
  void OnClaimsRead(MonotonicTime now);
  // The outcome of hooks.claim.
  void OnClaimed(const OwnerClaim& claim, MonotonicTime now);
  void OnClaimFailed(MonotonicTime now);
  // The claim has proved to be superseded by one that is not known yet.
  void OnOwnershipLost(MonotonicTime now);
  // Whether a call to the store succeeded just now.
  void OnStoreResult(bool reached, MonotonicTime now);
  // The link to the owner broke.
  void OnOwnerLinkLost(MonotonicTime now);
  void OnMessage(const NodeMessage& message, MonotonicTime now);
  void Tick(MonotonicTime now);
  // Hands the shard over, again and again until another node has claimed it.
  void Leave(MonotonicTime now);

  const OwnerClaim& claim() const { return claim_; }
  bool owns() const;
  bool HearsOwner(MonotonicTime now) const;
  bool StoreReached(MonotonicTime now) const;
  // When a caller that nothing could be done for should come back: after as
  // long as the owner, or the store, has been away, within bounds. Most callers
  // then miss neither a short outage's end nor, with a few tries, a long one's.
  Duration RetryAfter(MonotonicTime now) const;
  // As the owner told; empty while the owner is not heard.
  const std::map<std::string, std::uint32_t>& pending_counts() const {
    return pending_counts_;
  }
  void SetPendingCounts(std::map<std::string, std::uint32_t> counts);

 private:
  enum class State { kStarting, kFollowing, kProbing, kClaiming, kOwning };
  struct Member {
    NodeInfo info;
    // Heard without a longer silence since.
    MonotonicTime heard_since;
    MonotonicTime last_seen_at;
    bool store_reached = false;
  };

  NodeMessage MakeMessage(MessageKind kind, MonotonicTime now) const;
  void OnHello(const NodeMessage& message, MonotonicTime now);
  void OnOwnerState(const NodeMessage& message, MonotonicTime now);
  void OnProbe(const NodeMessage& message, MonotonicTime now);
  void OnTakeOver(const NodeMessage& message, MonotonicTime now);
  void StartProbe(MonotonicTime now);
  void EndProbe(MonotonicTime now);
  void Claim(MonotonicTime now);
  // Whether a node is there that should own the shard in place of this one.
  bool HasLargerNode(MonotonicTime now) const;
  void HandOver(MonotonicTime now);
  void StopOwning(const std::string& reason);
  static bool Outranks(const NodeInfo& left, const NodeInfo& right);

  ElectionOptions options_;
  ElectionHooks hooks_;
  State state_ = State::kStarting;
  OwnerClaim claim_;
  bool claims_read_ = false;
  MonotonicTime owner_heard_at_;
  MonotonicTime owner_silent_since_;
  MonotonicTime hello_sent_at_;
  MonotonicTime next_probe_step_at_;
  MonotonicTime takeover_requested_at_;
  MonotonicTime owns_since_;
  std::optional<MonotonicTime> store_failing_since_;
  std::uint32_t probe_round_ = 0;
  std::uint32_t deferrals_ = 0;
  bool leaving_ = false;
  std::vector<NodeMessage> probe_answers_;
  // Other nodes, by name.
  std::map<std::string, Member> members_;
  std::map<std::string, std::uint32_t> pending_counts_;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_ELECTION_CORE_H_
