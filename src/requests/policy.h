// Routing policies, which choose the instance for a request among those with
// spare capacity.
#ifndef CAROBMAST_REQUESTS_POLICY_H_
#define CAROBMAST_REQUESTS_POLICY_H_

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "requests/instance_state.h"

namespace carobmast::requests {

using Random = std::mt19937_64;

struct Policy {
  std::string name;
  // Picks an instance from a list, which must not be empty.
  std::function<InstanceState*(const std::vector<InstanceState*>&, Random&)>
      pick;
  // Routes requests to other zones as soon as this gateway uses its share of
  // the slots of each instance in its own zone.
  bool spills_early = false;
  // One gateway, the home of an instance, assigns the instance's slots.
  bool homed = false;
  // Instances are probed for their requests in flight and latency.
  bool probes = false;
};

// Returns the policy with that name: round_robin, power_of_two,
// least_outstanding, probing or homed. Throws Error (step "policy") for any
// other name.
Policy MakePolicy(const std::string& name);

const std::vector<std::string>& PolicyNames();

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_POLICY_H_
