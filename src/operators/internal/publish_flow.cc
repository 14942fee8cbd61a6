#include "operators/publish_flow.h"

#include <algorithm>
#include <utility>

#include "config/codec.h"
#include "config/kinds.h"
#include "config/record.h"
#include "config/signing.h"

namespace carobmast::operators {
namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(300);
constexpr Duration kCallTimeout = std::chrono::seconds(3);
constexpr Duration kLongPollWait = std::chrono::milliseconds(500);
constexpr std::size_t kMaxRecordsPerRead = 500;
constexpr std::size_t kMaxNamesInReason = 20;
// How often one publish is proposed again on a newer set.
constexpr int kMaxRebases = 10;

}  // namespace

PublishFlow::PublishFlow(PublishFlowOptions options, MonotonicTime now)
    : options_(std::move(options)),
      deadline_(now + options_.timeout),
      next_try_(now) {
  if (options_.base == 0) base_objects_.emplace();
}

contracts::ReadRequest PublishFlow::MakeReadRequest() const {
  // Once this flow's record may be in the log, the read is a long poll.
  return {.stream = contracts::kConfigStream,
          .from = replay_.NextRead(),
          .max_records = kMaxRecordsPerRead,
          .wait = maybe_appended_ ? kLongPollWait : Duration::zero(),
          .timeout = kCallTimeout};
}

PublishStep PublishFlow::Next(MonotonicTime now) {
  if (!result_.has_value() && now >= deadline_) {
    const std::string timeout_reason =
        last_error_.empty() ? "the log gave no answer in time" : last_error_;
    Finish(maybe_appended_ ? PublishOutcome::kUnknown
                           : PublishOutcome::kNotPublished,
           timeout_reason);
  }
  PublishStep step{.at = now};
  if (result_.has_value()) {
    step.result = result_;
  } else if (now < next_try_) {
    step.at = std::min(next_try_, deadline_);
  } else if (must_read_) {
    step.read = MakeReadRequest();
  } else {
    step.append = contracts::AppendRequest{
        .stream = contracts::kConfigStream,
        .records = {record_.value_or(contracts::NewRecord{})},
        .timeout = kCallTimeout};
  }
  return step;
}

void PublishFlow::ScheduleRetry(MonotonicTime now) {
  next_try_ = now + kRetryInterval;
}

void PublishFlow::OnReadError(MonotonicTime now, const std::string& reason) {
  last_error_ = reason;
  ScheduleRetry(now);
}

void PublishFlow::OnRead(MonotonicTime now, contracts::Offset from,
                         const contracts::ReadAnswer& answer) {
  const contracts::Offset next = replay_.NextRead();
  const config::Head before = replay_.fold().head();
  const std::vector<config::Verdict> verdicts =
      replay_.OnRead(from, answer, [this](const config::Verdict& verdict) {
        if (!result_.has_value()) OnVerdict(verdict);
      });
  const bool adopted =
      verdicts.empty() && replay_.fold().head().offset != before.offset;
  if (adopted && options_.base == replay_.fold().head().offset) {
    base_objects_ = replay_.fold().set().objects();
  }
  if (result_.has_value()) return;
  const std::optional<config::Verdict>& stopped = replay_.fold().stopped();
  if (stopped.has_value()) {
    Finish(
        maybe_appended_ ? PublishOutcome::kUnknown : PublishOutcome::kRefused,
        "this program is too old for the log: offset " +
            std::to_string(stopped->offset) + ": " + stopped->reason);
    return;
  }
  if (!replay_.caught_up()) {
    if (replay_.NextRead() == next) {
      last_error_ = "the set in force has expired from the log";
      ScheduleRetry(now);
    }
    return;
  }
  if (!record_.has_value()) {
    Propose();
  } else {
    // The log was read to its end and doesn't hold the record: append it again
    // with the same id and base.
    must_read_ = false;
    ScheduleRetry(now);
  }
}

