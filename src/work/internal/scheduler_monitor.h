// Tells from the heartbeats in the log which schedulers are alive. A wrong
// result causes a change of owner, but never two running copies of a task: that
// is up to fencing.
#ifndef CAROBMAST_WORK_INTERNAL_SCHEDULER_MONITOR_H_
#define CAROBMAST_WORK_INTERNAL_SCHEDULER_MONITOR_H_

#include <map>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "work/work_fold.h"

namespace carobmast::work {

struct SchedulerMonitorOptions {
  // "name/incarnation" of this process, which always counts as alive.
  std::string self;
  std::string zone;
  // Time without new records after which a scheduler counts as dead.
  Duration suspect_after = std::chrono::seconds(6);
};

class SchedulerMonitor {
 public:
  explicit SchedulerMonitor(SchedulerMonitorOptions options);

  // To be called after each read of the log, once the fold has applied its
  // records. After a gap between reads the silence of every scheduler is
  // counted from now on: the log may have been unavailable to all of them.
  void OnRead(MonotonicTime now, const WorkFold& fold);

  bool Alive(const std::string& scheduler, MonotonicTime now) const;
  // Live schedulers of the given zones, or of all zones if `zones` is empty:
  // this process last, the others by name.
  std::vector<std::string> AliveIn(const std::vector<std::string>& zones,
                                   MonotonicTime now) const;

 private:
  struct Seen {
    std::string zone;
    contracts::Offset last_offset = 0;
    MonotonicTime at;
    // Whether a newer incarnation of the same name writes to the log.
    bool replaced = false;
  };

  void MarkReplaced();

  SchedulerMonitorOptions options_;
  std::map<std::string, Seen> seen_;
  MonotonicTime last_read_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_SCHEDULER_MONITOR_H_
