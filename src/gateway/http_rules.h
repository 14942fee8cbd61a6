// The gateway's HTTP/1.1 rules: which requests are malformed, which service a
// request is for, which header fields are forwarded, and how messages are
// formatted. Pure functions.
#ifndef CAROBMAST_GATEWAY_HTTP_RULES_H_
#define CAROBMAST_GATEWAY_HTTP_RULES_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <functional>
#include <optional>
#include <string>

#include "framework/base/time.h"
#include "requests/types/request.h"

namespace carobmast::gateway {

using RequestHead = boost::beast::http::request_header<>;
using ResponseHead = boost::beast::http::response_header<>;

// Header fields that the gateway reads or writes. Those that begin with
// "carobmast-" are not forwarded.
inline constexpr char kServiceField[] = "carobmast-service";
inline constexpr char kTimeoutField[] = "carobmast-timeout";
inline constexpr char kIdempotentField[] = "carobmast-idempotent";
inline constexpr char kRanField[] = "carobmast-ran";
inline constexpr char kLeavingField[] = "carobmast-leaving";
inline constexpr char kReasonField[] = "carobmast-reason";
inline constexpr char kKeyField[] = "Idempotency-Key";

// Checks what the parser accepts but the gateway does not, such as attempts at
// request smuggling. Returns a text for the caller, or nothing when the head is
// valid.
std::optional<std::string> FindProtocolError(const RequestHead& head);

// The service a request is for. If the field carobmast-service is present, only
// that may name it; otherwise the first segment of the path or, failing that,
// the first label of Host. Empty when none is found.
std::string ServiceOf(
    const RequestHead& head,
    const std::function<bool(const std::string&)>& is_service);

// The method and the first two segments of the path, e.g. "GET /portal/users".
std::string OperationOf(const RequestHead& head);

// True for GET, HEAD, OPTIONS, PUT and DELETE, and for requests with the field
// "carobmast-idempotent: yes".
bool IsIdempotent(const RequestHead& head);

// The value of the field carobmast-timeout, e.g. "250ms"; nothing when it is
// absent or malformed.
std::optional<Duration> TimeoutOf(const RequestHead& head);

// The request head to send to an instance. `time_left` until the deadline is
// sent as carobmast-timeout in milliseconds, rounded down. A `traceparent` that
// is not empty replaces the caller's.
std::string FormatRequestHead(const RequestHead& head, Duration time_left,
                              const std::string& traceparent);

// The response head to send to the caller, with "carobmast-ran: yes". With
// `close` it announces that the connection will be closed.
std::string FormatResponseHead(const ResponseHead& head, bool close);

// The complete response for a request that the gateway refuses, with a JSON
// body. `detail` is inserted as it is and must need no JSON escapes.
std::string FormatRefusal(const requests::Refusal& refusal,
                          const std::string& detail, bool close);

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_HTTP_RULES_H_
