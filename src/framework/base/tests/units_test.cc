#include "framework/base/units.h"

#include <cppunit/extensions/HelperMacros.h>

namespace carobmast {

class UnitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnitsTest);
  CPPUNIT_TEST(ParsesDurations);
  CPPUNIT_TEST(RefusesMalformedQuantities);
  CPPUNIT_TEST(FormatsInLargestUnit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesDurations() {
    CPPUNIT_ASSERT(ParseDuration("250ms") == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(ParseDuration("1.5s") == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(ParseByteCount("60GB") ==
                   ByteCount{.bytes = 60'000'000'000});
    CPPUNIT_ASSERT(ParseByteCount("64KiB") == ByteCount{.bytes = 65'536});
  }

  void RefusesMalformedQuantities() {
    for (const char* text :
         {"", "5", "ms", "-1s", "1.2.3s", "1 s", "99999999999d"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseDuration(text).has_value());
    }
    CPPUNIT_ASSERT(!ParseByteCount("5XB").has_value());
  }

  void FormatsInLargestUnit() {
    CPPUNIT_ASSERT_EQUAL(std::string("250ms"),
                         FormatDuration(std::chrono::milliseconds(250)));
    CPPUNIT_ASSERT_EQUAL(std::string("2h"),
                         FormatDuration(std::chrono::hours(2)));
    CPPUNIT_ASSERT_EQUAL(std::string("60GB"),
                         FormatByteCount(ByteCount{.bytes = 60'000'000'000}));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UnitsTest, "units_test");

}  // namespace carobmast
