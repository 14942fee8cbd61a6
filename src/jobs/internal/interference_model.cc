#include "jobs/interference_model.h"

#include <algorithm>

namespace carobmast::jobs {

namespace {

// Images beyond this are not told apart from the base.
constexpr std::size_t kMaxInputs = 24;
// Weight of a report after the next one; half is forgotten in 700 reports.
constexpr double kForget = 0.999;
// What is assumed of a pair that was not seen, and how sure that is.
constexpr double kFirstFactor = 1.5;
constexpr double kFirstVariance = 8;
// The base at first: half the target.
constexpr double kFirstBase = -0.7;
// Variance of a single report, from the residuals of the sites' standing tasks.
constexpr double kNoise = 0.2;
// Keeps the uncertainty of images that are away for long from growing on.
constexpr double kMaxVariance = 20;

}  // namespace

std::size_t InterferenceModel::IndexOf(const std::string& filler) {
  const auto known = inputs_.find(filler);
  if (known != inputs_.end()) return known->second;
  if (inputs_.size() + 1 >= kMaxInputs) return 0;
  const std::size_t index = inputs_.size() + 1;
  inputs_[filler] = index;
  return index;
}

void InterferenceModel::Grow(Model& model, std::size_t size) {
  const std::size_t old = model.weights.size();
  if (old >= size) return;
  std::vector<double> covariance(size * size, 0.0);
  for (std::size_t row = 0; row < size; ++row) {
    for (std::size_t column = 0; column < size; ++column) {
      if (row < old && column < old) {
        covariance[row * size + column] = model.covariance[row * old + column];
      } else if (row == column) {
        covariance[row * size + column] = kFirstVariance;
      }
    }
  }
  model.covariance = std::move(covariance);
  model.weights.resize(size, kFirstFactor);
  if (old == 0) model.weights[0] = kFirstBase;
}

void InterferenceModel::Observe(const std::string& standing, double log_ratio,
                                const std::vector<ImageShare>& fillers) {
  std::vector<double> input(kMaxInputs, 0.0);
  input[0] = 1;
  for (const ImageShare& filler : fillers) {
    const std::size_t index = IndexOf(filler.image);
    if (index > 0) input[index] += filler.share;
  }
  Model& model = models_[standing];
  Grow(model, inputs_.size() + 1);
  const std::size_t size = model.weights.size();
  std::vector<double> gain(size, 0.0);
  double error = log_ratio;
  double variance = kNoise;
  for (std::size_t row = 0; row < size; ++row) {
    for (std::size_t column = 0; column < size; ++column) {
      gain[row] += model.covariance[row * size + column] * input[column];
    }
    error -= model.weights[row] * input[row];
  }
  for (std::size_t row = 0; row < size; ++row) variance += gain[row] * input[row];
  for (std::size_t row = 0; row < size; ++row) {
    model.weights[row] += gain[row] / variance * error;
    for (std::size_t column = 0; column < size; ++column) {
      double& entry = model.covariance[row * size + column];
      entry = (entry - gain[row] * gain[column] / variance) / kForget;
      if (row == column) entry = std::min(entry, kMaxVariance);
    }
  }
}

double InterferenceModel::Factor(const std::string& standing,
                                 const std::string& filler) const {
  const auto input = inputs_.find(filler);
  const auto model = models_.find(standing);
  if (input == inputs_.end() || model == models_.end() ||
      input->second >= model->second.weights.size()) {
    return kFirstFactor;
  }
  return std::max(0.0, model->second.weights[input->second]);
}

}  // namespace carobmast::jobs
