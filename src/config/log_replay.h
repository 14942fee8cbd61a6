// Follows the configuration stream from reads of the log: folds from the first
// record where the log still has it, else from a compaction. Never guesses what
// an expired record held.
#ifndef CAROBMAST_CONFIG_LOG_REPLAY_H_
#define CAROBMAST_CONFIG_LOG_REPLAY_H_

#include <functional>
#include <optional>
#include <vector>

#include "config/fold.h"
#include "contracts/types/log_record.h"

namespace carobmast::config {

class LogReplay {
 public:
  explicit LogReplay(RuleTable rules = AllRules());

  // Where the next read starts.
  contracts::Offset NextRead() const;

  // Takes the answer of a read from `from`. Returns the verdicts on the records
  // that were folded, in the order of offsets. `on_verdict` is called for each
  // as soon as its record is folded, when the set is the one of that record.
  std::vector<Verdict> OnRead(
      contracts::Offset from, const contracts::ReadAnswer& answer,
      const std::function<void(const Verdict&)>& on_verdict = {});

  // Whether the last read reached the end of the stream and left no gap.
  bool caught_up() const { return caught_up_; }
  // Whether records that it needs have expired, so that it looks for a
  // compaction.
  bool seeking() const { return seek_.has_value(); }

  ConfigFold& fold() { return fold_; }
  const ConfigFold& fold() const { return fold_; }

 private:
  struct Seek {
    contracts::Offset next;
    CompactionCollector collector;
  };

  void StartSeek(contracts::Offset first_kept);
  void OnSeekRead(const contracts::ReadAnswer& answer, Seek& seek);

  ConfigFold fold_;
  std::optional<Seek> seek_;
  bool caught_up_ = false;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_LOG_REPLAY_H_
