// Subcommands of the one binary.
#ifndef CAROBMAST_FRAMEWORK_CLI_COMMAND_H_
#define CAROBMAST_FRAMEWORK_CLI_COMMAND_H_

#include <tclap/CmdLine.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace carobmast::cli {

// Exit codes of every command, documented in docs/operators/commands.md.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kPlatformOut = 3,
};

struct Command {
  // One word, e.g. "publish".
  std::string name;
  // One line for the list of commands.
  std::string summary;
  // Takes the arguments after the command's name. Errors thrown from it are
  // printed on standard error and end the program with kRefused.
  std::function<ExitCode(const std::vector<std::string>& args)> run;
};

// Parses `args` into `line` (named after the command). Returns the exit code to
// end with: kDone after --help or --version, kUsage after a bad argument, whose
// message goes to standard error; empty to go on.
std::optional<ExitCode> ParseArguments(TCLAP::CmdLine& line,
                                       const std::string& command,
                                       const std::vector<std::string>& args);

// The product's version, e.g. "0.1.0".
const std::string& Version();

// Runs the command that argv names; prints the list of commands for --help.
int Dispatch(const std::vector<Command>& commands, int argc, char** argv);

}  // namespace carobmast::cli

#endif  // CAROBMAST_FRAMEWORK_CLI_COMMAND_H_
