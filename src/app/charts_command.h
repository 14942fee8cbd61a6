// The `charts` command.
#ifndef CAROBMAST_APP_CHARTS_COMMAND_H_
#define CAROBMAST_APP_CHARTS_COMMAND_H_

#include "framework/cli/command.h"

namespace carobmast::app {

// Returns the `carobmast charts` command. It prints the page docs/CHARTS.md,
// with the built-in state charts as Mermaid diagrams, on standard output.
cli::Command ChartsCommand();

}  // namespace carobmast::app

#endif  // CAROBMAST_APP_CHARTS_COMMAND_H_
