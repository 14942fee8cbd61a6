// Load patterns in which there is not room for all work.
#include <cppunit/extensions/HelperMacros.h>

#include "jobs/admission.h"
#include "load_replay.h"

namespace carobmast::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kWorkers = 10;
constexpr std::uint64_t kWorkerMilliCpus = 4000;
// The objective of a job of MakeJob in the queue of ShardBench.
constexpr milliseconds kObjective{500};
constexpr milliseconds kArrivalInterval{500};
constexpr seconds kOverloadTime{30};
// Standing jobs that fill the pool, four tasks each.
constexpr int kStandingJobs = 10;

// From `first` on, `count` short jobs arrive one by one.
void AddShortJobs(std::vector<PatternEvent>& events, milliseconds first,
                  int count) {
  events.reserve(events.size() + static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    const milliseconds at = first + i * kArrivalInterval;
    events.push_back({at, [at](LoadReplay& replay) {
                        replay.Submit("f" + std::to_string(at.count()),
                                      MakeJob(1), kObjective);
                      }});
  }
}

// Standing tasks hold the whole pool while short jobs arrive for 10 s. Then one
// standing job is cancelled, and short jobs arrive for 10 s more.
std::vector<PatternEvent> HeldPool() {
  std::vector<PatternEvent> events;
  events.reserve(kStandingJobs);
  for (int i = 0; i < kStandingJobs; ++i) {
    events.push_back({milliseconds(0), [i](LoadReplay& replay) {
                        replay.Submit("s" + std::to_string(i),
                                      MakeStandingJob(4), seconds(60));
                      }});
  }
  AddShortJobs(events, seconds(2), 20);
  events.push_back(
      {seconds(12), [](LoadReplay& replay) { replay.Cancel("s0"); }});
  AddShortJobs(events, seconds(13), 20);
  return events;
}

// Jobs of 8 tasks arrive at twice the rate that the pool can do.
std::vector<PatternEvent> LongOverload() {
  constexpr milliseconds kInterval{50};
  constexpr int kJobs = kOverloadTime / kInterval;
  std::vector<PatternEvent> events;
  events.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) {
    events.push_back({i * kInterval, [i](LoadReplay& replay) {
                        replay.Submit("f" + std::to_string(i), MakeJob(8),
                                      kObjective);
                      }});
  }
  return events;
}

// A burst that takes the pool four times as long as its arrival.
std::vector<PatternEvent> Burst() {
  constexpr int kJobs = 20;
  std::vector<PatternEvent> events;
  events.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) {
    events.push_back({i * milliseconds(100), [i](LoadReplay& replay) {
                        replay.Submit("f" + std::to_string(i), MakeJob(32),
                                      kObjective);
                      }});
  }
  return events;
}

}  // namespace

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(JobsWaitForAPoolThatHasNoRoom);
  CPPUNIT_TEST(BurstIsTurnedAwayAlthoughItCanBeServed);
  CPPUNIT_TEST(ExcessOfALongOverloadIsAccepted);
  CPPUNIT_TEST(StandingJobIsTurnedAway);
  CPPUNIT_TEST(RejectedCallersReturnAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against accepting jobs that are worthless before they can start.
  void JobsWaitForAPoolThatHasNoRoom() {
    LoadReplay replay(kWorkers, kWorkerMilliCpus);
    replay.Run(HeldPool(), seconds(12));
    const ServiceCounts held = replay.Counts('f');
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, held.submitted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, held.completed);
    // Jobs that came while the wait was still bearable are accepted.
    const std::size_t bearable = static_cast<std::size_t>(
        kUsefulObjectives * kObjective / kArrivalInterval);
    CPPUNIT_ASSERT(held.rejected >= held.submitted - bearable - 1);
    CPPUNIT_ASSERT(held.rejected < held.submitted);
    replay.Run(HeldPoolAfterCancel(), seconds(14));
    const ServiceCounts& all = replay.Counts('f');
    CPPUNIT_ASSERT_EQUAL(held.rejected, all.rejected);
    CPPUNIT_ASSERT_EQUAL(all.submitted - all.rejected, all.completed);
  }

  // What can be served late must not be turned away.
  void BurstIsTurnedAwayAlthoughItCanBeServed() {
    LoadReplay replay(kWorkers, kWorkerMilliCpus);
    replay.Run(Burst(), seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replay.Counts('f').rejected);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, replay.Counts('f').completed);
  }

  // Guards against accepting twice as much as can be done for as long as it
  // comes, and keeping half of the callers waiting in vain.
  void ExcessOfALongOverloadIsAccepted() {
    LoadReplay replay(kWorkers, kWorkerMilliCpus);
    replay.Run(LongOverload(), kOverloadTime);
    const ServiceCounts& counts = replay.Counts('f');
    const std::size_t accepted = counts.submitted - counts.rejected;
    // Of each two jobs the pool can do one.
    CPPUNIT_ASSERT(counts.completed * 10 >= counts.submitted / 2 * 9);
    CPPUNIT_ASSERT(accepted - counts.completed < counts.submitted / 4);
    // Once the overload is over, all are taken again.
    const std::size_t rejected = counts.rejected;
    std::vector<PatternEvent> later;
    AddShortJobs(later, seconds(20), 20);
    replay.Run(later, seconds(32));
    CPPUNIT_ASSERT_EQUAL(rejected, replay.Counts('f').rejected);
  }

  // A standing job is of use whenever it starts.
  void StandingJobIsTurnedAway() {
    LoadReplay replay(kWorkers, kWorkerMilliCpus);
    std::vector<PatternEvent> events = HeldPool();
    events.push_back({seconds(23), [](LoadReplay& held) {
                        held.Submit("s-late", MakeStandingJob(4), seconds(60));
                      }});
    replay.Run(events, seconds(24));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replay.Counts('s').rejected);
  }

  void RejectedCallersReturnAtOnce() {
    QueueAdmission admission;
    std::set<milliseconds> delays;
    for (int i = 0; i < 20; ++i) {
      const std::optional<milliseconds> delay =
          admission.RetryAfterIfRejected({.id = "job" + std::to_string(i),
                                          .objective = kObjective,
                                          .without_room = seconds(3)},
                                         MonotonicTime(seconds(1)));
      CPPUNIT_ASSERT(delay >= seconds(3) && delay < seconds(4));
      delays.insert(delay.value_or(seconds(0)));
    }
    CPPUNIT_ASSERT(delays.size() > 10);
  }

 private:
  // The second part of HeldPool.
  static std::vector<PatternEvent> HeldPoolAfterCancel() {
    std::vector<PatternEvent> events = HeldPool();
    std::erase_if(events, [](const PatternEvent& event) {
      return event.at < seconds(12);
    });
    for (PatternEvent& event : events) event.at -= seconds(12);
    return events;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OverloadTest, "overload_test");

}  // namespace carobmast::jobs
