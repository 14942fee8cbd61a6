// Learns how much each type of task slows down each service.
//
// Model: the logarithm of an instance's latency is a term common to all
// instances of its service (its load now) plus, for each other type on its
// worker, that type's share of the worker's processors times a*u + b*u^2, where
// u is the instance's own use and a and b are learned. Reports lag, so the
// shares are smoothed over the lag before they are compared with the latencies.
#ifndef CAROBMAST_PLACEMENT_INTERNAL_INTERFERENCE_H_
#define CAROBMAST_PLACEMENT_INTERNAL_INTERFERENCE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "placement/internal/ledger.h"

namespace carobmast::placement {

// Shares of a worker's processors by type, in order of the type.
using CpuShares = std::vector<std::pair<NameId, double>>;

class InterferenceModel {
 public:
  explicit InterferenceModel(Duration report_lag) : report_lag_(report_lag) {}

  // A service's instance reported its latency and its use (0 to 1) while
  // `shares` were on its worker.
  void OnLatency(NameId service, const contracts::AttemptId& instance,
                 Duration latency, double utilization, const CpuShares& shares,
                 MonotonicTime now);
  void ForgetInstance(NameId service, const contracts::AttemptId& instance);

  // Logarithm of the slowdown that one share causes at the use `use`.
  double PredictLogSlowdown(NameId service, NameId type, double share,
                            double utilization) const;
  // Smoothed logarithm of the slowdown beyond what the model explains; 0 when
  // there is none.
  double UnexplainedLogSlowdown(NameId service,
                                const contracts::AttemptId& instance) const;
  // The use of an instance: smoothed, and the highest of its service.
  double Utilization(NameId service,
                     const contracts::AttemptId& instance) const;
  double PeakUtilization(NameId service) const;

 private:
  struct Instance {
    double log_latency = 0;
    double utilization = 0;
    double residual = 0;
    std::map<NameId, double> shares;
    MonotonicTime seen;
    int reports = 0;
  };
  // How a type's effect grows with the service's use.
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

  static double SmoothingWeight(Duration elapsed, Duration memory);
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
