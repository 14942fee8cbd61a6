// Estimates how much filler tasks (StepSpec::fills) raise the latency of
// standing tasks (StepSpec::standing) on the same worker, for each pair of
// images.
//
// log(latency / target) of a standing task is modelled as the base level of its
// step's own load, which all tasks of the step share, plus, for each filler
// image on the worker, a factor times the share of the worker's processors that
// the image uses. The factors are estimated by a Kalman filter and may drift
// over time.
#ifndef CAROBMAST_JOBS_INTERFERENCE_MODEL_H_
#define CAROBMAST_JOBS_INTERFERENCE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/load_estimate.h"

namespace carobmast::jobs {

// Index of an image, in the order of the calls of Intern.
using ImageId = std::uint32_t;

// The share of a worker's processors, from 0 to 1, that tasks of an image use.
struct ImageShare {
  ImageId image = 0;
  double share = 0;
};

class InterferenceModel {
 public:
  static constexpr std::size_t kMaxEncodedBytes = std::size_t{64} * 1024;

  ImageId Intern(const std::string& image);
  // Processes one latency report of a standing task that ran beside `fillers`.
  // Updates the factors and the load estimate of its step. Returns the report's
  // residual: log_ratio, which is log(latency / target), less its predicted
  // value. Both images must come from Intern.
  double AddReport(ImageId standing, double log_ratio,
                   const std::vector<ImageShare>& fillers, LoadEstimate& load,
                   MonotonicTime now);
  // The usual log(latency / target) of the image without fillers.
  double BaseLevel(ImageId standing) const;
  // The estimated rise of log(latency / target) for each unit of processor
  // share that the filler uses. Never negative.
  double Factor(ImageId standing, ImageId filler) const;
  // A lower bound of Factor for decisions that can be undone: the less certain
  // the estimate of a pair is, the lower the bound. Without it a pair that was
  // once thought harmful would never be tried again.
  double OptimisticFactor(ImageId standing, ImageId filler) const;
  // How similarly the two standing images are slowed down by the same fillers,
  // from -1 to 1. Returns -1 also while too little is known.
  double Similarity(ImageId first, ImageId second) const;
  // The mean of Factor over all standing images that have been reported.
  double MeanFactor(ImageId filler) const;
  // Serializes the model for the next owner of the shard, in at most
  // kMaxEncodedBytes: what is known of the standing images that were reported
  // last.
  std::string Encode() const;
  // Replaces the model by an encoded one. Returns false and changes nothing
  // when `record` is malformed.
  bool Decode(const std::string& record);

 private:
  struct Model {
    // The base level of the own load, then the factor of each input.
    std::vector<double> weights;
    // Covariance of the weights, in row-major order.
    std::vector<double> covariance;
    // The time up to which drift has been added to the variances.
    std::optional<MonotonicTime> drifted_at;
  };

  // The images about which something is known, as far as they fit into
  // kMaxEncodedBytes, in ascending order.
  std::vector<ImageId> ImagesToStore(
      const std::vector<const std::string*>& names) const;
  // By ImageId.
  std::vector<const std::string*> ImageNames() const;
  // The input index of the filler image. Assigns one at first use; 0 when no
  // index is left.
  std::size_t IndexOf(ImageId filler);
  static void Grow(Model& model, std::size_t size);
  static void AddDrift(Model& model, MonotonicTime now);
  // The factor of the pair and its variance.
  std::pair<double, double> Estimate(ImageId standing, ImageId filler) const;

  std::map<std::string, ImageId> images_;
  // By ImageId: the input index, or 0 while the image has not been reported as
  // a filler. Input 0 stands for the own load.
  std::vector<std::size_t> inputs_;
  std::size_t input_count_ = 1;
  // By ImageId; the weights are empty while the image has not been reported as
  // a standing task.
  std::vector<Model> models_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERFERENCE_MODEL_H_
