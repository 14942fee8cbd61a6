// Entry point of the one binary: the commands of all modules, wired together.
#include "framework/cli/command.h"
#include "gateway/gateway_command.h"
#include "operators/commands.h"

int main(int argc, char** argv) {
  std::vector<carobmast::cli::Command> commands =
      carobmast::operators::OperatorCommands();
  commands.push_back(carobmast::gateway::GatewayCommand());
  return carobmast::cli::Dispatch(commands, argc, argv);
}
