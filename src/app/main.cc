// Entry point of the one binary: lists the commands of all modules.
#include "framework/cli/command.h"

int main(int argc, char** argv) {
  const std::vector<carobmast::cli::Command> commands = {};
  return carobmast::cli::Dispatch(commands, argc, argv);
}
