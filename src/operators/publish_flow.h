// One publish from the first read of the log to a verdict that is certain, or
// to "unknown". Sans-I/O.
//
// The record keeps its id and its base over all appends of one proposal, so a
// second append of it can't take effect twice: the fold takes the first, after
// which the base is no longer in force.
#ifndef CAROBMAST_OPERATORS_PUBLISH_FLOW_H_
#define CAROBMAST_OPERATORS_PUBLISH_FLOW_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/log_replay.h"
#include "contracts/types/log_record.h"
#include "framework/base/time.h"

namespace carobmast::operators {

enum class PublishOutcome {
  kPublished,     // in force from the offset on
  kUnchanged,     // the set in force is the set asked for
  kRefused,       // another publish won, or the set is not valid
  kNotPublished,  // the log was out; certainly nothing took effect
  kUnknown,       // the log was out after an append; ask by the id
};

struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnknown;
  std::string id;
  // Of the set in force, as far as it is known.
  contracts::Offset offset = 0;
  std::string digest;
  std::string reason;
  std::size_t objects_put = 0;
  std::size_t objects_removed = 0;
};

struct PublishFlowOptions {
  std::string publisher;
  // The whole set to publish; else `change` is applied to the set in force.
  std::optional<config::Objects> wanted;
  config::Change change;
  // The kind that the objects removed by `change` must have.
  std::optional<config::Kind> remove_kind;
  // The offset of the set that `wanted` was made from.
  std::optional<contracts::Offset> base;
  // Whether to replay the change on a newer set when no object was changed by
  // both.
  bool rebase = false;
  // Signs a text with the publisher's private key; empty for no signature.
  std::function<std::string(const std::string& text)> sign;
  // Unique ids for records.
  std::function<std::string()> new_id;
  // Until then the log is tried again.
  Duration timeout = std::chrono::seconds(15);
};

struct PublishStep {
  std::optional<contracts::ReadRequest> read;
  std::optional<contracts::AppendRequest> append;
  // Wait until then when there is nothing else to do.
  MonotonicTime at;
  std::optional<PublishResult> result;
};

class PublishFlow {
 public:
  PublishFlow(PublishFlowOptions options, MonotonicTime now);

  // One step at a time; each read and append ends with one event below.
  PublishStep Next(MonotonicTime now);
  void OnRead(MonotonicTime now, contracts::Offset from,
              const contracts::ReadAnswer& answer);
  void OnReadError(MonotonicTime now, const std::string& reason);
  void OnAppend(MonotonicTime now, const contracts::AppendAnswer& answer);

 private:
  // What the log did to objects since the base.
  struct ChangeOrigin {
    contracts::Offset offset = 0;
    std::string publisher;
  };

  void OnVerdict(const config::Verdict& verdict);
  void Propose();
  void ProposeWanted(const config::Objects& wanted);
  void ProposeChange(const config::Change& change);
  config::Change EffectiveChange() const;
  void RefuseBaseMismatch(const std::string& reason);
  std::string ConflictsWith(const config::Change& own_change) const;
  void OnOwnVerdict(const config::Verdict& verdict);
  void Finish(PublishOutcome outcome, const std::string& reason);
  void ScheduleRetry(MonotonicTime now);
  contracts::ReadRequest MakeReadRequest() const;

  PublishFlowOptions options_;
  MonotonicTime deadline_;
  MonotonicTime next_try_;
  config::LogReplay replay_;
  // The set of `base`, once the replay has passed it.
  std::optional<config::Objects> base_objects_;
  std::map<std::string, ChangeOrigin> later_changes_;
  std::optional<ChangeOrigin> last_accepted_;
  // The proposal that is under way.
  std::optional<contracts::NewRecord> record_;
  config::Change proposed_;
  // Whether an append may have reached the log.
  bool maybe_appended_ = false;
  // Whether the log must be read before the next append.
  bool must_read_ = true;
  std::string last_error_;
  int rebases_ = 0;
  std::optional<PublishResult> result_;
};

}  // namespace carobmast::operators

#endif  // CAROBMAST_OPERATORS_PUBLISH_FLOW_H_
