#include "work/fakes/fake_world.h"

#include <algorithm>

#include "work/work_record.h"

namespace carobmast::work {
namespace {

constexpr std::chrono::seconds kVmListPoll{1};
constexpr std::chrono::seconds kAppendTimeout{1};
constexpr std::size_t kReadLimit = 1000;
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
  NoteVms();
}

bool FakeWorld::Chance(double chance) {
  return chance > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < chance;
}

void FakeWorld::At(MonotonicTime time, std::function<void()> event) {
  events_.emplace(std::max(time, now_), std::move(event));
}

MonotonicTime FakeWorld::Local(const Process& process,
                               MonotonicTime time) const {
  return process.born + std::chrono::duration_cast<Duration>(
                            (time - process.born) * process.clock_rate);
}

void FakeWorld::InProcess(MonotonicTime time, const std::string& name,
                          std::uint64_t life,
                          std::function<void(Process&)> event) {
  At(time, [this, name, life, event = std::move(event)]() {
    const auto found = processes_.find(name);
    if (found == processes_.end() || found->second.life != life) return;
    Process& process = found->second;
    if (now_ < process.paused_until) {
      InProcess(process.paused_until, name, life, event);
      return;
    }
    event(process);
  });
}

void FakeWorld::AddWorker(FakeWorkerOptions options) {
  const std::string name = options.name;
  machines_[name].worker = std::make_unique<FakeWorker>(std::move(options));
  NoteVms();
}

void FakeWorld::AddScheduler(SchedulerOptions options, double clock_rate) {
  const std::string name = options.name;
  const std::uint64_t life = next_life_++;
  options.name = name + "/" + std::to_string(life);
  Process& process = processes_[name];
  process = {};
  process.options = options;
  process.clock_rate = clock_rate;
  process.born = now_;
  process.life = life;
  process.core = std::make_unique<SchedulerCore>(
      options,
      SchedulerHooks{
          .append =
              [this, name, life](std::uint64_t id,
                                 std::vector<contracts::NewRecord> records) {
                Append(name, life, id, std::move(records));
              },
          .command =
              [this, name, life](std::uint64_t id,
                                 contracts::WorkerCommand command) {
                Command(name, life, id, std::move(command));
              }});
  if (has_config_) process.core->OnConfig(Local(process, now_), objects_);
  Tick(name, life);
  PollLog(name, life);
  PollVmList(name, life);
}

void FakeWorld::SetConfig(config::Objects objects) {
  objects_ = std::move(objects);
  has_config_ = true;
  for (auto& [name, process] : processes_) {
    InProcess(now_, name, process.life, [this](Process& target) {
      target.core->OnConfig(Local(target, now_), objects_);
    });
  }
}

void FakeWorld::Tick(const std::string& name, std::uint64_t life) {
  InProcess(now_ + options_.tick, name, life,
            [this, name, life](Process& process) {
              process.core->OnTick(Local(process, now_));
              if (process.core->stopped()) {
                KillScheduler(name);
                return;
              }
              Tick(name, life);
            });
}

void FakeWorld::PollLog(const std::string& name, std::uint64_t life) {
  InProcess(
      now_ + options_.log_poll, name, life,
      [this, name, life](Process& process) {
        const MonotonicTime started = Local(process, now_);
        if (log_out_ || process.log_cut) {
          PollLog(name, life);
          return;
        }
        contracts::ReadAnswer answer{.next = next_offset_};
        answer.first_kept = log_.empty() ? next_offset_ : log_.front().offset;
        const contracts::Offset from = process.core->next_offset();
        for (const contracts::LogRecord& record : log_) {
          if (record.offset < std::max(from, answer.first_kept)) continue;
          if (answer.records.size() == kReadLimit) break;
          answer.records.push_back(record);
        }
        InProcess(now_ + options_.log_delay, name, life,
                  [this, name, life, started, answer](Process& reader) {
                    reader.core->OnLog(Local(reader, now_), started, answer);
                    PollLog(name, life);
                  });
      });
}

void FakeWorld::PollVmList(const std::string& name, std::uint64_t life) {
  InProcess(now_ + kVmListPoll, name, life,
            [this, name, life](Process& target) {
              if (!vm_list_out_ && !target.vm_list_cut) {
                target.core->OnVmList(Local(target, now_),
                                      VmList(now_ - options_.vm_list_lag));
              }
              PollVmList(name, life);
            });
}

void FakeWorld::NoteVms() {
  std::vector<contracts::Vm> vms;
  for (const auto& [name, machine] : machines_) {
    if (!machine.alive) continue;
    const FakeWorkerOptions& options = machine.worker->options();
    vms.push_back({.name = name,
                   .zone = options.zone,
                   .rack = options.rack,
                   .pool = options.pool,
                   .role = contracts::VmRole::kWorker,
                   .state = machine.leaving ? contracts::VmState::kLeaving
                                            : contracts::VmState::kLive,
                   .address = machine.worker->address()});
  }
  vm_history_[now_] = std::move(vms);
}

contracts::VmListAnswer FakeWorld::VmList(MonotonicTime as_of) const {
  contracts::VmListAnswer answer{
      .as_of = WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
          as_of.time_since_epoch()))};
  auto newest = vm_history_.upper_bound(as_of);
  if (newest == vm_history_.begin()) {
    // At the start the list is true.
    answer.vms = newest->second;
    return answer;
  }
  answer.vms = std::prev(newest)->second;
  return answer;
}

