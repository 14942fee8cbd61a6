#include "framework/base/units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace carobmast {
namespace {

struct Unit {
  std::string_view suffix;
  std::uint64_t factor;
};

constexpr std::uint64_t kMicrosecondNs = 1'000;
constexpr std::uint64_t kMillisecondNs = 1'000'000;
constexpr std::uint64_t kSecondNs = 1'000'000'000;

// Largest first: formatting takes the first unit that divides the value.
constexpr std::array<Unit, 7> kDurationUnits = {{{"d", 86'400 * kSecondNs},
                                                 {"h", 3'600 * kSecondNs},
                                                 {"m", 60 * kSecondNs},
                                                 {"s", kSecondNs},
                                                 {"ms", kMillisecondNs},
                                                 {"us", kMicrosecondNs},
                                                 {"ns", 1}}};

constexpr std::array<Unit, 9> kByteUnits = {{{"TiB", 1ULL << 40},
                                             {"TB", 1'000'000'000'000},
                                             {"GiB", 1ULL << 30},
                                             {"GB", 1'000'000'000},
                                             {"MiB", 1ULL << 20},
                                             {"MB", 1'000'000},
                                             {"KiB", 1ULL << 10},
                                             {"KB", 1'000},
                                             {"B", 1}}};

template <std::size_t N>
std::optional<std::uint64_t> ParseQuantity(std::string_view text,
                                           const std::array<Unit, N>& units) {
  const std::size_t digits_end = text.find_first_not_of("0123456789.");
  if (digits_end == 0 || digits_end == std::string_view::npos) return {};
  double value = 0;
  const char* last = text.data() + digits_end;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != last) return {};
  for (const Unit& unit : units) {
    if (unit.suffix != text.substr(digits_end)) continue;
    const double total = value * static_cast<double>(unit.factor);
    // std::chrono counts with signed 64-bit integers, up to 9.22e18.
    if (total >= 9.2e18) return {};
    return static_cast<std::uint64_t>(std::llround(total));
  }
  return {};
}

template <std::size_t N>
std::string FormatQuantity(std::uint64_t value,
                           const std::array<Unit, N>& units) {
  for (const Unit& unit : units) {
    if (value == 0 || value % unit.factor != 0) continue;
    return std::to_string(value / unit.factor) + std::string(unit.suffix);
  }
  return "0" + std::string(units.back().suffix);
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const std::optional<std::uint64_t> nanoseconds =
      ParseQuantity(text, kDurationUnits);
  if (!nanoseconds.has_value()) return {};
  return Duration(static_cast<Duration::rep>(*nanoseconds));
}

std::optional<ByteCount> ParseByteCount(std::string_view text) {
  const std::optional<std::uint64_t> bytes = ParseQuantity(text, kByteUnits);
  if (!bytes.has_value()) return {};
  return ByteCount{.bytes = *bytes};
}

std::string FormatDuration(Duration duration) {
  if (duration < Duration::zero()) return "-" + FormatDuration(-duration);
  if (duration == Duration::zero()) return "0s";
  return FormatQuantity(static_cast<std::uint64_t>(duration.count()),
                        kDurationUnits);
}

std::string FormatByteCount(ByteCount size) {
  return FormatQuantity(size.bytes, kByteUnits);
}

}  // namespace carobmast
