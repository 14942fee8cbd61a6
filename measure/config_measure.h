// Measures what a configuration set costs by its size: bytes and processor time
// of one changed object, time to start from a whole set, memory.
#ifndef CAROBMAST_MEASURE_CONFIG_MEASURE_H_
#define CAROBMAST_MEASURE_CONFIG_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

cli::Command ConfigMeasureCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_CONFIG_MEASURE_H_
