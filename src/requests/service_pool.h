// The instances of one service as one gateway sees them: which have room for a
// request, and, under the policy `homed`, whose slots they are.
#ifndef CAROBMAST_REQUESTS_SERVICE_POOL_H_
#define CAROBMAST_REQUESTS_SERVICE_POOL_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "framework/base/intrusive.h"
#include "requests/instance_state.h"
#include "requests/policy.h"
#include "requests/types/peer_message.h"

namespace carobmast::requests {

struct ServicePoolOptions {
  std::string service;
  // This gateway's name and zone.
  std::string gateway;
  std::string zone;
  Policy policy;
  // Requests beyond its share of the slots that this gateway sends to an
  // instance before it lets requests wait, under the policies without homes.
  std::uint32_t over_share = 1;
  // Slots lent to a peer are taken back after this time.
  Duration lend_duration = std::chrono::seconds(30);
  // An ask that got no grant is given up after this time.
  Duration ask_timeout = std::chrono::milliseconds(50);
  // Slots asked for at once from one peer.
  std::uint32_t max_ask = 8;
  // Peers asked at once.
  std::uint32_t max_asks = 3;
  // Free slots that the home keeps for itself.
  std::uint32_t reserve = 1;
  std::function<void(const std::string& peer, const PeerMessage&)> send_to_peer;
};

class ServicePool {
 public:
  explicit ServicePool(ServicePoolOptions options);

  // The whole list. An instance once leaving stays so under its name.
  void SetInstances(const std::vector<Instance>& instances);
  // The other gateways that are reachable.
  void SetPeers(const std::vector<GatewayPeer>& peers);

  // An instance for the next request, or null when none has room. A request
  // that may run only once is kept from instances on trial. Those in `failed`
  // are chosen only when no other has room.
  Ref<InstanceState> Pick(bool idempotent,
                          const std::vector<Ref<InstanceState>>& failed,
                          MonotonicTime now, Random& random);
  void OnStart(InstanceState& instance);
  void OnEnd(InstanceState& instance);

  // Asks peers for slots for `waiting` requests.
  void Ask(std::size_t waiting, MonotonicTime now);
  // Gives back lent slots that are not in use.
  void ReturnIdleSlots();
  void OnPeerMessage(const std::string& peer, const PeerMessage& message,
                     std::size_t waiting, MonotonicTime now);
  // Takes back slots that were lent for too long.
  void ReclaimExpired(MonotonicTime now);

  // Whether any instance takes new requests.
  bool HasOpenInstance() const;
  bool HasIdleBorrowedSlots() const;
  bool homed() const { return options_.policy.homed; }
  bool probes() const { return options_.policy.probes; }
  // Slots that this gateway can count on.
  std::uint32_t Capacity() const;
  const std::vector<Ref<InstanceState>>& instances() const {
    return instances_;
  }
  InstanceState* Find(const std::string& instance) const;

 private:
  struct Peer {
    std::string zone;
    bool ask_pending = false;
    MonotonicTime ask_expires;
    // Not asked before this time, because it had no slots.
    MonotonicTime not_before;
    Duration back_off = Duration::zero();
  };

  void AssignHomes();
  std::vector<std::string> HomeCandidates(const std::string& zone) const;
  bool MayReceive(const InstanceState& instance, bool idempotent,
                  MonotonicTime now) const;
  std::uint32_t Headroom(const InstanceState& instance) const;
  std::uint32_t HomedLimit(const InstanceState& instance) const;
  std::uint32_t SharedLimit(const InstanceState& instance) const;
  // This gateway's part of the instance's slots.
  std::uint32_t Share(const InstanceState& instance) const;
  // Whether the instance has fewer requests of this gateway than its share.
  bool IsUnderShare(const InstanceState& instance) const;
  bool AreMostEjected(MonotonicTime now) const;
  Ref<InstanceState> PickAny(bool idempotent, MonotonicTime now,
                             Random& random);
  Ref<InstanceState> PickEjected(MonotonicTime now, Random& random);
  void CollectCandidates(
      bool idempotent, MonotonicTime now,
      const std::function<bool(const InstanceState&)>& accept);
  void Lend(const std::string& peer, std::uint32_t want, std::size_t waiting,
            MonotonicTime now);
  void OnGrant(const std::string& peer, const PeerMessage& message,
               MonotonicTime now);
  void OnReturn(const std::string& peer, const PeerMessage& message);

  ServicePoolOptions options_;
  // In the order of their names.
  std::vector<Ref<InstanceState>> instances_;
  std::map<std::string, Peer> peers_;
  std::size_t gateways_in_zone_ = 1;
  std::size_t gateways_ = 1;
  // Where the next round of asks begins.
  std::size_t first_asked_peer_ = 0;
  std::vector<InstanceState*> candidates_;
  // Left out by Collect.
  std::vector<Ref<InstanceState>> excluded_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_SERVICE_POOL_H_
