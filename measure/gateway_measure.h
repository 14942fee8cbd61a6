// Measures the real gateway over loopback beside direct calls to the same
// target, in one run.
#ifndef CAROBMAST_MEASURE_GATEWAY_MEASURE_H_
#define CAROBMAST_MEASURE_GATEWAY_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure gateway --callers N --requests N --body BYTES`. Target,
// gateway and callers run in one thread each of this process.
cli::Command GatewayCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_GATEWAY_MEASURE_H_
