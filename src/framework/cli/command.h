// The subcommands of the `carobmast` binary and the parsing of their arguments.
#ifndef CAROBMAST_FRAMEWORK_CLI_COMMAND_H_
#define CAROBMAST_FRAMEWORK_CLI_COMMAND_H_

#include <tclap/CmdLine.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace carobmast::cli {

// Exit codes of all commands, documented in docs/operators/commands.md.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,
  kUsage = 2,
  kPlatformUnavailable = 3,
};

// A subcommand of the binary.
struct Command {
  // One word, e.g. "publish".
  std::string name;
  // One line for the list of commands.
  std::string summary;
  // Runs the command with the arguments after its name. An Error thrown by it
  // is printed on standard error and ends the program with kUsage for the step
  // "settings" and with kRefused otherwise.
  std::function<ExitCode(const std::vector<std::string>& args)> run;
};

// Parses `args` into `line`; `command` is used in messages. Returns the exit
// code when the program should end: kDone after --help or --version, kUsage
// after an invalid argument, which is reported on standard error. Otherwise
// returns empty.
std::optional<ExitCode> ParseArguments(TCLAP::CmdLine& line,
                                       const std::string& command,
                                       const std::vector<std::string>& args);

// The product's version, e.g. "0.1.0".
const std::string& Version();

// Runs the command named by argv[1] and returns the exit code of the process.
// Prints the list of commands for --help.
int Dispatch(const std::vector<Command>& commands, int argc, char** argv);

}  // namespace carobmast::cli

#endif  // CAROBMAST_FRAMEWORK_CLI_COMMAND_H_
