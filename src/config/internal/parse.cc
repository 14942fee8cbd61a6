#include "config/parse.h"

#include <optional>
#include <set>
#include <string_view>

#include "config/internal/fields.h"
#include "config/internal/values.h"
#include "config/internal/yaml_tree.h"
#include "config/kinds.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

using internal::CountSpec;
using internal::DurationSpec;
using internal::FlagSpec;
using internal::KeySpec;
using internal::NameListSpec;
using internal::Need;
using internal::PrioritySpec;
using internal::ReferenceListSpec;
using internal::ReferenceSpec;
using internal::ResourcesSpec;
using internal::TextSpec;
using internal::YamlNode;

// Adds the errors of one object to the parsed set.
class EntryErrors {
 public:
  EntryErrors(std::string title, ParsedSet& set)
      : title_(std::move(title)), set_(set) {}

  void Add(const YamlNode& at, const std::string& field,
           const std::string& reason) {
    set_.errors.push_back(
        {.object = title_, .field = field, .reason = reason, .line = at.line});
  }

  void AddExpected(const YamlNode& at, const std::string& field,
                   const std::string& expected) {
    std::string reason = "expected " + expected;
    if (at.type == YamlNode::Type::kScalar) {
      reason += ", found '" + at.scalar + "'";
    }
    Add(at, field, reason);
  }

 private:
  std::string title_;
  ParsedSet& set_;
};

// The keys of a YAML map; remembers which ones have not been read.
class KeyTable {
 public:
  // Reports non-scalar and duplicate keys.
  KeyTable(const YamlNode& map, const std::string& prefix, EntryErrors& errors)
      : prefix_(prefix) {
    for (std::size_t i = 0; i + 1 < map.children.size(); i += 2) {
      const YamlNode& key = map.children[i];
      if (key.type != YamlNode::Type::kScalar) {
        errors.Add(key, "", "a key must be plain text");
      } else if (!values_.emplace(key.scalar, &map.children[i + 1]).second) {
        errors.Add(key, prefix + key.scalar, "duplicate key");
      } else {
        unused_.emplace(key.scalar, &key);
      }
    }
  }

  // Returns the value and marks the key as read; null when the key is absent or
  // its value is empty.
  const YamlNode* Take(const std::string& key) {
    unused_.erase(key);
    const auto found = values_.find(key);
    if (found == values_.end()) return nullptr;
    return found->second->type == YamlNode::Type::kNull ? nullptr
                                                        : found->second;
  }

  void ReportUnused(EntryErrors& errors) const {
    for (const auto& entry : unused_) {
      errors.Add(*entry.second, prefix_ + entry.first, "unknown key");
    }
  }

 private:
  std::string prefix_;
  std::map<std::string, const YamlNode*> values_;
  std::map<std::string, const YamlNode*> unused_;
};

// A visitor for VisitFields that reads the fields of one object from a YAML
// map.
template <typename O>
class FieldReader {
 public:
  FieldReader(O& object, const YamlNode& map, ParsedSet& set,
              EntryErrors& errors)
      : object_(object),
        map_(map),
        set_(set),
        errors_(errors),
        keys_(map, "", errors) {
    keys_.Take("name");
  }

  template <typename Member, typename Spec>
  void Field(const char* name, Member O::*member, Spec spec, Need need) {
    const YamlNode* node = keys_.Take(name);
    if (node == nullptr) {
      if (need == Need::kRequired) errors_.Add(map_, name, "missing");
      return;
    }
    set_.lines.emplace(std::pair(object_.name, name), node->line);
    Read(*node, name, object_.*member, spec);
  }

  void Finish() { keys_.ReportUnused(errors_); }

 private:
  // Returns the scalar's text; reports an error if the node is no scalar.
  std::optional<std::string> Scalar(const YamlNode& node,
                                    const std::string& field,
                                    const char* expected) {
    if (node.type == YamlNode::Type::kScalar) return node.scalar;
    errors_.AddExpected(node, field, expected);
    return {};
  }

  // Parses the scalar with `parse`, or reports that `expected` was expected.
  template <typename T, typename Parse>
  void ReadScalar(const YamlNode& node, const std::string& field,
                  const char* expected, T& value, Parse parse) {
    const std::optional<std::string> text = Scalar(node, field, expected);
    if (!text.has_value()) return;
    const std::optional<T> parsed = parse(*text);
    if (parsed.has_value()) {
      value = *parsed;
    } else {
      errors_.AddExpected(node, field, expected);
    }
  }

