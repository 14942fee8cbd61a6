// Checked reading of the YAML settings of a process.
//
// Every error is one Error with step "settings", peer "FILE:LINE" and a reason
// that names the key and what was expected.
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

// Reads one YAML map. Keys that nothing asked for are refused by Finish().
class SettingsReader {
 public:
  // Parses a file. Refuses duplicate keys, aliases, files over 1 MiB and maps
  // deeper than 16 levels.
  static SettingsReader Load(const std::string& path);
  static SettingsReader Parse(const std::string& yaml, const std::string& file);

  bool Has(const std::string& key);
  // Required keys.
  std::string String(const std::string& key);
  std::int64_t Int(const std::string& key, std::int64_t min, std::int64_t max);
  net::Address Address(const std::string& key);
  SettingsReader Map(const std::string& key);
  std::vector<SettingsReader> MapList(const std::string& key);
  std::vector<std::string> StringList(const std::string& key);
  // Optional keys.
  std::string StringOr(const std::string& key, const std::string& fallback);
  std::int64_t IntOr(const std::string& key, std::int64_t min, std::int64_t max,
                     std::int64_t fallback);
  bool BoolOr(const std::string& key, bool fallback);
  Duration DurationOr(const std::string& key, Duration fallback);
  ByteCount ByteCountOr(const std::string& key, ByteCount fallback);
  net::Address AddressOr(const std::string& key, const net::Address& fallback);

  // Throws for the first key of this map that was never asked for.
  void Finish() const;

  // Throws an error at the line of `key`.
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
  std::set<std::string> asked_;
};

}  // namespace carobmast::settings

#endif  // CAROBMAST_FRAMEWORK_SETTINGS_SETTINGS_H_
