// Workers or nodes that show whether an owner may still extend leases.
//
// A witness answers only the highest fencing token that it has seen. When more
// than half of the witnesses have answered orders that an owner sent at or
// after a time T, no later owner had been answered by more than half of them at
// T. An owner therefore grants leases up to a fixed time after T, and a later
// owner that more than half of the witnesses have answered knows the end of all
// leases of its predecessors, without having reached them.
//
// An incarnation that is over answers nobody: it counts as one that only the
// later owner has been answered by, but never confirms an owner.
//
// The witnesses are stored, so that an owner and its successor use the same. An
// owner may replace them only once its predecessors can't extend leases any
// more.
#ifndef CAROBMAST_JOBS_LEASE_WITNESSES_H_
#define CAROBMAST_JOBS_LEASE_WITNESSES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "framework/base/time.h"

namespace carobmast::jobs {

// One incarnation of a worker or node: another one has not seen the tokens.
struct Witness {
  std::string id;
  std::int64_t incarnation = 0;

  friend auto operator<=>(const Witness&, const Witness&) = default;
};

struct WitnessCandidate {
  Witness witness;
  std::string zone;
};

class LeaseWitnesses {
 public:
  // With this number a majority remains also when a zone is cut off and some
  // workers of the others are lost.
  static constexpr std::size_t kMaxWitnesses = 31;

  // Restores the stored witnesses. Returns false and changes nothing when
  // `record` is malformed.
  bool Decode(const std::string& record);
  // The record to be stored: the proposed witnesses, or else the present ones.
  std::string Encode() const;

  // Whether a proposal may improve the witnesses.
  bool NeedsProposal(
      const std::function<bool(const Witness&)>& is_usable) const;
  // Chooses among `usable` workers when some present witness is not usable or
  // there are too few. Keeps usable witnesses and spreads the others over the
  // zones. Returns whether there is a proposal.
  bool Propose(const std::vector<WitnessCandidate>& usable);
  // The proposed witnesses may be stored from here on: both sets count.
  void OnStoring();
  void OnStored();

  bool Contains(const std::string& id) const;
  // Whether there never were any, not even ones that may be stored or not.
  bool IsEmpty() const { return present_.empty() && !storing_; }
  // The witness answered an order of this owner that was sent at `sent_at`.
  // Returns whether it is one.
  bool OnAnswered(const Witness& witness, MonotonicTime sent_at);
  // An order to `id` was answered by an incarnation that began after those of
  // all other witnesses of this ID. `living` is that incarnation if it has the
  // same ID.
  void OnReplaced(const std::string& id, std::optional<Witness> living);
  // The latest time such that more than half of the witnesses have answered
  // orders sent at or after it; empty when fewer have answered.
  std::optional<MonotonicTime> AnsweredByMajority() const;
  // Whether more than half of the restored witnesses have answered or are over:
  // they confirm no earlier owner any more.
  bool HaveLeftFormerOwners() const;

 private:
  using Set = std::vector<Witness>;
  std::optional<MonotonicTime> AnsweredByMajorityOf(const Set& set) const;

  Set present_;
  Set proposed_;
  bool storing_ = false;
  std::map<Witness, MonotonicTime> answered_;
  std::set<Witness> over_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_LEASE_WITNESSES_H_
