// Measures the cost of a configuration set as it grows: bytes and processor
// time of a change of one object, processor time to start from a compacted set,
// and memory.
#ifndef CAROBMAST_MEASURE_CONFIG_MEASURE_H_
#define CAROBMAST_MEASURE_CONFIG_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure config --objects N,N... --seed N --output yaml|json`.
cli::Command ConfigMeasureCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_CONFIG_MEASURE_H_
