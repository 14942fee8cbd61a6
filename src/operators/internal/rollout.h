// Where a set is in force, as one scheduler and its peers see it.
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
  // Whether every process that is known has the set or a newer one.
  bool complete = false;
  std::vector<std::string> in_force;
  // With the offset that each holds, or why it is not known.
  std::vector<std::string> behind;
  std::string error;
};

// Reads the "config" object of a daemon's /status.
RolloutState ParseRollout(const boost::json::object& config_status,
                          contracts::Offset offset);

// Asks `scheduler` until the set of `offset` is in force in every process, or
// until the time is up. The client stays alive meanwhile.
boost::asio::awaitable<RolloutState> WaitForRollout(net::HttpClient* client,
                                                    net::Address scheduler,
                                                    contracts::Offset offset,
                                                    Duration timeout);

void AddRollout(const RolloutState& state, boost::json::object& report);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_ROLLOUT_H_
