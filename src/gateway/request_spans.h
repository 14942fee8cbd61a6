// Spans of the requests and attempts of one gateway, written to a file.
#ifndef CAROBMAST_GATEWAY_REQUEST_SPANS_H_
#define CAROBMAST_GATEWAY_REQUEST_SPANS_H_

#include <string>
#include <unordered_map>

#include "framework/telemetry/otlp_file.h"
#include "framework/telemetry/trace.h"
#include "gateway/trace_hooks.h"

namespace carobmast::gateway {

struct RequestSpansOptions {
  // Spans are appended to this file.
  std::string file;
  std::string gateway;
  std::string zone;
  // Part of the traces begun here that are kept.
  double sample_ratio = 1;
};

class RequestSpans {
 public:
  explicit RequestSpans(const RequestSpansOptions& options);

  // Valid as long as this object.
  TraceHooks Hooks();
  void Flush() { file_.Flush(); }

 private:
  void BeginRequest(requests::RequestId id, const std::string& traceparent);
  void EndRequest(requests::RequestId id);
  std::string BeginAttempt(const requests::SendOrder& order);
  void EndAttempt(const requests::SendOrder& order, int status);

  telemetry::OtlpFile file_;
  telemetry::Tracer tracer_;
  std::unordered_map<requests::RequestId, telemetry::Span> requests_;
  std::unordered_map<requests::AttemptId, telemetry::Span> attempts_;
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_REQUEST_SPANS_H_
