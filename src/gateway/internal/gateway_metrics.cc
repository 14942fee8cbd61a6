#include "gateway/gateway_metrics.h"

namespace carobmast::gateway {
namespace {

// Counters only grow, so the difference to the last value is added.
void SetCounter(telemetry::MetricsRegistry& metrics, const std::string& name,
                const std::string& help, std::uint64_t value,
                const telemetry::Labels& labels = {}) {
  const Ref<telemetry::Counter> counter =
      metrics.AddCounter(name, help, labels);
  counter->Add(value - counter->value());
}

}  // namespace

void UpdateMetrics(telemetry::MetricsRegistry& metrics,
                   const requests::RequestCore& core) {
  const requests::CoreCounters& counters = core.counters();
  SetCounter(metrics, "carobmast_requests_total", "Requests of callers",
             counters.requests);
  SetCounter(metrics, "carobmast_answered_total",
             "Requests whose whole answer was passed on", counters.answered);
  SetCounter(metrics, "carobmast_attempts_total", "Attempts sent to instances",
             counters.attempts);
  SetCounter(metrics, "carobmast_retries_total", "Attempts after the first",
             counters.retries);
  SetCounter(metrics, "carobmast_spilled_total",
             "Attempts at instances in other zones", counters.spilled);
  SetCounter(metrics, "carobmast_late_answers_total",
             "Answers that nobody waited for", counters.late_answers);
  for (std::size_t i = 0; i < requests::kReasonCount; ++i) {
    SetCounter(
        metrics, "carobmast_refused_total",
        "Requests the gateway answered itself", counters.refused[i],
        {{"reason", requests::ReasonName(static_cast<requests::Reason>(i))}});
  }
  metrics
      .AddGauge("carobmast_requests_in_flight", "Requests without an answer")
      ->Set(static_cast<double>(core.in_flight()));
  metrics.AddGauge("carobmast_open_instances", "Instances that take requests")
      ->Set(static_cast<double>(core.open_instances()));
}

}  // namespace carobmast::gateway
