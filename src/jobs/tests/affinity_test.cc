// ShardCore: tasks wait for workers in the rack of their data, and not for too
// long.
#include <cppunit/extensions/HelperMacros.h>

#include "shard_bench.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;

class AffinityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AffinityTest);
  CPPUNIT_TEST(TaskLeavesTheRackOfItsDataAtOnce);
  CPPUNIT_TEST(TaskWaitsForARackWithoutWorkers);
  CPPUNIT_TEST(TaskWaitsForARackThatIsLostMeanwhile);
  CPPUNIT_TEST(TaskWaitsForABusyRackWhileThePoolIsFree);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    bench_ = std::make_unique<ShardBench>();
    bench_->far_factor = 3;
    bench_->TakeOver();
    AddWorker("far", "r2");
  }

  // Guards against a task that takes three times as long for the sake of a
  // short wait.
  void TaskLeavesTheRackOfItsDataAtOnce() {
    AddBusyRack();
    Submit();
    Pass(milliseconds(1000));
    CPPUNIT_ASSERT(bench_->starts.empty());
    bench_->AnswerHold("near", {}, {bench_->EndedRow(1, busy_)});
    bench_->Store();
    CPPUNIT_ASSERT_EQUAL(std::string("near"), bench_->starts.at(0).worker);
  }

  // Guards against a wait, in proportion to the estimate, for workers that are
  // lost for good.
  void TaskWaitsForARackWithoutWorkers() {
    Submit();
    CPPUNIT_ASSERT_EQUAL(std::string("far"), bench_->starts.at(0).worker);
  }

  void TaskWaitsForARackThatIsLostMeanwhile() {
    AddBusyRack();
    Submit();
    CPPUNIT_ASSERT(bench_->starts.empty());
    bench_->Drain("near");
    Pass(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("far"), bench_->starts.at(0).worker);
  }

  // Guards against a job without a run for longer than operators accept while
  // most of the pool is free.
  void TaskWaitsForABusyRackWhileThePoolIsFree() {
    AddBusyRack();
    Submit();
    Pass(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::string("far"), bench_->starts.at(0).worker);
  }

 private:
  void AddWorker(const std::string& worker, const std::string& rack) {
    bench_->AddWorker(worker, 4000, rack);
    bench_->AnswerHold(worker);
  }

  // Adds worker "near" in rack "r1", which is full.
  void AddBusyRack() {
    AddWorker("near", "r1");
    JobSpec spec = MakeJob(1);
    spec.steps[0].need.milli_cpus = 4000;
    spec.steps[0].required_label = "r1";
    bench_->Submit("busy", spec);
    bench_->Store();
    busy_ = bench_->TakeStarts().at(0);
    bench_->ConfirmStart(busy_);
    bench_->now.steady += milliseconds(1);
  }

  void Submit() {
    JobSpec spec = MakeJob(1);
    spec.steps[0].preferred_rack = "r1";
    spec.steps[0].estimate = milliseconds(10000);
    bench_->Submit("j", spec);
    bench_->Store();
  }

  void Pass(milliseconds time) {
    constexpr milliseconds kStep{100};
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      bench_->AdvanceTime(kStep);
      if (busy_.worker == "near") {
        contracts::RunningTask row = bench_->RunningRow(busy_);
        row.percent = ++percent_ % 100;
        bench_->AnswerHold("near", {row});
      }
      if (bench_->starts.empty()) bench_->AnswerHold("far");
      bench_->Store();
    }
  }

  std::unique_ptr<ShardBench> bench_;
  SentStart busy_;
  std::uint32_t percent_ = 0;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(AffinityTest, "affinity_test");

}  // namespace carobmast::jobs
