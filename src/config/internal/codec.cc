#include "config/codec.h"

#include <algorithm>
#include <limits>
#include <set>
#include <type_traits>
#include <utility>
#include <vector>

#include "config/internal/fields.h"
#include "config/internal/values.h"
#include "config/kinds.h"
#include "framework/base/error.h"
#include "framework/base/json.h"

namespace carobmast::config {
namespace {

namespace json = boost::json;

using internal::CountSpec;
using internal::DurationSpec;
using internal::FlagSpec;
using internal::NameListSpec;
using internal::Need;
using internal::PrioritySpec;
using internal::ReferenceListSpec;
using internal::ReferenceSpec;
using internal::ResourcesSpec;
using internal::TextSpec;

constexpr char kStep[] = "config codec";
constexpr unsigned kMaxJsonDepth = 32;

json::value ToJson(const contracts::Resources& value) {
  json::object object;
  object["milli_cpus"] = value.milli_cpus;
  object["memory"] = value.memory.bytes;
  if (value.accelerators > 0) object["accelerators"] = value.accelerators;
  return object;
}

json::value ToJson(const std::vector<std::string>& value) {
  json::array array;
  for (const std::string& item : value) array.emplace_back(item);
  return array;
}

json::value ToJson(const std::string& value) { return json::string(value); }
json::value ToJson(std::uint32_t value) { return std::uint64_t{value}; }
json::value ToJson(bool value) { return value; }
json::value ToJson(Duration value) { return value.count(); }
json::value ToJson(Priority value) {
  return json::string(internal::PriorityName(value));
}

// A visitor for VisitFields that writes the fields of an object as JSON.
template <typename O>
class JsonFieldWriter {
 public:
  JsonFieldWriter(const O& object, json::object& out)
      : object_(object), out_(out) {}

  template <typename Member, typename Spec>
  void Field(const char* name, Member O::*member, Spec, Need need) {
    if (need == Need::kOptional && object_.*member == defaults_.*member) {
      return;
    }
    out_[name] = ToJson(object_.*member);
  }

 private:
  const O& object_;
  const O defaults_{};
  json::object& out_;
};

// A visitor for VisitFields that reads the fields of an object from JSON.
// Removes the fields it has read from `fields`, so that unknown ones remain.
template <typename O>
class JsonFieldReader {
 public:
  JsonFieldReader(O& object, json::object& fields, std::string title)
      : object_(object), fields_(fields), title_(std::move(title)) {}

  template <typename Member, typename Spec>
  void Field(const char* name, Member O::*member, Spec spec, Need need) {
    json::value* value = fields_.if_contains(name);
    if (value == nullptr) {
      if (need == Need::kRequired) Fail(name, "missing");
      return;
    }
    Read(*value, name, object_.*member, spec);
    fields_.erase(name);
  }

  void Finish() const {
    if (fields_.empty()) return;
    const std::string field(fields_.begin()->key());
    Fail(field.c_str(), "unknown field");
  }

 private:
  [[noreturn]] void Fail(const char* field, const char* reason) const {
    throw Error(kStep, title_, std::string("field '") + field + "': " + reason);
  }

  std::uint64_t Unsigned(const json::value& value, const char* field,
                         std::uint64_t max) {
    if (!value.is_uint64() && !value.is_int64()) Fail(field, "no number");
    json::error_code error;
    const std::uint64_t number = value.to_number<std::uint64_t>(error);
    if (error || number > max) Fail(field, "out of range");
    return number;
  }

  template <typename Spec>
  void Read(const json::value& value, const char* field, std::string& out,
            Spec) {
    if (!value.is_string()) Fail(field, "no text");
    out = std::string(value.get_string());
  }

  template <typename Spec>
  void Read(const json::value& value, const char* field,
            std::vector<std::string>& out, Spec) {
    if (!value.is_array()) Fail(field, "no list");
    for (const json::value& item : value.get_array()) {
      if (!item.is_string()) Fail(field, "no list of texts");
      out.emplace_back(item.get_string());
    }
  }

  void Read(const json::value& value, const char* field, std::uint32_t& out,
            CountSpec) {
    out = static_cast<std::uint32_t>(
        Unsigned(value, field, std::numeric_limits<std::uint32_t>::max()));
  }

  void Read(const json::value& value, const char* field, Duration& out,
            DurationSpec) {
    constexpr std::uint64_t kMax =
        static_cast<std::uint64_t>(Duration::max().count());
    const std::uint64_t count = Unsigned(value, field, kMax);
    out = Duration{static_cast<Duration::rep>(count)};
  }

  void Read(const json::value& value, const char* field, bool& out, FlagSpec) {
    if (!value.is_bool()) Fail(field, "neither true nor false");
    out = value.get_bool();
  }

  void Read(const json::value& value, const char* field, Priority& out,
            PrioritySpec) {
    if (!value.is_string()) Fail(field, "no priority");
    const std::optional<Priority> priority =
        internal::ParsePriority(std::string(value.get_string()));
    if (!priority.has_value()) Fail(field, "no priority");
    out = *priority;
  }

