// Parses and formats values of the file format and of the canonical form.
#ifndef CAROBMAST_CONFIG_INTERNAL_VALUES_H_
#define CAROBMAST_CONFIG_INTERNAL_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "config/types/objects.h"

namespace carobmast::config::internal {

// Converts between a number of processors with at most three decimals, e.g. "2"
// or "0.25", and thousandths of a processor.
std::optional<std::uint64_t> ParseCpus(std::string_view text);
std::string FormatCpus(std::uint64_t milli_cpus);

std::optional<std::uint32_t> ParseCount(std::string_view text);

std::optional<Priority> ParsePriority(std::string_view text);
std::string PriorityName(Priority priority);

// Formats e.g. "16 cpus, 60GB" or "16 cpus, 60GB, 2 accelerators".
std::string FormatResources(const contracts::Resources& resources);

}  // namespace carobmast::config::internal

#endif  // CAROBMAST_CONFIG_INTERNAL_VALUES_H_
