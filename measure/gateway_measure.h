// Compares requests through the gateway, over loopback, with direct calls to
// the same target in the same run.
#ifndef CAROBMAST_MEASURE_GATEWAY_MEASURE_H_
#define CAROBMAST_MEASURE_GATEWAY_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure gateway --callers N --requests N --body BYTES`. The
// target, the gateway and the callers each run in a thread of this process.
cli::Command GatewayCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_GATEWAY_MEASURE_H_
