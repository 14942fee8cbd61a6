// The commands of operators: check, publish, submit, cancel, status, drain and
// the questions about the configuration.
#ifndef CAROBMAST_OPERATORS_COMMANDS_H_
#define CAROBMAST_OPERATORS_COMMANDS_H_

#include <vector>

#include "framework/cli/command.h"

namespace carobmast::operators {

std::vector<cli::Command> OperatorCommands();

}  // namespace carobmast::operators

#endif  // CAROBMAST_OPERATORS_COMMANDS_H_
