#include "placement/internal/interference.h"

#include <algorithm>
#include <cmath>

namespace carobmast::placement {

namespace {

constexpr double kLearningRate = 0.02;
// Keeps steps small where shares are small.
constexpr double kRegularization = 0.02;
constexpr double kMaxCoefficient = 8;
// Use that is assumed before it was reported.
constexpr double kDefaultUse = 0.5;
constexpr double kMinUse = 0.05;
// The peak falls by a factor of e in this time, so that daily crests last.
constexpr Duration kPeakMemory = std::chrono::hours(48);
constexpr Duration kCommonEvery = std::chrono::seconds(1);
constexpr int kWarmUpReports = 3;
// Residuals are averaged over this long, because single reports err far.
constexpr double kResidualNoise = 0.03;
constexpr Duration kResidualMemory = std::chrono::seconds(90);
// Differences of log latencies beyond this count as this.
constexpr double kOutlier = 0.5;

}  // namespace

double InterferenceModel::Weight(Duration elapsed, Duration memory) {
  const double ratio =
      static_cast<double>(elapsed.count()) /
      static_cast<double>(std::max(memory, Duration(1)).count());
  return 1 - std::exp(-ratio);
}

double InterferenceModel::Explained(const Service& service,
                                    const Instance& instance) {
  double sum = 0;
  for (const std::pair<const NameId, double>& share : instance.shares) {
    const std::unordered_map<NameId, Coefficients>::const_iterator found =
        service.coefficients.find(share.first);
    if (found == service.coefficients.end()) continue;
    sum += found->second.At(instance.use) * share.second;
  }
  return sum;
}

// The mean over the instances of what their neighbours do not explain, without
// far outliers. A median would take the level of disturbed instances for the
// common one as soon as half of them are disturbed.
void InterferenceModel::UpdateCommon(Service& service, MonotonicTime now) {
  if (service.has_common && now - service.common_at < kCommonEvery) return;
  std::vector<double> rests;
  rests.reserve(service.instances.size());
  for (const std::pair<const contracts::AttemptId, Instance>& entry :
       service.instances) {
    if (entry.second.reports < kWarmUpReports) continue;
    rests.push_back(entry.second.log_latency -
                    Explained(service, entry.second));
  }
  if (rests.empty()) return;
  const std::vector<double>::iterator middle =
      rests.begin() + static_cast<std::ptrdiff_t>(rests.size() / 2);
  std::nth_element(rests.begin(), middle, rests.end());
  const double median = *middle;
  double sum = 0;
  for (const double rest : rests) {
    sum += std::clamp(rest - median, -kOutlier, kOutlier);
  }
  service.common = median + sum / static_cast<double>(rests.size());
  service.common_at = now;
  service.has_common = true;
}

// One step of normalised least mean squares.
void InterferenceModel::Learn(Service& service, const Instance& instance) {
  const double error =
      instance.log_latency - service.common - Explained(service, instance);
  const double use = instance.use;
  double power = kRegularization;
  for (const std::pair<const NameId, double>& share : instance.shares) {
    const double feature = share.second * use;
    power += feature * feature * (1 + use * use);
  }
  const double step = kLearningRate * error / power;
  for (const std::pair<const NameId, double>& share : instance.shares) {
    const double feature = share.second * use;
    Coefficients& learned = service.coefficients[share.first];
    learned.linear =
        std::clamp(learned.linear + step * feature, 0.0, kMaxCoefficient);
    learned.square =
        std::clamp(learned.square + step * feature * use, 0.0, kMaxCoefficient);
  }
}

void InterferenceModel::Smooth(Instance& instance, double log_latency,
                               double use, const Shares& shares,
                               MonotonicTime now) const {
  const double weight =
      instance.reports == 0 ? 1 : Weight(now - instance.seen, lag_);
  instance.seen = now;
  ++instance.reports;
  instance.log_latency += weight * (log_latency - instance.log_latency);
  instance.use += weight * (use - instance.use);
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
                                  Duration latency, double use,
                                  const Shares& shares, MonotonicTime now) {
  if (latency <= Duration::zero()) return;
  Service& service = services_[service_id];
  Instance& instance = service.instances[id];
  const double log_latency = std::log(static_cast<double>(latency.count()));
  const double weight = Weight(now - instance.seen, kResidualMemory);
  Smooth(instance, log_latency, std::clamp(use, kMinUse, 1.0), shares, now);
  UpdatePeak(service, instance.use, now);
  UpdateCommon(service, now);
  if (!service.has_common || instance.reports < kWarmUpReports) return;
  const double residual =
      log_latency - service.common - Explained(service, instance);
  instance.residual += weight * (residual - instance.residual);
  Learn(service, instance);
}

void InterferenceModel::UpdatePeak(Service& service, double use,
                                   MonotonicTime now) {
  const double elapsed = static_cast<double>((now - service.peak_at).count()) /
                         static_cast<double>(kPeakMemory.count());
  service.peak_use = std::max(service.peak_use * std::exp(-elapsed), use);
  service.peak_at = now;
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

double InterferenceModel::Predict(NameId service, NameId type, double share,
                                  double use) const {
  const std::unordered_map<NameId, Service>::const_iterator found =
      services_.find(service);
  if (found == services_.end()) return 0;
  const std::unordered_map<NameId, Coefficients>::const_iterator learned =
      found->second.coefficients.find(type);
  if (learned == found->second.coefficients.end()) return 0;
  return learned->second.At(use) * share;
}

double InterferenceModel::Unexplained(
    NameId service, const contracts::AttemptId& instance) const {
  const Instance* found = Find(service, instance);
  if (found == nullptr) return 0;
  return std::max(0.0, found->residual - kResidualNoise);
}

double InterferenceModel::Use(NameId service,
                              const contracts::AttemptId& instance) const {
  const Instance* found = Find(service, instance);
  return found == nullptr ? kDefaultUse : found->use;
}

double InterferenceModel::PeakUse(NameId service) const {
  const std::unordered_map<NameId, Service>::const_iterator found =
      services_.find(service);
  return found == services_.end() ? kDefaultUse : found->second.peak_use;
}

}  // namespace carobmast::placement
