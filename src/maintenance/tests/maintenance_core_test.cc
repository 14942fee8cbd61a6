// Waves of maintenance must not take down more VMs than allowed, a VM whose
// worker still has tasks, or a VM on outdated information, also after a change
// of the owner.
#include "maintenance/maintenance_core.h"

#include <cppunit/extensions/HelperMacros.h>

namespace carobmast::maintenance {
namespace {

struct Fixture {
  explicit Fixture(std::map<std::uint64_t, WaveProgress> restored = {},
                   Duration former_orders = Duration::zero())
      : core({.list_vms = [this] { ++list_requests; },
              .maintain = [this](const std::string& vm,
                                 std::uint64_t) { maintained.push_back(vm); },
              .cordon =
                  [this](const std::set<std::string>& workers) {
                    cordoned = workers;
                  },
              .is_drained =
                  [this](const std::string& worker) {
                    return !busy.contains(worker);
                  },
              .store =
                  [this](std::uint64_t, const WaveProgress& stored) {
                    progress = stored;
                    ++stores;
                  },
              .report_wave =
                  [this](std::uint64_t, bool done) {
                    completed = done;
                    reports.push_back(done);
                  }},
             {.progress = std::move(restored),
              .orders_until = now + former_orders}) {}

  void DeliverList(const std::string& a, const std::string& b) {
    core.OnVmList({.ok = true,
                   .vms = {{.name = "a", .up = true, .worker = a},
                           {.name = "b", .up = true, .worker = b}}});
  }
  // Starts a wave and delivers the first VM list.
  void BeginWave(const std::vector<std::string>& vms) {
    core.SetWave({.number = 1, .vms = vms});
    Tick();
    DeliverList("wa", "wb");
    Tick();
  }
  void StoreAndTick() {
    core.OnStored(stores);
    Tick();
  }
  void Tick() {
    now += std::chrono::seconds(1);
    core.Tick(now);
  }

