// Measures the cost of peer links over loopback: processor time per call and
// memory per open link.
#ifndef CAROBMAST_MEASURE_LINK_MEASURE_H_
#define CAROBMAST_MEASURE_LINK_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure links --links N --calls N --bytes N`. Both ends run in
// this process; the results are the sum of both.
cli::Command LinkCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_LINK_MEASURE_H_
