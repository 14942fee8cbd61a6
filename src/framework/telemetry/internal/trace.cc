#include "framework/telemetry/trace.h"

#include <charconv>

#include "framework/base/digest.h"

namespace carobmast::telemetry {

namespace {

// The format is VERSION-TRACEID-SPANID-FLAGS, in hexadecimal digits.
constexpr std::size_t kTraceparentLength = 55;
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kSpanIdOffset = 36;
constexpr std::size_t kFlagsOffset = 53;
constexpr std::size_t kIdDigits = 16;
constexpr std::uint64_t kSampledFlag = 1;
constexpr int kHexBase = 16;

// Parses lower-case hexadecimal digits only.
std::optional<std::uint64_t> ParseHex(std::string_view digits) {
  for (const char c : digits) {
    const bool is_digit = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    if (!is_digit) return std::nullopt;
  }
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value,
                  kHexBase);
  return value;
}

// Checks the separators, the version and the length.
bool HasTraceparentShape(std::string_view text) {
  if (text.size() < kTraceparentLength) return false;
  if (text[kTraceIdOffset - 1] != '-' || text[kSpanIdOffset - 1] != '-' ||
      text[kFlagsOffset - 1] != '-') {
    return false;
  }
  const std::string_view version = text.substr(0, 2);
  if (!ParseHex(version).has_value() || version == "ff") return false;
  if (text.size() == kTraceparentLength) return true;
  // Later versions may append fields.
  return version != "00" && text[kTraceparentLength] == '-';
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view text) {
  if (!HasTraceparentShape(text)) return std::nullopt;
  const std::optional<std::uint64_t> high =
      ParseHex(text.substr(kTraceIdOffset, kIdDigits));
  const std::optional<std::uint64_t> low =
      ParseHex(text.substr(kTraceIdOffset + kIdDigits, kIdDigits));
  const std::optional<std::uint64_t> span =
      ParseHex(text.substr(kSpanIdOffset, kIdDigits));
  const std::optional<std::uint64_t> flags =
      ParseHex(text.substr(kFlagsOffset, 2));
  if (!high || !low || !span || !flags) return std::nullopt;
  if ((*high == 0 && *low == 0) || *span == 0) return std::nullopt;
  return TraceContext{.trace_high = *high,
                      .trace_low = *low,
                      .span = *span,
                      .sampled = (*flags & kSampledFlag) != 0};
}

std::string FormatSpanId(std::uint64_t span) {
  char digits[kIdDigits];
  const std::to_chars_result written =
      std::to_chars(digits, digits + kIdDigits, span, kHexBase);
  const std::string text(digits, written.ptr);
  return std::string(kIdDigits - text.size(), '0') + text;
}

std::string FormatTraceId(const TraceContext& context) {
  return FormatSpanId(context.trace_high) + FormatSpanId(context.trace_low);
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + FormatTraceId(context) + "-" + FormatSpanId(context.span) +
         (context.sampled ? "-01" : "-00");
}

Tracer::Tracer(TracerOptions options) : options_(std::move(options)) {
  if (!options_.random) {
    options_.random = [] { return *ParseHex(RandomId().substr(0, kIdDigits)); };
  }
}

std::uint64_t Tracer::NextId() const {
  std::uint64_t id = 0;
  while (id == 0) id = options_.random();
  return id;
}

bool Tracer::IsInRatio(std::uint64_t trace_low) const {
  // Maps the low 53 bits, the precision of a double, to a number from 0 to 1.
  // The result depends only on the trace id, so all processes make the same
  // decision for a trace.
  constexpr int kBits = 53;
  constexpr std::uint64_t kPositions = std::uint64_t{1} << kBits;
  const double position = static_cast<double>(trace_low % kPositions) /
                          static_cast<double>(kPositions);
  return position < options_.sample_ratio;
}

Span Tracer::Begin(const std::optional<TraceContext>& parent, std::string name,
                   SpanKind kind, SpanTime now) const {
  Span span{.name = std::move(name), .kind = kind, .start = now};
  if (parent.has_value()) {
    span.context = *parent;
    span.parent = parent->span;
  } else {
    span.context.trace_high = NextId();
    span.context.trace_low = NextId();
  }
  span.context.sampled =
      span.context.sampled || IsInRatio(span.context.trace_low);
  span.context.span = NextId();
  return span;
}

void Tracer::End(Span span, SpanTime now) const {
  if (!span.context.sampled || !options_.sink) return;
  span.end = now;
  options_.sink(std::move(span));
}

}  // namespace carobmast::telemetry
