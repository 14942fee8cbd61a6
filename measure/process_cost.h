// Processor time and memory of this process.
#ifndef CAROBMAST_MEASURE_PROCESS_COST_H_
#define CAROBMAST_MEASURE_PROCESS_COST_H_

#include <cstddef>

#include "framework/base/time.h"

namespace carobmast::measure {

// Processor time used so far, of all threads.
Duration ProcessorTime();

// Resident memory now, in bytes.
std::size_t ResidentBytes();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_PROCESS_COST_H_
