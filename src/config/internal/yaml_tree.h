// A YAML document as plain values with their lines. Refuses what a
// configuration file has no use for: anchors, aliases, tags, more than one
// document, and trees that are too deep or too large.
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
  // Counted from 1.
  int line = 1;
  std::string scalar;
  // Elements of a list; keys and values of a map in turn.
  std::vector<YamlNode> children;
};

// Throws Error (step "check", peer "FILE:LINE") when `text` is refused.
YamlNode ParseYamlTree(const std::string& text, const std::string& file);

}  // namespace carobmast::config::internal

#endif  // CAROBMAST_CONFIG_INTERNAL_YAML_TREE_H_
