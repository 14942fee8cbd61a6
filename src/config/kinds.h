// Names of object kinds, and rules for object names.
#ifndef CAROBMAST_CONFIG_KINDS_H_
#define CAROBMAST_CONFIG_KINDS_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "config/types/objects.h"

namespace carobmast::config {

inline constexpr std::array<Kind, 8> kAllKinds = {
    Kind::kTeam,     Kind::kSizeClass,      Kind::kVmPool,    Kind::kService,
    Kind::kBatchJob, Kind::kStandingWorker, Kind::kDrainedVm, Kind::kPublisher};

// Maximum length of an object's name.
inline constexpr std::size_t kMaxNameBytes = 63;

// The kind in messages: "team", "size class", "vm pool", ...
std::string KindName(Kind kind);
// The kind in the canonical form: "team", "size_class", "vm_pool", ...
std::string KindKey(Kind kind);
// The top-level key of the kind in a set's file: "teams", "size_classes", ...
std::string KindListKey(Kind kind);

Kind KindOf(const Object& object);
const std::string& NameOf(const Object& object);
// Kind and name for messages, e.g. "service portal".
std::string Title(Kind kind, const std::string& name);
std::string Title(const Object& object);

// Whether `name` has 1 to kMaxNameBytes lower-case letters, digits and hyphens
// and does not begin with a hyphen.
bool IsValidName(std::string_view name);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_KINDS_H_
