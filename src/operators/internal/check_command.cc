#include <iostream>
#include <string>
#include <vector>

#include "config/check.h"
#include "framework/base/error.h"
#include "operators/internal/arguments.h"
#include "operators/internal/command_list.h"
#include "operators/internal/output.h"

namespace carobmast::operators::internal {
namespace {

namespace json = boost::json;

// Checks one file, prints its errors on standard error and returns its entry
// for the report.
json::object CheckOne(const std::string& path) {
  json::object result{{"file", path}};
  try {
    const config::CheckedSet checked = config::CheckFile(path);
    for (const config::CheckError& error : checked.errors) {
      std::cerr << config::FormatError(error, path) << "\n";
    }
    result["errors"] = checked.errors.size();
    result["objects"] = checked.set.size();
    if (checked.errors.empty()) result["digest"] = checked.set.Digest();
  } catch (const Error& error) {
    std::cerr << error.peer() << ": " << error.reason() << "\n";
    result["errors"] = 1;
  }
  return result;
}

cli::ExitCode RunCheck(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Checks configuration sets without publishing them", ' ',
                      cli::Version());
  OutputArgument output(line);
  TCLAP::UnlabeledMultiArg<std::string> files(
      "file", "Files with one configuration set each", true, "FILE...", line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "check", args);
  if (early_exit.has_value()) return *early_exit;
  json::array results;
  bool valid = true;
  for (const std::string& path : files.getValue()) {
    json::object result = CheckOne(path);
    valid = valid && result["errors"].to_number<std::uint64_t>() == 0;
    results.push_back(std::move(result));
  }
  PrintResult(results, output.format());
  return valid ? cli::ExitCode::kDone : cli::ExitCode::kRefused;
}

}  // namespace

cli::Command CheckCommand() {
  return {.name = "check",
          .summary = "check configuration sets, offline",
          .run = RunCheck};
}

}  // namespace carobmast::operators::internal
