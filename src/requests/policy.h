// Routing policies: which of the instances with room gets the next request.
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
  // Chooses from a list that is not empty.
  std::function<InstanceState*(const std::vector<InstanceState*>&, Random&)>
      pick;
  // Prefers other zones to more than this gateway's share of a slot count in
  // its own zone.
  bool spills_early = false;
  // Each instance's slots are given out by one gateway, its home.
  bool homed = false;
  // Instances are asked for their requests in flight and latency.
  bool probes = false;
};

// round_robin, power_of_two, least_outstanding, probing or homed. Throws Error
// (step "policy") for any other name.
Policy MakePolicy(const std::string& name);

const std::vector<std::string>& PolicyNames();

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_POLICY_H_
