// Traces: W3C trace context, spans, and which of them are kept.
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

// Wall-clock time of a span; a WallTime converts to it.
using SpanTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Which trace and span a piece of work belongs to, as it travels between
// processes. Neither id is zero.
struct TraceContext {
  std::uint64_t trace_high = 0;
  std::uint64_t trace_low = 0;
  std::uint64_t span = 0;
  bool sampled = false;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

// Parses the header "traceparent" (W3C Trace Context, level 1). Empty when it
// is malformed; the receiver then starts a trace of its own.
std::optional<TraceContext> ParseTraceparent(std::string_view text);
std::string FormatTraceparent(const TraceContext& context);

std::string FormatTraceId(const TraceContext& context);
std::string FormatSpanId(std::uint64_t span);

using AttributeValue = std::variant<std::string, std::int64_t, double, bool>;

// The values are those of the OpenTelemetry protocol.
enum class SpanKind { kInternal = 1, kServer = 2, kClient = 3 };
enum class SpanStatus { kUnset = 0, kOk = 1, kError = 2 };

// One hop or step of a piece of work.
struct Span {
  TraceContext context;
  // The span that caused this one; zero for a trace's first span.
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
  // Share of the traces begun here that are kept, from 0 to 1. Traces that the
  // caller marks as sampled are always kept.
  double sample_ratio = 0;
  // Returns random bits; empty takes them from libcrypto.
  std::function<std::uint64_t()> random;
  // Takes the ended spans of sampled traces.
  std::function<void(Span)> sink;
};

class Tracer {
 public:
  explicit Tracer(TracerOptions options);

  // Begins a span under `parent`, or a new trace without one.
  Span Begin(const std::optional<TraceContext>& parent, std::string name,
             SpanKind kind, SpanTime now) const;
  // Hands the span to the sink if its trace is sampled.
  void End(Span span, SpanTime now) const;

 private:
  std::uint64_t NextId() const;
  bool IsInRatio(std::uint64_t trace_low) const;

  TracerOptions options_;
};

}  // namespace carobmast::telemetry

#endif  // CAROBMAST_FRAMEWORK_TELEMETRY_TRACE_H_
