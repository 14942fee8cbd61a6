#include "gateway/http_rules.h"

#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <set>

#include "framework/base/units.h"

namespace carobmast::gateway {

namespace http = boost::beast::http;
using Fields = http::fields;

namespace {

// Segments of the path that are part of an operation.
constexpr std::size_t kOperationSegments = 2;
// Bytes of an Idempotency-Key.
constexpr std::size_t kMaxKeyLength = 128;

std::string_view View(boost::core::string_view text) {
  return {text.data(), text.size()};
}

std::size_t FieldCount(const Fields& fields, http::field name) {
  return fields.count(name);
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

// Names, in lower case, of the fields that apply to one connection only and are
// not forwarded: the usual ones and those that Connection lists.
std::set<std::string> HopByHopFields(const Fields& fields) {
  std::set<std::string> names = {"connection",
                                 "keep-alive",
                                 "proxy-connection",
                                 "proxy-authenticate",
                                 "te",
                                 "trailer",
                                 "upgrade",
                                 "expect",
                                 "proxy-authorization"};
  const auto range = fields.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    for (const auto& token : http::token_list(field->value())) {
      names.insert(LowerCase(View(token)));
    }
  }
  // Connection must not remove the fields that frame the body, nor Host.
  names.erase("content-length");
  names.erase("transfer-encoding");
  names.erase("host");
  return names;
}

bool IsProductField(std::string_view lower_name) {
  return lower_name.starts_with("carobmast-");
}

void AppendField(std::string& out, std::string_view name,
                 std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void AppendFields(std::string& out, const Fields& fields,
                  const std::set<std::string>& omitted) {
  for (const Fields::value_type& field : fields) {
    const std::string lower = LowerCase(View(field.name_string()));
    if (omitted.contains(lower) || IsProductField(lower)) continue;
    AppendField(out, View(field.name_string()), View(field.value()));
  }
}

bool IsOnlyChunked(std::string_view value) {
  return LowerCase(value) == "chunked";
}

std::string_view FirstSegment(std::string_view path) {
  if (!path.empty()) path.remove_prefix(1);
  return path.substr(0, path.find('/'));
}

std::string_view FirstLabel(std::string_view host) {
  return host.substr(0, host.find_first_of(".:"));
}

}  // namespace

std::optional<std::string> FindProtocolError(const RequestHead& head) {
  if (head.version() != 11) return "only HTTP/1.1 is served";
  const std::string_view target = View(head.target());
  if (target.empty() || target.front() != '/') return "the target is no path";
  if (head.method() == http::verb::connect ||
      head.method() == http::verb::trace) {
    return "the method is not served";
  }
  if (FieldCount(head, http::field::host) != 1) return "not one Host";
  const std::size_t content_lengths =
      FieldCount(head, http::field::content_length);
  const std::size_t transfer_encodings =
      FieldCount(head, http::field::transfer_encoding);
  if (content_lengths > 1) return "more than one Content-Length";
  if (content_lengths > 0 && transfer_encodings > 0) {
    return "both Content-Length and Transfer-Encoding";
  }
  if (transfer_encodings > 1 ||
      (transfer_encodings == 1 &&
       !IsOnlyChunked(View(head[http::field::transfer_encoding])))) {
    return "a Transfer-Encoding other than chunked";
  }
  if (head.count(kKeyField) > 1 || head[kKeyField].size() > kMaxKeyLength) {
    return "not one Idempotency-Key of at most 128 bytes";
  }
  return std::nullopt;
}

std::string ServiceOf(
    const RequestHead& head,
    const std::function<bool(const std::string&)>& is_service) {
  std::string requested(View(head[kServiceField]));
  if (!requested.empty()) return is_service(requested) ? requested : "";
  std::string segment(FirstSegment(PathOf(View(head.target()))));
  if (is_service(segment)) return segment;
  std::string label(FirstLabel(View(head[http::field::host])));
  return is_service(label) ? label : "";
}

std::string OperationOf(const RequestHead& head) {
  const std::string_view path = PathOf(View(head.target()));
  std::size_t end = 0;
  for (std::size_t i = 0; i < kOperationSegments; ++i) {
    end = path.find('/', end + 1);
    if (end == std::string_view::npos) break;
  }
  return std::string(View(head.method_string())) + ' ' +
         std::string(path.substr(0, end));
}

bool IsIdempotent(const RequestHead& head) {
  switch (head.method()) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::options:
    case http::verb::put:
    case http::verb::delete_:
      return true;
    default:
      return View(head[kIdempotentField]) == "yes";
  }
}

std::optional<Duration> TimeoutOf(const RequestHead& head) {
  return ParseDuration(View(head[kTimeoutField]));
}

std::string FormatRequestHead(const RequestHead& head, Duration time_left,
                              const std::string& traceparent) {
  std::string out(View(head.method_string()));
  out.append(" ").append(View(head.target())).append(" HTTP/1.1\r\n");
  std::set<std::string> omitted = HopByHopFields(head);
  if (!traceparent.empty()) omitted.insert("traceparent");
  AppendFields(out, head, omitted);
  if (!traceparent.empty()) AppendField(out, "traceparent", traceparent);
  const std::chrono::milliseconds time_left_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
  AppendField(out, kTimeoutField, std::to_string(time_left_ms.count()) + "ms");
  return out.append("\r\n");
}

std::string FormatResponseHead(const ResponseHead& head, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(head.result_int()) + ' ';
  out.append(View(head.reason())).append("\r\n");
  AppendFields(out, head, HopByHopFields(head));
  AppendField(out, kRanField, requests::RanName(requests::Ran::kYes));
  if (close) AppendField(out, "Connection", "close");
  return out.append("\r\n");
}

std::string FormatRefusal(const requests::Refusal& refusal,
                          const std::string& detail, bool close) {
  const char* reason = requests::ReasonName(refusal.reason);
  const char* ran = requests::RanName(refusal.ran);
  const int status = requests::ReasonStatus(refusal.reason);
  std::string body = std::string("{\"reason\":\"") + reason + "\",\"ran\":\"" +
                     ran + "\",\"detail\":\"" + detail + "\"}\n";
  const boost::core::string_view phrase =
      http::obsolete_reason(static_cast<http::status>(status));
  std::string out = "HTTP/1.1 " + std::to_string(status) + ' ';
  out.append(View(phrase)).append("\r\n");
  AppendField(out, kRanField, ran);
  AppendField(out, kReasonField, reason);
  AppendField(out, "Content-Type", "application/json");
  AppendField(out, "Content-Length", std::to_string(body.size()));
  if (close) AppendField(out, "Connection", "close");
  return out.append("\r\n").append(body);
}

}  // namespace carobmast::gateway
