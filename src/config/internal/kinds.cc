#include "config/kinds.h"

#include "config/types/check_error.h"

namespace carobmast::config {
namespace {

struct KindNames {
  const char* name;
  const char* key;
  const char* list_key;
};

constexpr std::array<KindNames, 8> kKindNames = {{
    {"team", "team", "teams"},
    {"size class", "size_class", "size_classes"},
    {"vm pool", "vm_pool", "vm_pools"},
    {"service", "service", "services"},
    {"batch job", "batch_job", "batch_jobs"},
    {"standing worker", "standing_worker", "standing_workers"},
    {"drained vm", "drained_vm", "drained_vms"},
    {"publisher", "publisher", "publishers"},
}};

const KindNames& NamesOf(Kind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

}  // namespace

std::string KindName(Kind kind) { return NamesOf(kind).name; }

std::string KindKey(Kind kind) { return NamesOf(kind).key; }

std::string KindListKey(Kind kind) { return NamesOf(kind).list_key; }

Kind KindOf(const Object& object) { return static_cast<Kind>(object.index()); }

const std::string& NameOf(const Object& object) {
  return std::visit(
      [](const auto& value) -> const std::string& { return value.name; },
      object);
}

std::string Title(Kind kind, const std::string& name) {
  return KindName(kind) + " " + name;
}

std::string Title(const Object& object) {
  return Title(KindOf(object), NameOf(object));
}

bool IsValidName(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes || name[0] == '-') {
    return false;
  }
  for (const char c : name) {
    if (!IsNameCharacter(c)) return false;
  }
  return true;
}

std::string CheckError::ToString() const {
  if (field.empty()) return object + ": " + reason;
  return object + ": field '" + field + "': " + reason;
}

}  // namespace carobmast::config
