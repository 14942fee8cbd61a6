// Entry point of the one binary: lists the commands of all modules.
#include "framework/cli/command.h"
#include "gateway/gateway_command.h"

int main(int argc, char** argv) {
  const std::vector<carobmast::cli::Command> commands = {
      carobmast::gateway::GatewayCommand(),
  };
  return carobmast::cli::Dispatch(commands, argc, argv);
}
