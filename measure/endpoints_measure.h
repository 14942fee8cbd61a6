// Measures the cost of a gateway's endpoint table by the number of instances:
// bytes of the schedulers' answer, processor time to apply it and memory to
// store it.
#ifndef CAROBMAST_MEASURE_ENDPOINTS_MEASURE_H_
#define CAROBMAST_MEASURE_ENDPOINTS_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure endpoints --instances N...`. The instances are
// grouped into cells of 8 and arrive in one list from one scheduler.
cli::Command EndpointsCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_ENDPOINTS_MEASURE_H_
