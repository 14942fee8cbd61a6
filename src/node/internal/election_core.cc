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

}  // namespace

ElectionCore::ElectionCore(ElectionOptions options, ElectionHooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

bool ElectionCore::owns() const { return state_ == State::kOwning; }

bool ElectionCore::HearsOwner(MonotonicTime now) const {
  return owns() || (claim_.token > 0 && owner_heard_at_ != MonotonicTime() &&
                    now - owner_heard_at_ < options_.suspect_after);
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
          .round = probe_round_};
}

void ElectionCore::OnClaim(const OwnerClaim& claim, MonotonicTime now) {
  if (claim.token <= claim_.token) return;
  if (owns()) StopOwning("another node has claimed the shard");
  claim_ = claim;
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
  if (claim_.token == 0 || claim_.node == options_.self.name) Claim(now);
}

void ElectionCore::OnClaimed(const OwnerClaim& claim, MonotonicTime now) {
  if (claim.token < claim_.token) return;
  if (claim.token > claim_.token) hooks_.log_change("owner", claim.node);
  claim_ = claim;
  state_ = State::kOwning;
  owns_since_ = now;
  owner_heard_at_ = now;
  deferrals_ = 0;
  pending_counts_.clear();
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
    store_failing_since_.reset();
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

void ElectionCore::OnHello(const NodeMessage& message, MonotonicTime now) {
  if (!owns()) return;
  NodeMessage answer = MakeMessage(MessageKind::kOwnerState, now);
  for (const auto& [name, member] : members_) {
    if (now - member.last_seen_at < kMemberTimeout) {
      answer.members.push_back(member.info);
    }
  }
  answer.pending_counts = pending_counts_;
  hooks_.send(message.sender.address, answer);
}

void ElectionCore::OnOwnerState(const NodeMessage& message, MonotonicTime now) {
  if (message.claim.token != claim_.token || owns()) return;
  if (message.sender.name != claim_.node) return;
  owner_heard_at_ = now;
  pending_counts_ = message.pending_counts;
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
  if (state_ == State::kFollowing || state_ == State::kProbing) Claim(now);
}

void ElectionCore::StartProbe(MonotonicTime now) {
  state_ = State::kProbing;
  ++probe_round_;
  probe_answers_.clear();
  next_probe_step_at_ = now + options_.probe_wait;
  for (const auto& [name, member] : members_) {
    hooks_.send(member.info.address, MakeMessage(MessageKind::kProbe, now));
  }
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
  const bool preferred_node = std::any_of(
      probe_answers_.begin(), probe_answers_.end(),
      [this](const NodeMessage& answer) {
        return answer.store_reached && Outranks(answer.sender, options_.self);
      });
  if (preferred_node && ++deferrals_ <= kMaxDeferrals) return;
  const bool isolated = probe_answers_.empty() && !members_.empty();
  if (isolated && now - owner_silent_since_ < options_.isolated_wait) return;
  Claim(now);
}

void ElectionCore::Claim(MonotonicTime) {
  if (leaving_) return;
  state_ = State::kClaiming;
  hooks_.claim();
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
               member.store_reached &&
               now - member.last_seen_at < options_.suspect_after &&
               now - member.heard_since >= options_.stability_period;
      });
}

void ElectionCore::HandOver(MonotonicTime now) {
  if (now - takeover_requested_at_ < kTakeoverRequestInterval) return;
  const Member* best = nullptr;
  for (const auto& [name, member] : members_) {
    if (!member.store_reached ||
        now - member.last_seen_at > options_.suspect_after) {
      continue;
    }
    if (best == nullptr || Outranks(member.info, best->info)) best = &member;
  }
  if (best == nullptr) return;
  takeover_requested_at_ = now;
  hooks_.log_change("hand over", best->info.name);
  hooks_.send(best->info.address, MakeMessage(MessageKind::kTakeOver, now));
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
  if (HearsOwner(now)) owner_silent_since_ = now;
  if (claim_.token > 0 && now - hello_sent_at_ >= options_.hello_interval) {
    hello_sent_at_ = now;
    hooks_.send(claim_.address, MakeMessage(MessageKind::kHello, now));
  }
  if (state_ == State::kProbing && now >= next_probe_step_at_) EndProbe(now);
  if (state_ == State::kFollowing && !HearsOwner(now) &&
      now >= next_probe_step_at_) {
    StartProbe(now);
  }
}

}  // namespace carobmast::node
