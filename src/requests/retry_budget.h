// Bounds retries to a share of the requests, so that they can't add up to a
// storm when many fail.
#ifndef CAROBMAST_REQUESTS_RETRY_BUDGET_H_
#define CAROBMAST_REQUESTS_RETRY_BUDGET_H_

#include <algorithm>

namespace carobmast::requests {

class RetryBudget {
 public:
  // Each request earns `share` of a retry; at most `max` are saved up.
  explicit RetryBudget(double share = 0.1, double max = 20)
      : share_(share), max_(max), saved_(max / 2) {}

  void OnRequest() { saved_ = std::min(max_, saved_ + share_); }

  // Takes one retry out of the budget; false when there is none.
  bool Take() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }

 private:
  double share_;
  double max_;
  double saved_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_RETRY_BUDGET_H_
