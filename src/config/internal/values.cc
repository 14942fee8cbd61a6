#include "config/internal/values.h"

#include <array>
#include <charconv>

namespace carobmast::config::internal {
namespace {

constexpr std::size_t kMaxDecimals = 3;
constexpr std::uint64_t kMaxWholeCpus = 1'000'000'000;
constexpr std::array<const char*, 4> kPriorityNames = {"urgent", "high",
                                                       "normal", "low"};

template <typename T>
std::optional<T> ParseDigits(std::string_view text) {
  T value = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result result =
      std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return {};
  return value;
}

}  // namespace

std::optional<std::uint64_t> ParseCpus(std::string_view text) {
  const std::size_t point = text.find('.');
  const std::optional<std::uint64_t> whole =
      ParseDigits<std::uint64_t>(text.substr(0, point));
  if (!whole.has_value() || *whole > kMaxWholeCpus) return {};
  if (point == std::string_view::npos) return *whole * 1000;
  std::string decimals(text.substr(point + 1));
  if (decimals.empty() || decimals.size() > kMaxDecimals) return {};
  decimals.resize(kMaxDecimals, '0');
  const std::optional<std::uint64_t> milli =
      ParseDigits<std::uint64_t>(decimals);
  if (!milli.has_value()) return {};
  return *whole * 1000 + *milli;
}

std::string FormatCpus(std::uint64_t milli_cpus) {
  std::string text = std::to_string(milli_cpus / 1000);
  if (milli_cpus % 1000 == 0) return text;
  std::string decimals = std::to_string(1000 + milli_cpus % 1000).substr(1);
  decimals.erase(decimals.find_last_not_of('0') + 1);
  return text + "." + decimals;
}

std::optional<std::uint32_t> ParseCount(std::string_view text) {
  return ParseDigits<std::uint32_t>(text);
}

std::optional<Priority> ParsePriority(std::string_view text) {
  for (std::size_t i = 0; i < kPriorityNames.size(); ++i) {
    if (text == kPriorityNames[i]) return static_cast<Priority>(i);
  }
  return {};
}

std::string PriorityName(Priority priority) {
  return kPriorityNames[static_cast<std::size_t>(priority)];
}

std::string FormatResources(const contracts::Resources& resources) {
  std::string text = FormatCpus(resources.milli_cpus) + " cpus, " +
                     FormatByteCount(resources.memory);
  if (resources.accelerators > 0) {
    text += ", " + std::to_string(resources.accelerators) + " accelerators";
  }
  return text;
}

}  // namespace carobmast::config::internal
