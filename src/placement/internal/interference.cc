#include "placement/internal/interference.h"

#include <algorithm>
#include <cmath>

namespace carobmast::placement {

namespace {

constexpr double kLearningRate = 0.02;
// Bounds the normalised step where all shares are small.
constexpr double kRegularization = 0.02;
constexpr double kMaxCoefficient = 8;
// Assumed before the first report.
constexpr double kDefaultUtilization = 0.5;
constexpr double kMinUtilization = 0.05;
// The peak decays by a factor of e in this time, so that it is remembered from
// one daily peak to the next.
constexpr Duration kPeakTimeConstant = std::chrono::hours(48);
// Minimum time between two updates of a service's baseline.
constexpr Duration kUpdatePeriod = std::chrono::seconds(1);
// Reports of an instance before it takes part in learning.
constexpr int kWarmUpReports = 3;
// Smoothed residuals (logarithms of latency ratios) below this count as noise.
constexpr double kResidualNoiseFloor = 0.03;
// Residuals of single reports vary widely, so they are averaged over this time.
constexpr Duration kResidualTimeConstant = std::chrono::seconds(90);
// Deviations of a log latency from the median are clamped to this.
constexpr double kMaxDeviation = 0.5;

}  // namespace

double InterferenceModel::SmoothingWeight(Duration elapsed,
                                          Duration time_constant) {
  const double ratio =
      static_cast<double>(elapsed.count()) /
      static_cast<double>(std::max(time_constant, Duration(1)).count());
  return 1 - std::exp(-ratio);
}

double InterferenceModel::ExplainedLogSlowdown(const Service& service,
                                               const Instance& instance) {
  double sum = 0;
  for (const std::pair<const NameId, double>& share : instance.shares) {
    const std::unordered_map<NameId, Coefficients>::const_iterator found =
        service.coefficients.find(share.first);
    if (found == service.coefficients.end()) continue;
    sum += found->second.At(instance.utilization) * share.second;
  }
  return sum;
}

// Sets the baseline to the mean log latency of the instances, less the slowdown
// that the model explains, with outliers clamped. A median would move to the
// level of the disturbed instances as soon as half of them are disturbed.
void InterferenceModel::UpdateBaseline(Service& service, MonotonicTime now) {
  if (service.has_baseline && now - service.baseline_at < kUpdatePeriod) return;
  std::vector<double> levels;
  levels.reserve(service.instances.size());
  for (const std::pair<const contracts::AttemptId, Instance>& entry :
       service.instances) {
    if (entry.second.reports < kWarmUpReports) continue;
    levels.push_back(entry.second.log_latency -
                     ExplainedLogSlowdown(service, entry.second));
  }
  if (levels.empty()) return;
  const std::vector<double>::iterator middle =
      levels.begin() + static_cast<std::ptrdiff_t>(levels.size() / 2);
  std::nth_element(levels.begin(), middle, levels.end());
  const double median = *middle;
  double sum = 0;
  for (const double level : levels) {
    sum += std::clamp(level - median, -kMaxDeviation, kMaxDeviation);
  }
  service.baseline = median + sum / static_cast<double>(levels.size());
  service.baseline_at = now;
  service.has_baseline = true;
}

// One step of the normalised least mean squares filter.
void InterferenceModel::UpdateCoefficients(Service& service,
                                           const Instance& instance) {
  const double error = instance.log_latency - service.baseline -
                       ExplainedLogSlowdown(service, instance);
  const double utilization = instance.utilization;
  double power = kRegularization;
  for (const std::pair<const NameId, double>& share : instance.shares) {
    const double feature = share.second * utilization;
    power += feature * feature * (1 + utilization * utilization);
  }
  const double step = kLearningRate * error / power;
  for (const std::pair<const NameId, double>& share : instance.shares) {
    const double feature = share.second * utilization;
    Coefficients& learned = service.coefficients[share.first];
    learned.linear =
        std::clamp(learned.linear + step * feature, 0.0, kMaxCoefficient);
    learned.square = std::clamp(learned.square + step * feature * utilization,
                                0.0, kMaxCoefficient);
  }
}

void InterferenceModel::UpdateAverages(Instance& instance, double log_latency,
                                       double utilization,
                                       const CpuShares& shares,
                                       MonotonicTime now) const {
  const double weight =
      instance.reports == 0
          ? 1
          : SmoothingWeight(now - instance.last_report_at, report_lag_);
  instance.last_report_at = now;
  ++instance.reports;
  instance.log_latency += weight * (log_latency - instance.log_latency);
  instance.utilization += weight * (utilization - instance.utilization);
  for (std::pair<const NameId, double>& share : instance.shares) {
    share.second *= 1 - weight;
  }
  for (const std::pair<NameId, double>& share : shares) {
    instance.shares[share.first] += weight * share.second;
  }
  std::erase_if(instance.shares, [](const std::pair<const NameId, double>& s) {
    return s.second < 1e-4;
  });
}

void InterferenceModel::OnLatency(NameId service_id,
                                  const contracts::AttemptId& id,
                                  Duration latency, double utilization,
                                  const CpuShares& shares, MonotonicTime now) {
  if (latency <= Duration::zero()) return;
  Service& service = services_[service_id];
  Instance& instance = service.instances[id];
  const double log_latency = std::log(static_cast<double>(latency.count()));
  const double weight =
      SmoothingWeight(now - instance.last_report_at, kResidualTimeConstant);
  UpdateAverages(instance, log_latency,
                 std::clamp(utilization, kMinUtilization, 1.0), shares, now);
  UpdatePeakUtilization(service, instance.utilization, now);
  UpdateBaseline(service, now);
  if (!service.has_baseline || instance.reports < kWarmUpReports) return;
  const double residual =
      log_latency - service.baseline - ExplainedLogSlowdown(service, instance);
  instance.residual += weight * (residual - instance.residual);
  UpdateCoefficients(service, instance);
}

void InterferenceModel::UpdatePeakUtilization(Service& service,
                                              double utilization,
                                              MonotonicTime now) {
  const double elapsed =
      static_cast<double>((now - service.peak_updated_at).count()) /
      static_cast<double>(kPeakTimeConstant.count());
  service.peak_utilization =
      std::max(service.peak_utilization * std::exp(-elapsed), utilization);
  service.peak_updated_at = now;
}

void InterferenceModel::ForgetInstance(NameId service,
                                       const contracts::AttemptId& instance) {
  const std::unordered_map<NameId, Service>::iterator found =
      services_.find(service);
  if (found != services_.end()) found->second.instances.erase(instance);
}

const InterferenceModel::Instance* InterferenceModel::Find(
    NameId service, const contracts::AttemptId& instance) const {
  const std::unordered_map<NameId, Service>::const_iterator found =
      services_.find(service);
  if (found == services_.end()) return nullptr;
  const std::map<contracts::AttemptId, Instance>::const_iterator entry =
      found->second.instances.find(instance);
  return entry == found->second.instances.end() ? nullptr : &entry->second;
}

double InterferenceModel::PredictLogSlowdown(NameId service, NameId type,
                                             double share,
                                             double utilization) const {
  const std::unordered_map<NameId, Service>::const_iterator found =
      services_.find(service);
  if (found == services_.end()) return 0;
  const std::unordered_map<NameId, Coefficients>::const_iterator learned =
      found->second.coefficients.find(type);
  if (learned == found->second.coefficients.end()) return 0;
  return learned->second.At(utilization) * share;
}

double InterferenceModel::UnexplainedLogSlowdown(
    NameId service, const contracts::AttemptId& instance) const {
  const Instance* found = Find(service, instance);
  if (found == nullptr) return 0;
  return std::max(0.0, found->residual - kResidualNoiseFloor);
}

double InterferenceModel::Utilization(
    NameId service, const contracts::AttemptId& instance) const {
  const Instance* found = Find(service, instance);
  return found == nullptr ? kDefaultUtilization : found->utilization;
}

double InterferenceModel::PeakUtilization(NameId service) const {
  const std::unordered_map<NameId, Service>::const_iterator found =
      services_.find(service);
  return found == services_.end() ? kDefaultUtilization
                                  : found->second.peak_utilization;
}

}  // namespace carobmast::placement
