// Replays a load pattern in virtual time against the real owner: jobs that
// arrive and are cancelled, tasks that take their time.
#ifndef CAROBMAST_JOBS_TESTS_LOAD_REPLAY_H_
#define CAROBMAST_JOBS_TESTS_LOAD_REPLAY_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "shard_bench.h"

namespace carobmast::jobs {

// What happens at a time of the pattern, counted from its start.
struct PatternEvent {
  std::chrono::milliseconds at{0};
  std::function<void(class LoadReplay&)> action;
};

struct ServiceCounts {
  std::size_t submitted = 0;
  std::size_t rejected = 0;
  std::size_t in_aim = 0;
  std::size_t completed = 0;
};

class LoadReplay {
 public:
  // Workers are named "w0", "w1" and so on.
  LoadReplay(std::size_t workers, std::uint64_t milli_cpus);

  // Jobs whose IDs begin with the same letter are counted together. `aim` is
  // the time within which the job should end.
  void Submit(const std::string& id, const JobSpec& spec,
              std::chrono::milliseconds aim);
  void Cancel(const std::string& id);
  // Plays the events, which must be in order of their times, until `end`.
  void Run(const std::vector<PatternEvent>& events,
           std::chrono::milliseconds end);

  const ServiceCounts& Counts(char kind) { return counts_[kind]; }

 private:
  struct ActiveTask {
    SentStart start;
    MonotonicTime ends_at;
    bool stopped = false;
  };
  struct SubmittedJob {
    JobSpec spec;
    MonotonicTime due;
    bool completed = false;
  };

  void BeginTasks();
  void AnswerHolds();
  void CountCompleted();

  ShardBench bench_;
  std::map<std::string, std::vector<ActiveTask>> tasks_by_worker_;
  std::map<std::string, std::uint64_t> ends_by_worker_;
  std::map<std::string, SubmittedJob> jobs_;
  std::map<char, ServiceCounts> counts_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_TESTS_LOAD_REPLAY_H_
