// Measures placement and colocation of services and batch tasks in virtual
// time.
#ifndef CAROBMAST_MEASURE_WORK_MEASURE_H_
#define CAROBMAST_MEASURE_WORK_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure work --workload zagreb|montevideo|FILE --policy NAME
// --seed N --output yaml`: compares the policy with first fit, which learns
// nothing, and with services that run without batch, all with the same seed.
// With --check a missed target is an error.
cli::Command WorkCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_WORK_MEASURE_H_
