#include "framework/telemetry/metrics.h"

#include <boost/histogram/indexed.hpp>
#include <cmath>
#include <limits>
#include <string_view>

#include "framework/base/error.h"

namespace carobmast::telemetry {

namespace {

constexpr unsigned kBuckets = 60;
constexpr double kShortestSeconds = 1e-4;
constexpr double kLongestSeconds = 100;
constexpr double kNanosecondsPerSecond = 1e9;

bool IsNameCharacter(char c, bool first) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return is_letter || c == '_' || (!first && c >= '0' && c <= '9');
}

void CheckName(std::string_view name) {
  bool valid = !name.empty();
  for (std::size_t i = 0; i < name.size(); ++i) {
    valid = valid && IsNameCharacter(name[i], i == 0);
  }
  if (!valid) {
    throw Error("metrics", "local",
                "malformed metric or label name " + std::string(name));
  }
}

std::string Escape(std::string_view text, bool escape_quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || (escape_quotes && c == '"')) escaped += '\\';
    escaped += c;
  }
  return escaped;
}

// Formats labels as {a="b",c="d"}; empty without labels.
std::string FormatLabels(const Labels& labels) {
  if (labels.empty()) return "";
  std::string text;
  for (const std::pair<const std::string, std::string>& label : labels) {
    text += text.empty() ? "{" : ",";
    text += label.first + "=\"" + Escape(label.second, true) + "\"";
  }
  return text + "}";
}

std::string FormatNumber(double value) {
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  char text[32];
  std::snprintf(text, sizeof(text), "%.9g", value);
  return text;
}

std::string Line(const std::string& name, const Labels& labels,
                 const std::string& value) {
  return name + FormatLabels(labels) + " " + value + "\n";
}

std::string FormatHistogram(const std::string& name, const Labels& labels,
                            const LatencyHistogram& histogram) {
  std::string text;
  for (const LatencyHistogram::Bucket& bucket : histogram.Buckets()) {
    Labels with_bound = labels;
    with_bound["le"] = FormatNumber(bucket.upper_seconds);
    text +=
        Line(name + "_bucket", with_bound, std::to_string(bucket.cumulative));
  }
  const double sum =
      static_cast<double>(histogram.sum().count()) / kNanosecondsPerSecond;
  text += Line(name + "_sum", labels, FormatNumber(sum));
  text += Line(name + "_count", labels, std::to_string(histogram.count()));
  return text;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : buckets_(boost::histogram::make_histogram(
          Axis(kBuckets, kShortestSeconds, kLongestSeconds))) {}

void LatencyHistogram::Record(Duration latency) {
  buckets_(static_cast<double>(latency.count()) / kNanosecondsPerSecond);
  ++count_;
  sum_ += latency;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const {
  std::vector<Bucket> list;
  double cumulative = 0;
  // Index -1 is the underflow bucket, index kBuckets the overflow bucket.
  for (int i = -1; i <= static_cast<int>(kBuckets); ++i) {
    cumulative += static_cast<double>(buckets_.at(i));
    const bool is_last = i == static_cast<int>(kBuckets);
    const double upper = is_last ? std::numeric_limits<double>::infinity()
                                 : buckets_.axis(0).value(i + 1);
    list.push_back({.upper_seconds = upper,
                    .cumulative = static_cast<std::uint64_t>(cumulative)});
  }
  return list;
}

Duration LatencyHistogram::Quantile(double quantile) const {
  const double target_count = quantile * static_cast<double>(count_);
  for (const Bucket& bucket : Buckets()) {
    if (count_ == 0 || static_cast<double>(bucket.cumulative) < target_count) {
      continue;
    }
    const double seconds = std::min(bucket.upper_seconds, kLongestSeconds);
    return Duration(
        static_cast<Duration::rep>(seconds * kNanosecondsPerSecond));
  }
  return Duration::zero();
}

MetricsRegistry::MetricsRegistry(MetricsOptions options) : options_(options) {}

MetricsRegistry::Family& MetricsRegistry::FindFamily(const std::string& name,
                                                     const std::string& help,
                                                     const Labels& labels,
                                                     Type type) {
  CheckName(name);
  for (const std::pair<const std::string, std::string>& label : labels) {
    CheckName(label.first);
  }
  const std::map<std::string, Family>::iterator found = families_.find(name);
  if (found == families_.end()) {
    Family& family = families_[name];
    family.type = type;
    family.help = help;
    return family;
  }
  if (found->second.type != type) {
    throw Error("metrics", "local",
                name + " is already registered with another type");
  }
  return found->second;
}

template <typename Metric>
Ref<Metric> MetricsRegistry::AddSeries(std::map<Labels, Ref<Metric>>& series,
                                       const Labels& labels) {
  const typename std::map<Labels, Ref<Metric>>::iterator found =
      series.find(labels);
  if (found != series.end()) return found->second;
  Ref<Metric> metric = MakeRef<Metric>();
  if (series_count_ >= options_.max_series) {
    ++series_refused_;
    return metric;
  }
  ++series_count_;
  series.emplace(labels, metric);
  return metric;
}

Ref<Counter> MetricsRegistry::AddCounter(const std::string& name,
                                         const std::string& help,
                                         const Labels& labels) {
  return AddSeries(FindFamily(name, help, labels, Type::kCounter).counters,
                   labels);
}

Ref<Gauge> MetricsRegistry::AddGauge(const std::string& name,
                                     const std::string& help,
                                     const Labels& labels) {
  return AddSeries(FindFamily(name, help, labels, Type::kGauge).gauges, labels);
}

Ref<LatencyHistogram> MetricsRegistry::AddHistogram(const std::string& name,
                                                    const std::string& help,
                                                    const Labels& labels) {
  return AddSeries(FindFamily(name, help, labels, Type::kHistogram).histograms,
                   labels);
}

void MetricsRegistry::SetCounter(const std::string& name,
                                 const std::string& help, std::uint64_t value,
                                 const Labels& labels) {
  const Ref<Counter> counter = AddCounter(name, help, labels);
  counter->Add(value - counter->value());
}

void MetricsRegistry::Remove(const std::string& name, const Labels& labels) {
  const std::map<std::string, Family>::iterator family = families_.find(name);
  if (family == families_.end()) return;
  series_count_ -= family->second.counters.erase(labels) +
                   family->second.gauges.erase(labels) +
                   family->second.histograms.erase(labels);
}

std::string MetricsRegistry::Expose() const {
  static constexpr const char* kTypeNames[] = {"counter", "gauge", "histogram"};
  std::string text;
  for (const std::pair<const std::string, Family>& entry : families_) {
    const std::string& name = entry.first;
    const Family& family = entry.second;
    text += "# HELP " + name + " " + Escape(family.help, false) + "\n";
    text += "# TYPE " + name + " " +
            kTypeNames[static_cast<std::size_t>(family.type)] + "\n";
    for (const std::pair<const Labels, Ref<Counter>>& series :
         family.counters) {
      text += Line(name, series.first, std::to_string(series.second->value()));
    }
    for (const std::pair<const Labels, Ref<Gauge>>& series : family.gauges) {
      text += Line(name, series.first, FormatNumber(series.second->value()));
    }
    for (const std::pair<const Labels, Ref<LatencyHistogram>>& series :
         family.histograms) {
      text += FormatHistogram(name, series.first, *series.second);
    }
  }
  text += "# HELP metrics_series_refused Series beyond the limit.\n";
  text += "# TYPE metrics_series_refused counter\n";
  text += Line("metrics_series_refused", {}, std::to_string(series_refused_));
  return text;
}

}  // namespace carobmast::telemetry
