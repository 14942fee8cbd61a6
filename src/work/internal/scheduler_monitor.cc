#include "work/internal/scheduler_monitor.h"

#include <algorithm>
#include <utility>

namespace carobmast::work {
namespace {

std::string NameOf(const std::string& scheduler) {
  return scheduler.substr(0, scheduler.find('/'));
}

}  // namespace

SchedulerMonitor::SchedulerMonitor(SchedulerMonitorOptions options)
    : options_(std::move(options)) {}

void SchedulerMonitor::OnRead(MonotonicTime now, const WorkFold& fold) {
  const bool after_gap = now - last_read_ > options_.suspect_after / 2;
  last_read_ = now;
  std::erase_if(seen_, [&fold](const auto& entry) {
    return fold.schedulers().count(entry.first) == 0;
  });
  for (const auto& [name, folded] : fold.schedulers()) {
    Seen& seen = seen_[name];
    seen.zone = folded.zone;
    if (after_gap || seen.last_offset != folded.last_offset) seen.at = now;
    seen.last_offset = folded.last_offset;
  }
  MarkReplaced();
}

void SchedulerMonitor::MarkReplaced() {
  std::map<std::string, contracts::Offset> newest;
  for (const auto& [name, seen] : seen_) {
    contracts::Offset& offset = newest[NameOf(name)];
    offset = std::max(offset, seen.last_offset);
  }
  for (auto& [name, seen] : seen_) {
    seen.replaced = seen.last_offset < newest[NameOf(name)];
  }
}

bool SchedulerMonitor::Alive(const std::string& scheduler,
                             MonotonicTime now) const {
  if (scheduler == options_.self) return true;
  const auto found = seen_.find(scheduler);
  if (found == seen_.end() || found->second.replaced) return false;
  if (NameOf(scheduler) == NameOf(options_.self)) return false;
  return now - found->second.at < options_.suspect_after;
}

std::vector<std::string> SchedulerMonitor::AliveIn(
    const std::vector<std::string>& zones, MonotonicTime now) const {
  const auto wanted = [&zones](const std::string& zone) {
    return zones.empty() ||
           std::find(zones.begin(), zones.end(), zone) != zones.end();
  };
  std::vector<std::string> alive;
  for (const auto& [name, seen] : seen_) {
    if (name == options_.self || !wanted(seen.zone)) continue;
    if (Alive(name, now)) alive.push_back(name);
  }
  if (wanted(options_.zone)) alive.push_back(options_.self);
  return alive;
}

}  // namespace carobmast::work
