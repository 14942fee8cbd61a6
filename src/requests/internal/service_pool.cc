#include "requests/service_pool.h"

#include <algorithm>
#include <optional>

namespace carobmast::requests {

namespace {

// A peer that had no free slots is asked again after kMinBackOff, which doubles
// each time up to kMaxBackOff.
constexpr Duration kMinBackOff = std::chrono::milliseconds(1);
constexpr Duration kMaxBackOff = std::chrono::milliseconds(16);

// 64-bit FNV-1a. Gives the same result in every process and version, so that
// all gateways compute the same homes.
std::uint64_t Hash(const std::string& gateway, const std::string& instance) {
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  for (const std::string* text : {&gateway, &instance}) {
    for (const char c : *text) {
      hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    }
    hash = (hash ^ 0xff) * kPrime;
  }
  return hash ^ (hash >> 31);
}

template <typename T>
T CeilDivide(T value, std::size_t by) {
  return static_cast<T>((value + by - 1) / by);
}

}  // namespace

ServicePool::ServicePool(ServicePoolOptions options)
    : options_(std::move(options)) {}

void ServicePool::SetInstances(const std::vector<Instance>& instances) {
  std::map<std::string, Ref<InstanceState>> known;
  for (const Ref<InstanceState>& state : instances_) {
    known[state->instance.name] = state;
  }
  std::map<std::string, Ref<InstanceState>> next;
  for (const Instance& instance : instances) {
    Ref<InstanceState>& state = next[instance.name];
    const auto found = known.find(instance.name);
    state = found != known.end() ? found->second : MakeRef<InstanceState>();
    const bool leaving = state->instance.leaving || instance.leaving;
    state->instance = instance;
    state->instance.leaving = leaving;
    state->local = instance.zone == options_.zone;
  }
  instances_.clear();
  for (const auto& [name, state] : next) instances_.push_back(state);
  AssignHomes();
}

void ServicePool::SetPeers(const std::vector<GatewayPeer>& peers) {
  std::map<std::string, Peer> next;
  gateways_in_zone_ = 1;
  for (const GatewayPeer& peer : peers) {
    const auto known = peers_.find(peer.name);
    next[peer.name] = known != peers_.end() ? known->second : Peer{};
    next[peer.name].zone = peer.zone;
    if (peer.zone == options_.zone) ++gateways_in_zone_;
  }
  peers_ = std::move(next);
  gateways_ = peers_.size() + 1;
  AssignHomes();
}

std::vector<std::string> ServicePool::HomeCandidates(
    const std::string& zone) const {
  std::vector<std::string> in_zone;
  std::vector<std::string> all = {options_.gateway};
  if (options_.zone == zone) in_zone.push_back(options_.gateway);
  for (const auto& [name, peer] : peers_) {
    all.push_back(name);
    if (peer.zone == zone) in_zone.push_back(name);
  }
  return in_zone.empty() ? all : in_zone;
}

// Rendezvous hashing with an upper bound per gateway, so that all gateways of a
// zone are the home of about the same number of instances.
void ServicePool::AssignHomes() {
  std::map<std::string, std::size_t> in_zone;
  for (const Ref<InstanceState>& state : instances_) {
    ++in_zone[state->instance.zone];
  }
  std::map<std::string, std::size_t> homes;
  for (const Ref<InstanceState>& state : instances_) {
    const std::vector<std::string> gateways =
        HomeCandidates(state->instance.zone);
    const std::size_t bound =
        CeilDivide(in_zone[state->instance.zone], gateways.size());
    const std::string* home = nullptr;
    std::uint64_t best = 0;
    for (const std::string& gateway : gateways) {
      const std::uint64_t score = Hash(gateway, state->instance.name);
      const std::string key = state->instance.zone + '/' + gateway;
      if (homes[key] >= bound || (home != nullptr && score <= best)) continue;
      home = &gateway;
      best = score;
    }
    ++homes[state->instance.zone + '/' + *home];
    state->homed_here = *home == options_.gateway;
    if (state->homed_here) state->borrowed = 0;
  }
}

bool ServicePool::MayReceive(const InstanceState& instance, bool idempotent,
                             MonotonicTime now) const {
  if (instance.instance.leaving) return false;
  if (instance.health.IsEjected(now)) return false;
  return idempotent || !instance.health.on_probation();
}

std::uint32_t ServicePool::Spare(const InstanceState& instance) const {
  const std::uint32_t limit =
      options_.policy.homed ? HomedLimit(instance) : SharedLimit(instance);
  return limit > instance.outstanding ? limit - instance.outstanding : 0;
}

std::uint32_t ServicePool::HomedLimit(const InstanceState& instance) const {
  if (!instance.homed_here) return instance.borrowed;
  const std::uint32_t limit = instance.health.Limit(instance.instance.slots);
  return limit > instance.lent_total ? limit - instance.lent_total : 0;
}

std::uint32_t ServicePool::SharedLimit(const InstanceState& instance) const {
  if (instance.health.on_probation()) return 1;
  const std::uint32_t connections = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(instance.instance.connections / gateways_));
  if (!options_.policy.spills_early) return connections;
  return std::min(connections, Share(instance) + options_.over_share);
}

