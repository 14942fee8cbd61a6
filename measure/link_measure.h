// Measures what peer links cost over loopback: processor time of a call and
// memory of an open link.
#ifndef CAROBMAST_MEASURE_LINK_MEASURE_H_
#define CAROBMAST_MEASURE_LINK_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure links --links N --calls N --bytes N`. Both ends run in
// this process; the figures are for both together.
cli::Command LinkCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_LINK_MEASURE_H_
