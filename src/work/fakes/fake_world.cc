#include "work/fakes/fake_world.h"

#include <algorithm>

#include "work/work_record.h"

namespace carobmast::work {
namespace {

constexpr std::chrono::seconds kVmListPoll{1};
constexpr std::chrono::seconds kAppendTimeout{1};
constexpr std::size_t kMaxRecordsPerRead = 1000;
constexpr std::size_t kMaxViolations = 20;

bool IsRunning(const FakeExecution& execution) {
  return execution.state == contracts::TaskState::kRunning;
}

}  // namespace

FakeWorld::FakeWorld(FakeWorldOptions options)
    : options_(options),
      random_(options.seed),
      start_(MonotonicTime(std::chrono::hours(1))),
      now_(start_) {
  RecordVmList();
}

bool FakeWorld::RandomBool(double probability) {
  return probability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void FakeWorld::Schedule(MonotonicTime time, std::function<void()> event) {
  events_.emplace(std::max(time, now_), std::move(event));
}

MonotonicTime FakeWorld::LocalTime(const Process& process,
                                   MonotonicTime time) const {
  return process.start_time +
         std::chrono::duration_cast<Duration>((time - process.start_time) *
                                              process.clock_rate);
}

void FakeWorld::ScheduleInProcess(MonotonicTime time, const std::string& name,
                                  std::uint64_t pid,
                                  std::function<void(Process&)> event) {
  Schedule(time, [this, name, pid, event = std::move(event)]() {
    const auto found = processes_.find(name);
    if (found == processes_.end() || found->second.pid != pid) return;
    Process& process = found->second;
    if (now_ < process.paused_until) {
      ScheduleInProcess(process.paused_until, name, pid, event);
      return;
    }
    event(process);
  });
}

void FakeWorld::AddWorker(FakeWorkerOptions options) {
  const std::string name = options.name;
  vms_[name].worker = std::make_unique<FakeWorker>(std::move(options));
  RecordVmList();
}

void FakeWorld::AddScheduler(SchedulerOptions options, double clock_rate) {
  const std::string name = options.name;
  const std::uint64_t pid = next_pid_++;
  options.name = name + "/" + std::to_string(pid);
  Process& process = processes_[name];
  process = {};
  process.options = options;
  process.clock_rate = clock_rate;
  process.start_time = now_;
  process.pid = pid;
  process.core = std::make_unique<SchedulerCore>(
      options,
      SchedulerHooks{
          .append =
              [this, name, pid](std::uint64_t id,
                                std::vector<contracts::NewRecord> records) {
                Append(name, pid, id, std::move(records));
              },
          .command =
              [this, name, pid](std::uint64_t id,
                                contracts::WorkerCommand command) {
                Command(name, pid, id, std::move(command));
              }});
  if (has_config_) process.core->OnConfig(LocalTime(process, now_), objects_);
  Tick(name, pid);
  PollLog(name, pid);
  PollVmList(name, pid);
}

void FakeWorld::SetConfig(config::Objects objects) {
  objects_ = std::move(objects);
  has_config_ = true;
  for (auto& [name, process] : processes_) {
    ScheduleInProcess(now_, name, process.pid, [this](Process& target) {
      target.core->OnConfig(LocalTime(target, now_), objects_);
    });
  }
}

void FakeWorld::Tick(const std::string& name, std::uint64_t pid) {
  ScheduleInProcess(now_ + options_.tick, name, pid,
                    [this, name, pid](Process& process) {
                      process.core->OnTick(LocalTime(process, now_));
                      if (process.core->stopped()) {
                        KillScheduler(name);
                        return;
                      }
                      Tick(name, pid);
                    });
}

void FakeWorld::PollLog(const std::string& name, std::uint64_t pid) {
  ScheduleInProcess(
      now_ + options_.log_poll, name, pid, [this, name, pid](Process& process) {
        const MonotonicTime started = LocalTime(process, now_);
        if (log_out_ || process.log_cut) {
          PollLog(name, pid);
          return;
        }
        contracts::ReadAnswer answer{.next = next_offset_};
        answer.first_kept = log_.empty() ? next_offset_ : log_.front().offset;
        const contracts::Offset from = process.core->next_offset();
        for (const contracts::LogRecord& record : log_) {
          if (record.offset < std::max(from, answer.first_kept)) continue;
          if (answer.records.size() == kMaxRecordsPerRead) break;
          answer.records.push_back(record);
        }
        ScheduleInProcess(now_ + options_.log_delay, name, pid,
                          [this, name, pid, started, answer](Process& reader) {
                            reader.core->OnLog(LocalTime(reader, now_), started,
                                               answer);
                            PollLog(name, pid);
                          });
      });
}

void FakeWorld::PollVmList(const std::string& name, std::uint64_t pid) {
  ScheduleInProcess(
      now_ + kVmListPoll, name, pid, [this, name, pid](Process& target) {
        if (!vm_list_out_ && !target.vm_list_cut) {
          target.core->OnVmList(LocalTime(target, now_),
                                VmListAt(now_ - options_.vm_list_lag));
        }
        PollVmList(name, pid);
      });
}

void FakeWorld::RecordVmList() {
  std::vector<contracts::Vm> vms;
  for (const auto& [name, vm] : vms_) {
    if (!vm.alive) continue;
    const FakeWorkerOptions& options = vm.worker->options();
    vms.push_back({.name = name,
                   .zone = options.zone,
                   .rack = options.rack,
                   .pool = options.pool,
                   .role = contracts::VmRole::kWorker,
                   .state = vm.leaving ? contracts::VmState::kLeaving
                                       : contracts::VmState::kLive,
                   .address = vm.worker->address()});
  }
  vm_history_[now_] = std::move(vms);
}

contracts::VmListAnswer FakeWorld::VmListAt(MonotonicTime as_of) const {
  contracts::VmListAnswer answer{
      .as_of = WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
          as_of.time_since_epoch()))};
  auto newest = vm_history_.upper_bound(as_of);
  if (newest == vm_history_.begin()) {
    // There is no lag at the start of the run.
    answer.vms = newest->second;
    return answer;
  }
  answer.vms = std::prev(newest)->second;
  return answer;
}

