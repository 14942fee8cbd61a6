// Hooks for a span of each hop: the caller's request, and each attempt.
#ifndef CAROBMAST_GATEWAY_TRACE_HOOKS_H_
#define CAROBMAST_GATEWAY_TRACE_HOOKS_H_

#include <functional>
#include <string>

#include "requests/types/request.h"

namespace carobmast::gateway {

// Each may be empty.
struct TraceHooks {
  // `traceparent` as the caller gave it; may be empty or malformed.
  std::function<void(requests::RequestId, const std::string& traceparent)>
      begin_request;
  std::function<void(requests::RequestId)> end_request;
  // Returns the traceparent to send along.
  std::function<std::string(const requests::SendOrder&)> begin_attempt;
  // `status` is 0 when no answer came.
  std::function<void(const requests::SendOrder&, int status)> end_attempt;
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_TRACE_HOOKS_H_
