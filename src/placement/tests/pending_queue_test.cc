// Order of waiting tasks: starvation of low priorities or of types by others.
#include "placement/pending_queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace carobmast::placement {

class PendingQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PendingQueueTest);
  CPPUNIT_TEST(OrdersByPriorityThenShortBeforeLong);
  CPPUNIT_TEST(RefusedTypeBlocksNoOther);
  CPPUNIT_TEST(TypesAreOfferedRoundRobin);
  CPPUNIT_TEST(WaitingRaisesPriority);
  CPPUNIT_TEST(MeasuredRunTimesReplaceDeclaredOnes);
  CPPUNIT_TEST(CancelledTasksAreNotOffered);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OrdersByPriorityThenShortBeforeLong() {
    queue_.DeclareRunTime("long", std::chrono::hours(1));
    Push("long", 1);
    Push("short", 1);
    Push("late", 1, config::Priority::kLow);
    Push("now", 1, config::Priority::kUrgent);
    CPPUNIT_ASSERT_EQUAL(std::string("now-1 short-1 long-1 late-1 "), Offer());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue_.size());
  }

  void RefusedTypeBlocksNoOther() {
    for (int i = 0; i < 3; ++i) Push("a", i);
    for (int i = 0; i < 3; ++i) Push("b", i);
    CPPUNIT_ASSERT_EQUAL(std::string("b-0 b-1 b-2 "), Offer("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue_.size());
  }

  void TypesAreOfferedRoundRobin() {
    for (int i = 0; i < 3; ++i) Push("a", i);
    for (int i = 0; i < 2; ++i) Push("b", i);
    CPPUNIT_ASSERT_EQUAL(std::string("a-0 b-0 a-1 b-1 a-2 "), Offer());
  }

  void WaitingRaisesPriority() {
    Push("low", 1, config::Priority::kLow);
    now_ += std::chrono::minutes(25);
    Push("normal", 1);
    CPPUNIT_ASSERT_EQUAL(std::string("low-1 normal-1 "), Offer());
  }

  void MeasuredRunTimesReplaceDeclaredOnes() {
    queue_.DeclareRunTime("a", std::chrono::hours(1));
    queue_.OnRunTime("a", std::chrono::seconds(20), true);
    CPPUNIT_ASSERT(!queue_.IsLong("a"));
    queue_.DeclareRunTime("a", std::chrono::hours(1));
    CPPUNIT_ASSERT(!queue_.IsLong("a"));
    // A straggler raises the estimate before it ends.
    queue_.OnRunTime("a", std::chrono::minutes(6), false);
    CPPUNIT_ASSERT(queue_.IsLong("a"));
  }

  void CancelledTasksAreNotOffered() {
    Push("a", 1);
    Push("a", 2);
    CPPUNIT_ASSERT(queue_.Cancel("a", "a-1"));
    CPPUNIT_ASSERT(!queue_.Cancel("a", "a-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("a-2 "), Offer());
  }

 private:
  void Push(const std::string& type, int i,
            config::Priority priority = config::Priority::kNormal) {
    queue_.Push({.id = {type + "-" + std::to_string(i), 1},
                 .type = type,
                 .priority = priority},
                now_);
  }

  // Starts all tasks except those of the type `refused`; returns their names in
  // order.
  std::string Offer(const std::string& refused = "") {
    std::string started;
    queue_.Offer(100, now_, [&](const TaskRequest& request) {
      if (request.type == refused) return false;
      started += request.id.task + " ";
      return true;
    });
    return started;
  }

  PendingQueue queue_{PendingQueueOptions{}};
  MonotonicTime now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PendingQueueTest, "pending_queue_test");

}  // namespace carobmast::placement
