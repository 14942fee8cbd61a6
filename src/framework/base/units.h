// Quantities with units, as they are written in settings and configuration.
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

// Parses a duration such as "250ms", "1.5s", "2h". Units: ns, us, ms, s, m, h,
// d. Empty when the text is no non-negative duration or is out of range.
std::optional<Duration> ParseDuration(std::string_view text);

// Parses a size such as "64KiB" or "60GB". Units: B, KB, MB, GB, TB (powers of
// 1000) and KiB, MiB, GiB, TiB (powers of 1024). Empty when malformed.
std::optional<ByteCount> ParseByteCount(std::string_view text);

// Writes a duration in the largest unit that divides it, e.g. "250ms".
std::string FormatDuration(Duration duration);

// Writes a size in the largest unit that divides it, e.g. "60GB".
std::string FormatByteCount(ByteCount size);

}  // namespace carobmast

#endif  // CAROBMAST_FRAMEWORK_BASE_UNITS_H_
