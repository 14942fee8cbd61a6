// Counters, gauges and latency histograms, exposed in the Prometheus text
// format. Values are recorded through handles, without a look-up by name.
#ifndef CAROBMAST_FRAMEWORK_TELEMETRY_METRICS_H_
#define CAROBMAST_FRAMEWORK_TELEMETRY_METRICS_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "framework/base/intrusive.h"
#include "framework/base/time.h"

namespace carobmast::telemetry {

// Label names with their values, e.g. {{"zone", "zg-a"}}.
using Labels = std::map<std::string, std::string>;

// A value that only grows.
class Counter : public RefCounted<Counter> {
 public:
  void Add(std::uint64_t count = 1) { value_ += count; }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

// A value that may rise and fall.
class Gauge : public RefCounted<Gauge> {
 public:
  void Set(double value) { value_ = value; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

// Latencies from 0.1 ms to 100 s in logarithmic buckets, 10 per factor of ten.
// Shorter latencies are counted in the first bucket, longer ones in the last.
class LatencyHistogram : public RefCounted<LatencyHistogram> {
 public:
  LatencyHistogram();

  void Record(Duration latency);

  std::uint64_t count() const { return count_; }
  Duration sum() const { return sum_; }
  // Returns the upper bound of the bucket that holds the given quantile (0 to
  // 1), at most 100 s, or zero when nothing was recorded.
  Duration Quantile(double quantile) const;

  // Upper bounds in seconds, each with the number of latencies below it; the
  // last bound is infinite.
  struct Bucket {
    double upper_seconds = 0;
    std::uint64_t cumulative = 0;
  };
  std::vector<Bucket> Buckets() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::default_storage>;

  Histogram buckets_;
  std::uint64_t count_ = 0;
  Duration sum_ = Duration::zero();
};

struct MetricsOptions {
  // Series beyond this limit are not exposed; they are counted in the metric
  // metrics_series_refused.
  std::size_t max_series = 5000;
};

// All metrics of one process.
class MetricsRegistry {
 public:
  explicit MetricsRegistry(MetricsOptions options = {});

  // Each returns the handle of a series and creates the series if necessary;
  // the same name and labels give the same handle. `help` is kept from the
  // first call for a name. Throws Error (step "metrics") when a name is
  // malformed or belongs to a metric of another type.
  Ref<Counter> AddCounter(const std::string& name, const std::string& help,
                          const Labels& labels = {});
  Ref<Gauge> AddGauge(const std::string& name, const std::string& help,
                      const Labels& labels = {});
  // The histogram is exposed in seconds, so `name` should end in "_seconds".
  Ref<LatencyHistogram> AddHistogram(const std::string& name,
                                     const std::string& help,
                                     const Labels& labels = {});

  // Sets the metric of a counter that is maintained elsewhere. The caller must
  // never pass a smaller `value` than before.
  void SetCounter(const std::string& name, const std::string& help,
                  std::uint64_t value, const Labels& labels = {});

  // Removes a series, e.g. that of an object that is no longer configured.
  void Remove(const std::string& name, const Labels& labels);

  // Returns the body for GET /metrics, sorted by name and labels.
  std::string Expose() const;

  static constexpr char kContentType[] = "text/plain; version=0.0.4";

 private:
  enum class Type { kCounter, kGauge, kHistogram };
  struct Family {
    Type type = Type::kCounter;
    std::string help;
    std::map<Labels, Ref<Counter>> counters;
    std::map<Labels, Ref<Gauge>> gauges;
    std::map<Labels, Ref<LatencyHistogram>> histograms;
  };

  Family& FindFamily(const std::string& name, const std::string& help,
                     const Labels& labels, Type type);
  template <typename Metric>
  Ref<Metric> AddSeries(std::map<Labels, Ref<Metric>>& series,
                        const Labels& labels);

  MetricsOptions options_;
  std::map<std::string, Family> families_;
  std::size_t series_count_ = 0;
  std::uint64_t series_refused_ = 0;
};

}  // namespace carobmast::telemetry

#endif  // CAROBMAST_FRAMEWORK_TELEMETRY_METRICS_H_
