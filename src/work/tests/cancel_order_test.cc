// Cancel records that precede the submission of their job in the stream.
#include <cppunit/extensions/HelperMacros.h>

#include "work/work_fold.h"
#include "work/work_record.h"

namespace carobmast::work {

class CancelOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CancelOrderTest);
  CPPUNIT_TEST(SubmissionRunsThatWasCancelledBeforeItArrived);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An append without an answer may be carried out after that of the cancel.
  void SubmissionRunsThatWasCancelledBeforeItArrived() {
    contracts::ReadAnswer log{.first_kept = 1};
    for (const WorkRecord& record :
         {WorkRecord(CancelRecord{.submission = "sub1"}),
          WorkRecord(SubmitRecord{.submission = "sub1",
          .spec = {.name = "job", .tasks = 1}})}) {
      log.records.push_back({.offset = log.records.size() + 1,
                             .id = std::to_string(log.records.size() + 1),
                             .data = EncodeRecord(record)});
    }
    log.next = log.records.size() + 1;
    WorkFold fold;
    fold.Apply(log);
    const FoldedTask* task = fold.FindTask("sub1/0");
    CPPUNIT_ASSERT(task == nullptr || task->stage == TaskStage::kCancelled);
  }
};
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CancelOrderTest, "cancel_order_test");

}  // namespace carobmast::work
