// The settings in force for one service's requests.
#ifndef CAROBMAST_REQUESTS_TYPES_SERVICE_RULES_H_
#define CAROBMAST_REQUESTS_TYPES_SERVICE_RULES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/types/objects.h"
#include "framework/base/time.h"

namespace carobmast::requests {

struct ServiceRules {
  std::string name;
  std::string team;
  config::Priority priority = config::Priority::kNormal;
  // Maximum number of the team's requests in flight at this gateway; 0 for no
  // limit.
  std::uint32_t team_max_requests = 0;
  // Maximum time from the arrival of a request to its answer.
  Duration deadline = std::chrono::seconds(1);
  // Size classes, the shortest first; empty if the service has none.
  std::vector<config::SizeClass> classes;
};

// Returns the rules of every service in a configuration set.
std::vector<ServiceRules> RulesOf(const config::Objects& objects);

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_TYPES_SERVICE_RULES_H_
