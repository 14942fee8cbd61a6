// Folds the configuration stream into the set in force. The fold does no I/O
// and is deterministic: all readers of the same records get the same set and
// the same verdicts.
#ifndef CAROBMAST_CONFIG_FOLD_H_
#define CAROBMAST_CONFIG_FOLD_H_

#include <optional>
#include <string>
#include <vector>

#include "config/object_set.h"
#include "config/record.h"
#include "config/rules.h"
#include "config/types/change.h"
#include "config/types/head.h"
#include "contracts/types/log_record.h"

namespace carobmast::config {

enum class VerdictKind {
  kAccepted,  // the set of this record is in force now
  kRefused,   // an invalid publish or a malformed record; changed nothing
  kNoEffect,  // a compaction, or a record that was already folded
  kUnknown,   // of an unknown format or rule version; folding stops before it
};

// The outcome of folding one record.
struct Verdict {
  VerdictKind kind = VerdictKind::kNoEffect;
  contracts::Offset offset = 0;
  std::string id;
  std::string publisher;
  // Why the record is refused, unknown or without effect.
  std::string reason;
  // For an accepted record: the change, and the previous values of the objects
  // that it replaced or removed.
  Change change;
  std::vector<StampedObject> replaced;
};

// A complete set with its head.
struct WholeSet {
  Head head;
  std::vector<StampedObject> objects;
};

class ConfigFold {
 public:
  // Accepts records of the rule versions in `rules`, which must not be empty.
  explicit ConfigFold(RuleTable rules = AllRules());

  const Head& head() const { return head_; }
  const ObjectSet& set() const { return set_; }
  // The newest known rule version.
  std::uint32_t max_rules() const { return rules_.rbegin()->first; }
  // The verdict on the record at which folding stopped, if it has stopped.
  const std::optional<Verdict>& stopped() const { return stopped_; }

  // Folds the next record. The caller must pass all records in the order of
  // offsets, without gaps. Records at or before head().through have no effect;
  // once folding has stopped, neither have later ones.
  Verdict OnRecord(const contracts::LogRecord& record);

  // Replaces the current set by a complete set. Throws Error (step "config
  // adopt") and changes nothing when the new set is older than the current one,
  // when its digest does not match its objects or differs from that of the
  // current set at the same offset, or when its rule version is unknown.
  void Adopt(const WholeSet& whole);

  // Marks all records up to `through` as folded. The caller must know from a
  // peer with the same offset and digest that they change nothing.
  void AdvanceThrough(contracts::Offset through);

 private:
  Verdict OnPublish(const contracts::LogRecord& record,
                    const PublishRecord& publish);
  // Why the publish is refused before its change is applied; empty when it is
  // not.
  std::string RefusalReason(const PublishRecord& publish) const;

  RuleTable rules_;
  Head head_;
  ObjectSet set_;
  std::optional<Verdict> stopped_;
};

// Collects the parts of compactions until one is complete and a reader can
// start from it.
class CompactionCollector {
 public:
  explicit CompactionCollector(std::uint32_t max_rules)
      : max_rules_(max_rules) {}

  // Returns the complete set when `record` is the last missing part of a
  // compaction. Ignores compactions that leave a gap between their `through`
  // and `first_kept`, the oldest record still in the log.
  std::optional<WholeSet> OnRecord(const contracts::LogRecord& record,
                                   contracts::Offset first_kept);

 private:
  // The parts of one compaction received so far, by part number.
  struct Group {
    Head head;
    std::uint32_t parts = 0;
    std::map<std::uint32_t, std::vector<StampedObject>> received_parts;
  };

  std::uint32_t max_rules_;
  std::map<std::string, Group> groups_;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_FOLD_H_
