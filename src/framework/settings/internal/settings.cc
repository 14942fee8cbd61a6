#include "framework/settings/settings.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "framework/base/error.h"

namespace carobmast::settings {
namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{1024} * 1024;
constexpr int kMaxDepth = 16;

std::string Location(const std::string& file, int line) {
  return file + ":" + std::to_string(line + 1);
}

// Checks the parser's events before a tree is built: with aliases of aliases a
// small file could take hours to load, and deep nesting would cause deep
// recursion.
class BoundsCheck : public YAML::EventHandler {
 public:
  explicit BoundsCheck(const std::string& file) : file_(file) {}

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark&, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    throw Error("settings", Location(file_, mark.line),
                "aliases are not allowed");
  }
  void OnScalar(const YAML::Mark&, const std::string&, YAML::anchor_t,
                const std::string&) override {}
  void OnSequenceStart(const YAML::Mark& mark, const std::string&,
                       YAML::anchor_t, YAML::EmitterStyle::value) override {
    Open(mark);
  }
  void OnSequenceEnd() override { --depth_; }
  void OnMapStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {
    Open(mark);
  }
  void OnMapEnd() override { --depth_; }

 private:
  void Open(const YAML::Mark& mark) {
    if (++depth_ <= kMaxDepth + 1) return;
    throw Error("settings", Location(file_, mark.line),
                "nested deeper than 16 levels");
  }

  std::string file_;
  int depth_ = 0;
};

void CheckBounds(const std::string& yaml, const std::string& file) {
  std::istringstream stream(yaml);
  YAML::Parser parser(stream);
  BoundsCheck check(file);
  parser.HandleNextDocument(check);
}

// Rejects duplicate keys (yaml-cpp would keep the last one), keys that are not
// scalars, and deep nesting.
void CheckTree(const YAML::Node& node, const std::string& file, int depth) {
  if (depth > kMaxDepth) {
    throw Error("settings", Location(file, node.Mark().line),
                "nested deeper than 16 levels");
  }
  if (node.IsSequence()) {
    for (const auto& item : node) CheckTree(item, file, depth + 1);
  }
  if (!node.IsMap()) return;
  std::set<std::string> keys_seen;
  for (const auto& entry : node) {
    if (!entry.first.IsScalar()) {
      throw Error("settings", Location(file, entry.first.Mark().line),
                  "a key must be plain text");
    }
    const std::string key = entry.first.Scalar();
    if (!keys_seen.insert(key).second) {
      throw Error("settings", Location(file, entry.first.Mark().line),
                  "duplicate key '" + key + "'");
    }
    CheckTree(entry.second, file, depth + 1);
  }
}

}  // namespace

SettingsReader::SettingsReader(YAML::Node node, std::string file,
                               std::string path)
    : node_(node), file_(std::move(file)), path_(std::move(path)) {}

SettingsReader SettingsReader::Load(const std::string& path) {
  std::ifstream stream(path);
  if (!stream || std::filesystem::is_directory(path)) {
    throw Error("settings", path, "can't read the file");
  }
  std::string text(kMaxFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > kMaxFileBytes) {
    throw Error("settings", path, "larger than 1MiB");
  }
  return Parse(text, path);
}

SettingsReader SettingsReader::Parse(const std::string& yaml,
                                     const std::string& file) {
  YAML::Node root;
  try {
    CheckBounds(yaml, file);
    root = YAML::Load(yaml);
  } catch (const YAML::Exception& error) {
    throw Error("settings", Location(file, error.mark.line), error.msg);
  }
  if (!root.IsMap()) {
    throw Error("settings", Location(file, 0), "expected a map of keys");
  }
  CheckTree(root, file, 0);
  return SettingsReader(root, file, "");
}

