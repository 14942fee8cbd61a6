#include "framework/telemetry/trace.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/json.hpp>
#include <cstdio>
#include <fstream>

#include "framework/base/digest.h"
#include "framework/telemetry/otlp_file.h"

namespace carobmast::telemetry {

// Trace context, sampling and the OTLP JSON of spans.
class TraceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TraceTest);
  CPPUNIT_TEST(ParsesAndFormatsTraceparent);
  CPPUNIT_TEST(RefusesMalformedTraceparent);
  CPPUNIT_TEST(ChildrenJoinTheirParentsTrace);
  CPPUNIT_TEST(SamplesByFlagAndRatio);
  CPPUNIT_TEST(WritesOtlpLines);
  CPPUNIT_TEST(DroppedSpansAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesAndFormatsTraceparent() {
    const std::string text =
        "00-0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-01";
    const TraceContext context =
        ParseTraceparent(text).value_or(TraceContext{});
    CPPUNIT_ASSERT(context.sampled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x00f067aa0ba902b7}, context.span);
    CPPUNIT_ASSERT_EQUAL(text, FormatTraceparent(context));
    // A later version with an additional field.
    CPPUNIT_ASSERT(ParseTraceparent("cc" + text.substr(2) + "-x").has_value());
  }

  void RefusesMalformedTraceparent() {
    for (const char* text :
         {"", "00", "00-0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7",
          "00-0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-01-x",
          "00-0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-01 ",
          "ff-0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-01",
          "00_0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-01",
          "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
          "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
          "00-0AF7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-01",
          "00-0af7651916cd43dd8448eb211c80319c-00f067aa0ba902b7-0x"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseTraceparent(text).has_value());
    }
  }

  void ChildrenJoinTheirParentsTrace() {
    const Tracer tracer({});
    const Span root = tracer.Begin(std::nullopt, "a", SpanKind::kServer, {});
    const Span child =
        tracer.Begin(root.context, "b", SpanKind::kClient, SpanTime());
    CPPUNIT_ASSERT_EQUAL(FormatTraceId(root.context),
                         FormatTraceId(child.context));
    CPPUNIT_ASSERT_EQUAL(root.context.span, child.parent);
    CPPUNIT_ASSERT(child.context.span != root.context.span);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, root.parent);
  }

  void SamplesByFlagAndRatio() {
    int kept = 0;
    std::uint64_t next = 0;
    const Tracer tracer({.sample_ratio = 0.25,
                         .random =
                             [&next] {
                               next += 0x9e3779b97f4a7c15;
                               return next;
                             },
                         .sink = [&kept](const Span&) { ++kept; }});
    for (int i = 0; i < 1000; ++i) {
      tracer.End(tracer.Begin(std::nullopt, "a", SpanKind::kServer, {}), {});
    }
    CPPUNIT_ASSERT(kept > 200 && kept < 300);
    kept = 0;
    const TraceContext sampled{
        .trace_low = ~std::uint64_t{0}, .span = 1, .sampled = true};
    tracer.End(tracer.Begin(sampled, "a", SpanKind::kServer, {}), {});
    CPPUNIT_ASSERT_EQUAL(1, kept);
    const TraceContext unsampled{.trace_low = ~std::uint64_t{0}, .span = 1};
    tracer.End(tracer.Begin(unsampled, "a", SpanKind::kServer, {}), {});
    CPPUNIT_ASSERT_EQUAL(1, kept);
  }

  void WritesOtlpLines() {
    const std::string path = "trace_test_" + RandomId() + ".jsonl";
    OtlpFile file({.path = path, .instance = "entry-1", .zone = "zg-a"});
    const WallTime start(std::chrono::milliseconds(1500));
    file.Add({.context = {.trace_high = 1, .trace_low = 2, .span = 3},
              .parent = 4,
              .name = "GET /\"x\"",
              .kind = SpanKind::kServer,
              .start = start,
              .end = start + std::chrono::microseconds(250),
              .attributes = {{"tries", std::int64_t{2}}, {"whole", true}},
              .status = SpanStatus::kError,
              .status_text = "timed out"});
    file.Flush();
    file.Add({.name = "second"});
    file.Flush();
    file.Flush();
    std::ifstream in(path);
    std::string line;
    std::getline(in, line);
    const boost::json::value span = boost::json::parse(line).at_pointer(
        "/resourceSpans/0/scopeSpans/0/spans/0");
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"traceId":"00000000000000010000000000000002",)"
            R"("spanId":"0000000000000003","name":"GET /\"x\"","kind":2,)"
            R"("startTimeUnixNano":"1500000000",)"
            R"("endTimeUnixNano":"1500250000",)"
            R"("parentSpanId":"0000000000000004",)"
            R"("attributes":[{"key":"tries","value":{"intValue":"2"}},)"
            R"({"key":"whole","value":{"boolValue":true}}],)"
            R"("status":{"code":2,"message":"timed out"}})"),
        boost::json::serialize(span));
    std::getline(in, line);
    CPPUNIT_ASSERT(boost::json::parse(line).is_object());
    CPPUNIT_ASSERT(!std::getline(in, line));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, file.written());
    std::remove(path.c_str());
  }

  void DroppedSpansAreCounted() {
    OtlpFile file({.path = "/nonexistent/trace", .max_buffered = 2});
    for (int i = 0; i < 5; ++i) file.Add({});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, file.dropped());
    file.Flush();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, file.dropped());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TraceTest, "trace_test");

}  // namespace carobmast::telemetry
