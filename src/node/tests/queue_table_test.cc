// The queue of a request by host and longest prefix.
#include "node/queue_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace carobmast::node {

class QueueTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueueTableTest);
  CPPUNIT_TEST(LongestPrefixOfTheHostWins);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LongestPrefixOfTheHostWins() {
    const QueueTable table({{.name = "short", .host = "h", .prefix = "/a/"},
                            {.name = "long", .host = "h", .prefix = "/a/b/"},
                            {.name = "other", .host = "i", .prefix = "/a/"}});
    CPPUNIT_ASSERT_EQUAL(std::string("long"),
                         table.Find("h:80", "/a/b/x")->queue);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), table.Find("h", "/a/b/x")->rest);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), table.Find("h", "/a/c")->queue);
    CPPUNIT_ASSERT_EQUAL(std::string("other"),
                         table.Find("i", "/a/b/x")->queue);
    CPPUNIT_ASSERT(!table.Find("j", "/a/").has_value());
    CPPUNIT_ASSERT(!table.Find("h", "/b/").has_value());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(QueueTableTest, "queue_table_test");

}  // namespace carobmast::node
