// The instances of one service as one gateway sees them: which have spare
// capacity and, under the policy `homed`, which gateway assigns their slots.
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
  // Under the policies without homes: requests beyond its share of the slots
  // that this gateway sends to an instance before it queues further ones.
  std::uint32_t over_share = 1;
  // Slots lent to a peer are reclaimed after this time.
  Duration lend_duration = std::chrono::seconds(30);
  // An ask that got no answer is abandoned after this time.
  Duration ask_timeout = std::chrono::milliseconds(50);
  // Maximum number of slots requested from one peer at once.
  std::uint32_t max_slots_per_ask = 8;
  // Maximum number of peers with an unanswered ask.
  std::uint32_t max_pending_asks = 3;
  // Free slots that a home gateway does not lend.
  std::uint32_t reserve = 1;
  // Sends a message to another gateway.
  std::function<void(const std::string& peer, const PeerMessage&)> send_to_peer;
};

class ServicePool {
 public:
  explicit ServicePool(ServicePoolOptions options);

  // Replaces the list of instances. An instance that was once listed as leaving
  // stays so as long as its name is listed.
  void SetInstances(const std::vector<Instance>& instances);
  // Replaces the list of the other gateways that can be reached.
  void SetPeers(const std::vector<GatewayPeer>& peers);

  // Returns an instance for the next request, or null if none has spare
  // capacity. A request that may be executed only once is not sent to instances
  // on probation, unless most instances are ejected. Instances in `failed` are
  // picked only if no other has spare capacity.
  Ref<InstanceState> Pick(bool idempotent,
                          const std::vector<Ref<InstanceState>>& failed,
                          MonotonicTime now, Random& random);
  // Count the attempts in flight at an instance; to be called for each attempt.
  void OnStart(InstanceState& instance);
  void OnEnd(InstanceState& instance);

  // Asks peers to lend slots for `waiting` requests.
  void AskForSlots(std::size_t waiting, MonotonicTime now);
  // Returns borrowed slots that are not in use.
  void ReturnIdleSlots();
  // Handles a message of another gateway, while `waiting` requests are queued
  // at this one.
  void OnPeerMessage(const std::string& peer, const PeerMessage& message,
                     std::size_t waiting, MonotonicTime now);
  // Reclaims slots that were lent for longer than `lend_duration`.
  void ReclaimSlots(MonotonicTime now);

  // Whether any instance accepts new requests.
  bool HasOpenInstance() const;
  bool HasIdleBorrowedSlots() const;
  bool homed() const { return options_.policy.homed; }
  bool probes() const { return options_.policy.probes; }
  // Number of slots that this gateway can expect to use.
  std::uint32_t Capacity() const;
  const std::vector<Ref<InstanceState>>& instances() const {
    return instances_;
  }
  // Returns null if there is no such instance.
  InstanceState* Find(const std::string& instance) const;

 private:
  struct Peer {
    std::string zone;
    bool ask_pending = false;
    MonotonicTime ask_expires;
    // It had no slots to lend, so it is not asked before this time.
    MonotonicTime not_before;
    Duration back_off = Duration::zero();
  };

  // Computes the home gateway of each instance.
  void AssignHomes();
  // Gateways that can be the home of an instance in `zone`: those in the zone,
  // or all gateways if it has none.
  std::vector<std::string> HomeCandidates(const std::string& zone) const;
  // Whether the instance may get a request, apart from its capacity.
  bool MayReceive(const InstanceState& instance, bool idempotent,
                  MonotonicTime now) const;
  // Further requests that this gateway may send to the instance.
  std::uint32_t Spare(const InstanceState& instance) const;
  // Limits of this gateway's requests in flight at the instance: under the
  // policy `homed`, and under the others.
  std::uint32_t HomedLimit(const InstanceState& instance) const;
  std::uint32_t SharedLimit(const InstanceState& instance) const;
  // This gateway's share of the instance's slots.
  std::uint32_t Share(const InstanceState& instance) const;
  // Whether this gateway has fewer requests in flight at the instance than its
  // share.
  bool IsUnderShare(const InstanceState& instance) const;
  bool AreMostEjected(MonotonicTime now) const;
  Ref<InstanceState> PickAny(bool idempotent, MonotonicTime now,
                             Random& random);
  Ref<InstanceState> PickEjected(MonotonicTime now, Random& random);
  // Sets candidates_ to the instances with spare capacity that pass `accept`.
  void CollectCandidates(
      bool idempotent, MonotonicTime now,
      const std::function<bool(const InstanceState&)>& accept);
  void Lend(const std::string& peer, std::uint32_t want, std::size_t waiting,
            MonotonicTime now);
  void OnGrant(const std::string& peer, const PeerMessage& message,
               MonotonicTime now);
  void OnReturn(const std::string& peer, const PeerMessage& message);

  ServicePoolOptions options_;
  // Sorted by name.
  std::vector<Ref<InstanceState>> instances_;
  std::map<std::string, Peer> peers_;
  std::size_t gateways_in_zone_ = 1;
  std::size_t gateways_ = 1;
  // Determines the peer that the next round of asks begins with.
  std::size_t first_asked_peer_ = 0;
  std::vector<InstanceState*> candidates_;
  // Skipped by CollectCandidates.
  std::vector<Ref<InstanceState>> excluded_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_SERVICE_POOL_H_