  void Read(const YamlNode& node, const std::string& field, std::string& value,
            TextSpec) {
    value = Scalar(node, field, "text").value_or("");
  }

  void Read(const YamlNode& node, const std::string& field, std::string& value,
            KeySpec) {
    value = Scalar(node, field, "a public key").value_or("");
  }

  void Read(const YamlNode& node, const std::string& field, std::string& value,
            ReferenceSpec spec) {
    const std::string expected = "the name of a " + KindName(spec.kind);
    value = Scalar(node, field, expected.c_str()).value_or("");
  }

  void Read(const YamlNode& node, const std::string& field,
            std::vector<std::string>& value, NameListSpec) {
    if (node.type != YamlNode::Type::kList) {
      errors_.AddExpected(node, field, "a list of names");
      return;
    }
    for (const YamlNode& item : node.children) {
      const std::optional<std::string> text = Scalar(item, field, "a name");
      if (text.has_value()) value.push_back(*text);
    }
  }

  void Read(const YamlNode& node, const std::string& field,
            std::vector<std::string>& value, ReferenceListSpec) {
    Read(node, field, value, NameListSpec{});
  }

  void Read(const YamlNode& node, const std::string& field,
            std::uint32_t& value, CountSpec) {
    ReadScalar(
        node, field, "a whole number", value,
        [](const std::string& text) { return internal::ParseCount(text); });
  }

  void Read(const YamlNode& node, const std::string& field, Duration& value,
            DurationSpec) {
    ReadScalar(node, field, "a duration with its unit such as 250ms", value,
               [](const std::string& text) { return ParseDuration(text); });
  }

  void Read(const YamlNode& node, const std::string& field, bool& value,
            FlagSpec) {
    ReadScalar(node, field, "true or false", value,
               [](const std::string& text) -> std::optional<bool> {
                 if (text == "true") return true;
                 if (text == "false") return false;
                 return {};
               });
  }

  void Read(const YamlNode& node, const std::string& field, Priority& value,
            PrioritySpec) {
    ReadScalar(
        node, field, "urgent, high, normal or low", value,
        [](const std::string& text) { return internal::ParsePriority(text); });
  }

  void Read(const YamlNode& node, const std::string& field,
            contracts::Resources& value, ResourcesSpec) {
    if (node.type != YamlNode::Type::kMap) {
      errors_.AddExpected(node, field,
                          "a map of cpus, memory and accelerators");
      return;
    }
    KeyTable keys(node, field + ".", errors_);
    ReadCpus(node, keys, field + ".cpus", value);
    ReadMemory(node, keys, field + ".memory", value);
    const YamlNode* accelerators = keys.Take("accelerators");
    if (accelerators != nullptr) {
      Read(*accelerators, field + ".accelerators", value.accelerators,
           CountSpec{});
    }
    keys.ReportUnused(errors_);
  }

  void ReadCpus(const YamlNode& map, KeyTable& keys, const std::string& field,
                contracts::Resources& value) {
    const YamlNode* node = keys.Take("cpus");
    if (node == nullptr) {
      errors_.Add(map, field, "missing");
      return;
    }
    ReadScalar(
        *node, field, "processors such as 2 or 0.25", value.milli_cpus,
        [](const std::string& text) { return internal::ParseCpus(text); });
  }

  void ReadMemory(const YamlNode& map, KeyTable& keys, const std::string& field,
                  contracts::Resources& value) {
    const YamlNode* node = keys.Take("memory");
    if (node == nullptr) {
      errors_.Add(map, field, "missing");
      return;
    }
    ReadScalar(*node, field, "a size with its unit such as 4GB", value.memory,
               [](const std::string& text) { return ParseByteCount(text); });
  }

  O& object_;
  const YamlNode& map_;
  ParsedSet& set_;
  EntryErrors& errors_;
  KeyTable keys_;
};

