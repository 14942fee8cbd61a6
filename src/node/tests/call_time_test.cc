// Calls that arrive after their caller has given up.
#include "node/call_time.h"

#include <cppunit/extensions/HelperMacros.h>

namespace carobmast::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFallback{2500};
const MonotonicTime kOwnerNow{std::chrono::hours(1)};

jobs::proto::JobCall MakeCall(std::optional<MonotonicTime> owner_now) {
  jobs::proto::JobCall call;
  SetTimeLeft(call, milliseconds(1000), owner_now);
  return call;
}

}  // namespace

class CallTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallTimeTest);
  CPPUNIT_TEST(LateCallHasItsWholeTime);
  CPPUNIT_TEST(CallWithAnUnknownClockHasNoTime);
  CPPUNIT_TEST(CallOnTheClockOfAFormerLifeLasts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LateCallHasItsWholeTime() {
    const jobs::proto::JobCall call = MakeCall(kOwnerNow);
    CPPUNIT_ASSERT(milliseconds(700) ==
                   TimeLeft(call, kOwnerNow + milliseconds(300), kFallback));
    CPPUNIT_ASSERT(milliseconds(-500) ==
                   TimeLeft(call, kOwnerNow + milliseconds(1500), kFallback));
  }

  void CallWithAnUnknownClockHasNoTime() {
    CPPUNIT_ASSERT(milliseconds(1000) ==
                   TimeLeft(MakeCall(std::nullopt), kOwnerNow, kFallback));
    // A call of an earlier version.
    CPPUNIT_ASSERT(kFallback == TimeLeft({}, kOwnerNow, kFallback));
  }

  void CallOnTheClockOfAFormerLifeLasts() {
    CPPUNIT_ASSERT(milliseconds(1000) ==
                   TimeLeft(MakeCall(kOwnerNow),
                            kOwnerNow - std::chrono::minutes(10), kFallback));
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CallTimeTest, "call_time_test");

}  // namespace carobmast::node
