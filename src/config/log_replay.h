// Follows the configuration stream from reads of the log. Starts at the first
// record while the log still has it, otherwise at a compaction. If records are
// missing and no compaction covers them, the set stays as it is: the content of
// expired records is never assumed.
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

  // Offset at which the next read must start.
  contracts::Offset NextRead() const;

  // Handles the answer to a read that started at `from`. Returns the verdicts
  // on the records that were folded, in the order of offsets. `on_verdict` is
  // called right after each record is folded, while fold() is in the state
  // after that record.
  std::vector<Verdict> OnRead(
      contracts::Offset from, const contracts::ReadAnswer& answer,
      const std::function<void(const Verdict&)>& on_verdict = {});

  // Whether the last read reached the end of the stream without a gap.
  bool caught_up() const { return caught_up_; }
  // Whether needed records have expired, so that a compaction is searched for.
  bool searching() const { return search_.has_value(); }

  ConfigFold& fold() { return fold_; }
  const ConfigFold& fold() const { return fold_; }

 private:
  // A search for a usable compaction; `next` is the next offset to read.
  struct CompactionSearch {
    contracts::Offset next;
    CompactionCollector collector;
  };

  void StartSearch(contracts::Offset first_kept);
  void OnSearchRead(const contracts::ReadAnswer& answer,
                    CompactionSearch& search);

  ConfigFold fold_;
  std::optional<CompactionSearch> search_;
  bool caught_up_ = false;
};

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_LOG_REPLAY_H_
