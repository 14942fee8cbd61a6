#include "operators/commands.h"

#include "operators/internal/command_list.h"

namespace carobmast::operators {

std::vector<cli::Command> OperatorCommands() {
  return {internal::CheckCommand(),  internal::PublishCommand(),
          internal::ShowCommand(),   internal::SubmitCommand(),
          internal::CancelCommand(), internal::StatusCommand(),
          internal::DrainCommand(),  internal::ExplainCommand(),
          internal::DiffCommand(),   internal::HistoryCommand(),
          internal::KeygenCommand()};
}

}  // namespace carobmast::operators
