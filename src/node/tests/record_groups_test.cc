// Batches larger than one append are divided, in their order.
#include "node/record_groups.h"

#include <cppunit/extensions/HelperMacros.h>

namespace carobmast::node {

class RecordGroupsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordGroupsTest);
  CPPUNIT_TEST(BatchExceedsOneAppend);
  CPPUNIT_TEST(LargeRecordSharesItsAppend);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an append that times out on a slow link, is repeated for
  // ever, and stops the shard.
  void BatchExceedsOneAppend() {
    const std::vector<std::vector<contracts::KeyedRecord>> groups =
        GroupRecords({Record("a", 6), Record("b", 3), Record("c", 3)}, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, groups.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, groups[0].size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), groups[1][0].key);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), groups[1][1].key);
    CPPUNIT_ASSERT(GroupRecords({}, 10).empty());
  }

  void LargeRecordSharesItsAppend() {
    const std::vector<std::vector<contracts::KeyedRecord>> groups =
        GroupRecords({Record("a", 1), Record("b", 50), {.key = "c"}}, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, groups.size());
    CPPUNIT_ASSERT(!groups[2][0].value.has_value());
  }

 private:
  static contracts::KeyedRecord Record(const std::string& key,
                                       std::size_t value_size) {
    return {.key = key, .value = std::string(value_size, 'x')};
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RecordGroupsTest, "record_groups_test");

}  // namespace carobmast::node
