#include "standin/fake_vm_list.h"

#include <utility>

#include "framework/base/error.h"

namespace carobmast::standin {

using contracts::Vm;
using contracts::VmListAnswer;

FakeVmList::FakeVmList(FakeVmListOptions options)
    : options_(std::move(options)) {
  for (const Vm& vm : options_.vms) visible_[vm.name] = vm;
}

void FakeVmList::Put(const Vm& vm, MonotonicTime now) {
  pending_.push_back({.at = now, .name = vm.name, .vm = vm});
}

void FakeVmList::Remove(const std::string& name, MonotonicTime now) {
  pending_.push_back({.at = now, .name = name});
}

VmListAnswer FakeVmList::List(MonotonicTime now) {
  if (unavailable_) throw Error("VM list", "local", "the VM list is out");
  const MonotonicTime as_of = now - options_.lag;
  while (!pending_.empty() && pending_.front().at <= as_of) {
    Change change = std::move(pending_.front());
    pending_.pop_front();
    visible_.erase(change.name);
    if (change.vm.has_value()) visible_[change.name] = *std::move(change.vm);
  }
  VmListAnswer answer{.as_of =
                          options_.wall_at_zero +
                          std::chrono::duration_cast<std::chrono::milliseconds>(
                              as_of.time_since_epoch())};
  for (const std::pair<const std::string, Vm>& entry : visible_) {
    answer.vms.push_back(entry.second);
  }
  return answer;
}

}  // namespace carobmast::standin
