// Measures the cost of placement decisions as the number of workers grows.
#ifndef CAROBMAST_MEASURE_STARTS_MEASURE_H_
#define CAROBMAST_MEASURE_STARTS_MEASURE_H_

#include "framework/cli/command.h"

namespace carobmast::measure {

// `carobmast_measure starts --workers 50,500,5800 --tasks 70000`: processor
// time of a start, an end and a report, and memory of a worker and of a task.
// `--tasks` is the number for the largest pool; smaller pools get the same
// number of tasks per worker.
cli::Command StartsCommand();

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_STARTS_MEASURE_H_