void PublishFlow::OnVerdict(const config::Verdict& verdict) {
  if (record_.has_value() && verdict.id == record_->id) {
    OnOwnVerdict(verdict);
    return;
  }
  if (verdict.kind != config::VerdictKind::kAccepted) return;
  const ChangeOrigin origin{.offset = verdict.offset,
                            .publisher = verdict.publisher};
  last_accepted_ = origin;
  if (options_.base == verdict.offset) {
    base_objects_ = replay_.fold().set().objects();
    later_changes_.clear();
    return;
  }
  for (const config::Object& object : verdict.change.put) {
    later_changes_[config::NameOf(object)] = origin;
  }
  for (const std::string& name : verdict.change.remove) {
    later_changes_[name] = origin;
  }
}

std::string PublishFlow::ConflictsWith(const config::Change& own_change) const {
  std::vector<std::string> names = own_change.remove;
  for (const config::Object& object : own_change.put) {
    names.push_back(config::NameOf(object));
  }
  std::sort(names.begin(), names.end());
  std::string text;
  std::size_t count = 0;
  for (const std::string& name : names) {
    const auto origin = later_changes_.find(name);
    if (origin == later_changes_.end() || ++count > kMaxNamesInReason) continue;
    if (!text.empty()) text += ", ";
    text += name + " (changed at offset " +
            std::to_string(origin->second.offset) + " by " +
            origin->second.publisher + ")";
  }
  if (count > kMaxNamesInReason) {
    text += " and " + std::to_string(count - kMaxNamesInReason) + " more";
  }
  return text;
}

void PublishFlow::RefuseBaseMismatch(const std::string& reason) {
  const config::Head& head = replay_.fold().head();
  std::string text =
      "the set in force is that of offset " + std::to_string(head.offset);
  if (last_accepted_.has_value() && last_accepted_->offset == head.offset) {
    text += " by " + last_accepted_->publisher;
  }
  Finish(PublishOutcome::kRefused, text + "; " + reason);
}

// The part of `options_.change` that is not yet in the set in force.
config::Change PublishFlow::EffectiveChange() const {
  const config::ObjectSet& set = replay_.fold().set();
  config::Change change;
  for (const config::Object& object : options_.change.put) {
    const std::string& name = config::NameOf(object);
    const bool same =
        set.Find(name) != nullptr &&
        config::CanonicalText(set.Get(name)) == config::CanonicalText(object);
    if (!same) change.put.push_back(object);
  }
  for (const std::string& name : options_.change.remove) {
    const config::ObjectSet::Entry* entry = set.Find(name);
    if (entry == nullptr) continue;
    if (options_.remove_kind.value_or(entry->kind) != entry->kind) continue;
    change.remove.push_back(name);
  }
  return change;
}

void PublishFlow::Propose() {
  if (options_.wanted.has_value()) {
    ProposeWanted(*options_.wanted);
    return;
  }
  const config::Change change = EffectiveChange();
  if (change.Empty()) {
    Finish(PublishOutcome::kUnchanged, "the set in force is so already");
    return;
  }
  ProposeChange(change);
}

void PublishFlow::ProposeWanted(const config::Objects& wanted) {
  const config::Head& head = replay_.fold().head();
  const config::Change full_change = replay_.fold().set().ChangeTo(wanted);
  if (full_change.Empty()) {
    Finish(PublishOutcome::kUnchanged, "the set in force is this one already");
    return;
  }
  const contracts::Offset base = options_.base.value_or(0);
  if (base == head.offset) {
    ProposeChange(full_change);
    return;
  }
  if (!options_.base.has_value()) {
    RefuseBaseMismatch(
        "say which set the file was made from, by --base or the key 'base'");
    return;
  }
  if (!base_objects_.has_value()) {
    RefuseBaseMismatch("the log no longer tells what was at offset " +
                       std::to_string(base));
    return;
  }
  config::ObjectSet base_set;
  base_set.Apply(config::ObjectSet().ChangeTo(*base_objects_), config::Stamp{});
  const config::Change own_change = base_set.ChangeTo(wanted);
  const std::string conflicts = ConflictsWith(own_change);
  if (!conflicts.empty()) {
    RefuseBaseMismatch("changed by both: " + conflicts);
    return;
  }
  if (!options_.rebase) {
    RefuseBaseMismatch(
        "made for offset " + std::to_string(base) +
        "; no object was changed by both, so --rebase would publish it");
    return;
  }
  ProposeChange(own_change);
}

