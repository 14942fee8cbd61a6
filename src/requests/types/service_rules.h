// What the configuration in force says about one service's requests.
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
  // Requests of the team in flight at this gateway; 0 for no limit.
  std::uint32_t team_max_requests = 0;
  Duration deadline = std::chrono::seconds(1);
  // Shortest class first; empty when the service has no classes.
  std::vector<config::SizeClass> classes;
};

// The rules of every service of a set.
std::vector<ServiceRules> RulesOf(const config::Objects& objects);

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_TYPES_SERVICE_RULES_H_
