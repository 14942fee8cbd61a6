// The rules that decide whether a change of a set is valid.
//
// A log record names the version of the rules it was checked with, and every
// reader decides by that version. What a version decides is frozen: a new rule,
// another range or another layout of the digest takes a new version.
#ifndef CAROBMAST_CONFIG_RULES_H_
#define CAROBMAST_CONFIG_RULES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "config/object_set.h"
#include "config/types/change.h"
#include "config/types/check_error.h"

namespace carobmast::config {

inline constexpr std::uint32_t kRuleVersion = 1;
inline constexpr std::size_t kMaxObjects = 200'000;

// Checks the objects that a change touches, and all that refer to them, in the
// set to which the change was applied. `replaced` are the objects as they were
// before. Returns every error, in the order of names.
using CheckChange = std::function<std::vector<CheckError>(
    const ObjectSet& set, const Change& change,
    const std::vector<StampedObject>& replaced)>;

// Rule version 1.
std::vector<CheckError> CheckChangeV1(
    const ObjectSet& set, const Change& change,
    const std::vector<StampedObject>& replaced);

// The rules by version.
using RuleTable = std::map<std::uint32_t, CheckChange>;
RuleTable AllRules();

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_RULES_H_
