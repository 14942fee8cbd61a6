#include "jobs/interference_model.h"

#include <algorithm>
#include <cmath>

#include "jobs/generated/jobs.pb.h"

namespace carobmast::jobs {

namespace {

// Images beyond this are not told apart from the base.
constexpr std::size_t kMaxInputs = 24;
// Variance by which a factor may change in a second. It grows with the time and
// not with the number of reports, which is a thousand times higher on a large
// fleet than on a small one.
constexpr double kDrift = 0.02;
// What is assumed of a pair that was not seen, and how sure that is.
constexpr double kFirstFactor = 1.5;
constexpr double kFirstVariance = 8;
// The base at first: half the target.
constexpr double kFirstBase = -0.7;
// Variance of a single report, from the residuals of the sites' standing tasks.
constexpr double kNoise = 0.02;
// Standard deviations beyond which a report is taken for less: its worker may
// be slow for reasons of its own.
constexpr double kMaxDeviations = 3;
// Weight of a report in the usual level of an image.
constexpr double kBaseGain = 0.003;
// How sure a new owner is of what the former one learned.
constexpr double kInheritedVariance = 0.5;
// Variance up to which a factor counts as known.
constexpr double kKnownVariance = 1.0;
// Standard deviations by which a factor is taken lower than it seems: a pair
// that was once thought harmful would else never be tried again.
constexpr double kOptimism = 0.3;

}  // namespace

ImageId InterferenceModel::Intern(const std::string& image) {
  const auto [entry, added] =
      images_.emplace(image, static_cast<ImageId>(images_.size()));
  if (added) {
    inputs_.push_back(0);
    models_.emplace_back();
  }
  return entry->second;
}

std::size_t InterferenceModel::IndexOf(ImageId filler) {
  std::size_t& input = inputs_[filler];
  if (input == 0 && input_count_ < kMaxInputs) input = input_count_++;
  return input;
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

// Only variances grow, and no further than of a factor that was never seen: all
// other changes would let the covariance stop being one, and the factors run
// away.
void InterferenceModel::AddDrift(Model& model, MonotonicTime now) {
  const double passed =
      std::chrono::duration<double>(now - model.drifted_at.value_or(now))
          .count();
  model.drifted_at = now;
  const std::size_t size = model.weights.size();
  for (std::size_t row = 1; row < size; ++row) {
    double& variance = model.covariance[row * size + row];
    variance = std::max(variance,
                        std::min(variance + kDrift * passed, kFirstVariance));
  }
}

double InterferenceModel::AddReport(ImageId standing, double log_ratio,
                                    const std::vector<ImageShare>& fillers,
                                    LoadEstimate& load, MonotonicTime now) {
  if (!load.initialized()) load.Init(BaseLevel(standing), now);
  std::vector<double> input(kMaxInputs, 0.0);
  for (const ImageShare& filler : fillers) {
    const std::size_t index = IndexOf(filler.image);
    if (index > 0) input[index] += filler.share;
  }
  Model& model = models_[standing];
  Grow(model, input_count_);
  AddDrift(model, now);
  const std::size_t size = model.weights.size();
  const LoadEstimate::Level level = load.LevelAt(now);
  std::vector<double> gain(size, 0.0);
  double error = log_ratio - level.mean;
  double factors_variance = 0;
  for (std::size_t row = 1; row < size; ++row) {
    if (input[row] == 0) continue;
    error -= model.weights[row] * input[row];
    for (std::size_t column = 1; column < size; ++column) {
      gain[column] += model.covariance[row * size + column] * input[row];
    }
  }
  for (std::size_t row = 1; row < size; ++row) {
    factors_variance += gain[row] * input[row];
  }
  const double variance = kNoise + level.variance + factors_variance;
  const double most = kMaxDeviations * std::sqrt(variance);
  const double taken = std::clamp(error, -most, most);
  load.Update(now, taken, kNoise + factors_variance);
  if (factors_variance > 0) {
    for (std::size_t row = 1; row < size; ++row) {
      model.weights[row] += gain[row] / variance * taken;
      for (std::size_t column = 1; column < size; ++column) {
        model.covariance[row * size + column] -=
            gain[row] * gain[column] / variance;
      }
    }
  }
  model.weights[0] += kBaseGain * (load.LevelAt(now).mean - model.weights[0]);
  return error;
}

double InterferenceModel::BaseLevel(ImageId standing) const {
  const Model& model = models_[standing];
  return model.weights.empty() ? kFirstBase : model.weights[0];
}

std::pair<double, double> InterferenceModel::Estimate(ImageId standing,
                                                      ImageId filler) const {
  const std::size_t input = inputs_[filler];
  const Model& model = models_[standing];
  const std::size_t size = model.weights.size();
  if (input == 0 || input >= size) return {kFirstFactor, kFirstVariance};
  return {model.weights[input], model.covariance[input * size + input]};
}

double InterferenceModel::Factor(ImageId standing, ImageId filler) const {
  return std::max(0.0, Estimate(standing, filler).first);
}

double InterferenceModel::OptimisticFactor(ImageId standing,
                                           ImageId filler) const {
  const std::pair<double, double> estimate = Estimate(standing, filler);
  return std::max(0.0, estimate.first - kOptimism * std::sqrt(estimate.second));
}

double InterferenceModel::Similarity(ImageId first, ImageId second) const {
  if (first == second) return 1;
  const Model& one = models_[first];
  const Model& other = models_[second];
  const std::size_t size = std::min(one.weights.size(), other.weights.size());
  double difference = 0;
  double sum = 0;
  for (std::size_t input = 1; input < size; ++input) {
    if (one.covariance[input * one.weights.size() + input] > kKnownVariance ||
        other.covariance[input * other.weights.size() + input] >
            kKnownVariance) {
      continue;
    }
    const double factor = std::max(0.0, one.weights[input]);
    const double other_factor = std::max(0.0, other.weights[input]);
    difference += std::abs(factor - other_factor);
    sum += std::max(factor, other_factor);
  }
  return sum == 0 ? -1 : 1 - 2 * difference / sum;
}

std::string InterferenceModel::Encode() const {
  proto::Interference record;
  std::vector<const std::string*> names(images_.size());
  for (const auto& [name, image] : images_) names[image] = &name;
  for (const std::string* name : names) record.add_images(*name);
  for (const std::size_t input : inputs_) {
    record.add_inputs(static_cast<std::uint32_t>(input));
  }
  for (ImageId image = 0; image < models_.size(); ++image) {
    if (models_[image].weights.empty()) continue;
    proto::Interference::Standing& standing = *record.add_standing();
    standing.set_image(image);
    for (const double weight : models_[image].weights) {
      standing.add_weights(static_cast<float>(weight));
    }
  }
  return record.SerializeAsString();
}

bool InterferenceModel::Decode(const std::string& bytes) {
  proto::Interference record;
  if (!record.ParseFromString(bytes) ||
      record.inputs_size() != record.images_size()) {
    return false;
  }
  InterferenceModel fresh;
  for (const std::string& name : record.images()) fresh.Intern(name);
  if (fresh.images_.size() != static_cast<std::size_t>(record.images_size())) {
    return false;
  }
  for (int image = 0; image < record.inputs_size(); ++image) {
    const std::size_t input = record.inputs(image);
    if (input >= kMaxInputs) return false;
    fresh.inputs_[static_cast<std::size_t>(image)] = input;
    fresh.input_count_ = std::max(fresh.input_count_, input + 1);
  }
  for (const proto::Interference::Standing& standing : record.standing()) {
    const std::size_t size = static_cast<std::size_t>(standing.weights_size());
    if (standing.image() >= fresh.models_.size() || size == 0 ||
        size > fresh.input_count_) {
      return false;
    }
    Model& model = fresh.models_[standing.image()];
    model.weights.assign(standing.weights().begin(), standing.weights().end());
    model.covariance.assign(size * size, 0.0);
    for (std::size_t i = 0; i < size; ++i) {
      model.covariance[i * size + i] = kInheritedVariance;
    }
  }
  *this = std::move(fresh);
  return true;
}

double InterferenceModel::MeanFactor(ImageId filler) const {
  double sum = 0;
  std::size_t count = 0;
  for (ImageId standing = 0; standing < models_.size(); ++standing) {
    if (models_[standing].weights.empty()) continue;
    sum += Factor(standing, filler);
    ++count;
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

}  // namespace carobmast::jobs
