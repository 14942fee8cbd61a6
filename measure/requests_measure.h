// Measures the request core's decisions in virtual time: the latency of short
// and long work, goodput and refusals of one policy, beside round robin and an
// ideal single queue over all slots.
#ifndef CAROBMAST_MEASURE_REQUESTS_MEASURE_H_
#define CAROBMAST_MEASURE_REQUESTS_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure requests --workload zagreb|montevideo|FILE --policy NAME
// --load PERCENT --seed N --gateways N --output yaml`.
cli::Command RequestsCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_REQUESTS_MEASURE_H_