void PublishFlow::ProposeChange(const config::Change& change) {
  // The change is checked on a copy of the set in force.
  const config::Head& head = replay_.fold().head();
  config::ObjectSet set;
  replay_.fold().set().ForEachAfter("", [&](const config::StampedObject& o) {
    set.Put(o);
    return true;
  });
  const config::ObjectSet::Undo undo = set.Apply(change, config::Stamp{});
  const std::vector<config::CheckError> errors =
      config::AllRules().at(head.rules)(set, change, undo.put);
  if (!errors.empty()) {
    std::string reason;
    for (const config::CheckError& error : errors) {
      reason += (reason.empty() ? "" : "\n") + error.ToString();
    }
    Finish(PublishOutcome::kRefused, reason);
    return;
  }
  proposed_ = change;
  config::PublishRecord record{.rules = head.rules,
                               .base = head.offset,
                               .publisher = options_.publisher,
                               .digest = set.Digest(),
                               .change = change};
  if (options_.sign) {
    record.signature = options_.sign(config::SignedText(record));
  }
  const std::string publisher_error =
      config::PublisherRefusalReason(replay_.fold().set(), record);
  if (!publisher_error.empty()) {
    Finish(PublishOutcome::kRefused, publisher_error);
    return;
  }
  record_ = contracts::NewRecord{.id = options_.new_id(),
                                 .data = config::EncodePublish(record)};
  if (record_->data.size() > config::kMaxRecordBytes) {
    Finish(PublishOutcome::kRefused,
           "the change is larger than 8MiB; publish it in steps");
    return;
  }
  must_read_ = false;
}

void PublishFlow::OnOwnVerdict(const config::Verdict& verdict) {
  if (verdict.kind == config::VerdictKind::kAccepted) {
    Finish(PublishOutcome::kPublished, "");
    return;
  }
  if (verdict.kind != config::VerdictKind::kRefused) return;
  // A concurrent publish came first. This record can no longer take effect, so
  // the change may be proposed again under a new id.
  const bool may_rebase = options_.rebase || !options_.wanted.has_value();
  if (may_rebase && ++rebases_ <= kMaxRebases) {
    record_.reset();
    maybe_appended_ = false;
    must_read_ = true;
    return;
  }
  const std::string conflicts = ConflictsWith(proposed_);
  RefuseBaseMismatch(
      verdict.reason +
      (conflicts.empty() ? "" : "; changed by both: " + conflicts));
}

void PublishFlow::OnAppend(MonotonicTime now,
                           const contracts::AppendAnswer& answer) {
  switch (answer.outcome) {
    case contracts::AppendOutcome::kAppended:
    case contracts::AppendOutcome::kUnknown:
      maybe_appended_ = true;
      must_read_ = true;
      last_error_ = answer.error;
      break;
    case contracts::AppendOutcome::kNotSent:
      last_error_ = answer.error;
      // Another publisher may have changed the set meanwhile.
      must_read_ = true;
      ScheduleRetry(now);
      break;
  }
}

void PublishFlow::Finish(PublishOutcome outcome, const std::string& reason) {
  const config::Head& head = replay_.fold().head();
  result_ = PublishResult{.outcome = outcome,
                          .id = record_.has_value() ? record_->id : "",
                          .offset = head.offset,
                          .digest = head.digest,
                          .reason = reason,
                          .objects_put = proposed_.put.size(),
                          .objects_removed = proposed_.remove.size()};
}

}  // namespace carobmast::operators
