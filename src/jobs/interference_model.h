// Learns how much tasks that fill raise the latency of standing tasks beside
// them, by pairs of images: log(latency / target) of a standing image is taken as
// a base and, for each image that fills, a factor times the share of the worker's
// processors that it uses. Recursive least squares, forgetting slowly.
#ifndef CAROBMAST_JOBS_INTERFERENCE_MODEL_H_
#define CAROBMAST_JOBS_INTERFERENCE_MODEL_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace carobmast::jobs {

// An image with the share of the worker's processors that it uses, 0 to 1.
struct ImageShare {
  std::string image;
  double share = 0;
};

class InterferenceModel {
 public:
  // One report of a standing task beside the given users of processors.
  void Observe(const std::string& standing, double log_ratio,
               const std::vector<ImageShare>& fillers);
  // By how much log(latency / target) rises for each unit of share; never
  // negative. A pair that was not seen has a cautious value.
  double Factor(const std::string& standing, const std::string& filler) const;
  std::size_t standing_images() const { return models_.size(); }

 private:
  struct Model {
    std::vector<double> weights;
    // Row by row.
    std::vector<double> covariance;
  };

  // The position of the image among the inputs, or 0 when there are too many.
  std::size_t IndexOf(const std::string& filler);
  static void Grow(Model& model, std::size_t size);

  // Input 0 is the base.
  std::map<std::string, std::size_t> inputs_;
  std::map<std::string, Model> models_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERFERENCE_MODEL_H_
