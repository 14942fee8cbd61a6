// The command `carobmast scheduler`.
#ifndef CAROBMAST_SCHEDULER_SCHEDULER_COMMAND_H_
#define CAROBMAST_SCHEDULER_SCHEDULER_COMMAND_H_

#include "framework/cli/command.h"

namespace carobmast::scheduler {

// `carobmast scheduler --settings FILE` runs a scheduler until SIGTERM.
cli::Command SchedulerCommand();

}  // namespace carobmast::scheduler

#endif  // CAROBMAST_SCHEDULER_SCHEDULER_COMMAND_H_
