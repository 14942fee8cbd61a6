// Waves of maintenance: how many VMs are down, and when a wave is completed.
#include "maintenance/maintenance_core.h"

#include <cppunit/extensions/HelperMacros.h>

namespace carobmast::maintenance {
namespace {

struct Bench {
  Bench()
      : core({.list_vms = [this] { ++lists; },
              .maintain = [this](const std::string& vm,
                                 std::uint64_t) { ordered.push_back(vm); },
              .cordon =
                  [this](const std::set<std::string>& workers) {
                    cordoned = workers;
                  },
              .is_drained =
                  [this](const std::string& worker) {
                    return !busy.contains(worker);
                  },
              .store = [this](std::uint64_t,
                              const std::string& text) { progress = text; },
              .report_wave = [this](std::uint64_t,
                                    bool done) { completed = done; }}) {}

  void List(const std::string& a, const std::string& b) {
    core.OnVmList({.ok = true,
                   .vms = {{.name = "a", .up = true, .worker = a},
                           {.name = "b", .up = true, .worker = b}}});
  }
  // Until the VMs' first list has come.
  void BeginWave(const std::vector<std::string>& vms) {
    core.SetWave({.number = 1, .vms = vms});
    Tick();
    List("wa", "wb");
    Tick();
  }
  void Tick() {
    now += std::chrono::seconds(1);
    core.Tick(now);
  }

  MonotonicTime now{std::chrono::hours(1)};
  int lists = 0;
  std::vector<std::string> ordered;
  std::set<std::string> cordoned;
  std::set<std::string> busy;
  std::string progress;
  bool completed = false;
  MaintenanceCore core;
};

constexpr contracts::MaintainOutcome kBegun =
    contracts::MaintainOutcome::kBegun;

}  // namespace

class MaintenanceCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MaintenanceCoreTest);
  CPPUNIT_TEST(NoMoreThanAllowedAreDown);
  CPPUNIT_TEST(WorkerIsEmptiedBefore);
  CPPUNIT_TEST(OrderWaitsForTheStoredIntent);
  CPPUNIT_TEST(SuccessorRepeatsWhatIsInDoubt);
  CPPUNIT_TEST(VmIsTakenDownOnAnOldList);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoMoreThanAllowedAreDown() {
    Bench bench;
    bench.BeginWave({"a", "b"});
    bench.core.OnStored();
    bench.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.ordered.size());
    bench.core.OnMaintainOutcome("a", 1, kBegun);
    bench.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.ordered.size());
    CPPUNIT_ASSERT(!bench.completed);
    bench.List("wa2", "wb");
    bench.Tick();
    // That answer came 3 s after it was asked for; this one is in time.
    bench.List("wa2", "wb");
    bench.Tick();
    bench.core.OnStored();
    bench.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.ordered.size());
    bench.core.OnMaintainOutcome("b", 1, kBegun);
    bench.List("wa2", "wb2");
    bench.Tick();
    CPPUNIT_ASSERT(bench.completed);
  }

  void WorkerIsEmptiedBefore() {
    Bench bench;
    bench.busy = {"wa"};
    bench.BeginWave({"a"});
    CPPUNIT_ASSERT(bench.cordoned.contains("wa"));
    CPPUNIT_ASSERT(bench.progress.empty());
    bench.busy.clear();
    bench.Tick();
    CPPUNIT_ASSERT(!bench.progress.empty());
  }

  void VmIsTakenDownOnAnOldList() {
    Bench bench;
    bench.busy = {"wa"};
    bench.BeginWave({"a"});
    // The list fails for a while; meanwhile another worker may be at work on
    // the VM, which no entry names and nobody empties.
    bench.busy.clear();
    bench.now += std::chrono::seconds(3);
    bench.core.OnVmList({.ok = false});
    bench.Tick();
    CPPUNIT_ASSERT(bench.progress.empty());
    bench.List("wa", "wb");
    bench.Tick();
    CPPUNIT_ASSERT(!bench.progress.empty());
  }

  void OrderWaitsForTheStoredIntent() {
    Bench bench;
    bench.BeginWave({"a"});
    bench.Tick();
    CPPUNIT_ASSERT(bench.ordered.empty());
    bench.core.OnStored();
    bench.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.ordered.size());
  }

  void SuccessorRepeatsWhatIsInDoubt() {
    Bench bench;
    bench.core.Restore(1, "a wa 0\n");
    bench.BeginWave({"a", "b"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.ordered.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), bench.ordered[0]);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MaintenanceCoreTest,
                                      "maintenance_core_test");

}  // namespace carobmast::maintenance