std::string SettingsReader::FullKey(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void SettingsReader::FailAt(const YAML::Node& at,
                            const std::string& reason) const {
  throw Error("settings", Location(file_, at.Mark().line), reason);
}

void SettingsReader::Fail(const std::string& key,
                          const std::string& reason) const {
  const YAML::Node value = node_[key];
  FailAt(value ? value : node_, "key '" + FullKey(key) + "': " + reason);
}

YAML::Node SettingsReader::Find(const std::string& key) {
  requested_keys_.insert(key);
  // Looking up a missing key in a non-const node would add it.
  const YAML::Node& node = node_;
  return node[key];
}

YAML::Node SettingsReader::Require(const std::string& key,
                                   const char* expected) {
  YAML::Node value = Has(key) ? Find(key) : YAML::Node();
  if (value.IsNull()) {
    Fail(key, std::string("missing, expected ") + expected);
  }
  return value;
}

bool SettingsReader::Has(const std::string& key) {
  requested_keys_.insert(key);
  const YAML::Node& node = node_;
  return static_cast<bool>(node[key]);
}

std::string SettingsReader::String(const std::string& key) {
  const YAML::Node value = Require(key, "text");
  if (!value.IsScalar() || value.Scalar().empty()) Fail(key, "expected text");
  return value.Scalar();
}

std::int64_t SettingsReader::Int(const std::string& key, std::int64_t min,
                                 std::int64_t max) {
  const YAML::Node value = Require(key, "a whole number");
  std::int64_t number = 0;
  if (!value.IsScalar() ||
      !YAML::convert<std::int64_t>::decode(value, number) || number < min ||
      number > max) {
    Fail(key, "expected a whole number from " + std::to_string(min) + " to " +
                  std::to_string(max) +
                  (value.IsScalar() ? ", found '" + value.Scalar() + "'" : ""));
  }
  return number;
}

net::Address SettingsReader::Address(const std::string& key) {
  const std::string text = String(key);
  try {
    return net::ParseAddress(text);
  } catch (const Error& error) {
    Fail(key, error.reason() + ", found '" + text + "'");
  }
}

SettingsReader SettingsReader::Map(const std::string& key) {
  const YAML::Node value = Require(key, "a map");
  if (!value.IsMap()) Fail(key, "expected a map");
  return SettingsReader(value, file_, FullKey(key));
}

std::vector<SettingsReader> SettingsReader::MapList(const std::string& key) {
  const YAML::Node value = Require(key, "a list of maps");
  if (!value.IsSequence()) Fail(key, "expected a list of maps");
  std::vector<SettingsReader> items;
  for (std::size_t i = 0; i < value.size(); ++i) {
    if (!value[i].IsMap()) FailAt(value[i], "expected a map");
    items.push_back(SettingsReader(
        value[i], file_, FullKey(key) + "[" + std::to_string(i) + "]"));
  }
  return items;
}

std::vector<std::string> SettingsReader::StringList(const std::string& key) {
  const YAML::Node value = Require(key, "a list of texts");
  if (!value.IsSequence()) Fail(key, "expected a list of texts");
  std::vector<std::string> items;
  for (const auto& item : value) {
    if (!item.IsScalar()) FailAt(item, "expected text");
    items.push_back(item.Scalar());
  }
  return items;
}

std::string SettingsReader::StringOr(const std::string& key,
                                     const std::string& fallback) {
  return Has(key) ? String(key) : fallback;
}

std::int64_t SettingsReader::IntOr(const std::string& key, std::int64_t min,
                                   std::int64_t max, std::int64_t fallback) {
  return Has(key) ? Int(key, min, max) : fallback;
}

bool SettingsReader::BoolOr(const std::string& key, bool fallback) {
  if (!Has(key)) return fallback;
  const YAML::Node value = Find(key);
  bool flag = false;
  if (!value.IsScalar() || !YAML::convert<bool>::decode(value, flag)) {
    Fail(key, "expected true or false");
  }
  return flag;
}

Duration SettingsReader::DurationOr(const std::string& key, Duration fallback) {
  if (!Has(key)) return fallback;
  const std::string text = String(key);
  const std::optional<Duration> value = ParseDuration(text);
  if (!value.has_value()) {
    Fail(key, "expected a duration with its unit such as 250ms, found '" +
                  text + "'");
  }
  return *value;
}

ByteCount SettingsReader::ByteCountOr(const std::string& key,
                                      ByteCount fallback) {
  if (!Has(key)) return fallback;
  const std::string text = String(key);
  const std::optional<ByteCount> value = ParseByteCount(text);
  if (!value.has_value()) {
    Fail(key,
         "expected a size with its unit such as 64KiB, found '" + text + "'");
  }
  return *value;
}

net::Address SettingsReader::AddressOr(const std::string& key,
                                       const net::Address& fallback) {
  return Has(key) ? Address(key) : fallback;
}

void SettingsReader::Finish() const {
  for (const auto& entry : node_) {
    const std::string key = entry.first.Scalar();
    if (requested_keys_.contains(key)) continue;
    FailAt(entry.first, "unknown key '" + FullKey(key) + "'");
  }
}

}  // namespace carobmast::settings
