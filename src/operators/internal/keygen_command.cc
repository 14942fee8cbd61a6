#include <string>
#include <vector>

#include "config/kinds.h"
#include "config/signing.h"
#include "framework/base/error.h"
#include "operators/internal/arguments.h"
#include "operators/internal/command_list.h"
#include "operators/internal/key_file.h"
#include "operators/internal/output.h"

namespace carobmast::operators::internal {
namespace {

cli::ExitCode RunKeygen(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Generates a key pair for a publisher", ' ',
                      cli::Version());
  OutputArgument output(line);
  TCLAP::UnlabeledValueArg<std::string> name(
      "name", "Name of the publisher in the configuration set", true, "",
      "NAME", line);
  TCLAP::UnlabeledValueArg<std::string> file(
      "file", "New file for the private key", true, "", "FILE", line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "keygen", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("keygen", [&] {
    if (!config::IsValidName(name.getValue())) {
      throw Error("settings", "NAME",
                  "expected 1 to 63 lower-case letters, digits and inner "
                  "hyphens");
    }
    const config::KeyPair pair = config::GenerateKeyPair();
    WriteKeyFile(file.getValue(), pair.private_key);
    const boost::json::object publisher{{"name", name.getValue()},
                                        {"key", pair.public_key}};
    PrintResult(boost::json::object{{"publishers", {publisher}}},
                output.format());
    return cli::ExitCode::kDone;
  });
}

}  // namespace

cli::Command KeygenCommand() {
  return {.name = "keygen",
          .summary = "generate a key pair for a publisher",
          .run = RunKeygen};
}

}  // namespace carobmast::operators::internal
