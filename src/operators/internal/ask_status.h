// Requests to the operator port of a daemon.
#ifndef CAROBMAST_OPERATORS_INTERNAL_ASK_STATUS_H_
#define CAROBMAST_OPERATORS_INTERNAL_ASK_STATUS_H_

#include <boost/json.hpp>
#include <string>

#include "framework/net/http_client.h"

namespace carobmast::operators::internal {

// Sends GET `target` to `daemon` and returns the JSON of the answer. Throws
// Error (step "status") when there is no answer, its HTTP status is not 200 or
// its body is no JSON.
boost::json::value AskStatus(const net::Address& daemon,
                             const std::string& target);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_ASK_STATUS_H_
