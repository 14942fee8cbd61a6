// Processor time and memory of this process.
#ifndef CAROBMAST_MEASURE_PROCESS_COST_H_
#define CAROBMAST_MEASURE_PROCESS_COST_H_

#include <cstddef>

#include "framework/base/time.h"

namespace carobmast::measure {

// Returns the processor time that all threads have used so far.
Duration ProcessorTime();

// Returns the current resident memory, in bytes. Assumes pages of 4 KiB.
std::size_t ResidentBytes();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_PROCESS_COST_H_
