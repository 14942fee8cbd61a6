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
      : share_(share), max_(max), available_(max / 2) {}

  void OnRequest() { available_ = std::min(max_, available_ + share_); }

  // Takes one retry out of the budget; false when there is none.
  bool Take() {
    if (available_ < 1) return false;
    available_ -= 1;
    return true;
  }

 private:
  double share_;
  double max_;
  double available_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_RETRY_BUDGET_H_
