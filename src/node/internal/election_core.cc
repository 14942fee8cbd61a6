#include "node/election_core.h"

#include <algorithm>

namespace carobmast::node {

namespace {

// Members not heard from for this long are left out of the owner's list.
constexpr Duration kMemberTimeout = std::chrono::milliseconds(1500);
// A node lets a preferred node claim first for at most this many probes.
constexpr std::uint32_t kMaxDeferrals = 3;
// A node of this many times the owner's rank is worth the interruption of a
// change of owner.
constexpr std::uint32_t kHandoverRankRatio = 2;
constexpr Duration kTakeoverRequestInterval = std::chrono::milliseconds(300);
// A node that was asked in vain, while it reached the store all along, is
// passed over until this many time-outs after the first request.
constexpr int kPassedOverTimeouts = 3;

// The clocks of two nodes gain on each other by one part in this many at most.
constexpr int kClockDriftDivisor = 1000;

// A claim older than this can't have a predecessor that still believes it owns
// the shard. Exceeds the sum of the longest unconfirmed ownership, the longest
// lease and jumps of the wall clock.
constexpr std::chrono::seconds kFormerOwnerRetention{30};

}  // namespace

FormerOwners FindFormerOwners(const std::optional<OwnerClaim>& previous,
                              const std::string& node, WallTime now) {
  FormerOwners former{.any = previous.has_value()};
  if (!former.any) return former;
  former.need_nodes = previous->needs_nodes;
  if (now - previous->claimed_at < kFormerOwnerRetention) {
    former.names.insert(previous->former.begin(), previous->former.end());
    former.need_nodes = former.need_nodes && previous->former_need_nodes;
  }
  former.names.insert(previous->node);
  // An earlier run of this node has certainly ended.
  former.names.erase(node);
  return former;
}

ElectionCore::ElectionCore(ElectionOptions options, ElectionHooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

bool ElectionCore::owns() const { return state_ == State::kOwning; }

bool ElectionCore::HearsOwner(MonotonicTime now) const {
  return owns() || (claim_.token > 0 && owner_heard_at_ != MonotonicTime() &&
                    now - owner_heard_at_ < options_.suspect_after);
}

std::optional<MonotonicTime> ElectionCore::OwnerClock(MonotonicTime now) const {
  if (owns()) return now;
  if (!owner_clock_ahead_.has_value()) return std::nullopt;
  return now + *owner_clock_ahead_;
}

void ElectionCore::UpdateOwnerClock(MonotonicTime owner_time,
                                    MonotonicTime now) {
  const Duration ahead = owner_time - now;
  if (owner_clock_ahead_.has_value() && owner_state_at_.has_value()) {
    // This node's clock may have gained on the owner's since.
    *owner_clock_ahead_ -= (now - *owner_state_at_) / kClockDriftDivisor;
  }
  owner_clock_ahead_ = std::max(owner_clock_ahead_.value_or(ahead), ahead);
}

Duration ElectionCore::RetryAfter(MonotonicTime now) const {
  MonotonicTime outage_start = now;
  if (store_failing_since_.has_value()) outage_start = *store_failing_since_;
  if (!HearsOwner(now) && owner_silent_since_ != MonotonicTime()) {
    outage_start = std::min(outage_start, owner_silent_since_);
  }
  const Duration outage_duration = now - outage_start;
  return std::clamp(outage_duration, options_.min_retry_after,
                    options_.max_retry_after);
}

bool ElectionCore::StoreReached(MonotonicTime now) const {
  return !store_failing_since_.has_value() ||
         now - *store_failing_since_ < options_.store_unreachable_after;
}

void ElectionCore::SetPendingCounts(
    std::map<std::string, std::uint32_t> counts) {
  pending_counts_ = std::move(counts);
}

bool ElectionCore::Outranks(const NodeInfo& left, const NodeInfo& right) {
  if (left.rank != right.rank) return left.rank > right.rank;
  return left.name < right.name;
}

NodeMessage ElectionCore::MakeMessage(MessageKind kind,
                                      MonotonicTime now) const {
  return {.kind = kind,
          .sender = options_.self,
          .claim = claim_,
          .store_reached = StoreReached(now),
          .hears_owner = HearsOwner(now),
          .leaving = leaving_,
          .incarnation = options_.incarnation,
          .zone = options_.zone,
          .owner_time = owns() ? now : owner_time_,
          .round = probe_round_};
}

void ElectionCore::OnClaim(const OwnerClaim& claim, MonotonicTime now) {
  if (claim.token <= claim_.token) return;
  if (owns()) StopOwning("another node has claimed the shard");
  claim_ = claim;
  owner_time_.reset();
  owner_state_at_.reset();
  owner_clock_ahead_.reset();
  owner_heard_at_ = now + options_.new_owner_grace;
  deferrals_ = 0;
  pending_counts_.clear();
  hooks_.log_change("owner", claim.node);
  if (claim.node == options_.self.name) {
    // Either the stream delivered the claim before the append was answered, or
    // the claim is from an earlier run of this node.
    owner_heard_at_ = MonotonicTime();
    if (state_ == State::kClaiming) return;
  }
  if (state_ != State::kStarting) state_ = State::kFollowing;
}

void ElectionCore::OnClaimsRead(MonotonicTime now) {
  if (claims_read_) return;
  claims_read_ = true;
  owner_silent_since_ = now;
  state_ = State::kFollowing;
  if (claim_.token == 0) {
    Claim({.reason = "no owner yet"});
  } else if (claim_.node == options_.self.name) {
    // The other nodes say hello to this one, as it was the owner.
    const bool may_be_replaced =
        claim_.highest_rank >= kHandoverRankRatio * options_.self.rank;
    reclaim_at_ =
        now + (may_be_replaced ? options_.larger_node_wait : Duration::zero());
    Reclaim(now);
  }
}

std::uint32_t ElectionCore::HighestRank() const {
  std::uint32_t highest = options_.self.rank;
  for (const auto& [name, member] : members_) {
    highest = std::max(highest, member.info.rank);
  }
  return highest;
}

void ElectionCore::Reclaim(MonotonicTime now) {
  if (!reclaim_at_.has_value()) return;
  if (state_ != State::kFollowing || claim_.node != options_.self.name) {
    reclaim_at_.reset();
    return;
  }
  const Member* successor = FindSuccessor(now);
  if (successor != nullptr &&
      successor->info.rank >= kHandoverRankRatio * options_.self.rank) {
    reclaim_at_.reset();
    RequestTakeover(*successor, now);
    owner_heard_at_ = now;
  } else if (now >= *reclaim_at_) {
    reclaim_at_.reset();
    Claim({.reason = "owner before its restart"});
  }
}

bool ElectionCore::OnClaimed(const OwnerClaim& claim, MonotonicTime now) {
  if (claim.token < claim_.token) return false;
  if (owns()) StopOwning("this node has claimed the shard again");
  if (claim.token > claim_.token) hooks_.log_change("owner", claim.node);
  claim_ = claim;
  owner_time_.reset();
  owner_state_at_.reset();
  owner_clock_ahead_.reset();
  state_ = State::kOwning;
  successor_known_since_ = MonotonicTime();
  takeover_requests_.clear();
  owns_since_ = now;
  owner_heard_at_ = now;
  deferrals_ = 0;
  pending_counts_.clear();
  AnnounceOwnership(now);
  return true;
}

void ElectionCore::AnnounceOwnership(MonotonicTime now) {
  for (const auto& [name, member] : members_) {
    hooks_.send(member.info.address,
                MakeMessage(MessageKind::kOwnerState, now));
  }
}

void ElectionCore::OnClaimFailed(MonotonicTime now) {
  if (state_ != State::kClaiming) return;
  state_ = State::kFollowing;
  next_probe_step_at_ = now + options_.probe_pause;
}

void ElectionCore::OnOwnershipLost(MonotonicTime now) {
  if (!owns()) return;
  state_ = State::kFollowing;
  pending_counts_.clear();
  owner_heard_at_ = MonotonicTime();
  owner_silent_since_ = now;
  next_probe_step_at_ = now + options_.probe_pause;
}

void ElectionCore::OnStoreResult(bool reached, MonotonicTime now) {
  if (reached) {
    const bool regained = !StoreReached(now);
    store_failing_since_.reset();
    if (regained) LookForOwner(now);
  } else if (!store_failing_since_.has_value()) {
    store_failing_since_ = now;
  }
}

void ElectionCore::OnOwnerLinkLost(MonotonicTime now) {
  if (state_ != State::kFollowing || !HearsOwner(now)) return;
  owner_heard_at_ = now - options_.suspect_after;
}

void ElectionCore::OnMessage(const NodeMessage& message, MonotonicTime now) {
  if (message.sender.name == options_.self.name) return;
  Member& member = members_[message.sender.name];
  member.info = message.sender;
  if (now - member.last_seen_at > kMemberTimeout) member.heard_since = now;
  member.last_seen_at = now;
  member.store_reached = message.store_reached;
  member.leaving = message.leaving;
  // A node that loses the store can't have claimed, so it was not asked in
  // vain. It may have been asked before it noticed the outage.
  if (!message.store_reached) takeover_requests_.erase(message.sender.name);
  if (message.claim.token > claim_.token) OnClaim(message.claim, now);
  switch (message.kind) {
    case MessageKind::kHello:
      OnHello(message, now);
      return;
    case MessageKind::kOwnerState:
      OnOwnerState(message, now);
      return;
    case MessageKind::kProbe:
      OnProbe(message, now);
      return;
    case MessageKind::kProbeAnswer:
      if (state_ == State::kProbing && message.round == probe_round_) {
        probe_answers_.push_back(message);
      }
      return;
    case MessageKind::kTakeOver:
      OnTakeOver(message, now);
      return;
  }
}

std::vector<NodeInfo> ElectionCore::PreferredMembers(bool only_heard,
                                                     MonotonicTime now) const {
  std::vector<NodeInfo> members;
  for (const auto& [name, member] : members_) {
    const bool heard =
        now - member.last_seen_at < kMemberTimeout && !member.leaving;
    if (heard || !only_heard) members.push_back(member.info);
  }
  const std::size_t count =
      std::min(members.size(), options_.max_listed_members);
  std::partial_sort(members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(count),
                    members.end(), Outranks);
  members.resize(count);
  return members;
}

void ElectionCore::SendHello(MonotonicTime now) {
  hello_sent_at_ = now;
  hooks_.send(claim_.address, MakeMessage(MessageKind::kHello, now));
}

void ElectionCore::OnHello(const NodeMessage& message, MonotonicTime now) {
  if (!owns()) return;
  if (message.claim.token == claim_.token && message.owner_time.has_value()) {
    hooks_.node_answered(message);
  }
  NodeMessage answer = MakeMessage(MessageKind::kOwnerState, now);
  Member& member = members_[message.sender.name];
  if (now - member.details_sent_at >= options_.details_interval) {
    member.details_sent_at = now;
    if (now - listed_members_at_ >= options_.hello_interval) {
      listed_members_at_ = now;
      listed_members_ = PreferredMembers(true, now);
    }
    answer.has_details = true;
    answer.members = listed_members_;
    answer.pending_counts = pending_counts_;
  }
  hooks_.send(message.sender.address, answer);
}

void ElectionCore::OnOwnerState(const NodeMessage& message, MonotonicTime now) {
  if (message.claim.token != claim_.token || owns()) return;
  if (message.sender.name != claim_.node) return;
  owner_heard_at_ = now;
  const bool is_first = !owner_time_.has_value();
  owner_time_ = message.owner_time;
  if (owner_time_.has_value()) UpdateOwnerClock(*owner_time_, now);
  owner_state_at_ = now;
  // A new owner waits for the nodes to stand by it.
  if (is_first && owner_time_.has_value()) SendHello(now);
  if (message.has_details) pending_counts_ = message.pending_counts;
  for (const NodeInfo& info : message.members) {
    if (info.name != options_.self.name) members_[info.name].info = info;
  }
  if (state_ == State::kProbing) state_ = State::kFollowing;
}

void ElectionCore::OnProbe(const NodeMessage& message, MonotonicTime now) {
  NodeMessage answer = MakeMessage(MessageKind::kProbeAnswer, now);
  answer.round = message.round;
  hooks_.send(message.sender.address, answer);
}

void ElectionCore::OnTakeOver(const NodeMessage& message, MonotonicTime now) {
  if (message.claim.token != claim_.token || leaving_) return;
  if (state_ != State::kFollowing && state_ != State::kProbing) return;
  Claim({.reason = "asked to take over",
         .asked_by = message.sender.name,
         .owner_state_age = OwnerStateAge(now)});
}

void ElectionCore::StartProbe(MonotonicTime now) {
  state_ = State::kProbing;
  ++probe_round_;
  probe_answers_.clear();
  next_probe_step_at_ = now + options_.probe_wait;
  for (const NodeInfo& member : PreferredMembers(false, now)) {
    hooks_.send(member.address, MakeMessage(MessageKind::kProbe, now));
  }
}

// A node that was cut off from the store was probably cut off from the other
// nodes as well, so nobody could answer its last probe.
void ElectionCore::LookForOwner(MonotonicTime now) {
  if (state_ != State::kFollowing && state_ != State::kProbing) return;
  if (HearsOwner(now) || reclaim_at_.has_value()) return;
  if (claim_.token > 0) SendHello(now);
  StartProbe(now);
}

void ElectionCore::EndProbe(MonotonicTime now) {
  state_ = State::kFollowing;
  next_probe_step_at_ = now + options_.probe_pause;
  // A node that is leaving or can't reach the store leaves the claim to others.
  if (leaving_ || !StoreReached(now)) return;
  const bool heard_by_others =
      std::any_of(probe_answers_.begin(), probe_answers_.end(),
                  [](const NodeMessage& answer) { return answer.hears_owner; });
  if (heard_by_others) return;
  const bool preferred_node =
      std::any_of(probe_answers_.begin(), probe_answers_.end(),
                  [this](const NodeMessage& answer) {
                    return answer.store_reached && !answer.leaving &&
                           Outranks(answer.sender, options_.self);
                  });
  if (preferred_node && ++deferrals_ <= kMaxDeferrals) return;
  const bool isolated = probe_answers_.empty() && !members_.empty();
  if (isolated && now - owner_silent_since_ < options_.isolated_wait) return;
  Claim({.reason = isolated ? "no node answers" : "no node hears the owner",
         .owner_state_age = OwnerStateAge(now),
         .answers = probe_answers_.size()});
}

std::optional<Duration> ElectionCore::OwnerStateAge(MonotonicTime now) const {
  if (!owner_state_at_.has_value()) return std::nullopt;
  return now - *owner_state_at_;
}

void ElectionCore::Claim(const ClaimBasis& basis) {
  if (leaving_) return;
  state_ = State::kClaiming;
  hooks_.claim(basis);
}

void ElectionCore::StopOwning(const std::string& reason) {
  state_ = State::kFollowing;
  pending_counts_.clear();
  hooks_.stop_owning(reason);
}

bool ElectionCore::HasLargerNode(MonotonicTime now) const {
  if (now - owns_since_ < options_.stability_period) return false;
  return std::any_of(
      members_.begin(), members_.end(), [this, now](const auto& entry) {
        const Member& member = entry.second;
        return member.info.rank >= kHandoverRankRatio * options_.self.rank &&
               member.store_reached && !member.leaving &&
               now - member.last_seen_at < kMemberTimeout &&
               now - member.heard_since >= options_.stability_period;
      });
}

bool ElectionCore::MayTakeOver(const Member& member, MonotonicTime now) const {
  if (member.leaving || now - member.last_seen_at > options_.suspect_after) {
    return false;
  }
  // A request may be lost, so a node is asked again until its time is over, and
  // once more after the others had theirs.
  const auto request = takeover_requests_.find(member.info.name);
  if (request == takeover_requests_.end()) return true;
  const Duration since_request = now - request->second;
  return since_request < options_.takeover_timeout ||
         since_request >= kPassedOverTimeouts * options_.takeover_timeout;
}

const ElectionCore::Member* ElectionCore::FindSuccessor(MonotonicTime now) {
  const Member* best = nullptr;
  std::uint32_t highest_rank = 0;
  for (const auto& [name, member] : members_) {
    if (!MayTakeOver(member, now)) continue;
    highest_rank = std::max(highest_rank, member.info.rank);
    if (!member.store_reached) continue;
    if (best == nullptr || IsBetterSuccessor(member, *best)) best = &member;
  }
  if (best == nullptr) {
    successor_known_since_ = MonotonicTime();
    return nullptr;
  }
  if (successor_known_since_ == MonotonicTime()) successor_known_since_ = now;
  const bool larger_node_may_follow =
      highest_rank >= kHandoverRankRatio * best->info.rank;
  if (larger_node_may_follow &&
      now - successor_known_since_ < options_.larger_node_wait) {
    return nullptr;
  }
  return best;
}

// In a rolling restart the nodes that have come back last are those that stay
// longest.
bool ElectionCore::IsBetterSuccessor(const Member& left,
                                     const Member& right) const {
  if (leaving_ && left.info.rank == right.info.rank) {
    return left.heard_since > right.heard_since;
  }
  return Outranks(left.info, right.info);
}

void ElectionCore::HandOver(MonotonicTime now) {
  if (now - takeover_requested_at_ < kTakeoverRequestInterval) return;
  const Member* successor = FindSuccessor(now);
  if (successor != nullptr) RequestTakeover(*successor, now);
}

void ElectionCore::RequestTakeover(const Member& member, MonotonicTime now) {
  takeover_requested_at_ = now;
  const auto request =
      takeover_requests_.try_emplace(member.info.name, now).first;
  if (now - request->second >= options_.takeover_timeout) {
    request->second = now;
  }
  hooks_.log_change("hand over", member.info.name);
  hooks_.send(member.info.address, MakeMessage(MessageKind::kTakeOver, now));
}

void ElectionCore::Leave(MonotonicTime now) {
  leaving_ = true;
  if (owns()) HandOver(now);
}

void ElectionCore::Tick(MonotonicTime now) {
  if (!claims_read_) return;
  if (owns()) {
    owner_heard_at_ = now;
    if (leaving_ || !StoreReached(now) || HasLargerNode(now)) HandOver(now);
    if (store_failing_since_.has_value() &&
        now - *store_failing_since_ > options_.max_unconfirmed_ownership) {
      StopOwning("the store is unreachable, so the claim can't be confirmed");
    }
    return;
  }
  Reclaim(now);
  if (HearsOwner(now)) owner_silent_since_ = now;
  if (claim_.token > 0 && now - hello_sent_at_ >= options_.hello_interval) {
    SendHello(now);
  }
  if (state_ == State::kProbing && now >= next_probe_step_at_) EndProbe(now);
  if (state_ == State::kFollowing && !HearsOwner(now) &&
      !reclaim_at_.has_value() && now >= next_probe_step_at_) {
    StartProbe(now);
  }
}

}  // namespace carobmast::node
