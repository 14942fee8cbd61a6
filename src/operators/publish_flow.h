// One publish, from the first read of the log to a certain verdict or to
// "unknown". Does no I/O: the caller carries out each step and reports its
// result.
//
// The record keeps its id and its base over all appends of one proposal, so it
// can't take effect twice: once the fold has accepted the first copy, the base
// is no longer in force and later copies are refused.
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
  kUnchanged,     // the set in force equals the requested set already
  kRefused,       // a concurrent publish came first, or the set is not valid
  kNotPublished,  // the log was unavailable; certainly nothing took effect
  kUnknown,       // the log became unavailable after an append; look up the id
};

struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnknown;
  // Of the record proposed last; empty when there was none.
  std::string id;
  // Of the set in force, as far as this flow has read the log.
  contracts::Offset offset = 0;
  std::string digest;
  std::string reason;
  std::size_t objects_put = 0;
  std::size_t objects_removed = 0;
};

struct PublishFlowOptions {
  std::string publisher;
  // The whole set to publish. When it is empty, `change` is applied to the set
  // in force instead.
  std::optional<config::Objects> wanted;
  config::Change change;
  // Objects of other kinds are not removed by `change`; empty for any kind.
  std::optional<config::Kind> remove_kind;
  // The offset of the set that `wanted` was edited from.
  std::optional<contracts::Offset> base;
  // Applies the difference between the base and `wanted` to a newer set in
  // force, provided that no object was changed on both sides.
  bool rebase = false;
  // Signs a text with the publisher's private key; empty to publish without a
  // signature.
  std::function<std::string(const std::string& text)> sign;
  // Returns a new unique id for a record. Required.
  std::function<std::string()> new_id;
  // Limits the whole flow, with all its retries.
  Duration timeout = std::chrono::seconds(15);
};

// What the caller does next: the read, the append, or return the result.
struct PublishStep {
  std::optional<contracts::ReadRequest> read;
  std::optional<contracts::AppendRequest> append;
  // When to call Next() again, if there is no read, append or result.
  MonotonicTime at;
  std::optional<PublishResult> result;
};

class PublishFlow {
 public:
  PublishFlow(PublishFlowOptions options, MonotonicTime now);

  // Returns the next step. The caller reports the end of each read and append
  // by one of the calls below before it asks for another step.
  PublishStep Next(MonotonicTime now);
  void OnRead(MonotonicTime now, contracts::Offset from,
              const contracts::ReadAnswer& answer);
  void OnReadError(MonotonicTime now, const std::string& reason);
  void OnAppend(MonotonicTime now, const contracts::AppendAnswer& answer);

 private:
  // Which publish changed an object.
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
  // The set at `options_.base`, once the replay has passed that offset.
  std::optional<config::Objects> base_objects_;
  // The last accepted change after the base, by object name.
  std::map<std::string, ChangeOrigin> later_changes_;
  std::optional<ChangeOrigin> last_accepted_;
  // The current proposal.
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