  void Read(const json::value& value, const char* field,
            contracts::Resources& out, ResourcesSpec) {
    if (!value.is_object()) Fail(field, "no resources");
    constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
    bool has_cpus = false;
    bool has_memory = false;
    for (const json::key_value_pair& entry : value.get_object()) {
      if (entry.key() == "milli_cpus") {
        out.milli_cpus = Unsigned(entry.value(), field, kMax);
        has_cpus = true;
      } else if (entry.key() == "memory") {
        out.memory.bytes = Unsigned(entry.value(), field, kMax);
        has_memory = true;
      } else if (entry.key() == "accelerators") {
        Read(entry.value(), field, out.accelerators, CountSpec{});
      } else {
        Fail(field, "unknown resource");
      }
    }
    if (!has_cpus || !has_memory) Fail(field, "missing resource");
  }

  O& object_;
  json::object& fields_;
  std::string title_;
};

std::string TakeString(json::object& fields, const char* key) {
  const json::value* value = fields.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    throw Error(kStep, "object", std::string("'") + key + "' is no text");
  }
  std::string text(value->get_string());
  fields.erase(key);
  return text;
}

Kind ParseKind(const std::string& key) {
  for (const Kind kind : kAllKinds) {
    if (KindKey(kind) == key) return kind;
  }
  throw Error(kStep, "object", "unknown kind '" + key + "'");
}

template <typename O>
Object ReadObject(json::object fields, const std::string& name, Kind kind) {
  O object;
  object.name = name;
  JsonFieldReader<O> reader(object, fields, Title(kind, name));
  internal::VisitFields(reader, object);
  reader.Finish();
  return object;
}

template <typename O>
std::map<std::string, O>& MapOf(Objects& objects) {
  if constexpr (std::is_same_v<O, Team>) return objects.teams;
  if constexpr (std::is_same_v<O, SizeClass>) return objects.size_classes;
  if constexpr (std::is_same_v<O, VmPool>) return objects.vm_pools;
  if constexpr (std::is_same_v<O, Service>) return objects.services;
  if constexpr (std::is_same_v<O, BatchJob>) return objects.batch_jobs;
  if constexpr (std::is_same_v<O, StandingWorker>) {
    return objects.standing_workers;
  }
  if constexpr (std::is_same_v<O, DrainedVm>) return objects.drained_vms;
  if constexpr (std::is_same_v<O, Publisher>) return objects.publishers;
}

template <typename O>
void CollectSorted(const std::map<std::string, O>& map,
                   std::vector<Object>& all) {
  for (const auto& entry : map) all.emplace_back(entry.second);
}

std::vector<Object> SortedByName(const Objects& objects) {
  std::vector<Object> all;
  CollectSorted(objects.teams, all);
  CollectSorted(objects.size_classes, all);
  CollectSorted(objects.vm_pools, all);
  CollectSorted(objects.services, all);
  CollectSorted(objects.batch_jobs, all);
  CollectSorted(objects.standing_workers, all);
  CollectSorted(objects.drained_vms, all);
  CollectSorted(objects.publishers, all);
  std::sort(all.begin(), all.end(), [](const Object& a, const Object& b) {
    return NameOf(a) < NameOf(b);
  });
  return all;
}

template <typename O>
Object Copy(const std::map<std::string, O>& map, Kind kind,
            const std::string& name) {
  const auto found = map.find(name);
  if (found == map.end()) throw Error(kStep, Title(kind, name), "not found");
  return found->second;
}

// Formats a field value for a YAML file.
std::string YamlText(const std::string& text) {
  return json::serialize(json::string(text));
}
std::string YamlText(const std::vector<std::string>& list) {
  std::string text = "[";
  for (const std::string& item : list) {
    if (text.size() > 1) text += ", ";
    text += YamlText(item);
  }
  return text + "]";
}
std::string YamlText(std::uint32_t value) { return std::to_string(value); }
std::string YamlText(bool value) { return value ? "true" : "false"; }
std::string YamlText(Duration value) { return FormatDuration(value); }
std::string YamlText(Priority value) { return internal::PriorityName(value); }
std::string YamlText(const contracts::Resources& value) {
  std::string text = "{cpus: " + internal::FormatCpus(value.milli_cpus) +
                     ", memory: " + FormatByteCount(value.memory);
  if (value.accelerators > 0) {
    text += ", accelerators: " + std::to_string(value.accelerators);
  }
  return text + "}";
}

// A visitor for VisitFields that writes the fields of an object as YAML.
template <typename O>
class YamlFieldWriter {
 public:
  YamlFieldWriter(const O& object, std::string& out)
      : object_(object), out_(out) {}

  template <typename Member, typename Spec>
  void Field(const char* name, Member O::*member, Spec, Need need) {
    if (need == Need::kOptional && object_.*member == defaults_.*member) {
      return;
    }
    out_ +=
        std::string("    ") + name + ": " + YamlText(object_.*member) + "\n";
  }

