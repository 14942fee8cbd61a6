// Names of objects and of their kinds.
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

// Longest name of an object, in bytes.
inline constexpr std::size_t kMaxNameBytes = 63;

// "team", "size class", "vm pool", ...: for messages.
std::string KindName(Kind kind);
// "team", "size_class", "vm_pool", ...: in the canonical form.
std::string KindKey(Kind kind);
// "teams", "size_classes", ...: the top-level keys of a set's file.
std::string KindListKey(Kind kind);

Kind KindOf(const Object& object);
const std::string& NameOf(const Object& object);
// Kind and name for messages, e.g. "service portal".
std::string Title(Kind kind, const std::string& name);
std::string Title(const Object& object);

// Whether `name` is lower-case letters, digits and inner hyphens, of 1 to 63
// bytes, beginning with a letter or digit.
bool IsValidName(std::string_view name);

}  // namespace carobmast::config

#endif  // CAROBMAST_CONFIG_KINDS_H_
