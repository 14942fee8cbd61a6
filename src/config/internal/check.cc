#include "config/check.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <utility>

#include "config/internal/yaml_tree.h"
#include "config/kinds.h"
#include "config/parse.h"
#include "config/rules.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

// Whether the field of `error` could not be parsed. Rule errors for it would
// only be consequences of the parse error.
bool IsUnparsed(const CheckError& error,
                const std::set<std::pair<std::string, std::string>>& unparsed) {
  const std::string field = error.field.substr(0, error.field.find('.'));
  return unparsed.contains({error.object, error.field}) ||
         unparsed.contains({error.object, field});
}

std::set<std::pair<std::string, std::string>> UnparsedFields(
    const std::vector<CheckError>& errors) {
  std::set<std::pair<std::string, std::string>> fields;
  for (const CheckError& error : errors) {
    fields.insert({error.object, error.field});
    fields.insert({error.object, error.field.substr(0, error.field.find('.'))});
  }
  return fields;
}

std::string NameFromTitle(const std::string& title) {
  return title.substr(title.rfind(' ') + 1);
}

// Adds the errors found by the rules, with line numbers, to `errors`. Leaves
// out those that may be consequences of parse errors.
void AddRuleErrors(const ParsedSet& parsed, std::vector<CheckError> found,
                   std::vector<CheckError>& errors) {
  const std::set<std::pair<std::string, std::string>> unparsed =
      UnparsedFields(parsed.errors);
  for (CheckError& error : found) {
    if (IsUnparsed(error, unparsed)) continue;
    if (error.derived && !parsed.errors.empty()) continue;
    const std::string field = error.field.substr(0, error.field.find('.'));
    error.line = parsed.LineOf(NameFromTitle(error.object), field);
    errors.push_back(std::move(error));
  }
}

}  // namespace

CheckedSet CheckText(const std::string& text, const std::string& file) {
  ParsedSet parsed = ParseSet(text, file);
  CheckedSet checked;
  const Change change{.put = std::move(parsed.objects)};
  checked.set.Apply(change, Stamp{});
  checked.errors = parsed.errors;
  checked.base = parsed.base;
  AddRuleErrors(parsed, CheckChangeV1(checked.set, change, {}), checked.errors);
  std::stable_sort(
      checked.errors.begin(), checked.errors.end(),
      [](const CheckError& a, const CheckError& b) { return a.line < b.line; });
  return checked;
}

CheckedSet CheckFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream || std::filesystem::is_directory(path)) {
    throw Error("check", path, "can't read the file");
  }
  std::string text(internal::kMaxFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return CheckText(text, path);
}

std::string FormatError(const CheckError& error, const std::string& file) {
  std::string where = file;
  if (error.line > 0) where += ":" + std::to_string(error.line);
  return where + ": " + error.ToString();
}

}  // namespace carobmast::config