std::uint32_t ServicePool::Share(const InstanceState& instance) const {
  if (!instance.local) return 1;
  const std::uint32_t limit = instance.health.Limit(instance.instance.slots);
  return CeilDivide(limit, gateways_in_zone_);
}

bool ServicePool::IsUnderShare(const InstanceState& instance) const {
  return instance.outstanding < Share(instance);
}

bool ServicePool::AreMostEjected(MonotonicTime now) const {
  std::size_t open = 0;
  std::size_t ejected = 0;
  for (const Ref<InstanceState>& state : instances_) {
    if (state->instance.leaving) continue;
    ++(state->health.IsEjected(now) ? ejected : open);
  }
  return ejected > open;
}

void ServicePool::CollectCandidates(
    bool idempotent, MonotonicTime now,
    const std::function<bool(const InstanceState&)>& accept) {
  candidates_.clear();
  for (const Ref<InstanceState>& state : instances_) {
    if (!MayReceive(*state, idempotent, now)) continue;
    if (std::count(excluded_.begin(), excluded_.end(), state) > 0) continue;
    if (Spare(*state) > 0 && accept(*state)) candidates_.push_back(state.get());
  }
}

Ref<InstanceState> ServicePool::Pick(
    bool idempotent, const std::vector<Ref<InstanceState>>& failed,
    MonotonicTime now, Random& random) {
  excluded_ = failed;
  Ref<InstanceState> picked = PickAny(idempotent, now, random);
  if (picked != nullptr || excluded_.empty()) return picked;
  excluded_.clear();
  return PickAny(idempotent, now, random);
}

Ref<InstanceState> ServicePool::PickAny(bool idempotent, MonotonicTime now,
                                        Random& random) {
  const auto local = [](const InstanceState& state) { return state.local; };
  const auto any = [](const InstanceState&) { return true; };
  if (options_.policy.spills_early && !options_.policy.homed) {
    CollectCandidates(idempotent, now, [this](const InstanceState& state) {
      return state.local && IsUnderShare(state);
    });
    if (candidates_.empty()) {
      CollectCandidates(idempotent, now, [this](const InstanceState& state) {
        return IsUnderShare(state);
      });
    }
  } else {
    CollectCandidates(idempotent, now, local);
  }
  if (candidates_.empty()) CollectCandidates(idempotent, now, local);
  if (candidates_.empty()) CollectCandidates(idempotent, now, any);
  if (candidates_.empty()) return PickEjected(now, random);
  return options_.policy.pick(candidates_, random);
}

// If most instances are ejected, the cause is likely in the requests and not in
// the instances, so ejections are ignored.
Ref<InstanceState> ServicePool::PickEjected(MonotonicTime now, Random& random) {
  if (!AreMostEjected(now)) return nullptr;
  candidates_.clear();
  for (const Ref<InstanceState>& state : instances_) {
    if (!state->instance.leaving && Spare(*state) > 0) {
      candidates_.push_back(state.get());
    }
  }
  if (candidates_.empty()) return nullptr;
  return options_.policy.pick(candidates_, random);
}

void ServicePool::OnStart(InstanceState& instance) { ++instance.outstanding; }

void ServicePool::OnEnd(InstanceState& instance) { --instance.outstanding; }

void ServicePool::AskForSlots(std::size_t waiting, MonotonicTime now) {
  if (!homed() || peers_.empty()) return;
  std::uint32_t open_asks = 0;
  for (auto& [name, peer] : peers_) {
    if (peer.ask_pending && now >= peer.ask_expires) peer.ask_pending = false;
    if (peer.ask_pending) ++open_asks;
  }
  std::vector<std::string> order;
  order.reserve(peers_.size());
  for (const auto& [name, peer] : peers_) order.push_back(name);
  std::rotate(order.begin(),
              order.begin() + static_cast<std::ptrdiff_t>(first_asked_peer_++ %
                                                          order.size()),
              order.end());
  std::stable_partition(order.begin(), order.end(),
                        [this](const std::string& name) {
                          return peers_[name].zone == options_.zone;
                        });
  for (const std::string& name : order) {
    if (open_asks >= options_.max_pending_asks) return;
    Peer& peer = peers_[name];
    if (peer.ask_pending || now < peer.not_before) continue;
    peer.ask_pending = true;
    peer.ask_expires = now + options_.ask_timeout;
    ++open_asks;
    options_.send_to_peer(
        name, {.verb = PeerVerb::kAsk,
               .service = options_.service,
               .want = static_cast<std::uint32_t>(std::min<std::size_t>(
                   waiting, options_.max_slots_per_ask))});
  }
}

void ServicePool::ReturnIdleSlots() {
  std::map<std::string, PeerMessage> messages;
  for (const Ref<InstanceState>& state : instances_) {
    if (state->borrowed <= state->outstanding) continue;
    PeerMessage& message = messages[state->lender];
    message.slots.push_back({.instance = state->instance.name,
                             .count = state->borrowed - state->outstanding});
    state->borrowed = state->outstanding;
  }
  for (auto& [peer, message] : messages) {
    message.verb = PeerVerb::kReturn;
    message.service = options_.service;
    options_.send_to_peer(peer, message);
  }
}

