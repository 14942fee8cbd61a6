// The policies that the work measurement compares.
#ifndef CAROBMAST_MEASURE_WORK_POLICIES_H_
#define CAROBMAST_MEASURE_WORK_POLICIES_H_

#include <memory>
#include <string>
#include <vector>

#include "measure/work_simulation.h"

namespace carobmast::measure {

// Places services and never starts batch tasks.
WorkPolicy ServicesOnlyPolicy();

// Starts tasks in order of arrival, each on the first worker with enough free
// resources, and skips tasks that do not fit. Learns nothing from reports.
WorkPolicy FirstFitPolicy(const WorkWorkload& workload);

// The product's placement ("learned"), or a variant with one feature disabled:
// "no-remedies", "no-guards" or "no-long-share". Throws Error for other names.
WorkPolicy PlacementPolicy(const std::string& name,
                           const WorkWorkload& workload);

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_WORK_POLICIES_H_
