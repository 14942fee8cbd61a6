// Interface to a worker's agent, which runs tasks for as long as their leases
// are renewed.
//
// Every command carries a fencing token. A worker that has accepted a higher
// token refuses the command as stale, without any effect. Commands are
// idempotent per (task, attempt): a repeated command changes nothing and
// returns the current state.
#ifndef CAROBMAST_CONTRACTS_WORKER_SERVICE_H_
#define CAROBMAST_CONTRACTS_WORKER_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "contracts/types/worker.h"

namespace carobmast::contracts {

struct WorkerService {
  // Sends a command. Never throws; failures are reported in the answer's
  // outcome.
  std::function<boost::asio::awaitable<CommandAnswer>(WorkerCommand)> command;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_WORKER_SERVICE_H_
