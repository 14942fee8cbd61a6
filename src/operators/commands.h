// The operators' commands: check, publish, show, submit, cancel, status, drain,
// explain, diff, history and keygen.
#ifndef CAROBMAST_OPERATORS_COMMANDS_H_
#define CAROBMAST_OPERATORS_COMMANDS_H_

#include <vector>

#include "framework/cli/command.h"

namespace carobmast::operators {

std::vector<cli::Command> OperatorCommands();

}  // namespace carobmast::operators

#endif  // CAROBMAST_OPERATORS_COMMANDS_H_
