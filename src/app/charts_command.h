// The command that draws the state charts of the program.
#ifndef CAROBMAST_APP_CHARTS_COMMAND_H_
#define CAROBMAST_APP_CHARTS_COMMAND_H_

#include "framework/cli/command.h"

namespace carobmast::app {

// `carobmast charts` prints the page docs/CHARTS.md.
cli::Command ChartsCommand();

}  // namespace carobmast::app

#endif  // CAROBMAST_APP_CHARTS_COMMAND_H_
