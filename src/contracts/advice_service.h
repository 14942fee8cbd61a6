// Contract with a service that says which workers may run a step.
#ifndef CAROBMAST_CONTRACTS_ADVICE_SERVICE_H_
#define CAROBMAST_CONTRACTS_ADVICE_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "framework/base/intrusive.h"
#include "framework/base/time.h"

namespace carobmast::contracts {

struct AdviceCall {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  // IDs of the workers that are asked about.
  std::vector<std::string> workers;
};

struct AdviceAnswer {
  bool ok = false;
  // Workers that may run the step, each with the ticket for its starts.
  std::vector<std::pair<std::string, std::string>> tickets;
  // How long the tickets hold, from the answer on.
  std::chrono::milliseconds valid{0};
  std::string error;
};

class AdviceService : public RefCounted<AdviceService> {
 public:
  virtual ~AdviceService() = default;
  virtual boost::asio::awaitable<AdviceAnswer> Advise(AdviceCall call,
                                                      Duration timeout) = 0;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_ADVICE_SERVICE_H_
