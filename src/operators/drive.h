// Runs flows against the log service.
#ifndef CAROBMAST_OPERATORS_DRIVE_H_
#define CAROBMAST_OPERATORS_DRIVE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "config/log_replay.h"
#include "contracts/log_service.h"
#include "operators/append_flow.h"
#include "operators/publish_flow.h"

namespace carobmast::operators {

boost::asio::awaitable<PublishResult> DrivePublish(contracts::LogService log,
                                                   PublishFlowOptions options);

boost::asio::awaitable<AppendResult> DriveAppend(contracts::LogService log,
                                                 AppendFlowOptions options);

// Reads the configuration stream to its end and calls `on_verdict`, which may
// be empty, for each record. Throws Error (step "read configuration") when the
// log gives no whole answer within `timeout`.
boost::asio::awaitable<void> ReadConfig(
    contracts::LogService log, Duration timeout, config::LogReplay& replay,
    std::function<void(const config::Verdict&, const contracts::LogRecord&)>
        on_verdict);

}  // namespace carobmast::operators

#endif  // CAROBMAST_OPERATORS_DRIVE_H_
