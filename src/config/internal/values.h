// Text of values that both the file format and the canonical form use.
#ifndef CAROBMAST_CONFIG_INTERNAL_VALUES_H_
#define CAROBMAST_CONFIG_INTERNAL_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "config/types/objects.h"

namespace carobmast::config::internal {

// Processors with at most three decimals, e.g. "2" or "0.25", in thousandths.
std::optional<std::uint64_t> ParseCpus(std::string_view text);
std::string FormatCpus(std::uint64_t milli_cpus);

std::optional<std::uint32_t> ParseCount(std::string_view text);

std::optional<Priority> ParsePriority(std::string_view text);
std::string PriorityName(Priority priority);

// E.g. "16 cpus, 60GB, 0 accelerators".
std::string FormatResources(const contracts::Resources& resources);

}  // namespace carobmast::config::internal

#endif  // CAROBMAST_CONFIG_INTERNAL_VALUES_H_
