// Measures the cost of the work stream's state by the number of tasks: memory,
// processor time to fold the records, and bytes of a snapshot and of the VM
// list.
#ifndef CAROBMAST_MEASURE_WORK_STATE_MEASURE_H_
#define CAROBMAST_MEASURE_WORK_STATE_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure work-state --tasks N...`. There is one worker for every
// 12 tasks and one cell for every 8 workers.
cli::Command WorkStateCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_WORK_STATE_MEASURE_H_