  MonotonicTime now{std::chrono::hours(1)};
  int list_requests = 0;
  std::vector<std::string> maintained;
  std::set<std::string> cordoned;
  std::set<std::string> busy;
  WaveProgress progress;
  std::uint64_t stores = 0;
  bool completed = false;
  std::vector<bool> reports;
  MaintenanceCore core;
};

constexpr contracts::MaintainOutcome kBegun =
    contracts::MaintainOutcome::kBegun;

}  // namespace

class MaintenanceCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MaintenanceCoreTest);
  CPPUNIT_TEST(AtMostMaxParallelVmsAreDown);
  CPPUNIT_TEST(ListFromBeforeTheOrderEndsTheMaintenance);
  CPPUNIT_TEST(WorkerIsDrainedBeforeMaintenance);
  CPPUNIT_TEST(OrderWaitsForStoredIntent);
  CPPUNIT_TEST(OrderGoesOutOnAnEarlierAppend);
  CPPUNIT_TEST(NewOwnerRepeatsUnconfirmedOrder);
  CPPUNIT_TEST(NewOwnerReportsACompletedWaveAsRunning);
  CPPUNIT_TEST(RepeatedOrderEndsTasksOfALaterWorker);
  CPPUNIT_TEST(NewOwnerStartsTasksBeforeItKnowsTheVms);
  CPPUNIT_TEST(OrderGoesOutOnAListFromBeforeAnOutage);
  CPPUNIT_TEST(OrderOfAnotherWaveEndsTasksOfTheNextWorker);
  CPPUNIT_TEST(OrderIsRepeatedUntilTheNextWorkerIsUp);
  CPPUNIT_TEST(UnansweredOrderIsRepeatedOnAListFromBefore);
  CPPUNIT_TEST(VmThatWasMaintainedBeforeStaysOutOfUse);
  CPPUNIT_TEST(StaleListTakesNoVmDown);
  CPPUNIT_TEST(ListFromBeforeTheWaveCompletesIt);
  CPPUNIT_TEST(VmThatIsDownForAnotherWaveDoesNotCount);
  CPPUNIT_TEST(NewOwnerOrdersWithinTheLeaseOfTheOwnerBefore);
  CPPUNIT_TEST(NewOwnerOrdersWithinTheLeaseForALaterWave);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against more VMs of a wave down than allowed, as one of them is down
  // for an earlier wave that names it too.
  void VmThatIsDownForAnotherWaveDoesNotCount() {
    Fixture fixture;
    fixture.BeginWave({"a"});
    fixture.StoreAndTick();
    CPPUNIT_ASSERT(fixture.maintained == std::vector<std::string>{"a"});
    fixture.core.OnMaintainOutcome("a", 1, kBegun, fixture.now);
    fixture.core.SetWave({.number = 2, .vms = {"a", "b"}});
    for (int i = 0; i < 3; ++i) {
      fixture.core.OnVmList(
          {.ok = true,
           .vms = {{.name = "a"}, {.name = "b", .up = true, .worker = "wb"}}});
      fixture.StoreAndTick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    // "a" is up again, and may now go down for the second wave.
    for (int i = 0; i < 3; ++i) {
      fixture.DeliverList("wa2", "wb");
      fixture.StoreAndTick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.maintained.size());
  }

  // Guards against orders of two owners, who are both in contact, for one VM
  // within the time that one of them may count on.
  void NewOwnerOrdersWithinTheLeaseOfTheOwnerBefore() {
    Fixture fixture({{1, {{"a", {.worker = "wa"}}}}}, std::chrono::seconds(4));
    fixture.core.SetWave({.number = 1, .vms = {"a", "b"}, .max_parallel = 2});
    fixture.Tick();
    fixture.DeliverList("wa", "wb");
    fixture.Tick();
    fixture.StoreAndTick();
    // The owner before can't have ordered "b".
    CPPUNIT_ASSERT(fixture.maintained == std::vector<std::string>{"b"});
    // The owner before is heard to stop only now.
    fixture.core.ExtendFormerOrders(fixture.now + std::chrono::seconds(4));
    for (int i = 0; i < 3; ++i) {
      fixture.DeliverList("wa", "wb2");
      fixture.Tick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    fixture.DeliverList("wa", "wb2");
    fixture.Tick();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), fixture.maintained.back());
  }

  // Guards against the same for another wave than that of the owner before.
  void NewOwnerOrdersWithinTheLeaseForALaterWave() {
    Fixture fixture({{1, {{"a", {.worker = "wa", .done = true}}}}},
                    std::chrono::seconds(4));
    fixture.core.SetWave({.number = 2, .vms = {"a"}});
    fixture.Tick();
    for (int i = 0; i < 2; ++i) {
      fixture.DeliverList("wa", "wb");
      fixture.StoreAndTick();
    }
    CPPUNIT_ASSERT(fixture.maintained.empty());
    for (int i = 0; i < 2; ++i) {
      fixture.DeliverList("wa", "wb");
      fixture.StoreAndTick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
  }

  // VM "c" is newer than the only list, which was read for an earlier wave.
  void ListFromBeforeTheWaveCompletesIt() {
    Fixture fixture;
    fixture.BeginWave({"z"});
    fixture.StoreAndTick();
    CPPUNIT_ASSERT(fixture.completed);
    fixture.completed = false;
    fixture.now += std::chrono::minutes(10);
    fixture.core.SetWave({.number = 2, .vms = {"c"}});
    fixture.StoreAndTick();
    CPPUNIT_ASSERT(!fixture.completed);
  }

  void AtMostMaxParallelVmsAreDown() {
    Fixture fixture;
    fixture.BeginWave({"a", "b"});
    fixture.StoreAndTick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    fixture.core.OnMaintainOutcome("a", 1, kBegun, fixture.now);
    fixture.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    CPPUNIT_ASSERT(!fixture.completed);
    fixture.DeliverList("wa2", "wb");
    fixture.Tick();
    // That list arrived 3 s after its request, too old to take a VM down; this
    // one is in time.
    fixture.DeliverList("wa2", "wb");
    fixture.Tick();
    fixture.StoreAndTick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.maintained.size());
    fixture.core.OnMaintainOutcome("b", 1, kBegun, fixture.now);
    // The answer to a request from before the order.
    fixture.DeliverList("wa2", "wb2");
    fixture.Tick();
    CPPUNIT_ASSERT(!fixture.completed);
    fixture.DeliverList("wa2", "wb2");
    fixture.Tick();
    // A next owner would begin the wave again.
    CPPUNIT_ASSERT(!fixture.completed);
    fixture.StoreAndTick();
    CPPUNIT_ASSERT(fixture.completed);
  }

  // Guards against a second VM that is taken down beside the first: the worker
  // was replaced before the order, and the list from then names the new one.
  void ListFromBeforeTheOrderEndsTheMaintenance() {
    Fixture fixture;
    fixture.BeginWave({"a", "b"});
    fixture.StoreAndTick();
    fixture.core.OnMaintainOutcome("a", 1, kBegun, fixture.now);
    CPPUNIT_ASSERT_EQUAL(2, fixture.list_requests);
    fixture.DeliverList("wa2", "wb");
    fixture.Tick();
    fixture.StoreAndTick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    fixture.DeliverList("wa3", "wb");
    fixture.Tick();
    fixture.DeliverList("wa3", "wb");
    fixture.Tick();
    fixture.StoreAndTick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.maintained.size());
  }

  void WorkerIsDrainedBeforeMaintenance() {
    Fixture fixture;
    fixture.busy = {"wa"};
    fixture.BeginWave({"a"});
    CPPUNIT_ASSERT(fixture.cordoned.contains("wa"));
    CPPUNIT_ASSERT(fixture.progress.empty());
    fixture.busy.clear();
    fixture.Tick();
    CPPUNIT_ASSERT(!fixture.progress.empty());
  }

  void StaleListTakesNoVmDown() {
    Fixture fixture;
    fixture.busy = {"wa"};
    fixture.BeginWave({"a"});
    // The list fails for a while. Meanwhile another worker may have started on
    // the VM, which the old list doesn't name and which isn't drained.
    fixture.busy.clear();
    fixture.now += std::chrono::seconds(3);
    fixture.core.OnVmList({.ok = false});
    fixture.Tick();
    CPPUNIT_ASSERT(fixture.progress.empty());
    fixture.DeliverList("wa", "wb");
    fixture.Tick();
    CPPUNIT_ASSERT(!fixture.progress.empty());
  }

  void OrderWaitsForStoredIntent() {
    Fixture fixture;
    fixture.BeginWave({"a"});
    fixture.Tick();
    CPPUNIT_ASSERT(fixture.maintained.empty());
    // The first list is too old by now.
    fixture.DeliverList("wa", "wb");
    fixture.StoreAndTick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
  }

  // Guards against an order whose intent was added while the append of earlier
  // progress was on its way: a successor would not know of the order.
  void OrderGoesOutOnAnEarlierAppend() {
    Fixture fixture;
    fixture.BeginWave({"a"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.stores);
    fixture.core.OnStored(0);
    fixture.Tick();
    CPPUNIT_ASSERT(fixture.maintained.empty());
  }

  void NewOwnerReportsACompletedWaveAsRunning() {
    Fixture fixture({{1, {{"a", {.worker = "wa", .done = true}}}}});
    fixture.BeginWave({"a"});
    CPPUNIT_ASSERT(fixture.reports == std::vector<bool>{true});
    CPPUNIT_ASSERT_EQUAL(0, fixture.list_requests);
  }

  // The order of the earlier owner was never carried out, and its worker was
  // replaced.
  void RepeatedOrderEndsTasksOfALaterWorker() {
    Fixture fixture({{1, {{"a", {.worker = "w0"}}}}});
    fixture.busy = {"wa"};
    fixture.BeginWave({"a"});
    CPPUNIT_ASSERT(fixture.maintained.empty());
    CPPUNIT_ASSERT(fixture.cordoned.contains("wa"));
    fixture.busy.clear();
    fixture.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
  }

  void NewOwnerStartsTasksBeforeItKnowsTheVms() {
    Fixture fixture({{1, {{"a", {.worker = "wa"}}}}});
    fixture.core.SetWave({.number = 1, .vms = {"a", "b"}});
    CPPUNIT_ASSERT(fixture.cordoned == std::set<std::string>{"wa"});
  }

  void OrderGoesOutOnAListFromBeforeAnOutage() {
    Fixture fixture;
    fixture.BeginWave({"a"});
    fixture.now += std::chrono::seconds(3);
    fixture.StoreAndTick();
    CPPUNIT_ASSERT(fixture.maintained.empty());
    fixture.DeliverList("wa", "wb");
    fixture.Tick();
    fixture.DeliverList("wa", "wb");
    fixture.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
  }

  // Two waves have the VM. The order of the second one would reach a worker
  // that the last list doesn't name.
  void OrderOfAnotherWaveEndsTasksOfTheNextWorker() {
    Fixture fixture;
    fixture.core.SetWave({.number = 2, .vms = {"a"}});
    fixture.BeginWave({"a"});
    fixture.StoreAndTick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    fixture.core.OnMaintainOutcome("a", 1, kBegun, fixture.now);
    fixture.busy = {"wa2"};
    fixture.DeliverList("wa", "wb");
    fixture.Tick();
    fixture.DeliverList("wa2", "wb");
    fixture.StoreAndTick();
    fixture.DeliverList("wa2", "wb");
    fixture.StoreAndTick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    CPPUNIT_ASSERT(fixture.cordoned.contains("wa2"));
    fixture.busy.clear();
    for (int i = 0; i < 2; ++i) {
      fixture.DeliverList("wa2", "wb");
      fixture.StoreAndTick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.maintained.size());
  }

  // While a VM is down the service refuses orders for it. The one that it
  // accepts would end what the next worker has begun.
  void OrderIsRepeatedUntilTheNextWorkerIsUp() {
    Fixture fixture({{1, {{"a", {.worker = "wa"}}}}});
    fixture.core.SetWave({.number = 1, .vms = {"a"}});
    fixture.Tick();
    fixture.core.OnVmList({.ok = true, .vms = {{.name = "a"}}});
    fixture.Tick();
    CPPUNIT_ASSERT(fixture.maintained.empty());
    fixture.DeliverList("wa2", "wb");
    fixture.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
  }

  void UnansweredOrderIsRepeatedOnAListFromBefore() {
    Fixture fixture;
    fixture.BeginWave({"a"});
    fixture.DeliverList("wa", "wb");
    fixture.StoreAndTick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    fixture.core.OnMaintainOutcome("a", 1, contracts::MaintainOutcome::kUnknown,
                                   fixture.now);
    // Requested before the outcome.
    fixture.DeliverList("wa", "wb");
    fixture.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    fixture.DeliverList("wa2", "wb");
    fixture.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.maintained.size());
  }

  // The service confirms an order that it has carried out before, and the
  // worker stays. An owner gives one if the progress can't be read.
  void VmThatWasMaintainedBeforeStaysOutOfUse() {
    Fixture fixture;
    fixture.BeginWave({"a"});
    fixture.StoreAndTick();
    fixture.core.OnMaintainOutcome("a", 1, kBegun, fixture.now);
    for (int i = 0; i < 2; ++i) {
      fixture.DeliverList("wa", "wb");
      fixture.Tick();
    }
    CPPUNIT_ASSERT(fixture.cordoned.contains("wa"));
    for (int i = 0; i < 3; ++i) {
      fixture.DeliverList("wa", "wb");
      fixture.StoreAndTick();
    }
    CPPUNIT_ASSERT(fixture.completed);
    CPPUNIT_ASSERT(fixture.cordoned.empty());
  }

  void NewOwnerRepeatsUnconfirmedOrder() {
    Fixture fixture({{1, {{"a", {.worker = "wa"}}}}});
    fixture.BeginWave({"a", "b"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.maintained.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), fixture.maintained[0]);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MaintenanceCoreTest,
                                      "maintenance_core_test");

}  // namespace carobmast::maintenance