void FakeWorld::Append(const std::string& name, std::uint64_t pid,
                       std::uint64_t id,
                       std::vector<contracts::NewRecord> records) {
  const auto reply = [this, name, pid, id](MonotonicTime time,
                                           contracts::AppendOutcome outcome) {
    ScheduleInProcess(time, name, pid, [this, id, outcome](Process& process) {
      process.core->OnAppendAnswer(LocalTime(process, now_), id, outcome);
    });
  };
  const Process& process = processes_[name];
  if (log_out_ || process.log_cut) {
    reply(now_ + kAppendTimeout, contracts::AppendOutcome::kNotSent);
    return;
  }
  const bool is_late = RandomBool(options_.late_appends);
  const MonotonicTime stored_at =
      now_ + options_.log_delay +
      (is_late ? Duration(3 * kAppendTimeout) : Duration::zero());
  Schedule(stored_at,
           [this, records = std::move(records)]() { StoreRecords(records); });
  if (is_late || RandomBool(options_.lost_append_answers)) {
    reply(now_ + kAppendTimeout, contracts::AppendOutcome::kUnknown);
  } else {
    reply(stored_at + options_.log_delay, contracts::AppendOutcome::kAppended);
  }
}

void FakeWorld::StoreRecords(const std::vector<contracts::NewRecord>& records) {
  ++appends_;
  for (const contracts::NewRecord& record : records) {
    log_.push_back({.offset = next_offset_++,
                    .appended_at = WallTime(
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            now_.time_since_epoch())),
                    .id = record.id,
                    .data = record.data});
    ground_truth_.Apply({.records = {log_.back()}, .next = next_offset_});
  }
}

void FakeWorld::Submit(const std::string& submission,
                       const config::BatchJob& spec) {
  StoreRecords({MakeSubmit(submission, spec)});
}

void FakeWorld::Cancel(const std::string& submission) {
  StoreRecords({MakeCancel(submission)});
}

void FakeWorld::ExpireLog(std::size_t keep) {
  if (log_.size() <= keep) return;
  log_.erase(log_.begin(), log_.end() - static_cast<std::ptrdiff_t>(keep));
}

bool FakeWorld::Paused(const FakeVm& vm) const {
  return now_ < vm.paused_until;
}

