// The rules that decide whether a change of a set is valid.
//
// Each log record names the rule version it was checked with, and all readers
// apply that version. The behaviour of a version must never change: a new rule,
// a changed range or a changed digest layout needs a new version.
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

// Checks the objects that `change` touches and all objects that refer to them.
// `set` already contains the change; `replaced` holds the previous values of
// the objects that it replaced or removed. Returns all errors: those of single
// objects by name, then those of kinds, demands and the whole set.
using CheckChange = std::function<std::vector<CheckError>(
    const ObjectSet& set, const Change& change,
    const std::vector<StampedObject>& replaced)>;

// The checks of rule version 1.
std::vector<CheckError> CheckChangeV1(
    const ObjectSet& set, const Change& change,
    const std::vector<StampedObject>& replaced);

// The check function of each known rule version.
using RuleTable = std::map<std::uint32_t, CheckChange>;
RuleTable AllRules();

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_RULES_H_
