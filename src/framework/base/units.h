// Parsing and formatting of durations and sizes with units, as used in settings
// and configuration.
#ifndef CAROBMAST_FRAMEWORK_BASE_UNITS_H_
#define CAROBMAST_FRAMEWORK_BASE_UNITS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "framework/base/time.h"

namespace carobmast {

// A whole number of bytes.
struct ByteCount {
  std::uint64_t bytes = 0;

  friend auto operator<=>(const ByteCount&, const ByteCount&) = default;
};

// Parses a duration such as "250ms", "1.5s" or "2h". Units: ns, us, ms, s, m,
// h, d. Returns empty when the text is malformed, negative or out of range.
std::optional<Duration> ParseDuration(std::string_view text);

// Parses a size such as "64KiB" or "60GB". Units: B, KB, MB, GB, TB (powers of
// 1000) and KiB, MiB, GiB, TiB (powers of 1024). Returns empty when the text
// is malformed, negative or out of range.
std::optional<ByteCount> ParseByteCount(std::string_view text);

// Formats a duration as a whole number of the largest possible unit, e.g.
// "250ms".
std::string FormatDuration(Duration duration);

// Formats a size as a whole number of the largest possible unit, e.g. "60GB".
std::string FormatByteCount(ByteCount size);

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_UNITS_H_