 private:
  const O& object_;
  const O defaults_{};
  std::string& out_;
};

template <typename O>
void WriteYamlList(const std::map<std::string, O>& map, Kind kind,
                   std::string& out) {
  if (map.empty()) return;
  out += KindListKey(kind) + ":\n";
  for (const auto& entry : map) {
    out += "  - name: " + entry.first + "\n";
    YamlFieldWriter<O> writer(entry.second, out);
    internal::VisitFields(writer, entry.second);
  }
}

}  // namespace

json::object ObjectToJson(const Object& object) {
  json::object out;
  out["kind"] = KindKey(KindOf(object));
  out["name"] = NameOf(object);
  std::visit(
      [&](const auto& value) {
        JsonFieldWriter<std::decay_t<decltype(value)>> writer(value, out);
        internal::VisitFields(writer, value);
      },
      object);
  return out;
}

Object ObjectFromJson(const json::value& value) {
  if (!value.is_object()) throw Error(kStep, "object", "no JSON object");
  json::object fields = value.get_object();
  const Kind kind = ParseKind(TakeString(fields, "kind"));
  const std::string name = TakeString(fields, "name");
  switch (kind) {
    case Kind::kTeam:
      return ReadObject<Team>(std::move(fields), name, kind);
    case Kind::kSizeClass:
      return ReadObject<SizeClass>(std::move(fields), name, kind);
    case Kind::kVmPool:
      return ReadObject<VmPool>(std::move(fields), name, kind);
    case Kind::kService:
      return ReadObject<Service>(std::move(fields), name, kind);
    case Kind::kBatchJob:
      return ReadObject<BatchJob>(std::move(fields), name, kind);
    case Kind::kStandingWorker:
      return ReadObject<StandingWorker>(std::move(fields), name, kind);
    case Kind::kDrainedVm:
      return ReadObject<DrainedVm>(std::move(fields), name, kind);
    case Kind::kPublisher:
      return ReadObject<Publisher>(std::move(fields), name, kind);
  }
  throw Error(kStep, "object", "unknown kind");
}

std::string CanonicalText(const Object& object) {
  return json::serialize(ObjectToJson(object));
}

std::string SetToText(const Objects& objects) {
  json::array array;
  for (const Object& object : SortedByName(objects)) {
    array.push_back(ObjectToJson(object));
  }
  return json::serialize(array);
}

Objects SetFromText(const std::string& text) {
  json::error_code error;
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  const json::value value = json::parse(text, error, {}, options);
  if (error || !value.is_array()) throw Error(kStep, "set", "no JSON array");
  Objects objects;
  for (const json::value& item : value.get_array()) {
    PutObject(objects, ObjectFromJson(item));
  }
  return objects;
}

void PutObject(Objects& objects, const Object& object) {
  std::visit(
      [&](const auto& value) {
        MapOf<std::decay_t<decltype(value)>>(objects).insert_or_assign(
            value.name, value);
      },
      object);
}

void RemoveObject(Objects& objects, Kind kind, const std::string& name) {
  switch (kind) {
    case Kind::kTeam:
      objects.teams.erase(name);
      break;
    case Kind::kSizeClass:
      objects.size_classes.erase(name);
      break;
    case Kind::kVmPool:
      objects.vm_pools.erase(name);
      break;
    case Kind::kService:
      objects.services.erase(name);
      break;
    case Kind::kBatchJob:
      objects.batch_jobs.erase(name);
      break;
    case Kind::kStandingWorker:
      objects.standing_workers.erase(name);
      break;
    case Kind::kDrainedVm:
      objects.drained_vms.erase(name);
      break;
    case Kind::kPublisher:
      objects.publishers.erase(name);
      break;
  }
}

Object GetObject(const Objects& objects, Kind kind, const std::string& name) {
  switch (kind) {
    case Kind::kTeam:
      return Copy(objects.teams, kind, name);
    case Kind::kSizeClass:
      return Copy(objects.size_classes, kind, name);
    case Kind::kVmPool:
      return Copy(objects.vm_pools, kind, name);
    case Kind::kService:
      return Copy(objects.services, kind, name);
    case Kind::kBatchJob:
      return Copy(objects.batch_jobs, kind, name);
    case Kind::kStandingWorker:
      return Copy(objects.standing_workers, kind, name);
    case Kind::kDrainedVm:
      return Copy(objects.drained_vms, kind, name);
    case Kind::kPublisher:
      return Copy(objects.publishers, kind, name);
  }
  throw Error(kStep, name, "unknown kind");
}

std::string SetToYaml(const Objects& objects) {
  std::string text;
  WriteYamlList(objects.teams, Kind::kTeam, text);
  WriteYamlList(objects.size_classes, Kind::kSizeClass, text);
  WriteYamlList(objects.vm_pools, Kind::kVmPool, text);
  WriteYamlList(objects.services, Kind::kService, text);
  WriteYamlList(objects.batch_jobs, Kind::kBatchJob, text);
  WriteYamlList(objects.standing_workers, Kind::kStandingWorker, text);
  WriteYamlList(objects.drained_vms, Kind::kDrainedVm, text);
  WriteYamlList(objects.publishers, Kind::kPublisher, text);
  return text;
}

}  // namespace carobmast::config
