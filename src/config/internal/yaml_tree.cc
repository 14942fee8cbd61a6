#include "config/internal/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <sstream>
#include <utility>

#include "framework/base/error.h"

namespace carobmast::config::internal {
namespace {

// Builds a YamlNode tree from the events of the YAML parser.
class TreeBuilder : public YAML::EventHandler {
 public:
  explicit TreeBuilder(std::string file) : file_(std::move(file)) {}

  YamlNode Take() { return std::move(root_); }

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    RefuseAnchor(mark, anchor);
    Add(mark, YamlNode::Type::kNull, "");
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    Refuse(mark, "aliases are not allowed");
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag,
                YAML::anchor_t anchor, const std::string& value) override {
    RefuseAnchor(mark, anchor);
    RefuseTag(mark, tag);
    Add(mark, YamlNode::Type::kScalar, value);
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    RefuseAnchor(mark, anchor);
    RefuseTag(mark, tag);
    Open(mark, YamlNode::Type::kList);
  }

  void OnSequenceEnd() override { Close(); }

  void OnMapStart(const YAML::Mark& mark, const std::string& tag,
                  YAML::anchor_t anchor, YAML::EmitterStyle::value) override {
    RefuseAnchor(mark, anchor);
    RefuseTag(mark, tag);
    Open(mark, YamlNode::Type::kMap);
  }

  void OnMapEnd() override { Close(); }

 private:
  [[noreturn]] void Refuse(const YAML::Mark& mark, const std::string& reason) {
    throw Error("check", file_ + ":" + std::to_string(mark.line + 1), reason);
  }

  void RefuseAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != 0) Refuse(mark, "anchors are not allowed");
  }

  void RefuseTag(const YAML::Mark& mark, const std::string& tag) {
    // The parser reports "!" for quoted scalars and "?" for untagged nodes.
    if (tag.empty() || tag == "!" || tag == "?") return;
    Refuse(mark, "tags are not allowed, found '" + tag + "'");
  }

  YamlNode* Add(const YAML::Mark& mark, YamlNode::Type type,
                const std::string& scalar) {
    if (++nodes_ > kMaxYamlNodes) Refuse(mark, "more than 8 million values");
    YamlNode node{.type = type, .line = mark.line + 1, .scalar = scalar};
    if (open_.empty()) {
      root_ = std::move(node);
      return &root_;
    }
    open_.back()->children.push_back(std::move(node));
    return &open_.back()->children.back();
  }

  void Open(const YAML::Mark& mark, YamlNode::Type type) {
    if (open_.size() >= kMaxYamlDepth) {
      Refuse(mark, "nested deeper than 8 levels");
    }
    // The pointer stays valid until Close, because the parent's list of
    // children does not grow before that.
    YamlNode* node = Add(mark, type, "");
    open_.push_back(node);
  }

  void Close() { open_.pop_back(); }

  std::string file_;
  YamlNode root_;
  std::vector<YamlNode*> open_;
  std::size_t nodes_ = 0;
};

}  // namespace

YamlNode ParseYamlTree(const std::string& text, const std::string& file) {
  if (text.size() > kMaxFileBytes) {
    throw Error("check", file, "larger than 64MiB");
  }
  try {
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    TreeBuilder builder(file);
    parser.HandleNextDocument(builder);
    TreeBuilder rest(file);
    if (parser.HandleNextDocument(rest)) {
      throw Error("check", file, "holds more than one YAML document");
    }
    return builder.Take();
  } catch (const YAML::Exception& error) {
    throw Error("check", file + ":" + std::to_string(error.mark.line + 1),
                error.msg);
  }
}

}  // namespace carobmast::config::internal
