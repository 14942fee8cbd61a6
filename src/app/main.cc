// Entry point of the one binary: the commands of all modules, wired together.
#include "framework/cli/command.h"
#include "operators/commands.h"

int main(int argc, char** argv) {
  const std::vector<carobmast::cli::Command> commands =
      carobmast::operators::OperatorCommands();
  return carobmast::cli::Dispatch(commands, argc, argv);
}
