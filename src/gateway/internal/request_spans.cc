#include "gateway/request_spans.h"

#include <utility>

namespace carobmast::gateway {

namespace {

constexpr int kFirstServerError = 500;

telemetry::SpanTime Now() { return std::chrono::system_clock::now(); }

}  // namespace

RequestSpans::RequestSpans(const RequestSpansOptions& options)
    : file_({.path = options.file,
             .instance = options.gateway,
             .zone = options.zone}),
      tracer_({.sample_ratio = options.sample_ratio,
               .sink = [this](telemetry::Span span) {
                 file_.Add(std::move(span));
               }}) {}

TraceHooks RequestSpans::Hooks() {
  return {.begin_request =
              [this](requests::RequestId id, const std::string& traceparent) {
                BeginRequest(id, traceparent);
              },
          .end_request = [this](requests::RequestId id) { EndRequest(id); },
          .begin_attempt =
              [this](const requests::SendOrder& order) {
                return BeginAttempt(order);
              },
          .end_attempt = [this](const requests::SendOrder& order,
                                int status) { EndAttempt(order, status); }};
}

void RequestSpans::BeginRequest(requests::RequestId id,
                                const std::string& traceparent) {
  requests_[id] = tracer_.Begin(telemetry::ParseTraceparent(traceparent),
                                "request", telemetry::SpanKind::kServer, Now());
}

void RequestSpans::EndRequest(requests::RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  tracer_.End(std::move(found->second), Now());
  requests_.erase(found);
}

std::string RequestSpans::BeginAttempt(const requests::SendOrder& order) {
  const auto request = requests_.find(order.request);
  if (request == requests_.end()) return "";
  telemetry::Span span = tracer_.Begin(request->second.context, "attempt",
                                       telemetry::SpanKind::kClient, Now());
  span.attributes = {{"service", order.service},
                     {"instance", order.instance},
                     {"number", static_cast<std::int64_t>(order.number)}};
  const std::string traceparent = telemetry::FormatTraceparent(span.context);
  attempts_[order.attempt] = std::move(span);
  return traceparent;
}

void RequestSpans::EndAttempt(const requests::SendOrder& order, int status) {
  const auto found = attempts_.find(order.attempt);
  if (found == attempts_.end()) return;
  telemetry::Span span = std::move(found->second);
  attempts_.erase(found);
  span.attributes.emplace_back("status", static_cast<std::int64_t>(status));
  const bool failed = status == 0 || status >= kFirstServerError;
  span.status =
      failed ? telemetry::SpanStatus::kError : telemetry::SpanStatus::kOk;
  tracer_.End(std::move(span), Now());
}

}  // namespace carobmast::gateway
