#include "gateway/gateway_metrics.h"

namespace carobmast::gateway {
void UpdateMetrics(telemetry::MetricsRegistry& metrics,
                   const requests::RequestCore& core) {
  const requests::CoreCounters& counters = core.counters();
  metrics.SetCounter("carobmast_requests_total", "Requests of callers",
                     counters.requests);
  metrics.SetCounter("carobmast_answered_total",
                     "Requests whose whole answer was passed on",
                     counters.answered);
  metrics.SetCounter("carobmast_attempts_total", "Attempts sent to instances",
                     counters.attempts);
  metrics.SetCounter("carobmast_retries_total", "Attempts after the first",
                     counters.retries);
  metrics.SetCounter("carobmast_spilled_total",
                     "Attempts at instances in other zones", counters.spilled);
  metrics.SetCounter("carobmast_late_answers_total",
                     "Answers that nobody waited for", counters.late_answers);
  for (std::size_t i = 0; i < requests::kReasonCount; ++i) {
    metrics.SetCounter(
        "carobmast_refused_total", "Requests the gateway answered itself",
        counters.refused[i],
        {{"reason", requests::ReasonName(static_cast<requests::Reason>(i))}});
  }
  metrics
      .AddGauge("carobmast_requests_in_flight", "Requests without an answer")
      ->Set(static_cast<double>(core.in_flight()));
  metrics.AddGauge("carobmast_open_instances", "Instances that take requests")
      ->Set(static_cast<double>(core.open_instances()));
}

}  // namespace carobmast::gateway
