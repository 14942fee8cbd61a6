// Measures what a gateway's knowledge of instances costs by their number: bytes
// of the schedulers' answer, processor time to take it in, memory to hold it.
#ifndef CAROBMAST_MEASURE_ENDPOINTS_MEASURE_H_
#define CAROBMAST_MEASURE_ENDPOINTS_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure endpoints --instances N...`. Instances come in cells of
// 8, as one list of a scheduler.
cli::Command EndpointsCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_ENDPOINTS_MEASURE_H_
