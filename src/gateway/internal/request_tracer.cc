#include "gateway/request_tracer.h"

#include <chrono>
#include <utility>

namespace carobmast::gateway {
namespace {

telemetry::SpanTime Now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

}  // namespace

RequestTracer::RequestTracer(const telemetry::Tracer& tracer,
                             telemetry::MetricsRegistry& metrics)
    : tracer_(tracer),
      request_seconds_(metrics.AddHistogram(
          "carobmast_request_seconds",
          "Time from a request's head to the end of its answer")),
      attempt_seconds_(metrics.AddHistogram(
          "carobmast_attempt_seconds",
          "Time from the sending of an attempt to its end")) {}

TraceHooks RequestTracer::MakeHooks() {
  return {
      .begin_request =
          [this](requests::RequestId id, const std::string& traceparent) {
            BeginRequest(id, traceparent);
          },
      .end_request = [this](requests::RequestId id) { EndRequest(id); },
      .begin_attempt =
          [this](const requests::SendOrder& order) {
            return BeginAttempt(order);
          },
      .end_attempt = [this](const requests::SendOrder& order,
                            int status) { EndAttempt(order, status); },
  };
}

void RequestTracer::BeginRequest(requests::RequestId id,
                                 const std::string& traceparent) {
  requests_[id] = tracer_.Begin(telemetry::ParseTraceparent(traceparent),
                                "request", telemetry::SpanKind::kServer, Now());
}

void RequestTracer::EndRequest(requests::RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const telemetry::SpanTime now = Now();
  request_seconds_->Record(now - found->second.start);
  tracer_.End(std::move(found->second), now);
  requests_.erase(found);
}

std::string RequestTracer::BeginAttempt(const requests::SendOrder& order) {
  const auto request = requests_.find(order.request);
  if (request == requests_.end()) return "";
  telemetry::Span span = tracer_.Begin(request->second.context, "attempt",
                                       telemetry::SpanKind::kClient, Now());
  span.attributes = {{"service", order.service},
                     {"instance", order.instance},
                     {"peer", order.address},
                     {"number", static_cast<std::int64_t>(order.number)}};
  std::string traceparent = telemetry::FormatTraceparent(span.context);
  attempts_[order.attempt] = std::move(span);
  return traceparent;
}

void RequestTracer::EndAttempt(const requests::SendOrder& order, int status) {
  const auto found = attempts_.find(order.attempt);
  if (found == attempts_.end()) return;
  telemetry::Span& span = found->second;
  const telemetry::SpanTime now = Now();
  attempt_seconds_->Record(now - span.start);
  span.attributes.emplace_back("http.status",
                               static_cast<std::int64_t>(status));
  span.status =
      status == 0 ? telemetry::SpanStatus::kError : telemetry::SpanStatus::kOk;
  tracer_.End(std::move(span), now);
  attempts_.erase(found);
}

}  // namespace carobmast::gateway
