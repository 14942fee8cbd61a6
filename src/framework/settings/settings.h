// Validated reading of the YAML settings of a process.
//
// Every failure throws Error with step "settings", peer "FILE:LINE" ("FILE"
// when the file can't be read or is too large) and a reason that says what was
// expected, with the key where there is one.
#ifndef CAROBMAST_FRAMEWORK_SETTINGS_SETTINGS_H_
#define CAROBMAST_FRAMEWORK_SETTINGS_SETTINGS_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "framework/base/units.h"
#include "framework/net/http_client.h"

namespace carobmast::settings {

// Reads one YAML map. Finish() rejects the keys that were not read.
class SettingsReader {
 public:
  // Parses a file. Throws Error for duplicate keys, aliases, files over 1 MiB
  // and nesting deeper than 16 levels. Parse() does the same with the text
  // `yaml` but has no size limit; `file` is used in error messages only.
  static SettingsReader Load(const std::string& path);
  static SettingsReader Parse(const std::string& yaml, const std::string& file);

  bool Has(const std::string& key);
  // Required keys: a missing key is an error. `min` and `max` are inclusive.
  std::string String(const std::string& key);
  std::int64_t Int(const std::string& key, std::int64_t min, std::int64_t max);
  net::Address Address(const std::string& key);
  SettingsReader Map(const std::string& key);
  std::vector<SettingsReader> MapList(const std::string& key);
  std::vector<std::string> StringList(const std::string& key);
  // Optional keys: `fallback` is returned when the key is missing. A key that
  // is present must be valid.
  std::string StringOr(const std::string& key, const std::string& fallback);
  std::int64_t IntOr(const std::string& key, std::int64_t min, std::int64_t max,
                     std::int64_t fallback);
  bool BoolOr(const std::string& key, bool fallback);
  Duration DurationOr(const std::string& key, Duration fallback);
  ByteCount ByteCountOr(const std::string& key, ByteCount fallback);
  net::Address AddressOr(const std::string& key, const net::Address& fallback);

  // Throws Error for the first key of this map that no method above was called
  // with. Readers of nested maps need a Finish() of their own.
  void Finish() const;

  // Throws Error at the line of `key`.
  [[noreturn]] void Fail(const std::string& key,
                         const std::string& reason) const;

 private:
  SettingsReader(YAML::Node node, std::string file, std::string path);
  YAML::Node Find(const std::string& key);
  YAML::Node Require(const std::string& key, const char* expected);
  [[noreturn]] void FailAt(const YAML::Node& at,
                           const std::string& reason) const;
  std::string FullKey(const std::string& key) const;

  YAML::Node node_;
  std::string file_;
  std::string path_;
  std::set<std::string> requested_keys_;
};

}  // namespace carobmast::settings

#endif  // CAROBMAST_FRAMEWORK_SETTINGS_SETTINGS_H_
