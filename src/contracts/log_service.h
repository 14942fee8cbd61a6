// The contract with the platform's log service: append-only streams of records
// with offsets, kept for a limited time.
#ifndef CAROBMAST_CONTRACTS_LOG_SERVICE_H_
#define CAROBMAST_CONTRACTS_LOG_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "contracts/types/log_record.h"

namespace carobmast::contracts {

// The service as hooks, so that tests and other protocols can take its place.
struct LogService {
  // Never throws; every failure is an outcome.
  std::function<boost::asio::awaitable<AppendAnswer>(AppendRequest)> append;
  // Throws Error when the service can't be reached or refuses.
  std::function<boost::asio::awaitable<ReadAnswer>(ReadRequest)> read;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_LOG_SERVICE_H_
