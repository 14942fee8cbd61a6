// Measures the ownership of workers: recovery, appends and cost of starts.
#ifndef CAROBMAST_MEASURE_OWNERSHIP_MEASURE_H_
#define CAROBMAST_MEASURE_OWNERSHIP_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure ownership --seed N --runs N --seconds N`.
cli::Command OwnershipCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_OWNERSHIP_MEASURE_H_
