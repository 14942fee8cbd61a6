// Learns how much tasks that fill raise the latency of standing tasks beside
// them, by pairs of images: log(latency / target) of a standing task is taken
// as the level of its step's own load, which all tasks of the step share, and,
// for each image that fills, a factor times the share of the worker's
// processors that it uses. A Kalman filter whose factors may drift.
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

// Images are known by the order in which they were met.
using ImageId = std::uint32_t;

// An image with the share of the worker's processors that it uses, 0 to 1.
struct ImageShare {
  ImageId image = 0;
  double share = 0;
};

class InterferenceModel {
 public:
  ImageId Intern(const std::string& image);
  // One report of a standing task beside the given users of processors. Learns
  // the factors and the load of its step; returns by how much the report is
  // above what was expected.
  double AddReport(ImageId standing, double log_ratio,
                   const std::vector<ImageShare>& fillers, LoadEstimate& load,
                   MonotonicTime now);
  // The usual level of the image's own load.
  double BaseLevel(ImageId standing) const;
  // By how much log(latency / target) rises for each unit of share, as far as
  // is known; never negative.
  double Factor(ImageId standing, ImageId filler) const;
  // The same for a choice that can be undone: lower the less is known of the
  // pair, which would else never be tried.
  double OptimisticFactor(ImageId standing, ImageId filler) const;
  // How alike the two standing images suffer from the same fillers: from -1,
  // also while that is not known, to 1.
  double Similarity(ImageId first, ImageId second) const;
  // The mean factor of the image over all standing images that were met.
  double MeanFactor(ImageId filler) const;
  // For the successor of an owner.
  std::string Encode() const;
  // Replaces what is known; false, and nothing changes, when `record` is none.
  bool Decode(const std::string& record);

 private:
  struct Model {
    // The usual level of the own load, then the factor of each input.
    std::vector<double> weights;
    // Row by row.
    std::vector<double> covariance;
    // Until when the variances hold the drift of the factors.
    std::optional<MonotonicTime> drifted_at;
  };

  // The position of the image among the inputs, or 0 when there are too many.
  std::size_t IndexOf(ImageId filler);
  static void Grow(Model& model, std::size_t size);
  static void AddDrift(Model& model, MonotonicTime now);
  // Its factor and how sure that is.
  std::pair<double, double> Estimate(ImageId standing, ImageId filler) const;

  std::map<std::string, ImageId> images_;
  // By image: its input, or 0 while it was not seen filling. Input 0 stands for
  // the own load.
  std::vector<std::size_t> inputs_;
  std::size_t input_count_ = 1;
  // By image; empty while it was not seen standing.
  std::vector<Model> models_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERFERENCE_MODEL_H_
