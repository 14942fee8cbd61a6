// A sequence number that stands for two different contents loses the second
// one: the store takes it for a repetition of the first and answers likewise.
#include "node/sequenced_writer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace carobmast::node {

using contracts::KeyedAppendOutcome;

class SequencedWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SequencedWriterTest);
  CPPUNIT_TEST(UnansweredAppendKeepsItsNumber);
  CPPUNIT_TEST(StoredAppendIsRepeatedForEver);
  CPPUNIT_TEST(UnansweredNumberIsGivenToOtherRecords);
  CPPUNIT_TEST(FencedWriterGoesOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnansweredAppendKeepsItsNumber() {
    SequencedWriter writer("w", 7);
    CheckResult(writer, {.outcome = KeyedAppendOutcome::kUnknown},
                AppendResult::kRetryNow, 0);
    CheckResult(writer, {.outcome = KeyedAppendOutcome::kNotStored},
                AppendResult::kRetryAfterPause, 0);
    CheckResult(writer, {.outcome = KeyedAppendOutcome::kStored},
                AppendResult::kStored, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, writer.Next().epoch);
  }

  void StoredAppendIsRepeatedForEver() {
    SequencedWriter writer("w", 7);
    writer.OnAnswer({.outcome = KeyedAppendOutcome::kUnknown});
    CheckResult(
        writer,
        {.outcome = KeyedAppendOutcome::kOutOfSequence, .expected_sequence = 1},
        AppendResult::kStored, 1);
    // That answer says nothing of the next append.
    CheckResult(
        writer,
        {.outcome = KeyedAppendOutcome::kOutOfSequence, .expected_sequence = 2},
        AppendResult::kSuperseded, 1);
  }

  // A store that expects an earlier number has not stored what this writer
  // takes for stored.
  void UnansweredNumberIsGivenToOtherRecords() {
    SequencedWriter writer("w", 7);
    writer.OnAnswer({.outcome = KeyedAppendOutcome::kStored});
    writer.OnAnswer({.outcome = KeyedAppendOutcome::kUnknown});
    CheckResult(
        writer,
        {.outcome = KeyedAppendOutcome::kOutOfSequence, .expected_sequence = 0},
        AppendResult::kSuperseded, 1);
  }

  void FencedWriterGoesOn() {
    SequencedWriter writer("w", 7);
    CheckResult(writer, {.outcome = KeyedAppendOutcome::kFenced},
                AppendResult::kSuperseded, 0);
  }

 private:
  static void CheckResult(SequencedWriter& writer,
                          const contracts::KeyedAppendAnswer& answer,
                          AppendResult result, std::uint64_t next) {
    CPPUNIT_ASSERT(writer.OnAnswer(answer) == result);
    CPPUNIT_ASSERT_EQUAL(next, writer.Next().sequence);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SequencedWriterTest,
                                      "sequenced_writer_test");

}  // namespace carobmast::node
