// Simulated deployment on virtual time: schedulers, workers, the log, the VM
// list, and faults in each of them. A run is determined by its seed and the
// calls made.
#ifndef CAROBMAST_WORK_FAKES_FAKE_WORLD_H_
#define CAROBMAST_WORK_FAKES_FAKE_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/types/objects.h"
#include "framework/base/time.h"
#include "work/fakes/fake_worker.h"
#include "work/scheduler_core.h"

namespace carobmast::work {

struct FakeWorldOptions {
  std::uint64_t seed = 1;
  // One-way delay of a command or its answer.
  Duration network_delay = std::chrono::microseconds(500);
  Duration log_delay = std::chrono::milliseconds(5);
  Duration vm_list_lag = std::chrono::seconds(2);
  Duration tick = std::chrono::milliseconds(100);
  Duration log_poll = std::chrono::milliseconds(100);
  // Maximum extra delay of a late command.
  Duration max_late_delay = std::chrono::seconds(60);
  // Probabilities per message or append, from 0 to 1.
  double lost_answers = 0;
  double late_commands = 0;
  double lost_append_answers = 0;
  double late_appends = 0;
  // Whether exclusivity, capacity and the uniqueness of attempts are checked
  // after every start.
  bool check = true;
};

// A violated invariant, and the time since the start of the run.
struct Violation {
  Duration at = Duration::zero();
  std::string what;
};

class FakeWorld {
 public:
  explicit FakeWorld(FakeWorldOptions options);

  void AddWorker(FakeWorkerOptions options);
  // Starts a scheduler process. `options.name` is the name without incarnation.
  void AddScheduler(SchedulerOptions options, double clock_rate = 1.0);
  void SetConfig(config::Objects objects);
  void Submit(const std::string& submission, const config::BatchJob& spec);
  void Cancel(const std::string& submission);

  void RunFor(Duration duration);
  // Runs until `test` returns true; returns false if it didn't within `limit`.
  bool RunUntil(const std::function<bool()>& test, Duration limit);

  // Faults. A killed process ends without a handover; a stopped one hands over
  // its cells.
  void KillScheduler(const std::string& name);
  void StopScheduler(const std::string& name);
  void PauseScheduler(const std::string& name, Duration duration);
  // Ends the VM. It disappears from the VM list after `vm_list_lag`.
  void KillWorker(const std::string& name);
  // Restarts a killed VM, without any tasks; also ends a pause or leaving.
  void ReviveWorker(const std::string& name);
  void PauseWorker(const std::string& name, Duration duration);
  void SetLeaving(const std::string& name);
  void CutWorker(const std::string& scheduler, const std::string& worker,
                 bool cut);
  void CutLog(const std::string& scheduler, bool cut);
  void CutVmList(const std::string& scheduler, bool cut);
  void SetLogOutage(bool out) { log_out_ = out; }
  void SetVmListOutage(bool out) { vm_list_out_ = out; }
  void SetLostAnswers(double probability) {
    options_.lost_answers = probability;
  }
  void SetLateCommands(double probability) {
    options_.late_commands = probability;
  }
  void SetLostAppendAnswers(double probability) {
    options_.lost_append_answers = probability;
  }
  // Drops all but the newest `keep` records of the log.
  void ExpireLog(std::size_t keep);

  Duration now() const { return now_ - start_; }
  // Returns null if it does not run.
  SchedulerCore* scheduler(const std::string& name);
  FakeWorker& worker(const std::string& name);
  std::vector<std::string> scheduler_names() const;
  std::vector<std::string> worker_names() const;
  bool alive(const std::string& worker) const;
  // Workers on which the task runs; paused and dead ones are left out.
  std::vector<std::string> RunningOn(const std::string& task) const;
  // Number of running executions on all workers that are not paused or dead.
  std::size_t Running() const;
  const std::vector<Violation>& violations() const { return violations_; }
  const std::vector<contracts::LogRecord>& log() const { return log_; }
  std::uint64_t appends() const { return appends_; }
  // How often the task ran to its end, on all workers.
  int Completed(const std::string& task) const;

 private:
  struct Process {
    std::unique_ptr<SchedulerCore> core;
    SchedulerOptions options;
    double clock_rate = 1.0;
    MonotonicTime start_time;
    MonotonicTime paused_until;
    std::uint64_t pid = 0;
    bool log_cut = false;
    bool vm_list_cut = false;
    std::set<std::string> cut_workers;
  };
  struct FakeVm {
    std::unique_ptr<FakeWorker> worker;
    bool alive = true;
    bool leaving = false;
    MonotonicTime paused_from;
    MonotonicTime paused_until;
  };

  void Schedule(MonotonicTime time, std::function<void()> event);
  // Schedules `event` in the process `name`. It is dropped if process `pid`
  // has ended, and delayed while the process is paused.
  void ScheduleInProcess(MonotonicTime time, const std::string& name,
                         std::uint64_t pid,
                         std::function<void(Process&)> event);
  MonotonicTime LocalTime(const Process& process, MonotonicTime time) const;
  void Tick(const std::string& name, std::uint64_t pid);
  void PollLog(const std::string& name, std::uint64_t pid);
  void PollVmList(const std::string& name, std::uint64_t pid);
  void Append(const std::string& name, std::uint64_t pid, std::uint64_t id,
              std::vector<contracts::NewRecord> records);
  void StoreRecords(const std::vector<contracts::NewRecord>& records);
  void Command(const std::string& name, std::uint64_t pid, std::uint64_t id,
               contracts::WorkerCommand command);
  void Deliver(const std::string& name, std::uint64_t pid, std::uint64_t id,
               const contracts::WorkerCommand& command, bool answer_lost,
               bool timed_out);
  void Answer(MonotonicTime time, const std::string& name, std::uint64_t pid,
              std::uint64_t id, contracts::CommandAnswer answer);
  bool Paused(const FakeVm& vm) const;
  void CheckWorker(const std::string& worker);
  void CheckAttempt(const contracts::AttemptId& id);
  void AddViolation(const std::string& what);
  contracts::VmListAnswer VmListAt(MonotonicTime as_of) const;
  void RecordVmList();
  bool RandomBool(double probability);

  FakeWorldOptions options_;
  std::mt19937_64 random_;
  MonotonicTime start_;
  MonotonicTime now_;
  std::multimap<MonotonicTime, std::function<void()>> events_;
  std::map<std::string, Process> processes_;
  std::map<std::string, FakeVm> vms_;
  std::uint64_t next_pid_ = 1;
  std::vector<contracts::LogRecord> log_;
  contracts::Offset next_offset_ = 1;
  bool log_out_ = false;
  bool vm_list_out_ = false;
  std::uint64_t appends_ = 0;
  config::Objects objects_;
  bool has_config_ = false;
  // The true VM list over time, by the time of each change.
  std::map<MonotonicTime, std::vector<contracts::Vm>> vm_history_;
  std::vector<Violation> violations_;
  std::map<std::string, int> completed_on_killed_;
  // All attempts that were ever started on any worker.
  std::set<contracts::AttemptId> started_;
  // Fold of all records in the log, to check each start against.
  WorkFold ground_truth_;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_FAKES_FAKE_WORLD_H_
