// Factories of the operators' commands.
#ifndef CAROBMAST_OPERATORS_INTERNAL_COMMAND_LIST_H_
#define CAROBMAST_OPERATORS_INTERNAL_COMMAND_LIST_H_

#include "framework/cli/command.h"

namespace carobmast::operators::internal {

cli::Command CheckCommand();
cli::Command PublishCommand();
cli::Command ShowCommand();
cli::Command SubmitCommand();
cli::Command CancelCommand();
cli::Command StatusCommand();
cli::Command DrainCommand();
cli::Command ExplainCommand();
cli::Command DiffCommand();
cli::Command HistoryCommand();
cli::Command KeygenCommand();

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_COMMAND_LIST_H_
