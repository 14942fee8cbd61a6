// The contract with a worker's agent, which runs tasks under leases.
//
// Every command carries a fencing token. A worker that has seen a higher token
// refuses the command as stale and does nothing. Commands are idempotent per
// (task, attempt): a repeated command changes nothing and gets the present
// state.
#ifndef CAROBMAST_PLATFORM_WORKER_SERVICE_H_
#define CAROBMAST_PLATFORM_WORKER_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "platform/types/worker.h"

namespace carobmast::platform {

struct WorkerService {
  // Never throws; every failure is an outcome.
  std::function<boost::asio::awaitable<CommandAnswer>(WorkerCommand)> command;
};

}  // namespace carobmast::platform

#endif  // CAROBMAST_PLATFORM_WORKER_SERVICE_H_
