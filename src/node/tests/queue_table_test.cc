// Requests go to the queue of their host with the longest matching prefix.
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
                         Find(table, "h:80", "/a/b/x").queue);
    CPPUNIT_ASSERT_EQUAL(std::string("x"),
                         Find(table, "h", "/a/b/x").remaining_path);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), Find(table, "h", "/a/c").queue);
    CPPUNIT_ASSERT_EQUAL(std::string("other"),
                         Find(table, "i", "/a/b/x").queue);
    CPPUNIT_ASSERT(!table.Find("j", "/a/").has_value());
    CPPUNIT_ASSERT(!table.Find("h", "/b/").has_value());
  }

 private:
  static QueueMatch Find(const QueueTable& table, const std::string& host,
                         const std::string& path) {
    return table.Find(host, path).value_or(QueueMatch{});
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(QueueTableTest, "queue_table_test");

}  // namespace carobmast::node
