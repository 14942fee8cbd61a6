#include "framework/telemetry/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include "framework/base/error.h"

namespace carobmast::telemetry {

// The text that Prometheus reads, and the limits on names and series.
class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(ExposesCountersAndGauges);
  CPPUNIT_TEST(SameSeriesSharesItsHandle);
  CPPUNIT_TEST(HistogramIsCumulative);
  CPPUNIT_TEST(QuantileIsABucketBound);
  CPPUNIT_TEST(RefusesBadNamesAndTypes);
  CPPUNIT_TEST(SeriesOverTheLimitAreNotExposed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExposesCountersAndGauges() {
    MetricsRegistry registry;
    registry.AddCounter("calls_total", "Calls.", {{"zone", "zg-a"}})->Add(3);
    registry.AddCounter("calls_total", "Calls.", {{"zone", "a\"b\\c\nd"}});
    registry.AddGauge("queue_length", "Queued.")->Set(2.5);
    CPPUNIT_ASSERT_EQUAL(
        std::string("# HELP calls_total Calls.\n"
                    "# TYPE calls_total counter\n"
                    "calls_total{zone=\"a\\\"b\\\\c\\nd\"} 0\n"
                    "calls_total{zone=\"zg-a\"} 3\n"
                    "# HELP queue_length Queued.\n"
                    "# TYPE queue_length gauge\n"
                    "queue_length 2.5\n"),
        registry.Expose().substr(
            0, registry.Expose().find("# HELP metrics_series")));
  }

  void SameSeriesSharesItsHandle() {
    MetricsRegistry registry;
    registry.AddCounter("a", "")->Add();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         registry.AddCounter("a", "")->value());
    registry.Remove("a", {});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         registry.AddCounter("a", "")->value());
  }

  void HistogramIsCumulative() {
    MetricsRegistry registry;
    const Ref<LatencyHistogram> histogram =
        registry.AddHistogram("wait_seconds", "Wait.", {{"a", "b"}});
    histogram->Record(std::chrono::microseconds(10));
    histogram->Record(std::chrono::milliseconds(150));
    histogram->Record(std::chrono::minutes(10));
    std::uint64_t last = 0;
    for (const LatencyHistogram::Bucket& bucket : histogram->Buckets()) {
      CPPUNIT_ASSERT(bucket.cumulative >= last);
      last = bucket.cumulative;
    }
    const std::string text = registry.Expose();
    for (const char* line : {"wait_seconds_bucket{a=\"b\",le=\"0.0001\"} 1\n",
                             "wait_seconds_bucket{a=\"b\",le=\"1\"} 2\n",
                             "wait_seconds_bucket{a=\"b\",le=\"+Inf\"} 3\n",
                             "wait_seconds_sum{a=\"b\"} 600.15001\n",
                             "wait_seconds_count{a=\"b\"} 3\n"}) {
      CPPUNIT_ASSERT_MESSAGE(text, text.find(line) != std::string::npos);
    }
  }

  void QuantileIsABucketBound() {
    LatencyHistogram histogram;
    CPPUNIT_ASSERT(histogram.Quantile(0.99) == Duration::zero());
    for (int i = 1; i <= 100; ++i) {
      histogram.Record(std::chrono::milliseconds(i));
    }
    const Duration p99 = histogram.Quantile(0.99);
    CPPUNIT_ASSERT(p99 >= std::chrono::milliseconds(99));
    CPPUNIT_ASSERT(p99 <= std::chrono::milliseconds(126));
  }

  void RefusesBadNamesAndTypes() {
    MetricsRegistry registry;
    CPPUNIT_ASSERT_THROW(registry.AddCounter("1a", ""), Error);
    CPPUNIT_ASSERT_THROW(registry.AddCounter("a b", ""), Error);
    CPPUNIT_ASSERT_THROW(registry.AddCounter("a", "", {{"", "x"}}), Error);
    registry.AddCounter("a", "");
    CPPUNIT_ASSERT_THROW(registry.AddGauge("a", ""), Error);
  }

  void SeriesOverTheLimitAreNotExposed() {
    MetricsRegistry registry({.max_series = 2});
    for (int i = 0; i < 5; ++i) {
      registry.AddCounter("a", "", {{"i", std::to_string(i)}})->Add();
    }
    const std::string text = registry.Expose();
    CPPUNIT_ASSERT(text.find("i=\"1\"") != std::string::npos);
    CPPUNIT_ASSERT(text.find("i=\"2\"") == std::string::npos);
    CPPUNIT_ASSERT(text.ends_with("metrics_series_refused 3\n"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MetricsTest, "metrics_test");

}  // namespace carobmast::telemetry
