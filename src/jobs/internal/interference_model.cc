#include "jobs/interference_model.h"

#include <algorithm>
#include <cmath>

#include "jobs/generated/jobs.pb.h"

namespace carobmast::jobs {

namespace {

// Maximum number of inputs; further filler images get none, and their effect is
// attributed to the base level.
constexpr std::size_t kMaxInputs = 24;
// What an image takes in an encoded model beside its name and weights, at most.
constexpr std::size_t kEncodedImageBytes = 32;
// Increase of the variance of a factor per second. It grows with time and not
// with the number of reports, which is a thousand times higher on a large fleet
// than on a small one.
constexpr double kDriftVariancePerSecond = 0.02;
// Factor assumed for a pair without reports, and its variance.
constexpr double kInitialFactor = 1.5;
constexpr double kInitialVariance = 8;
// Base level assumed at first: half the target.
constexpr double kInitialBase = -0.7;
// Variance of a single report, from the residuals of the sites' standing tasks.
constexpr double kReportVariance = 0.02;
// Errors are limited to this many standard deviations: the worker may be slow
// for reasons of its own.
constexpr double kMaxDeviations = 3;
// Weight of a report in the base level of an image.
constexpr double kBaseGain = 0.003;
// Variance of factors restored from the former owner's record.
constexpr double kRestoredVariance = 0.5;
// Variance up to which a factor counts as known.
constexpr double kMaxKnownVariance = 1.0;
// Standard deviations by which OptimisticFactor is below the estimate:
// otherwise a pair that was once thought harmful would never be tried again.
constexpr double kOptimismDeviations = 0.3;

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
        covariance[row * size + column] = kInitialVariance;
      }
    }
  }
  model.covariance = std::move(covariance);
  model.weights.resize(size, kInitialFactor);
  if (old == 0) model.weights[0] = kInitialBase;
}

// Adds drift to the variances only, and no further than the variance of a pair
// without reports: other changes could make the covariance matrix invalid (no
// longer positive semidefinite), and the factors would diverge.
void InterferenceModel::AddDrift(Model& model, MonotonicTime now) {
  const double seconds =
      std::chrono::duration<double>(now - model.drifted_at.value_or(now))
          .count();
  model.drifted_at = now;
  const std::size_t size = model.weights.size();
  for (std::size_t row = 1; row < size; ++row) {
    double& variance = model.covariance[row * size + row];
    variance = std::max(variance,
                        std::min(variance + kDriftVariancePerSecond * seconds,
                                 kInitialVariance));
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
  const double variance = kReportVariance + level.variance + factors_variance;
  const double error_limit = kMaxDeviations * std::sqrt(variance);
  const double clipped_error = std::clamp(error, -error_limit, error_limit);
  load.Update(now, clipped_error, kReportVariance + factors_variance);
  if (factors_variance > 0) {
    for (std::size_t row = 1; row < size; ++row) {
      model.weights[row] += gain[row] / variance * clipped_error;
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
  return model.weights.empty() ? kInitialBase : model.weights[0];
}

std::pair<double, double> InterferenceModel::Estimate(ImageId standing,
                                                      ImageId filler) const {
  const std::size_t input = inputs_[filler];
  const Model& model = models_[standing];
  const std::size_t size = model.weights.size();
  if (input == 0 || input >= size) return {kInitialFactor, kInitialVariance};
  return {model.weights[input], model.covariance[input * size + input]};
}

double InterferenceModel::Factor(ImageId standing, ImageId filler) const {
  return std::max(0.0, Estimate(standing, filler).first);
}

double InterferenceModel::OptimisticFactor(ImageId standing,
                                           ImageId filler) const {
  const std::pair<double, double> estimate = Estimate(standing, filler);
  return std::max(
      0.0, estimate.first - kOptimismDeviations * std::sqrt(estimate.second));
}

double InterferenceModel::Similarity(ImageId first, ImageId second) const {
  if (first == second) return 1;
  const Model& one = models_[first];
  const Model& other = models_[second];
  const std::size_t size = std::min(one.weights.size(), other.weights.size());
  double difference = 0;
  double sum = 0;
  for (std::size_t input = 1; input < size; ++input) {
    if (one.covariance[input * one.weights.size() + input] >
            kMaxKnownVariance ||
        other.covariance[input * other.weights.size() + input] >
            kMaxKnownVariance) {
      continue;
    }
    const double factor = std::max(0.0, one.weights[input]);
    const double other_factor = std::max(0.0, other.weights[input]);
    difference += std::abs(factor - other_factor);
    sum += std::max(factor, other_factor);
  }
  return sum == 0 ? -1 : 1 - 2 * difference / sum;
}

std::vector<const std::string*> InterferenceModel::ImageNames() const {
  std::vector<const std::string*> names(images_.size());
  for (const auto& [name, image] : images_) names[image] = &name;
  return names;
}

std::vector<ImageId> InterferenceModel::ImagesToStore(
    const std::vector<const std::string*>& names) const {
  std::vector<ImageId> fillers;
  std::vector<ImageId> standing;
  for (ImageId image = 0; image < models_.size(); ++image) {
    if (inputs_[image] > 0) {
      fillers.push_back(image);
    } else if (!models_[image].weights.empty()) {
      standing.push_back(image);
    }
  }
  std::stable_sort(
      standing.begin(), standing.end(), [this](ImageId left, ImageId right) {
        return models_[left].drifted_at > models_[right].drifted_at;
      });
  std::vector<ImageId> stored;
  std::size_t bytes = 0;
  for (const std::vector<ImageId>& images : {fillers, standing}) {
    for (const ImageId image : images) {
      const std::size_t size = names[image]->size() + kEncodedImageBytes +
                               models_[image].weights.size() * sizeof(float);
      if (bytes + size > kMaxEncodedBytes) continue;
      bytes += size;
      stored.push_back(image);
    }
  }
  std::sort(stored.begin(), stored.end());
  return stored;
}

std::string InterferenceModel::Encode() const {
  proto::Interference record;
  const std::vector<const std::string*> names = ImageNames();
  for (const ImageId image : ImagesToStore(names)) {
    const std::uint32_t number =
        static_cast<std::uint32_t>(record.images_size());
    record.add_images(*names[image]);
    record.add_inputs(static_cast<std::uint32_t>(inputs_[image]));
    if (models_[image].weights.empty()) continue;
    proto::Interference::Standing& standing = *record.add_standing();
    standing.set_image(number);
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
  InterferenceModel decoded;
  for (const std::string& name : record.images()) decoded.Intern(name);
  if (decoded.images_.size() !=
      static_cast<std::size_t>(record.images_size())) {
    return false;
  }
  for (int image = 0; image < record.inputs_size(); ++image) {
    const std::size_t input = record.inputs(image);
    if (input >= kMaxInputs) return false;
    decoded.inputs_[static_cast<std::size_t>(image)] = input;
    decoded.input_count_ = std::max(decoded.input_count_, input + 1);
  }
  for (const proto::Interference::Standing& standing : record.standing()) {
    const std::size_t size = static_cast<std::size_t>(standing.weights_size());
    if (standing.image() >= decoded.models_.size() || size == 0 ||
        size > decoded.input_count_) {
      return false;
    }
    Model& model = decoded.models_[standing.image()];
    model.weights.assign(standing.weights().begin(), standing.weights().end());
    model.covariance.assign(size * size, 0.0);
    for (std::size_t i = 0; i < size; ++i) {
      model.covariance[i * size + i] = kRestoredVariance;
    }
  }
  *this = std::move(decoded);
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
