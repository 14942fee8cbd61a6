// Folds the configuration stream into the set in force. Pure and deterministic:
// every reader of the same records reaches the same set and the same verdicts.
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
  kRefused,   // a publish or a malformed record that changed nothing
  kNoEffect,  // a compaction, or a record that was folded before
  kUnknown,   // its format or rules are not known: folding stops before it
};

struct Verdict {
  VerdictKind kind = VerdictKind::kNoEffect;
  contracts::Offset offset = 0;
  std::string id;
  std::string publisher;
  // When it is refused or unknown.
  std::string reason;
  // When it is accepted: what changed, and the objects as they were before.
  Change change;
  std::vector<StampedObject> replaced;
};

// A whole set with what it stands for.
struct WholeSet {
  Head head;
  std::vector<StampedObject> objects;
};

class ConfigFold {
 public:
  // Knows the rule versions of `rules` only.
  explicit ConfigFold(RuleTable rules = AllRules());

  const Head& head() const { return head_; }
  const ObjectSet& set() const { return set_; }
  // The newest rule version that it knows.
  std::uint32_t max_rules() const { return rules_.rbegin()->first; }
  // The record at which folding stopped, and why.
  const std::optional<Verdict>& stopped() const { return stopped_; }

  // Folds the next record. The caller leaves no record out. Records at or
  // before head().through have no effect; after a stop, none has.
  Verdict OnRecord(const contracts::LogRecord& record);

  // Takes a whole set in place of its own. Throws Error (step "config adopt")
  // and changes nothing when the set is older than its own, when its digest is
  // wrong, or when its rules are not known.
  void Adopt(const WholeSet& whole);

  // Says that all records up to `through` are folded, which a peer at the same
  // offset and digest has shown.
  void AdvanceThrough(contracts::Offset through);

 private:
  Verdict OnPublish(const contracts::LogRecord& record,
                    const PublishRecord& publish);
  std::string ReasonAgainst(const PublishRecord& publish) const;

  RuleTable rules_;
  Head head_;
  ObjectSet set_;
  std::optional<Verdict> stopped_;
};

// Collects the parts of compactions until one whole set is there that a reader
// can start from.
class CompactionCollector {
 public:
  explicit CompactionCollector(std::uint32_t max_rules)
      : max_rules_(max_rules) {}

  // Returns a whole set whose `through` leaves no gap before `first_kept`, the
  // oldest record that the log still has.
  std::optional<WholeSet> OnRecord(const contracts::LogRecord& record,
                                   contracts::Offset first_kept);

 private:
  struct Group {
    Head head;
    std::uint32_t parts = 0;
    std::map<std::uint32_t, std::vector<StampedObject>> found;
  };

  std::uint32_t max_rules_;
  std::map<std::string, Group> groups_;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_FOLD_H_