bool ServicePool::HasIdleBorrowedSlots() const {
  return std::any_of(instances_.begin(), instances_.end(),
                     [](const Ref<InstanceState>& state) {
                       return state->borrowed > state->outstanding;
                     });
}

void ServicePool::OnPeerMessage(const std::string& peer,
                                const PeerMessage& message, std::size_t waiting,
                                MonotonicTime now) {
  if (!homed()) return;
  switch (message.verb) {
    case PeerVerb::kAsk:
      return Lend(peer, std::min(message.want, options_.max_slots_per_ask),
                  waiting, now);
    case PeerVerb::kGrant:
      return OnGrant(peer, message, now);
    case PeerVerb::kReturn:
      return OnReturn(peer, message);
  }
}

void ServicePool::Lend(const std::string& peer, std::uint32_t want,
                       std::size_t waiting, MonotonicTime now) {
  PeerMessage grant{.verb = PeerVerb::kGrant, .service = options_.service};
  std::vector<InstanceState*> free;
  std::uint32_t slots = 0;
  for (const Ref<InstanceState>& state : instances_) {
    const bool lendable = state->homed_here && MayReceive(*state, false, now) &&
                          !state->health.is_slow();
    if (!lendable || Spare(*state) == 0) continue;
    free.push_back(state.get());
    slots += Spare(*state);
  }
  const std::uint32_t kept =
      options_.reserve + static_cast<std::uint32_t>(waiting);
  want = slots > kept ? std::min(want, slots - kept) : 0;
  std::stable_sort(free.begin(), free.end(),
                   [this](const InstanceState* a, const InstanceState* b) {
                     return Spare(*a) > Spare(*b);
                   });
  for (InstanceState* state : free) {
    if (want == 0) break;
    LentSlots& lent = state->lent[peer];
    ++lent.count;
    lent.until = now + options_.lend_duration;
    ++state->lent_total;
    --want;
    grant.slots.push_back({.instance = state->instance.name, .count = 1});
  }
  options_.send_to_peer(peer, grant);
}

void ServicePool::OnGrant(const std::string& peer, const PeerMessage& message,
                          MonotonicTime now) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  Peer& from = found->second;
  from.ask_pending = false;
  if (message.slots.empty()) {
    from.back_off = std::clamp(from.back_off * 2, kMinBackOff, kMaxBackOff);
    from.not_before = now + from.back_off;
    return;
  }
  from.back_off = Duration::zero();
  for (const SlotCount& slot : message.slots) {
    InstanceState* state = Find(slot.instance);
    if (state == nullptr || state->homed_here) continue;
    state->borrowed += slot.count;
    state->lender = peer;
  }
}

void ServicePool::OnReturn(const std::string& peer,
                           const PeerMessage& message) {
  for (const SlotCount& slot : message.slots) {
    InstanceState* state = Find(slot.instance);
    if (state == nullptr) continue;
    const auto lent = state->lent.find(peer);
    if (lent == state->lent.end()) continue;
    const std::uint32_t back = std::min(slot.count, lent->second.count);
    lent->second.count -= back;
    state->lent_total -= back;
    if (lent->second.count == 0) state->lent.erase(lent);
  }
}

void ServicePool::ReclaimSlots(MonotonicTime now) {
  for (const Ref<InstanceState>& state : instances_) {
    std::erase_if(state->lent, [&](const auto& entry) {
      if (now < entry.second.until) return false;
      state->lent_total -= entry.second.count;
      return true;
    });
  }
}

bool ServicePool::HasOpenInstance() const {
  return std::any_of(
      instances_.begin(), instances_.end(),
      [](const Ref<InstanceState>& state) { return !state->instance.leaving; });
}

std::uint32_t ServicePool::Capacity() const {
  // A zone without instances sends all of its requests to other zones.
  const bool any_local =
      std::any_of(instances_.begin(), instances_.end(),
                  [](const Ref<InstanceState>& state) {
                    return state->local && !state->instance.leaving;
                  });
  std::uint32_t total = 0;
  for (const Ref<InstanceState>& state : instances_) {
    if (state->instance.leaving) continue;
    if (homed()) {
      if (state->homed_here) total += state->instance.slots;
      continue;
    }
    if (state->local || !any_local) {
      total += CeilDivide(state->instance.slots, gateways_in_zone_);
    }
  }
  return std::max<std::uint32_t>(1, total);
}

InstanceState* ServicePool::Find(const std::string& instance) const {
  const auto found = std::lower_bound(
      instances_.begin(), instances_.end(), instance,
      [](const Ref<InstanceState>& state, const std::string& name) {
        return state->instance.name < name;
      });
  if (found == instances_.end()) return nullptr;
  return (*found)->instance.name == instance ? found->get() : nullptr;
}

}  // namespace carobmast::requests
