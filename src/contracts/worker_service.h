// The contract with a worker's agent, which runs tasks under leases.
//
// Every command carries a fencing token. A worker that has seen a higher token
// refuses the command as stale and does nothing. Commands are idempotent per
// (task, attempt): a repeated command changes nothing and gets the present
// state.
#ifndef CAROBMAST_CONTRACTS_WORKER_SERVICE_H_
#define CAROBMAST_CONTRACTS_WORKER_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "contracts/types/worker.h"

namespace carobmast::contracts {

struct WorkerService {
  // Never throws; every failure is an outcome.
  std::function<boost::asio::awaitable<CommandAnswer>(WorkerCommand)> command;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_WORKER_SERVICE_H_