void FakeWorld::Command(const std::string& name, std::uint64_t pid,
                        std::uint64_t id, contracts::WorkerCommand command) {
  const Process& process = processes_[name];
  const auto vm = vms_.find(command.worker);
  const bool reachable = vm != vms_.end() && vm->second.alive &&
                         process.cut_workers.count(command.worker) == 0;
  if (!reachable) {
    Answer(now_ + command.timeout, name, pid, id,
           {.outcome = contracts::CommandOutcome::kNotSent});
    return;
  }
  const bool is_late = RandomBool(options_.late_commands);
  const bool paused = Paused(vm->second);
  const bool answer_is_lost = is_late || RandomBool(options_.lost_answers);
  MonotonicTime arrival = now_ + options_.network_delay;
  if (is_late) {
    arrival += Duration(std::uniform_int_distribution<std::int64_t>(
        0, options_.max_late_delay.count())(random_));
  }
  if (paused) arrival = std::max(arrival, vm->second.paused_until);
  const bool timed_out = arrival - now_ >= command.timeout;
  if (timed_out || answer_is_lost) {
    Answer(now_ + command.timeout, name, pid, id,
           {.outcome = contracts::CommandOutcome::kUnknown});
  }
  Schedule(arrival,
           [this, name, pid, id, command, answer_is_lost, timed_out]() {
             Deliver(name, pid, id, command, answer_is_lost, timed_out);
           });
}

void FakeWorld::Deliver(const std::string& name, std::uint64_t pid,
                        std::uint64_t id,
                        const contracts::WorkerCommand& command,
                        bool answer_lost, bool timed_out) {
  const auto vm = vms_.find(command.worker);
  if (vm == vms_.end() || !vm->second.alive) {
    if (!answer_lost && !timed_out) {
      Answer(now_ + command.timeout, name, pid, id,
             {.outcome = contracts::CommandOutcome::kUnknown});
    }
    return;
  }
  if (Paused(vm->second)) {
    Schedule(vm->second.paused_until, [this, name, pid, id, command]() {
      Deliver(name, pid, id, command, true, true);
    });
    if (!answer_lost && !timed_out) {
      Answer(now_ + command.timeout, name, pid, id,
             {.outcome = contracts::CommandOutcome::kUnknown});
    }
    return;
  }
  FakeWorker& executor = *vm->second.worker;
  const std::uint64_t starts = executor.starts();
  contracts::CommandAnswer answer = executor.Execute(now_, command);
  if (options_.check && executor.starts() != starts) {
    CheckAttempt(command.id);
    CheckWorker(command.worker);
  }
  if (answer_lost || timed_out) return;
  Answer(now_ + options_.network_delay, name, pid, id, std::move(answer));
}

void FakeWorld::Answer(MonotonicTime time, const std::string& name,
                       std::uint64_t pid, std::uint64_t id,
                       contracts::CommandAnswer answer) {
  ScheduleInProcess(time, name, pid,
                    [this, id, answer = std::move(answer)](Process& process) {
                      process.core->OnCommandAnswer(LocalTime(process, now_),
                                                    id, answer);
                    });
}

void FakeWorld::AddViolation(const std::string& what) {
  if (violations_.size() < kMaxViolations) {
    violations_.push_back({.at = now(), .what = what});
  }
}

void FakeWorld::CheckAttempt(const contracts::AttemptId& id) {
  if (!started_.insert(id).second) {
    AddViolation("task " + id.task + " ran attempt " +
                 std::to_string(id.attempt) + " twice");
  }
  const FoldedTask* folded = ground_truth_.FindTask(id.task);
  if (folded != nullptr && folded->stage == TaskStage::kFinished) {
    AddViolation("task " + id.task + " was started after its result");
  }
}

void FakeWorld::CheckWorker(const std::string& name) {
  const FakeWorker& started = *vms_[name].worker;
  const contracts::Resources committed = started.Committed();
  const contracts::Resources& capacity = started.options().capacity;
  if (committed.milli_cpus > capacity.milli_cpus ||
      committed.memory > capacity.memory ||
      committed.accelerators > capacity.accelerators) {
    AddViolation("worker " + name + " is committed beyond its capacity");
  }
  for (const auto& [id, execution] : started.executions()) {
    if (!IsRunning(execution)) continue;
    if (execution.kind == contracts::TaskKind::kService) continue;
    const std::vector<std::string> places = RunningOn(id.task);
    if (places.size() > 1) {
      AddViolation("task " + id.task + " runs on " + places[0] + " and " +
                   places[1]);
    }
  }
}

std::vector<std::string> FakeWorld::RunningOn(const std::string& task) const {
  std::vector<std::string> places;
  for (const auto& [name, vm] : vms_) {
    // A paused VM executes nothing, and checks its leases first when it
    // resumes.
    if (!vm.alive || Paused(vm)) continue;
    vm.worker->Settle(now_);
    const auto& executions = vm.worker->executions();
    for (auto at = executions.lower_bound({.task = task, .attempt = 0});
         at != executions.end() && at->first.task == task; ++at) {
      if (IsRunning(at->second)) places.push_back(name);
    }
  }
  return places;
}

