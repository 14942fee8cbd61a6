// Records trace spans and latency histograms of a gateway's requests and
// attempts.
#ifndef CAROBMAST_GATEWAY_REQUEST_TRACER_H_
#define CAROBMAST_GATEWAY_REQUEST_TRACER_H_

#include <string>
#include <unordered_map>

#include "framework/telemetry/metrics.h"
#include "framework/telemetry/trace.h"
#include "gateway/trace_hooks.h"

namespace carobmast::gateway {

class RequestTracer {
 public:
  // Both arguments must outlive this object.
  RequestTracer(const telemetry::Tracer& tracer,
                telemetry::MetricsRegistry& metrics);

  // Hooks that call this object, which must outlive them.
  TraceHooks MakeHooks();

 private:
  void BeginRequest(requests::RequestId id, const std::string& traceparent);
  void EndRequest(requests::RequestId id);
  std::string BeginAttempt(const requests::SendOrder& order);
  void EndAttempt(const requests::SendOrder& order, int status);

  const telemetry::Tracer& tracer_;
  Ref<telemetry::LatencyHistogram> request_seconds_;
  Ref<telemetry::LatencyHistogram> attempt_seconds_;
  // Spans that have not ended.
  std::unordered_map<requests::RequestId, telemetry::Span> requests_;
  std::unordered_map<requests::AttemptId, telemetry::Span> attempts_;
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_REQUEST_TRACER_H_
