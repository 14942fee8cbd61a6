#include "contracts/service_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/base/error.h"

namespace carobmast::contracts {

// Guards against fields that are lost between encoding and decoding, and
// against malformed or inconsistent messages that are accepted.
class ServiceCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceCodecTest);
  CPPUNIT_TEST(ReportsSurviveEncodeAndDecode);
  CPPUNIT_TEST(CommandsSurviveEncodeAndDecode);
  CPPUNIT_TEST(RefusesOffsetsOutOfOrderOrRange);
  CPPUNIT_TEST(RefusesMoreRecordsThanAskedFor);
  CPPUNIT_TEST(RefusesMalformedText);
  CPPUNIT_TEST(ReportsNoEffectOnlyWhenStated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsSurviveEncodeAndDecode() {
    const TaskReport task{
        .id = {.task = "render-1/0", .attempt = 3},
        .state = TaskState::kLeaseExpired,
        .reserved = {.milli_cpus = 1500, .memory = {7}, .accelerators = 2},
        .used = {.milli_cpus = 12},
        .checkpoint = "done:3s \"\n",
        .endpoint = "127.0.0.1:99",
        .reason = "why",
        .latency_p99 = std::chrono::milliseconds(4)};
    const WorkerReport report{
        .worker = "w-1",
        .capacity = {.milli_cpus = 16000, .memory = {60'000'000'000}},
        .token = 9,
        .tasks = {task}};
    const std::string text = EncodeReport(report, "");
    const WorkerReport copy = DecodeReport(text, "test");
    CPPUNIT_ASSERT_EQUAL(text, EncodeReport(copy, ""));
    CPPUNIT_ASSERT(copy.tasks[0].state == TaskState::kLeaseExpired);
    CPPUNIT_ASSERT_EQUAL(task.checkpoint, copy.tasks[0].checkpoint);
    CPPUNIT_ASSERT(copy.capacity == report.capacity);
  }

  void CommandsSurviveEncodeAndDecode() {
    for (const WorkerVerb verb :
         {WorkerVerb::kFence, WorkerVerb::kStart, WorkerVerb::kRenew,
          WorkerVerb::kStop, WorkerVerb::kThrottle, WorkerVerb::kForget}) {
      const WorkerCommand command{.verb = ParseVerb(VerbName(verb), "test"),
                                  .token = 7,
                                  .id = {.task = "t", .attempt = 2},
                                  .lease = std::chrono::seconds(6),
                                  .kind = TaskKind::kService,
                                  .resources = {.milli_cpus = 100},
                                  .program = "render:2s",
                                  .checkpoint = "done:1s",
                                  .slots = 8,
                                  .connections = 64,
                                  .take_checkpoint = true,
                                  .throttle = 500};
      const std::string text = EncodeCommand(command);
      const WorkerCommand copy = DecodeCommand(text, {.verb = verb}, "test");
      CPPUNIT_ASSERT_EQUAL(text, EncodeCommand(copy));
      CPPUNIT_ASSERT_EQUAL(FencingToken{7}, copy.token);
    }
  }

  void RefusesOffsetsOutOfOrderOrRange() {
    const ReadRequest request{.stream = "s", .from = 4};
    for (const std::vector<Offset>& offsets :
         std::vector<std::vector<Offset>>{{3}, {5, 5}, {6, 5}, {9}}) {
      ReadAnswer answer{.first_kept = 1, .next = 9};
      for (const Offset offset : offsets) {
        answer.records.push_back({.offset = offset});
      }
      const std::string text = EncodeReadAnswer(answer);
      CPPUNIT_ASSERT_THROW_MESSAGE(text, DecodeReadAnswer(text, request, "t"),
                                   Error);
    }
  }

  void RefusesMoreRecordsThanAskedFor() {
    const ReadAnswer answer{.records = {{.offset = 1}, {.offset = 2}},
                            .next = 3};
    const std::string text = EncodeReadAnswer(answer);
    CPPUNIT_ASSERT_THROW(
        DecodeReadAnswer(text, {.stream = "s", .max_records = 1}, "t"), Error);
  }

  void RefusesMalformedText() {
    CPPUNIT_ASSERT_THROW(DecodeOffsets("{\"offsets\":[0]}", "t"), Error);
    CPPUNIT_ASSERT_THROW(DecodeOffsets("{\"offsets\":[1", "t"), Error);
    CPPUNIT_ASSERT_THROW(DecodeVmList("{\"vms\":[]}", "t"), Error);
    CPPUNIT_ASSERT_THROW(ParseVerb("reboot", "t"), Error);
    CPPUNIT_ASSERT_THROW(DecodeCommand("{\"token\":1,\"lease_ns\":-1}",
                                       {.verb = WorkerVerb::kRenew}, "t"),
                         Error);
    for (const char* name : {"", "..", "a/b", "a?b", "a b"}) {
      CPPUNIT_ASSERT_MESSAGE(name, !IsPathName(name));
    }
  }

  void ReportsNoEffectOnlyWhenStated() {
    CPPUNIT_ASSERT(ReportsNoEffect(EncodeRefusal("out")));
    CPPUNIT_ASSERT_EQUAL(std::string("out"), ErrorText(EncodeRefusal("out")));
    for (const char* text : {"", "busy", "{\"took_effect\":true}",
                             "{\"took_effect\":0}", "[false]"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ReportsNoEffect(text));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ServiceCodecTest, "service_codec_test");

}  // namespace carobmast::contracts
