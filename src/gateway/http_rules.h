// Rules for callers' HTTP/1.1 requests and for what is passed on: which
// messages are refused, which header fields end at the gateway, and which
// service a request is for. Pure functions.
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

// Header fields of the product.
inline constexpr char kServiceField[] = "carobmast-service";
inline constexpr char kTimeoutField[] = "carobmast-timeout";
inline constexpr char kIdempotentField[] = "carobmast-idempotent";
inline constexpr char kRanField[] = "carobmast-ran";
inline constexpr char kLeavingField[] = "carobmast-leaving";
inline constexpr char kReasonField[] = "carobmast-reason";
inline constexpr char kKeyField[] = "Idempotency-Key";

// What is wrong with a request whose head the parser took; empty when nothing
// is.
std::optional<std::string> FindProtocolError(const RequestHead& head);

// The service a request is for: named by the field carobmast-service, else by
// the first segment of the path, else by the first label of Host; empty when
// none of them names one.
std::string ServiceOf(
    const RequestHead& head,
    const std::function<bool(const std::string&)>& is_service);

// The method and the first two segments of the path.
std::string OperationOf(const RequestHead& head);

// GET, HEAD, OPTIONS, PUT and DELETE, or the field carobmast-idempotent: yes.
bool IsIdempotent(const RequestHead& head);

// The field carobmast-timeout, e.g. "250ms"; empty when absent or malformed.
std::optional<Duration> TimeoutOf(const RequestHead& head);

// The head to send to an instance, without a body's framing when `body` says
// that there is none. `left` is the time left to answer.
std::string FormatRequestHead(const RequestHead& head, Duration time_left,
                              const std::string& traceparent);

// The head to send to the caller. `close` announces the connection's end.
std::string FormatResponseHead(const ResponseHead& head, bool close);

// A whole answer of the gateway itself.
std::string FormatRefusal(const requests::Refusal& refusal,
                          const std::string& detail, bool close);

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_HTTP_RULES_H_