void FakeWorld::Append(const std::string& name, std::uint64_t life,
                       std::uint64_t id,
                       std::vector<contracts::NewRecord> records) {
  const auto reply = [this, name, life, id](MonotonicTime time,
                                            contracts::AppendOutcome outcome) {
    InProcess(time, name, life, [this, id, outcome](Process& process) {
      process.core->OnAppendAnswer(Local(process, now_), id, outcome);
    });
  };
  const Process& process = processes_[name];
  if (log_out_ || process.log_cut) {
    reply(now_ + kAppendTimeout, contracts::AppendOutcome::kNotSent);
    return;
  }
  const bool late = Chance(options_.late_appends);
  const MonotonicTime landing =
      now_ + options_.log_delay +
      (late ? Duration(3 * kAppendTimeout) : Duration::zero());
  At(landing, [this, records = std::move(records)]() { Land(records); });
  if (late || Chance(options_.lost_append_answers)) {
    reply(now_ + kAppendTimeout, contracts::AppendOutcome::kUnknown);
  } else {
    reply(landing + options_.log_delay, contracts::AppendOutcome::kAppended);
  }
}

void FakeWorld::Land(const std::vector<contracts::NewRecord>& records) {
  ++appends_;
  for (const contracts::NewRecord& record : records) {
    log_.push_back({.offset = next_offset_++,
                    .appended_at = WallTime(
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            now_.time_since_epoch())),
                    .id = record.id,
                    .data = record.data});
    log_fold_.Apply({.records = {log_.back()}, .next = next_offset_});
  }
}

void FakeWorld::Submit(const std::string& submission,
                       const config::BatchJob& spec) {
  Land({MakeSubmit(submission, spec)});
}

void FakeWorld::Cancel(const std::string& submission) {
  Land({MakeCancel(submission)});
}

void FakeWorld::ExpireLog(std::size_t keep) {
  if (log_.size() <= keep) return;
  log_.erase(log_.begin(), log_.end() - static_cast<std::ptrdiff_t>(keep));
}

bool FakeWorld::Paused(const Machine& machine) const {
  return now_ < machine.paused_until;
}

void FakeWorld::Command(const std::string& name, std::uint64_t life,
                        std::uint64_t id, contracts::WorkerCommand command) {
  const Process& process = processes_[name];
  const auto machine = machines_.find(command.worker);
  const bool reachable = machine != machines_.end() && machine->second.alive &&
                         process.cut_workers.count(command.worker) == 0;
  if (!reachable) {
    Answer(now_ + command.timeout, name, life, id,
           {.outcome = contracts::CommandOutcome::kNotSent});
    return;
  }
  const bool late = Chance(options_.late_commands);
  const bool paused = Paused(machine->second);
  const bool lost = late || Chance(options_.lost_answers);
  MonotonicTime arrival = now_ + options_.network_delay;
  if (late) {
    arrival += Duration(std::uniform_int_distribution<std::int64_t>(
        0, options_.latest_command.count())(random_));
  }
  if (paused) arrival = std::max(arrival, machine->second.paused_until);
  const bool timed_out = arrival - now_ >= command.timeout;
  if (timed_out || lost) {
    Answer(now_ + command.timeout, name, life, id,
           {.outcome = contracts::CommandOutcome::kUnknown});
  }
  At(arrival, [this, name, life, id, command, lost, timed_out]() {
    Deliver(name, life, id, command, lost, timed_out);
  });
}

void FakeWorld::Deliver(const std::string& name, std::uint64_t life,
                        std::uint64_t id,
                        const contracts::WorkerCommand& command,
                        bool answer_lost, bool timed_out) {
  const auto machine = machines_.find(command.worker);
  if (machine == machines_.end() || !machine->second.alive) {
    if (!answer_lost && !timed_out) {
      Answer(now_ + command.timeout, name, life, id,
             {.outcome = contracts::CommandOutcome::kUnknown});
    }
    return;
  }
  if (Paused(machine->second)) {
    At(machine->second.paused_until, [this, name, life, id, command]() {
      Deliver(name, life, id, command, true, true);
    });
    if (!answer_lost && !timed_out) {
      Answer(now_ + command.timeout, name, life, id,
             {.outcome = contracts::CommandOutcome::kUnknown});
    }
    return;
  }
  FakeWorker& executor = *machine->second.worker;
  const std::uint64_t starts = executor.starts();
  contracts::CommandAnswer answer = executor.Execute(now_, command);
  if (options_.check && executor.starts() != starts) {
    CheckStart(command.id);
    Check(command.worker);
  }
  if (answer_lost || timed_out) return;
  Answer(now_ + options_.network_delay, name, life, id, std::move(answer));
}

