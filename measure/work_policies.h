// The policies that the work measurement compares.
#ifndef CAROBMAST_MEASURE_WORK_POLICIES_H_
#define CAROBMAST_MEASURE_WORK_POLICIES_H_

#include <memory>
#include <string>
#include <vector>

#include "measure/work_simulation.h"

namespace carobmast::measure {

// Services without batch.
WorkPolicy AlonePolicy();

// Tasks in the order of arrival, each on the first worker with room; tasks that
// do not fit are passed over. Learns nothing.
WorkPolicy FirstFitPolicy(const WorkWorkload& workload);

// The product's placement: "learned", or a variant that leaves one thing out:
// "no-remedies", "no-guards", "no-long-share". Throws Error for other names.
WorkPolicy PlacementPolicy(const std::string& name,
                           const WorkWorkload& workload);

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_WORK_POLICIES_H_
