// Limits retries to a share of the requests, so that they do not multiply the
// load when many requests fail.
#ifndef CAROBMAST_REQUESTS_RETRY_BUDGET_H_
#define CAROBMAST_REQUESTS_RETRY_BUDGET_H_

#include <algorithm>

namespace carobmast::requests {

class RetryBudget {
 public:
  // Each request adds `share` of a retry to the budget, which holds at most
  // `max` retries and starts half full.
  explicit RetryBudget(double share = 0.1, double max = 20)
      : share_(share), max_(max), available_(max / 2) {}

  void OnRequest() { available_ = std::min(max_, available_ + share_); }

  // Takes one retry from the budget. Returns false if none is left.
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