void FakeWorld::Answer(MonotonicTime time, const std::string& name,
                       std::uint64_t life, std::uint64_t id,
                       contracts::CommandAnswer answer) {
  InProcess(time, name, life,
            [this, id, answer = std::move(answer)](Process& process) {
              process.core->OnCommandAnswer(Local(process, now_), id, answer);
            });
}

void FakeWorld::Report(const std::string& what) {
  if (violations_.size() < kMaxViolations) {
    violations_.push_back({.at = now(), .what = what});
  }
}

void FakeWorld::CheckStart(const contracts::AttemptId& id) {
  if (!started_.insert(id).second) {
    Report("task " + id.task + " ran attempt " + std::to_string(id.attempt) +
           " twice");
  }
  const FoldedTask* folded = log_fold_.FindTask(id.task);
  if (folded != nullptr && folded->stage == TaskStage::kFinished) {
    Report("task " + id.task + " was started after its result");
  }
}

void FakeWorld::Check(const std::string& name) {
  const FakeWorker& started = *machines_[name].worker;
  const contracts::Resources committed = started.Committed();
  const contracts::Resources& capacity = started.options().capacity;
  if (committed.milli_cpus > capacity.milli_cpus ||
      committed.memory > capacity.memory ||
      committed.accelerators > capacity.accelerators) {
    Report("worker " + name + " is committed beyond its capacity");
  }
  for (const auto& [id, execution] : started.executions()) {
    if (!IsRunning(execution)) continue;
    if (execution.kind == contracts::TaskKind::kService) continue;
    const std::vector<std::string> places = RunningOn(id.task);
    if (places.size() > 1) {
      Report("task " + id.task + " runs on " + places[0] + " and " + places[1]);
    }
  }
}

std::vector<std::string> FakeWorld::RunningOn(const std::string& task) const {
  std::vector<std::string> places;
  for (const auto& [name, machine] : machines_) {
    // A VM that stands still executes nothing, and checks its leases first
    // when it goes on.
    if (!machine.alive || Paused(machine)) continue;
    machine.worker->Settle(now_);
    const auto& executions = machine.worker->executions();
    for (auto at = executions.lower_bound({.task = task, .attempt = 0});
         at != executions.end() && at->first.task == task; ++at) {
      if (IsRunning(at->second)) places.push_back(name);
    }
  }
  return places;
}

std::size_t FakeWorld::Running() const {
  std::size_t count = 0;
  for (const auto& [name, machine] : machines_) {
    if (!machine.alive || Paused(machine)) continue;
    machine.worker->Settle(now_);
    for (const auto& [id, execution] : machine.worker->executions()) {
      if (IsRunning(execution)) ++count;
    }
  }
  return count;
}

int FakeWorld::Completed(const std::string& task) const {
  int count = 0;
  const auto dead = completed_by_dead_.find(task);
  if (dead != completed_by_dead_.end()) count += dead->second;
  for (const auto& [name, machine] : machines_) {
    const auto found = machine.worker->completed().find(task);
    if (found != machine.worker->completed().end()) count += found->second;
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
  InProcess(now_, name, found->second.life, [this](Process& process) {
    process.core->OnStop(Local(process, now_));
  });
}

void FakeWorld::PauseScheduler(const std::string& name, Duration duration) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) return;
  found->second.paused_until = now_ + duration;
}

void FakeWorld::KillWorker(const std::string& name) {
  Machine& machine = machines_[name];
  if (!machine.alive) return;
  machine.worker->Settle(now_);
  machine.alive = false;
  for (const auto& [task, count] : machine.worker->completed()) {
    completed_by_dead_[task] += count;
  }
  FakeWorkerOptions options = machine.worker->options();
  machine.worker = std::make_unique<FakeWorker>(options);
  NoteVms();
}

void FakeWorld::ReviveWorker(const std::string& name) {
  Machine& machine = machines_[name];
  machine.alive = true;
  machine.leaving = false;
  machine.paused_until = {};
  NoteVms();
}

void FakeWorld::PauseWorker(const std::string& name, Duration duration) {
  Machine& machine = machines_[name];
  if (!machine.alive || Paused(machine)) return;
  machine.worker->Settle(now_);
  machine.paused_from = now_;
  machine.paused_until = now_ + duration;
  At(machine.paused_until, [this, name]() {
    Machine& resumed = machines_[name];
    if (!resumed.alive || Paused(resumed)) return;
    resumed.worker->Resume(resumed.paused_from, now_);
    if (options_.check) Check(name);
  });
}

void FakeWorld::SetLeaving(const std::string& name) {
  machines_[name].leaving = true;
  NoteVms();
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
  return *machines_.at(name).worker;
}

std::vector<std::string> FakeWorld::scheduler_names() const {
  std::vector<std::string> names;
  names.reserve(processes_.size());
  for (const auto& [name, process] : processes_) names.push_back(name);
  return names;
}

std::vector<std::string> FakeWorld::worker_names() const {
  std::vector<std::string> names;
  names.reserve(machines_.size());
  for (const auto& [name, machine] : machines_) names.push_back(name);
  return names;
}

bool FakeWorld::alive(const std::string& worker) const {
  return machines_.at(worker).alive;
}

}  // namespace carobmast::work
