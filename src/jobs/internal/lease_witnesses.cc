#include "jobs/lease_witnesses.h"

#include <algorithm>

#include "jobs/generated/jobs.pb.h"

namespace carobmast::jobs {

bool LeaseWitnesses::Decode(const std::string& bytes) {
  proto::Witnesses record;
  if (!record.ParseFromString(bytes)) return false;
  Set restored;
  for (const proto::Witnesses::Witness& witness : record.witnesses()) {
    restored.push_back(
        {.id = witness.id(), .incarnation = witness.incarnation()});
  }
  present_ = std::move(restored);
  return true;
}

std::string LeaseWitnesses::Encode() const {
  proto::Witnesses record;
  for (const Witness& witness : proposed_.empty() ? present_ : proposed_) {
    proto::Witnesses::Witness& entry = *record.add_witnesses();
    entry.set_id(witness.id);
    entry.set_incarnation(witness.incarnation);
  }
  return record.SerializeAsString();
}

bool LeaseWitnesses::NeedsProposal(
    const std::function<bool(const Witness&)>& is_usable) const {
  return present_.size() < kMaxWitnesses ||
         !std::all_of(present_.begin(), present_.end(), is_usable);
}

bool LeaseWitnesses::Propose(const std::vector<WitnessCandidate>& usable) {
  if (!proposed_.empty()) return true;
  Set chosen;
  std::map<std::string, std::size_t> count_by_zone;
  std::vector<const WitnessCandidate*> others;
  for (const WitnessCandidate& candidate : usable) {
    if (std::find(present_.begin(), present_.end(), candidate.witness) ==
        present_.end()) {
      others.push_back(&candidate);
      continue;
    }
    chosen.push_back(candidate.witness);
    ++count_by_zone[candidate.zone];
  }
  const std::size_t wanted = std::min(kMaxWitnesses, usable.size());
  if (chosen.size() == present_.size() && chosen.size() >= wanted) return false;
  while (chosen.size() < wanted) {
    const auto next = std::min_element(
        others.begin(), others.end(),
        [&count_by_zone](const auto* left, const auto* right) {
          return count_by_zone[left->zone] < count_by_zone[right->zone];
        });
    chosen.push_back((*next)->witness);
    ++count_by_zone[(*next)->zone];
    others.erase(next);
  }
  proposed_ = std::move(chosen);
  return !proposed_.empty();
}

void LeaseWitnesses::OnStoring() { storing_ = !proposed_.empty(); }

void LeaseWitnesses::OnStored() {
  if (!storing_) return;
  present_ = std::move(proposed_);
  proposed_.clear();
  storing_ = false;
  const auto is_former = [this](const Witness& witness) {
    return std::find(present_.begin(), present_.end(), witness) ==
           present_.end();
  };
  std::erase_if(answered_, [&is_former](const auto& entry) {
    return is_former(entry.first);
  });
  std::erase_if(over_, is_former);
}

bool LeaseWitnesses::Contains(const std::string& id) const {
  return std::any_of(
      present_.begin(), present_.end(),
      [&id](const Witness& witness) { return witness.id == id; });
}

bool LeaseWitnesses::OnAnswered(const Witness& witness, MonotonicTime sent_at) {
  const bool counts =
      std::find(present_.begin(), present_.end(), witness) != present_.end() ||
      std::find(proposed_.begin(), proposed_.end(), witness) != proposed_.end();
  if (!counts) return false;
  MonotonicTime& latest = answered_[witness];
  latest = std::max(latest, sent_at);
  return true;
}

void LeaseWitnesses::OnReplaced(const std::string& id,
                                std::optional<Witness> living) {
  for (const Witness& witness : present_) {
    if (witness.id == id && witness != living) over_.insert(witness);
  }
}

bool LeaseWitnesses::HaveLeftFormerOwners() const {
  const std::ptrdiff_t left = std::count_if(
      present_.begin(), present_.end(), [this](const Witness& witness) {
        return answered_.contains(witness) || over_.contains(witness);
      });
  return static_cast<std::size_t>(left) > present_.size() / 2;
}

std::optional<MonotonicTime> LeaseWitnesses::AnsweredByMajorityOf(
    const Set& set) const {
  std::vector<MonotonicTime> times;
  for (const Witness& witness : set) {
    const auto answered = answered_.find(witness);
    if (answered != answered_.end()) times.push_back(answered->second);
  }
  const std::size_t majority = set.size() / 2 + 1;
  if (times.size() < majority) return std::nullopt;
  std::sort(times.rbegin(), times.rend());
  return times[majority - 1];
}

std::optional<MonotonicTime> LeaseWitnesses::AnsweredByMajority() const {
  const std::optional<MonotonicTime> present = AnsweredByMajorityOf(present_);
  if (!storing_ || !present.has_value()) return present;
  const std::optional<MonotonicTime> proposed = AnsweredByMajorityOf(proposed_);
  return proposed.has_value() ? std::min(present, proposed) : std::nullopt;
}

}  // namespace carobmast::jobs
