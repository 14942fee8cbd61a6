// Measures placement and colocation: services beside batch on virtual time.
#ifndef CAROBMAST_MEASURE_WORK_MEASURE_H_
#define CAROBMAST_MEASURE_WORK_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure work --workload zagreb|montevideo|FILE --policy NAME
// --seed N --output yaml`: the policy beside first fit without learning and
// beside services alone, with the same seed. With --check a missed target is an
// error.
cli::Command WorkCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_WORK_MEASURE_H_
