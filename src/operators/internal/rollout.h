// In which processes a published set is in force, as one scheduler and its
// peers report it.
#ifndef CAROBMAST_OPERATORS_INTERNAL_ROLLOUT_H_
#define CAROBMAST_OPERATORS_INTERNAL_ROLLOUT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <string>
#include <vector>

#include "contracts/types/log_record.h"
#include "framework/base/time.h"
#include "framework/net/http_client.h"

namespace carobmast::operators::internal {

struct RolloutState {
  // Whether every known process has the set or a newer one in force.
  bool complete = false;
  // Names of processes that have the set or a newer one in force.
  std::vector<std::string> in_force;
  // Names of the others, each followed by its offset or "(not reached)".
  std::vector<std::string> behind;
  // Why the last request to the scheduler failed; else empty.
  std::string error;
};

// Parses the "config" object of a scheduler's /status for the set at `offset`.
// Throws Error (step "status") when it is malformed.
RolloutState ParseRollout(const boost::json::object& config_status,
                          contracts::Offset offset);

// Polls `scheduler` until the set at `offset` is in force in every process or
// `timeout` has passed, and returns the last state. `client` must outlive the
// coroutine.
boost::asio::awaitable<RolloutState> WaitForRollout(net::HttpClient* client,
                                                    net::Address scheduler,
                                                    contracts::Offset offset,
                                                    Duration timeout);

// Adds `state` to a command's report, under the key "rollout".
void AddRollout(const RolloutState& state, boost::json::object& report);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_ROLLOUT_H_
