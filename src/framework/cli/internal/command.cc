#include "framework/cli/command.h"

#include <algorithm>
#include <iostream>

#include "framework/base/error.h"

namespace carobmast::cli {
namespace {

void PrintCommands(const std::vector<Command>& commands, std::ostream& out) {
  out << "usage: carobmast COMMAND [ARGUMENT...]\n\n";
  for (const Command& command : commands) {
    out << "  " << command.name
        << std::string(12 - std::min<std::size_t>(command.name.size(), 11), ' ')
        << command.summary << "\n";
  }
  out << "\n'carobmast COMMAND --help' lists the arguments of a command.\n"
         "Exit codes: 0 done, 1 refused, 2 usage, 3 platform unavailable.\n";
}

int RunCommand(const Command& command, const std::vector<std::string>& args) {
  try {
    return static_cast<int>(command.run(args));
  } catch (const Error& error) {
    std::cerr << "carobmast " << command.name << ": " << error.what() << "\n";
    return static_cast<int>(error.step() == "settings" ? ExitCode::kUsage
                                                       : ExitCode::kRefused);
  }
}

}  // namespace

const std::string& Version() {
  static const std::string version = CAROBMAST_VERSION;
  return version;
}

std::optional<ExitCode> ParseArguments(TCLAP::CmdLine& line,
                                       const std::string& command,
                                       const std::vector<std::string>& args) {
  std::vector<std::string> arguments = {"carobmast " + command};
  arguments.insert(arguments.end(), args.begin(), args.end());
  line.setExceptionHandling(false);
  try {
    line.parse(arguments);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? ExitCode::kDone : ExitCode::kUsage;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "carobmast " << command << ": " << error.argId() << ": "
              << error.error() << "\n";
    return ExitCode::kUsage;
  }
  return {};
}

int Dispatch(const std::vector<Command>& commands, int argc, char** argv) {
  const std::string command_name = argc > 1 ? argv[1] : "";
  if (command_name == "--version") {
    std::cout << "carobmast " << Version() << "\n";
    return static_cast<int>(ExitCode::kDone);
  }
  if (command_name == "--help" || command_name == "-h" ||
      command_name == "help") {
    PrintCommands(commands, std::cout);
    return static_cast<int>(ExitCode::kDone);
  }
  const auto found = std::find_if(
      commands.begin(), commands.end(),
      [&](const Command& command) { return command.name == command_name; });
  if (found == commands.end()) {
    std::cerr << "carobmast: "
              << (command_name.empty()
                      ? std::string("no command given")
                      : "unknown command '" + command_name + "'")
              << "\n";
    PrintCommands(commands, std::cerr);
    return static_cast<int>(ExitCode::kUsage);
  }
  return RunCommand(*found, std::vector<std::string>(argv + 2, argv + argc));
}

}  // namespace carobmast::cli
