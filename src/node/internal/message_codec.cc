#include "node/internal/message_codec.h"

#include "framework/base/error.h"
#include "jobs/generated/jobs.pb.h"

namespace carobmast::node {

namespace {

namespace proto = jobs::proto;
using std::chrono::microseconds;

constexpr char kDatagramStep[] = "datagram";
constexpr char kClaimStep[] = "claim";

void Encode(const NodeInfo& node, proto::NodeName& record) {
  record.set_name(node.name);
  record.set_address(node.address.ToString());
  record.set_rank(node.rank);
}

NodeInfo Decode(const proto::NodeName& record) {
  return {.name = record.name(),
          .address = net::ParseAddress(record.address()),
          .rank = record.rank()};
}

}  // namespace

std::string EncodeMessage(const NodeMessage& message) {
  proto::NodeMessage record;
  record.set_kind(static_cast<std::uint32_t>(message.kind));
  Encode(message.sender, *record.mutable_sender());
  record.set_claim_token(message.claim.token);
  if (message.claim.token > 0) {
    Encode({.name = message.claim.node, .address = message.claim.address},
           *record.mutable_claim_node());
  }
  record.set_store_reached(message.store_reached);
  record.set_hears_owner(message.hears_owner);
  record.set_leaving(message.leaving);
  record.set_incarnation(message.incarnation);
  record.set_zone(message.zone);
  if (message.owner_time.has_value()) {
    record.set_owner_time_us(std::chrono::duration_cast<microseconds>(
                                 message.owner_time->time_since_epoch())
                                 .count());
  }
  record.set_round(message.round);
  record.set_has_details(message.has_details);
  for (const NodeInfo& member : message.members) {
    Encode(member, *record.add_members());
  }
  for (const auto& [queue, count] : message.pending_counts) {
    proto::QueueCount& entry = *record.add_pending_counts();
    entry.set_queue(queue);
    entry.set_pending(count);
  }
  return record.SerializeAsString();
}

NodeMessage DecodeMessage(const std::string& bytes) {
  proto::NodeMessage record;
  if (!record.ParseFromString(bytes) ||
      record.kind() > static_cast<std::uint32_t>(MessageKind::kTakeOver)) {
    throw Error(kDatagramStep, "peer", "malformed message of a node");
  }
  NodeMessage message{.kind = static_cast<MessageKind>(record.kind()),
                      .sender = Decode(record.sender()),
                      .store_reached = record.store_reached(),
                      .hears_owner = record.hears_owner(),
                      .leaving = record.leaving(),
                      .incarnation = record.incarnation(),
                      .zone = record.zone(),
                      .round = record.round(),
                      .has_details = record.has_details()};
  if (record.owner_time_us() > 0) {
    message.owner_time = MonotonicTime(microseconds(record.owner_time_us()));
  }
  if (record.claim_token() > 0) {
    const NodeInfo owner = Decode(record.claim_node());
    message.claim = {.token = record.claim_token(),
                     .node = owner.name,
                     .address = owner.address};
  }
  for (const proto::NodeName& member : record.members()) {
    message.members.push_back(Decode(member));
  }
  for (const proto::QueueCount& count : record.pending_counts()) {
    message.pending_counts[count.queue()] = count.pending();
  }
  return message;
}

std::string EncodeClaim(const OwnerClaim& claim, std::uint32_t rank) {
  proto::Claim record;
  Encode({.name = claim.node, .address = claim.address, .rank = rank},
         *record.mutable_node());
  for (const std::string& name : claim.former) record.add_former(name);
  record.set_claimed_at_ms(claim.claimed_at.time_since_epoch().count());
  record.set_highest_rank(claim.highest_rank);
  record.set_needs_nodes(claim.needs_nodes);
  record.set_former_need_nodes(claim.former_need_nodes);
  return record.SerializeAsString();
}

OwnerClaim DecodeClaim(const std::string& value, std::uint64_t offset) {
  proto::Claim record;
  if (!record.ParseFromString(value)) {
    throw Error(kClaimStep, std::to_string(offset), "malformed claim record");
  }
  const NodeInfo owner = Decode(record.node());
  // Offsets start at 0, but workers treat a missing token as 0.
  return {
      .token = offset + 1,
      .node = owner.name,
      .address = owner.address,
      .former = {record.former().begin(), record.former().end()},
      .claimed_at = WallTime(std::chrono::milliseconds(record.claimed_at_ms())),
      .highest_rank = record.highest_rank(),
      .needs_nodes = record.needs_nodes(),
      .former_need_nodes = record.former_need_nodes()};
}

}  // namespace carobmast::node
