#include "requests/types/service_rules.h"

namespace carobmast::requests {

namespace {

std::vector<config::SizeClass> ClassesOf(const config::Objects& objects,
                                         const config::Service& service) {
  std::vector<config::SizeClass> classes;
  for (const std::string& name : service.size_classes) {
    const auto found = objects.size_classes.find(name);
    if (found != objects.size_classes.end()) classes.push_back(found->second);
  }
  return classes;
}

}  // namespace

std::vector<ServiceRules> RulesOf(const config::Objects& objects) {
  std::vector<ServiceRules> rules;
  for (const auto& [name, service] : objects.services) {
    ServiceRules rule{.name = name,
                      .team = service.team,
                      .deadline = service.deadline,
                      .classes = ClassesOf(objects, service)};
    const auto team = objects.teams.find(service.team);
    if (team != objects.teams.end()) {
      rule.priority = team->second.priority;
      rule.team_max_requests = team->second.max_requests;
    }
    rules.push_back(std::move(rule));
  }
  return rules;
}

}  // namespace carobmast::requests