std::size_t FakeWorld::Running() const {
  std::size_t count = 0;
  for (const auto& [name, vm] : vms_) {
    if (!vm.alive || Paused(vm)) continue;
    vm.worker->Settle(now_);
    for (const auto& [id, execution] : vm.worker->executions()) {
      if (IsRunning(execution)) ++count;
    }
  }
  return count;
}

int FakeWorld::Completed(const std::string& task) const {
  int count = 0;
  const auto dead = completed_on_killed_.find(task);
  if (dead != completed_on_killed_.end()) count += dead->second;
  for (const auto& [name, vm] : vms_) {
    const auto found = vm.worker->completed().find(task);
    if (found != vm.worker->completed().end()) count += found->second;
  }
  return count;
}

void FakeWorld::RunFor(Duration duration) {
  const MonotonicTime end = now_ + duration;
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto first = events_.begin();
    now_ = first->first;
    const std::function<void()> event = std::move(first->second);
    events_.erase(first);
    event();
  }
  now_ = end;
}

bool FakeWorld::RunUntil(const std::function<bool()>& test, Duration limit) {
  const MonotonicTime end = now_ + limit;
  while (now_ < end) {
    if (test()) return true;
    RunFor(options_.tick);
  }
  return test();
}

void FakeWorld::KillScheduler(const std::string& name) {
  processes_.erase(name);
}

void FakeWorld::StopScheduler(const std::string& name) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) return;
  ScheduleInProcess(now_, name, found->second.pid, [this](Process& process) {
    process.core->OnStop(LocalTime(process, now_));
  });
}

void FakeWorld::PauseScheduler(const std::string& name, Duration duration) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) return;
  found->second.paused_until = now_ + duration;
}

void FakeWorld::KillWorker(const std::string& name) {
  FakeVm& vm = vms_[name];
  if (!vm.alive) return;
  vm.worker->Settle(now_);
  vm.alive = false;
  for (const auto& [task, count] : vm.worker->completed()) {
    completed_on_killed_[task] += count;
  }
  FakeWorkerOptions options = vm.worker->options();
  vm.worker = std::make_unique<FakeWorker>(options);
  RecordVmList();
}

void FakeWorld::ReviveWorker(const std::string& name) {
  FakeVm& vm = vms_[name];
  vm.alive = true;
  vm.leaving = false;
  vm.paused_until = {};
  RecordVmList();
}

void FakeWorld::PauseWorker(const std::string& name, Duration duration) {
  FakeVm& vm = vms_[name];
  if (!vm.alive || Paused(vm)) return;
  vm.worker->Settle(now_);
  vm.paused_from = now_;
  vm.paused_until = now_ + duration;
  Schedule(vm.paused_until, [this, name]() {
    FakeVm& resumed = vms_[name];
    if (!resumed.alive || Paused(resumed)) return;
    resumed.worker->Resume(resumed.paused_from, now_);
    if (options_.check) CheckWorker(name);
  });
}

void FakeWorld::SetLeaving(const std::string& name) {
  vms_[name].leaving = true;
  RecordVmList();
}

void FakeWorld::CutWorker(const std::string& scheduler,
                          const std::string& worker, bool cut) {
  const auto found = processes_.find(scheduler);
  if (found == processes_.end()) return;
  if (cut) {
    found->second.cut_workers.insert(worker);
  } else {
    found->second.cut_workers.erase(worker);
  }
}

void FakeWorld::CutLog(const std::string& scheduler, bool cut) {
  const auto found = processes_.find(scheduler);
  if (found != processes_.end()) found->second.log_cut = cut;
}

void FakeWorld::CutVmList(const std::string& scheduler, bool cut) {
  const auto found = processes_.find(scheduler);
  if (found != processes_.end()) found->second.vm_list_cut = cut;
}

SchedulerCore* FakeWorld::scheduler(const std::string& name) {
  const auto found = processes_.find(name);
  return found == processes_.end() ? nullptr : found->second.core.get();
}

FakeWorker& FakeWorld::worker(const std::string& name) {
  return *vms_.at(name).worker;
}

std::vector<std::string> FakeWorld::scheduler_names() const {
  std::vector<std::string> names;
  names.reserve(processes_.size());
  for (const auto& [name, process] : processes_) names.push_back(name);
  return names;
}

std::vector<std::string> FakeWorld::worker_names() const {
  std::vector<std::string> names;
  names.reserve(vms_.size());
  for (const auto& [name, vm] : vms_) names.push_back(name);
  return names;
}

bool FakeWorld::alive(const std::string& worker) const {
  return vms_.at(worker).alive;
}

}  // namespace carobmast::work
