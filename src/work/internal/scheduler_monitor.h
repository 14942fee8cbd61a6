// Which schedulers are alive, as far as their heartbeats in the log tell. A
// wrong verdict costs a change of owner and never exclusivity.
#ifndef CAROBMAST_WORK_INTERNAL_SCHEDULER_MONITOR_H_
#define CAROBMAST_WORK_INTERNAL_SCHEDULER_MONITOR_H_

#include <map>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "work/work_fold.h"

namespace carobmast::work {

struct SchedulerMonitorOptions {
  // Name and incarnation of this process, which is always alive.
  std::string self;
  std::string zone;
  // Silence after which a scheduler counts as dead.
  Duration suspect_after = std::chrono::seconds(6);
};

class SchedulerMonitor {
 public:
  explicit SchedulerMonitor(SchedulerMonitorOptions options);

  // A read of the log ended, and the fold has its records. After a gap between
  // reads every silence is counted anew: the log may have been out for all.
  void OnRead(MonotonicTime now, const WorkFold& fold);

  bool Alive(const std::string& scheduler, MonotonicTime now) const;
  // The living ones in the zones given, by name; all zones when empty.
  std::vector<std::string> AliveIn(const std::vector<std::string>& zones,
                                   MonotonicTime now) const;

 private:
  struct Seen {
    std::string zone;
    contracts::Offset last_offset = 0;
    MonotonicTime at;
    // A newer incarnation of the same name writes.
    bool replaced = false;
  };

  void MarkReplaced();

  SchedulerMonitorOptions options_;
  std::map<std::string, Seen> seen_;
  MonotonicTime last_read_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_SCHEDULER_MONITOR_H_