// Returns the name of a list entry; reports an error if it is missing or
// invalid.
std::optional<std::string> ReadName(const YamlNode& entry, Kind kind,
                                    ParsedSet& set) {
  EntryErrors errors(KindName(kind), set);
  if (entry.type != YamlNode::Type::kMap) {
    errors.AddExpected(entry, "", "a map with a name");
    return {};
  }
  for (std::size_t i = 0; i + 1 < entry.children.size(); i += 2) {
    if (entry.children[i].scalar != "name") continue;
    const YamlNode& name = entry.children[i + 1];
    if (name.type == YamlNode::Type::kScalar && IsValidName(name.scalar)) {
      return name.scalar;
    }
    errors.AddExpected(name, "name",
                       "1 to 63 lower-case letters, digits and inner hyphens");
    return {};
  }
  errors.Add(entry, "name", "missing");
  return {};
}

// Returns whether no earlier object of any kind has this name; reports an error
// otherwise.
bool CheckUnique(const YamlNode& entry, Kind kind, const std::string& name,
                 ParsedSet& set) {
  const auto added = set.lines.emplace(std::pair(name, ""), entry.line);
  if (added.second) return true;
  EntryErrors errors(Title(kind, name), set);
  errors.Add(entry, "name",
             "duplicate: line " + std::to_string(added.first->second) +
                 " has an object of this name, so references to it would be "
                 "ambiguous");
  return false;
}

template <typename O>
void ReadEntry(const YamlNode& entry, Kind kind, ParsedSet& set) {
  const std::optional<std::string> name = ReadName(entry, kind, set);
  if (!name.has_value()) return;
  const bool is_first = CheckUnique(entry, kind, *name, set);
  O object;
  object.name = *name;
  EntryErrors errors(Title(kind, *name), set);
  FieldReader<O> reader(object, entry, set, errors);
  internal::VisitFields(reader, object);
  reader.Finish();
  if (is_first) set.objects.emplace_back(std::move(object));
}

void ReadEntryOfKind(const YamlNode& entry, Kind kind, ParsedSet& set) {
  switch (kind) {
    case Kind::kTeam:
      return ReadEntry<Team>(entry, kind, set);
    case Kind::kSizeClass:
      return ReadEntry<SizeClass>(entry, kind, set);
    case Kind::kVmPool:
      return ReadEntry<VmPool>(entry, kind, set);
    case Kind::kService:
      return ReadEntry<Service>(entry, kind, set);
    case Kind::kBatchJob:
      return ReadEntry<BatchJob>(entry, kind, set);
    case Kind::kStandingWorker:
      return ReadEntry<StandingWorker>(entry, kind, set);
    case Kind::kDrainedVm:
      return ReadEntry<DrainedVm>(entry, kind, set);
    case Kind::kPublisher:
      return ReadEntry<Publisher>(entry, kind, set);
  }
}

void ReadBase(const YamlNode* node, EntryErrors& errors, ParsedSet& set) {
  if (node == nullptr) return;
  const std::optional<std::uint32_t> base =
      node->type == YamlNode::Type::kScalar ? internal::ParseCount(node->scalar)
                                            : std::nullopt;
  if (!base.has_value()) {
    errors.AddExpected(*node, "base", "the offset of a set");
    return;
  }
  set.base = *base;
}

}  // namespace

int ParsedSet::LineOf(const std::string& name, const std::string& field) const {
  const auto exact = lines.find({name, field});
  if (exact != lines.end()) return exact->second;
  const auto object = lines.find({name, ""});
  return object == lines.end() ? 0 : object->second;
}

ParsedSet ParseSet(const std::string& text, const std::string& file) {
  const YamlNode root = internal::ParseYamlTree(text, file);
  if (root.type != YamlNode::Type::kMap) {
    throw Error("check", file + ":" + std::to_string(root.line),
                "expected a map of lists of objects");
  }
  ParsedSet set;
  EntryErrors errors("set", set);
  KeyTable keys(root, "", errors);
  ReadBase(keys.Take("base"), errors, set);
  for (const Kind kind : kAllKinds) {
    const YamlNode* list = keys.Take(KindListKey(kind));
    if (list == nullptr) continue;
    if (list->type != YamlNode::Type::kList) {
      errors.AddExpected(*list, KindListKey(kind), "a list of objects");
      continue;
    }
    for (const YamlNode& entry : list->children) {
      ReadEntryOfKind(entry, kind, set);
    }
  }
  keys.ReportUnused(errors);
  return set;
}

}  // namespace carobmast::config
