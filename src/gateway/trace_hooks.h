// Hooks to trace each request of a caller and each attempt at an instance.
#ifndef CAROBMAST_GATEWAY_TRACE_HOOKS_H_
#define CAROBMAST_GATEWAY_TRACE_HOOKS_H_

#include <functional>
#include <string>

#include "requests/types/request.h"

namespace carobmast::gateway {

// Each hook may be empty.
struct TraceHooks {
  // `traceparent` is the caller's header field; it may be empty or malformed.
  std::function<void(requests::RequestId, const std::string& traceparent)>
      begin_request;
  std::function<void(requests::RequestId)> end_request;
  // Returns the traceparent to send to the instance; empty to send the
  // caller's.
  std::function<std::string(const requests::SendOrder&)> begin_attempt;
  // `status` is the HTTP status, 0 when no answer arrived.
  std::function<void(const requests::SendOrder&, int status)> end_attempt;
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_TRACE_HOOKS_H_
