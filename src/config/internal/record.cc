#include "config/record.h"

#include <boost/json.hpp>
#include <set>
#include <utility>

#include "config/codec.h"
#include "config/kinds.h"
#include "framework/base/error.h"
#include "framework/base/json.h"

namespace carobmast::config {
namespace {

namespace json = boost::json;

constexpr char kStep[] = "config record";
constexpr std::size_t kDigestDigits = 64;

[[noreturn]] void Refuse(const std::string& reason) {
  throw Error(kStep, "log", reason);
}

std::string ReadDigest(const JsonReader& reader) {
  std::string digest = reader.String("digest");
  if (digest.size() != kDigestDigits) Refuse("'digest' is no SHA-256");
  return digest;
}

json::object StampedToJson(const StampedObject& object) {
  json::object out;
  out["at"] = object.stamp.offset;
  out["ms"] = object.stamp.at.time_since_epoch().count();
  out["object"] = ObjectToJson(object.object);
  return out;
}

StampedObject StampedFromJson(const JsonReader& reader) {
  const std::chrono::milliseconds since_epoch(reader.Int("ms"));
  return {
      .object = ObjectFromJson(reader.Object("object").object()),
      .stamp = {.offset = reader.Unsigned("at"), .at = WallTime(since_epoch)}};
}

// Throws when a change names an object more than once.
void CheckUniqueNames(const Change& change) {
  std::set<std::string> names;
  for (const Object& object : change.put) {
    if (!names.insert(NameOf(object)).second) {
      Refuse("names '" + NameOf(object) + "' twice");
    }
  }
  for (const std::string& name : change.remove) {
    if (!names.insert(name).second) Refuse("names '" + name + "' twice");
  }
}

Record ReadPublish(const JsonReader& reader, std::uint32_t rules) {
  PublishRecord record{.rules = rules,
                       .base = reader.Unsigned("base"),
                       .publisher = reader.String("publisher"),
                       .digest = ReadDigest(reader),
                       .signature = reader.StringOr("signature", "")};
  if (record.publisher.size() > kMaxPublisherBytes) {
    Refuse("'publisher' is longer than 128 bytes");
  }
  for (const json::value& object : reader.Array("put")) {
    record.change.put.push_back(ObjectFromJson(object));
  }
  for (const json::value& name : reader.Array("remove")) {
    if (!name.is_string()) Refuse("'remove' holds more than names");
    record.change.remove.emplace_back(name.get_string());
  }
  CheckUniqueNames(record.change);
  return record;
}

Record ReadCompaction(const JsonReader& reader, std::uint32_t rules) {
  CompactionRecord record{.head = {.offset = reader.Unsigned("offset"),
                                   .digest = ReadDigest(reader),
                                   .through = reader.Unsigned("through"),
                                   .rules = rules},
                          .group = reader.String("group")};
  const std::uint64_t part = reader.Unsigned("part");
  const std::uint64_t parts = reader.Unsigned("parts");
  if (parts == 0 || parts > kMaxParts || part >= parts) {
    Refuse("'part' and 'parts' are out of range");
  }
  record.part = static_cast<std::uint32_t>(part);
  record.parts = static_cast<std::uint32_t>(parts);
  for (const json::value& object : reader.Array("objects")) {
    record.objects.push_back(StampedFromJson(reader.Element(object)));
  }
  return record;
}

Record ReadRecord(const std::string& data, std::uint32_t max_rules) {
  if (data.size() > kMaxRecordBytes) Refuse("longer than 8MiB");
  const JsonReader reader = JsonReader::Parse(data, kStep, "log");
  const std::uint64_t format = reader.Unsigned("format");
  const std::uint64_t rules = reader.Unsigned("rules");
  if (format > kRecordFormat || rules > max_rules) {
    return UnknownRecord{.format = format, .rules = rules};
  }
  if (format == 0 || rules == 0) Refuse("no format or no rule version");
  const std::string type = reader.String("type");
  const std::uint32_t known_rules = static_cast<std::uint32_t>(rules);
  if (type == "publish") return ReadPublish(reader, known_rules);
  if (type == "compaction") return ReadCompaction(reader, known_rules);
  Refuse("unknown type '" + type.substr(0, kMaxNameBytes) + "'");
}

json::object CompactionHeader(const Head& head, const std::string& group) {
  json::object out;
  out["format"] = kRecordFormat;
  out["rules"] = head.rules;
  out["type"] = "compaction";
  out["group"] = group;
  out["offset"] = head.offset;
  out["through"] = head.through;
  out["digest"] = head.digest;
  return out;
}

// The objects as JSON arrays of about kPartBytes each; at least one array.
std::vector<json::array> SplitIntoParts(const ObjectSet& set) {
  std::vector<json::array> parts(1);
  std::size_t bytes = 0;
  set.ForEachAfter("", [&](const StampedObject& object) {
    if (bytes > kPartBytes) {
      parts.emplace_back();
      bytes = 0;
    }
    json::object item = StampedToJson(object);
    bytes += json::serialize(item).size();
    parts.back().push_back(std::move(item));
    return true;
  });
  return parts;
}

}  // namespace

Record DecodeRecord(const std::string& data, std::uint32_t max_rules) {
  try {
    return ReadRecord(data, max_rules);
  } catch (const Error& error) {
    return MalformedRecord{.reason = error.what()};
  }
}

std::string EncodePublish(const PublishRecord& record) {
  json::object out;
  out["format"] = kRecordFormat;
  out["rules"] = record.rules;
  out["type"] = "publish";
  out["base"] = record.base;
  out["publisher"] = record.publisher;
  out["digest"] = record.digest;
  json::array put;
  for (const Object& object : record.change.put) {
    put.push_back(ObjectToJson(object));
  }
  out["put"] = std::move(put);
  json::array remove;
  for (const std::string& name : record.change.remove) {
    remove.emplace_back(name);
  }
  out["remove"] = std::move(remove);
  if (!record.signature.empty()) out["signature"] = record.signature;
  return json::serialize(out);
}

std::vector<contracts::NewRecord> EncodeCompaction(const Head& head,
                                                   const ObjectSet& set,
                                                   const std::string& group) {
  std::vector<json::array> parts = SplitIntoParts(set);
  std::vector<contracts::NewRecord> records;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    json::object out = CompactionHeader(head, group);
    out["part"] = i;
    out["parts"] = parts.size();
    out["objects"] = std::move(parts[i]);
    records.push_back(
        {.id = group + "-" + std::to_string(i), .data = json::serialize(out)});
  }
  return records;
}

std::string EncodeStamped(const StampedObject& object) {
  return json::serialize(StampedToJson(object));
}

StampedObject DecodeStamped(const std::string& text) {
  return StampedFromJson(JsonReader::Parse(text, kStep, "peer"));
}

}  // namespace carobmast::config
