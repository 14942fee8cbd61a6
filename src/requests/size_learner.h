// Learns how long the operations of a service take, from the latencies of their
// answers. Sizes declared by callers are not used.
#ifndef CAROBMAST_REQUESTS_SIZE_LEARNER_H_
#define CAROBMAST_REQUESTS_SIZE_LEARNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/types/objects.h"
#include "framework/base/time.h"

namespace carobmast::requests {

class SizeLearner {
 public:
  // `classes` as configured, the shortest first. If empty, two classes are
  // used: short, and long, which may use half of the slots.
  explicit SizeLearner(std::vector<config::SizeClass> classes = {});

  // Records the latency of an answer.
  void OnAnswer(const std::string& operation, Duration latency);

  // The mean latency of the operation; zero if none was recorded yet.
  Duration Expected(const std::string& operation) const;
  // Index of the operation's size class; the shortest class for an unknown
  // operation.
  std::size_t ClassOf(const std::string& operation) const;

  const std::vector<config::SizeClass>& classes() const { return classes_; }

 private:
  struct OperationStats {
    double mean_ns = 0;
    std::uint64_t answers = 0;
    std::size_t size_class = 0;
  };

  std::size_t Classify(double mean_ns) const;

  std::vector<config::SizeClass> classes_;
  std::map<std::string, OperationStats> operations_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_SIZE_LEARNER_H_
