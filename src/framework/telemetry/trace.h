// Distributed tracing: W3C trace context, spans and sampling.
#ifndef CAROBMAST_FRAMEWORK_TELEMETRY_TRACE_H_
#define CAROBMAST_FRAMEWORK_TELEMETRY_TRACE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "framework/base/time.h"

namespace carobmast::telemetry {

// Wall-clock time of a span in nanoseconds; WallTime converts implicitly.
using SpanTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// The trace and the span that an operation belongs to, passed between
// processes. In a valid context neither the trace id nor the span id is zero.
struct TraceContext {
  std::uint64_t trace_high = 0;
  std::uint64_t trace_low = 0;
  std::uint64_t span = 0;
  bool sampled = false;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

// Parses the header "traceparent" (W3C Trace Context, level 1). Returns empty
// when it is malformed; the receiver then starts a new trace.
std::optional<TraceContext> ParseTraceparent(std::string_view text);
std::string FormatTraceparent(const TraceContext& context);

// Lower-case hexadecimal digits: 32 for a trace id, 16 for a span id.
std::string FormatTraceId(const TraceContext& context);
std::string FormatSpanId(std::uint64_t span);

using AttributeValue = std::variant<std::string, std::int64_t, double, bool>;

// The enumerators have the values of the OpenTelemetry protocol.
enum class SpanKind { kInternal = 1, kServer = 2, kClient = 3 };
enum class SpanStatus { kUnset = 0, kOk = 1, kError = 2 };

// One timed operation within a trace.
struct Span {
  TraceContext context;
  // The id of the parent span; zero for the root span.
  std::uint64_t parent = 0;
  std::string name;
  SpanKind kind = SpanKind::kInternal;
  SpanTime start;
  SpanTime end;
  std::vector<std::pair<std::string, AttributeValue>> attributes;
  SpanStatus status = SpanStatus::kUnset;
  std::string status_text;
};

struct TracerOptions {
  // Share of traces to sample, from 0 to 1. Traces that the caller has marked
  // as sampled are always sampled.
  double sample_ratio = 0;
  // Returns 64 random bits; empty for libcrypto's generator.
  std::function<std::uint64_t()> random;
  // Receives the ended spans of sampled traces.
  std::function<void(Span)> sink;
};

// Creates spans and passes the sampled ones to the sink.
class Tracer {
 public:
  explicit Tracer(TracerOptions options);

  // Begins a child span of `parent`, or the root span of a new trace when there
  // is no parent.
  Span Begin(const std::optional<TraceContext>& parent, std::string name,
             SpanKind kind, SpanTime now) const;
  // Sets the end time and passes the span to the sink if its trace is sampled.
  void End(Span span, SpanTime now) const;

 private:
  std::uint64_t NextId() const;
  bool IsInRatio(std::uint64_t trace_low) const;

  TracerOptions options_;
};

}  // namespace carobmast::telemetry

#endif  // CAROBMAST_FRAMEWORK_TELEMETRY_TRACE_H_
