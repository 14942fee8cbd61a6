// Entry point of the carobmast program: registers the commands of all modules.
#include "app/charts_command.h"
#include "framework/cli/command.h"
#include "gateway/gateway_command.h"
#include "operators/commands.h"
#include "platform/node_command.h"
#include "scheduler/scheduler_command.h"

int main(int argc, char** argv) {
  std::vector<carobmast::cli::Command> commands =
      carobmast::operators::OperatorCommands();
  commands.push_back(carobmast::gateway::GatewayCommand());
  commands.push_back(carobmast::scheduler::SchedulerCommand());
  commands.push_back(carobmast::platform::NodeCommand());
  commands.push_back(carobmast::app::ChartsCommand());
  return carobmast::cli::Dispatch(commands, argc, argv);
}
