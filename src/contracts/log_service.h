// Interface to the platform's log service, which stores append-only streams of
// records. Records have offsets and are retained for a limited time.
#ifndef CAROBMAST_CONTRACTS_LOG_SERVICE_H_
#define CAROBMAST_CONTRACTS_LOG_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "contracts/types/log_record.h"

namespace carobmast::contracts {

// Functions of the service, replaceable for tests and other protocols.
struct LogService {
  // Appends records to a stream. Never throws; failures are reported in the
  // answer's outcome.
  std::function<boost::asio::awaitable<AppendAnswer>(AppendRequest)> append;
  // Reads records of a stream. Throws Error if the service can't be reached or
  // refuses.
  std::function<boost::asio::awaitable<ReadAnswer>(ReadRequest)> read;
};

}  // namespace carobmast::contracts

#endif  // CAROBMAST_CONTRACTS_LOG_SERVICE_H_
