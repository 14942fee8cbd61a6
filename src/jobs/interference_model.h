// Learns how much tasks that fill raise the latency of standing tasks beside
// them, by pairs of images: log(latency / target) of a standing image is taken
// as a base and, for each image that fills, a factor times the share of the
// worker's processors that it uses. Recursive least squares, forgetting slowly.
#ifndef CAROBMAST_JOBS_INTERFERENCE_MODEL_H_
#define CAROBMAST_JOBS_INTERFERENCE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

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
  // One report of a standing task beside the given users of processors.
  void Observe(ImageId standing, double log_ratio,
               const std::vector<ImageShare>& fillers);
  // By how much log(latency / target) rises for each unit of share; never
  // negative, and lower the less is known of the pair.
  double Factor(ImageId standing, ImageId filler) const;
  // The mean factor of the image over all standing images that were met.
  double MeanFactor(ImageId filler) const;
  // For the successor of an owner.
  std::string Encode() const;
  // Replaces what is known; false, and nothing changes, when `record` is none.
  bool Decode(const std::string& record);

 private:
  struct Model {
    std::vector<double> weights;
    // Row by row.
    std::vector<double> covariance;
  };

  // The position of the image among the inputs, or 0 when there are too many.
  std::size_t IndexOf(ImageId filler);
  static void Grow(Model& model, std::size_t size);

  std::map<std::string, ImageId> images_;
  // By image: its input, or 0 while it was not seen filling. Input 0 is the
  // base.
  std::vector<std::size_t> inputs_;
  std::size_t input_count_ = 1;
  // By image; empty while it was not seen standing.
  std::vector<Model> models_;
};

}  // namespace carobmast::jobs

#endif  // CAROBMAST_JOBS_INTERFERENCE_MODEL_H_
