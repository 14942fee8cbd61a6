// Online model of how much each type of task slows down each service.
//
// The logarithm of an instance's latency is modelled as a baseline, common to
// all instances of its service at that time, plus for each type of the other
// tasks on its worker the type's share of the worker's processors times a*u +
// b*u^2. Here u is the instance's own utilization, and a and b are learned for
// each pair of service and type. Reported latencies lag behind, so the shares
// are smoothed over the lag before they are compared.
#ifndef CAROBMAST_PLACEMENT_INTERNAL_INTERFERENCE_H_
#define CAROBMAST_PLACEMENT_INTERNAL_INTERFERENCE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "placement/internal/ledger.h"

namespace carobmast::placement {

// Shares (0 to 1) of a worker's processors by task type, each type once.
using CpuShares = std::vector<std::pair<NameId, double>>;

class InterferenceModel {
 public:
  explicit InterferenceModel(Duration report_lag) : report_lag_(report_lag) {}

  // Learns from a report of a service's instance: its latency, and its
  // utilization (0 to 1) of the processors it reserves, while the other tasks
  // on the worker used `shares`. A latency of zero means none was measured.
  void OnLatency(NameId service, const contracts::AttemptId& instance,
                 Duration latency, double utilization, const CpuShares& shares,
                 MonotonicTime now);
  void ForgetInstance(NameId service, const contracts::AttemptId& instance);

  // Logarithm of the slowdown that `share` of the worker's processors used by
  // tasks of `type` causes; 0 for a pair not seen before.
  double PredictLogSlowdown(NameId service, NameId type, double share,
                            double utilization) const;
  // Smoothed logarithm of the measured slowdown that the model doesn't explain;
  // 0 when it is within the noise.
  double UnexplainedLogSlowdown(NameId service,
                                const contracts::AttemptId& instance) const;
  // Smoothed utilization of an instance, and the slowly decaying maximum over
  // all instances of its service. A default when nothing was reported.
  double Utilization(NameId service,
                     const contracts::AttemptId& instance) const;
  double PeakUtilization(NameId service) const;

 private:
  // Averages over the report lag, except `residual`.
  struct Instance {
    double log_latency = 0;
    double utilization = 0;
    double residual = 0;
    std::map<NameId, double> shares;
    MonotonicTime last_report_at;
    int reports = 0;
  };
  // Effect of a type on a service, per share of the worker's processors.
  struct Coefficients {
    double linear = 0;
    double square = 0;
    double At(double utilization) const {
      return (linear + square * utilization) * utilization;
    }
  };
  struct Service {
    std::map<contracts::AttemptId, Instance> instances;
    std::unordered_map<NameId, Coefficients> coefficients;
    double baseline = 0;
    double peak_utilization = 0;
    MonotonicTime peak_updated_at;
    MonotonicTime baseline_at;
    bool has_baseline = false;
  };

  // Weight of a new value in an exponential moving average.
  static double SmoothingWeight(Duration elapsed, Duration time_constant);
  static double ExplainedLogSlowdown(const Service& service,
                                     const Instance& instance);
  static void UpdateBaseline(Service& service, MonotonicTime now);
  static void UpdatePeakUtilization(Service& service, double utilization,
                                    MonotonicTime now);
  static void UpdateCoefficients(Service& service, const Instance& instance);
  void UpdateAverages(Instance& instance, double log_latency,
                      double utilization, const CpuShares& shares,
                      MonotonicTime now) const;
  const Instance* Find(NameId service,
                       const contracts::AttemptId& instance) const;

  Duration report_lag_;
  std::unordered_map<NameId, Service> services_;
};

}  // namespace carobmast::placement

#endif  // CAROBMAST_PLACEMENT_INTERNAL_INTERFERENCE_H_
