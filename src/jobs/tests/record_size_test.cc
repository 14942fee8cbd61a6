// The records of the shard's stream stay below the size that the stream
// accepts, and a successor restores what is divided over several of them.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "jobs/job_record.h"
#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The smallest limit of a stream's records that settings may contain.
constexpr std::size_t kMaxRecordBytes = std::size_t{128} * 1024;

}  // namespace

class RecordSizeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordSizeTest);
  CPPUNIT_TEST(ProgressOfALargeJobExceedsARecord);
  CPPUNIT_TEST(LongCheckpointsExceedARecord);
  CPPUNIT_TEST(SuccessorLosesADividedProgress);
  CPPUNIT_TEST(BatchStoredInPartLosesAnEnd);
  CPPUNIT_TEST(RecordOfAPeriodicJobGrowsWithItsOccurrences);
  CPPUNIT_TEST(SuccessorRepeatsRetiredOccurrences);
  CPPUNIT_TEST(JobFarBehindBeginsAllItsOccurrences);
  CPPUNIT_TEST(BlocksOutliveTheirJob);
  CPPUNIT_TEST(JobIsDeletedWithAnEarlierOneOfItsId);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an append that the stream refuses for ever, which stops all
  // jobs of the shard.
  void ProgressOfALargeJobExceedsARecord() {
    ShardBench bench;
    const std::vector<SentStart> starts = RunTasks(bench, kMaxTasksPerJob);
    std::vector<contracts::EndedTask> ended;
    for (std::size_t i = 0; i < starts.size(); i += 2) {
      ended.push_back(bench.EndedRow(ended.size() + 1, starts[i]));
    }
    bench.AnswerHold("w", {}, ended);
    bench.Store();
    CPPUNIT_ASSERT(bench.largest_record <= kMaxRecordBytes);
  }

  void LongCheckpointsExceedARecord() {
    ShardBench bench;
    const std::vector<SentStart> starts = RunTasks(bench, 1000);
    std::vector<contracts::RunningTask> rows;
    for (const SentStart& start : starts) {
      rows.push_back(bench.RunningRow(start));
      rows.back().checkpoint = std::string(4000, 'c');
    }
    rows.back().checkpoint = "short";
    bench.AnswerHold("w", rows);
    // The last run is lost, and starts again from its checkpoint.
    rows.pop_back();
    bench.AnswerHold("w", rows);
    bench.Store();
    CPPUNIT_ASSERT(bench.largest_record <= kMaxRecordBytes);
    CPPUNIT_ASSERT_EQUAL(std::string("short"),
                         bench.TakeStarts().at(0).order.checkpoint);
  }

  void SuccessorLosesADividedProgress() {
    ShardBench bench;
    bench.max_undivided_bytes = 100;
    bench.TakeOver();
    const std::vector<SentStart> starts = RunTasks(bench, 200);
    std::vector<contracts::EndedTask> ended;
    std::vector<contracts::RunningTask> running;
    for (std::size_t i = 0; i < starts.size(); ++i) {
      if (i % 2 == 0) {
        ended.push_back(bench.EndedRow(ended.size() + 1, starts[i]));
      } else {
        running.push_back(bench.RunningRow(starts[i]));
      }
    }
    bench.AnswerHold("w", running, ended);
    bench.Store();
    bench.TakeOver();
    bench.AnswerHold("w", running);
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    ended.clear();
    for (std::size_t i = 1; i < starts.size(); i += 2) {
      ended.push_back(bench.EndedRow(100 + i, starts[i]));
    }
    bench.AnswerHold("w", {}, ended);
    bench.Store();
    CPPUNIT_ASSERT(JobState::kCompleted == bench.core->StoredState("j"));
    // Only the job and its state are left of it.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, CountRecordsOfJobs(bench));
  }

  // Guards against starting a task again because the owner ended between two
  // appends of one batch, of which the first divides the progress.
  void BatchStoredInPartLosesAnEnd() {
    for (std::size_t stored = 0; stored <= 6; ++stored) {
      ShardBench bench;
      const std::vector<SentStart> starts = RunTasks(bench, 200);
      std::vector<contracts::RunningTask> running;
      for (std::size_t i = 1; i < starts.size(); ++i) {
        running.push_back(bench.RunningRow(starts[i]));
      }
      bench.AnswerHold("w", running, {bench.EndedRow(1, starts[0])});
      bench.Store();
      running.erase(running.begin());
      bench.max_undivided_bytes = 100;
      bench.TakeOver();
      bench.AnswerHold("w", running, {bench.EndedRow(2, starts[1])});
      bench.StorePart(stored);
      bench.TakeOver();
      bench.AnswerHold("w", running, {bench.EndedRow(2, starts[1])});
      bench.Store();
      CPPUNIT_ASSERT(bench.starts.empty());
    }
  }

  // Guards against a record that grows by each occurrence until the stream
  // refuses it.
  void RecordOfAPeriodicJobGrowsWithItsOccurrences() {
    ShardBench bench;
    RunOccurrences(bench, 500);
    CPPUNIT_ASSERT(bench.largest_record < 200);
  }

  void SuccessorRepeatsRetiredOccurrences() {
    ShardBench bench;
    RunOccurrences(bench, 3);
    bench.TakeOver();
    bench.AnswerHold("w");
    bench.Store();
    CPPUNIT_ASSERT(bench.starts.empty());
    bench.AdvanceTime(seconds(10));
    bench.Store();
    const std::vector<SentStart> next = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
    CPPUNIT_ASSERT_EQUAL(3U, next[0].order.task.occurrence);
  }

  // Guards against the memory that a job takes whose first occurrence lies far
  // back.
  void JobFarBehindBeginsAllItsOccurrences() {
    ShardBench bench;
    bench.AddWorker("w", 1000000);
    bench.AnswerHold("w");
    JobSpec spec = MakePeriodicJob(bench);
    spec.steps[0].count = kMaxTasksPerJob / 4;
    spec.steps[0].need = {.milli_cpus = 1, .memory = {1}};
    spec.first_due = bench.now.wall - std::chrono::hours(24);
    bench.max_starts_in_flight = 2 * kMaxTasksPerJob;
    bench.TakeOver();
    bench.AnswerHold("w");
    bench.Submit("j", spec);
    bench.Store();
    const std::vector<SentStart> starts = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(kMaxTasksPerJob, starts.size());
    // The next one begins once an earlier one is over.
    std::vector<contracts::EndedTask> ended;
    for (std::size_t i = 0; i < kMaxTasksPerJob / 4; ++i) {
      bench.ConfirmStart(starts[i]);
      ended.push_back(bench.EndedRow(i + 1, starts[i]));
    }
    bench.AnswerHold("w", {}, ended);
    bench.Store();
    bench.AdvanceTime(milliseconds(50));
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(kMaxTasksPerJob / 4, bench.starts.size());
    CPPUNIT_ASSERT_EQUAL(4U, bench.starts[0].order.task.occurrence);
  }

  void BlocksOutliveTheirJob() {
    ShardBench bench;
    bench.max_undivided_bytes = 100;
    bench.TakeOver();
    RunTasks(bench, 200);
    bench.core->Cancel("j", bench.now);
    bench.Store();
    // The records of the job are deleted one by one, and the owner ends.
    bench.stored.erase("j/j");
    bench.stored.erase("p/j");
    bench.TakeOver();
    bench.Store();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountRecordsOfJobs(bench));
  }

  // Guards against losing an accepted job whose ID was used before, by a job
  // that is forgotten at the same moment.
  void JobIsDeletedWithAnEarlierOneOfItsId() {
    ShardBench bench;
    bench.Submit("j", MakeJob(1));
    bench.Store();
    bench.core->Cancel("j", bench.now);
    bench.Store();
    while (bench.core->StoredState("j").has_value()) {
      bench.AdvanceTime(milliseconds(50));
    }
    bench.Submit("j", MakeJob(1));
    bench.Store();
    bench.TakeOver();
    CPPUNIT_ASSERT(bench.core->StoredState("j").has_value());
  }

 private:
  // Runs all tasks of job "j", which makes checkpoints, on worker "w".
  static std::vector<SentStart> RunTasks(ShardBench& bench, std::size_t count) {
    bench.max_starts_in_flight = 2 * kMaxTasksPerJob;
    bench.TakeOver();
    bench.AddWorker("w", 100000);
    bench.AnswerHold("w");
    JobSpec spec = MakeJob(static_cast<std::uint32_t>(count));
    spec.steps[0].need = {.milli_cpus = 1, .memory = {1}};
    spec.steps[0].checkpoints = true;
    bench.Submit("j", spec);
    bench.Store();
    std::vector<SentStart> starts = bench.TakeStarts();
    CPPUNIT_ASSERT_EQUAL(count, starts.size());
    for (const SentStart& start : starts) bench.ConfirmStart(start);
    bench.now.steady += milliseconds(1);
    return starts;
  }

  static JobSpec MakePeriodicJob(const ShardBench& bench) {
    JobSpec spec = MakeJob(1);
    spec.occurrences = 1000;
    spec.first_due = bench.now.wall;
    spec.interval = seconds(10);
    return spec;
  }

  // Runs the first `count` occurrences of job "j" on worker "w".
  static void RunOccurrences(ShardBench& bench, std::uint32_t count) {
    bench.AddWorker("w");
    bench.AnswerHold("w");
    bench.Submit("j", MakePeriodicJob(bench));
    for (std::uint32_t number = 1; number <= count; ++number) {
      bench.Store();
      const SentStart start = bench.TakeStarts().at(0);
      bench.ConfirmStart(start);
      bench.AnswerHold("w", {}, {bench.EndedRow(number, start)});
      bench.Store();
      if (number == count) return;
      // To the next occurrence; with two of them the second start would get no
      // answer.
      constexpr milliseconds kTick{50};
      bench.now.steady += seconds(10) - kTick;
      bench.now.wall += seconds(10) - kTick;
      bench.AdvanceTime(kTick);
      bench.AnswerHold("w");
    }
  }

  static std::size_t CountRecordsOfJobs(const ShardBench& bench) {
    return static_cast<std::size_t>(std::count_if(
        bench.stored.begin(), bench.stored.end(),
        [](const auto& record) { return record.first != kInterferenceKey; }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RecordSizeTest, "record_size_test");

}  // namespace carobmast::jobs
