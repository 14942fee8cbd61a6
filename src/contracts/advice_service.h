// Interface to an advice service, which decides which workers may run a step of
// a job.
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

// Identifies the step and the workers to choose from.
struct AdviceCall {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  // IDs of the candidate workers.
  std::vector<std::string> workers;
};

struct AdviceAnswer {
  // Whether the service answered; if not, `error` says why.
  bool ok = false;
  // (worker ID, ticket) of each worker that may run the step. Starts of the
  // step on this worker must carry the ticket.
  std::vector<std::pair<std::string, std::string>> tickets;
  // How long the tickets are valid, counted from the answer.
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
