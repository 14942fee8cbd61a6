#include "requests/size_learner.h"

#include <algorithm>

namespace carobmast::requests {

namespace {

// Maximum number of operations remembered per service.
constexpr std::size_t kMaxOperations = 1024;
// The newest latency weighs 1 / kMaxAveragedAnswers in the mean once this many
// answers were seen.
constexpr std::uint64_t kMaxAveragedAnswers = 50;
// An operation changes its class only if its mean passes the bound of the class
// by this factor.
constexpr double kHysteresis = 1.2;
constexpr Duration kDefaultShortUpTo = std::chrono::milliseconds(100);
constexpr std::uint32_t kDefaultLongSharePercent = 50;

double Nanoseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace

SizeLearner::SizeLearner(std::vector<config::SizeClass> classes)
    : classes_(std::move(classes)) {
  if (!classes_.empty()) return;
  classes_.push_back({.name = "short", .up_to = kDefaultShortUpTo});
  classes_.push_back({.name = "long", .max_share = kDefaultLongSharePercent});
}

void SizeLearner::OnAnswer(const std::string& operation, Duration latency) {
  const bool is_new = !operations_.contains(operation);
  if (is_new && operations_.size() >= kMaxOperations) return;
  OperationStats& stats = operations_[operation];
  ++stats.answers;
  const double weight =
      1.0 / static_cast<double>(std::min(stats.answers, kMaxAveragedAnswers));
  stats.mean_ns += weight * (Nanoseconds(latency) - stats.mean_ns);
  const std::size_t now = Classify(stats.mean_ns);
  const bool is_clear = Classify(stats.mean_ns * kHysteresis) == now &&
                        Classify(stats.mean_ns / kHysteresis) == now;
  if (is_clear || stats.answers == 1) stats.size_class = now;
}

Duration SizeLearner::Expected(const std::string& operation) const {
  const auto found = operations_.find(operation);
  if (found == operations_.end()) return Duration::zero();
  return Duration(static_cast<Duration::rep>(found->second.mean_ns));
}

std::size_t SizeLearner::ClassOf(const std::string& operation) const {
  const auto found = operations_.find(operation);
  return found == operations_.end() ? 0 : found->second.size_class;
}

std::size_t SizeLearner::Classify(double mean_ns) const {
  for (std::size_t i = 0; i + 1 < classes_.size(); ++i) {
    if (mean_ns <= Nanoseconds(classes_[i].up_to)) return i;
  }
  return classes_.size() - 1;
}

}  // namespace carobmast::requests
