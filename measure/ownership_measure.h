// Measures the ownership of workers in virtual time: recovery times, appends to
// the log, and processor time per task start.
#ifndef CAROBMAST_MEASURE_OWNERSHIP_MEASURE_H_
#define CAROBMAST_MEASURE_OWNERSHIP_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure ownership --seed N --runs N --seconds N`. Each of the runs
// measures both recovery times with a seed of its own; --seconds is how long
// tasks are submitted at the peak rate.
cli::Command OwnershipCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_OWNERSHIP_MEASURE_H_
