// The command `carobmast scheduler`.
#ifndef CAROBMAST_SCHEDULER_SCHEDULER_COMMAND_H_
#define CAROBMAST_SCHEDULER_SCHEDULER_COMMAND_H_

#include "framework/cli/command.h"

namespace carobmast::scheduler {

// Returns the command `carobmast scheduler --settings FILE`, which runs a
// scheduler process until SIGTERM or SIGINT.
cli::Command SchedulerCommand();

}  // namespace carobmast::scheduler

#endif  // CAROBMAST_SCHEDULER_SCHEDULER_COMMAND_H_
