#include "config/fold.h"

#include <algorithm>
#include <utility>

#include "config/kinds.h"
#include "config/signing.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

// Incomplete compactions that are kept; beyond that one of them is dropped.
constexpr std::size_t kMaxGroups = 8;

Verdict MakeVerdict(const contracts::LogRecord& record, VerdictKind kind,
                    std::string reason) {
  return {.kind = kind,
          .offset = record.offset,
          .id = record.id,
          .reason = std::move(reason)};
}

Change AllObjects(const ObjectSet& set) {
  Change all;
  set.ForEachAfter("", [&](const StampedObject& object) {
    all.put.push_back(object.object);
    return true;
  });
  return all;
}

std::string DescribeErrors(const std::vector<CheckError>& errors) {
  std::string text = errors.front().ToString();
  if (errors.size() > 1) {
    text += " (and " + std::to_string(errors.size() - 1) + " more)";
  }
  return text;
}

}  // namespace

ConfigFold::ConfigFold(RuleTable rules) : rules_(std::move(rules)) {
  head_.digest = set_.Digest();
}

Verdict ConfigFold::OnRecord(const contracts::LogRecord& record) {
  if (stopped_.has_value()) return *stopped_;
  if (record.offset <= head_.through) {
    return MakeVerdict(record, VerdictKind::kNoEffect, "folded before");
  }
  const Record decoded = DecodeRecord(record.data, max_rules());
  if (const UnknownRecord* unknown = std::get_if<UnknownRecord>(&decoded)) {
    stopped_ = MakeVerdict(record, VerdictKind::kUnknown,
                           "format " + std::to_string(unknown->format) +
                               " with rules " + std::to_string(unknown->rules) +
                               " needs a newer program");
    return *stopped_;
  }
  head_.through = record.offset;
  if (const MalformedRecord* bad = std::get_if<MalformedRecord>(&decoded)) {
    return MakeVerdict(record, VerdictKind::kRefused, bad->reason);
  }
  if (const PublishRecord* publish = std::get_if<PublishRecord>(&decoded)) {
    return OnPublish(record, *publish);
  }
  return MakeVerdict(record, VerdictKind::kNoEffect, "compaction");
}

std::string ConfigFold::RefusalReason(const PublishRecord& publish) const {
  if (publish.base != head_.offset) {
    return "made for offset " + std::to_string(publish.base) +
           ", but the set in force is that of offset " +
           std::to_string(head_.offset);
  }
  if (publish.rules < head_.rules) {
    return "checked by rules " + std::to_string(publish.rules) +
           ", but the set in force follows rules " +
           std::to_string(head_.rules);
  }
  if (!rules_.contains(publish.rules)) return "its rules are withdrawn";
  std::string not_allowed = PublisherRefusalReason(set_, publish);
  if (!not_allowed.empty()) return not_allowed;
  for (const std::string& name : publish.change.remove) {
    if (set_.Find(name) == nullptr) {
      return "removes '" + name + "', which is not in the set";
    }
  }
  return "";
}

Verdict ConfigFold::OnPublish(const contracts::LogRecord& record,
                              const PublishRecord& publish) {
  Verdict verdict =
      MakeVerdict(record, VerdictKind::kRefused, RefusalReason(publish));
  verdict.publisher = publish.publisher;
  if (!verdict.reason.empty()) return verdict;

  const ObjectSet::Undo undo = set_.Apply(
      publish.change, {.offset = record.offset, .at = record.appended_at});
  // Objects not touched by the change are valid under the rules of the set in
  // force, but may violate newer ones: a new rule version checks the whole set.
  const bool same_rules = publish.rules == head_.rules;
  const std::vector<CheckError> errors = rules_.at(publish.rules)(
      set_, same_rules ? publish.change : AllObjects(set_), undo.put);
  if (!errors.empty()) {
    verdict.reason = DescribeErrors(errors);
  } else if (set_.Digest() != publish.digest) {
    verdict.reason = "the set after the change has another digest";
  }
  if (!verdict.reason.empty()) {
    set_.Revert(undo);
    return verdict;
  }
  head_.offset = record.offset;
  head_.digest = publish.digest;
  head_.rules = publish.rules;
  verdict.kind = VerdictKind::kAccepted;
  verdict.change = publish.change;
  verdict.replaced = undo.put;
  return verdict;
}

void ConfigFold::Adopt(const WholeSet& whole) {
  constexpr char kStep[] = "config adopt";
  if (whole.head.offset < head_.offset || whole.head.through < head_.through) {
    throw Error(kStep, "local", "the set is older than the one held");
  }
  if (!rules_.contains(whole.head.rules)) {
    throw Error(kStep, "local", "the set needs a newer program");
  }
  if (whole.head.offset == head_.offset && whole.head.digest != head_.digest) {
    throw Error(kStep, "local", "another digest at the same offset");
  }
  ObjectSet set;
  for (const StampedObject& object : whole.objects) set.Put(object);
  if (set.Digest() != whole.head.digest) {
    throw Error(kStep, "local", "the set does not have the digest stated");
  }
  set_ = std::move(set);
  head_ = whole.head;
  stopped_.reset();
}

void ConfigFold::AdvanceThrough(contracts::Offset through) {
  if (stopped_.has_value()) return;
  head_.through = std::max(head_.through, through);
}

std::optional<WholeSet> CompactionCollector::OnRecord(
    const contracts::LogRecord& record, contracts::Offset first_kept) {
  Record decoded = DecodeRecord(record.data, max_rules_);
  CompactionRecord* part = std::get_if<CompactionRecord>(&decoded);
  if (part == nullptr || part->head.through + 1 < first_kept) return {};
  if (!groups_.contains(part->group) && groups_.size() >= kMaxGroups) {
    groups_.erase(groups_.begin());
  }
  Group& group = groups_[part->group];
  if (group.received_parts.empty()) {
    group.head = part->head;
    group.parts = part->parts;
  }
  if (group.head != part->head || group.parts != part->parts) return {};
  group.received_parts.emplace(part->part, std::move(part->objects));
  if (group.received_parts.size() < group.parts) return {};
  WholeSet whole{.head = group.head};
  for (auto& found : group.received_parts) {
    std::move(found.second.begin(), found.second.end(),
              std::back_inserter(whole.objects));
  }
  groups_.erase(part->group);
  return whole;
}

}  // namespace carobmast::config
