// Parses a YAML document into a tree of values with line numbers. Refuses
// anchors, aliases, tags, multiple documents, and trees that are too deep or
// too large.
#ifndef CAROBMAST_CONFIG_INTERNAL_YAML_TREE_H_
#define CAROBMAST_CONFIG_INTERNAL_YAML_TREE_H_

#include <cstddef>
#include <string>
#include <vector>

namespace carobmast::config::internal {

inline constexpr std::size_t kMaxFileBytes = std::size_t{64} * 1024 * 1024;
inline constexpr std::size_t kMaxYamlDepth = 8;
inline constexpr std::size_t kMaxYamlNodes = std::size_t{8} * 1000 * 1000;

struct YamlNode {
  enum class Type { kNull, kScalar, kList, kMap };

  Type type = Type::kNull;
  // Line in the file, counted from 1.
  int line = 1;
  std::string scalar;
  // Elements of a list, or alternating keys and values of a map.
  std::vector<YamlNode> children;
};

// Throws Error (step "check", peer "FILE" or "FILE:LINE") when `text` is
// refused or no valid YAML.
YamlNode ParseYamlTree(const std::string& text, const std::string& file);

}  // namespace carobmast::config::internal

#endif  // CAROBMAST_CONFIG_INTERNAL_YAML_TREE_H_
