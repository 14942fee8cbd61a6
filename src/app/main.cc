// Entry point of the one binary: the commands of all modules, wired together.
#include "framework/cli/command.h"
#include "gateway/gateway_command.h"
#include "operators/commands.h"
#include "scheduler/scheduler_command.h"

int main(int argc, char** argv) {
  std::vector<carobmast::cli::Command> commands =
      carobmast::operators::OperatorCommands();
  commands.push_back(carobmast::gateway::GatewayCommand());
  commands.push_back(carobmast::scheduler::SchedulerCommand());
  return carobmast::cli::Dispatch(commands, argc, argv);
}
