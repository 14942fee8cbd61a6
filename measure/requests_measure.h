// Measures request routing in virtual time: latency of short and long requests,
// goodput and refusals of each policy, compared with round robin and with an
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
