// Exports the counters of a gateway's request core as metrics.
#ifndef CAROBMAST_GATEWAY_GATEWAY_METRICS_H_
#define CAROBMAST_GATEWAY_GATEWAY_METRICS_H_

#include "framework/telemetry/metrics.h"
#include "requests/request_core.h"

namespace carobmast::gateway {

// Copies the counters of `core` into `metrics`. Call it before each export.
void UpdateMetrics(telemetry::MetricsRegistry& metrics,
                   const requests::RequestCore& core);

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_GATEWAY_METRICS_H_
