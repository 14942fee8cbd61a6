// Coroutines that carry out the steps of the flows against the log service.
#ifndef CAROBMAST_OPERATORS_DRIVE_H_
#define CAROBMAST_OPERATORS_DRIVE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>

#include "config/log_replay.h"
#include "contracts/log_service.h"
#include "operators/append_flow.h"
#include "operators/publish_flow.h"

namespace carobmast::operators {

// Runs a publish to its result. Failed reads and appends are retried; the last
// error is part of the result.
boost::asio::awaitable<PublishResult> DrivePublish(contracts::LogService log,
                                                   PublishFlowOptions options);

// Runs an append to its result, likewise.
boost::asio::awaitable<AppendResult> DriveAppend(contracts::LogService log,
                                                 AppendFlowOptions options);

// Reads the configuration stream into `replay` to its end, or to the first
// record that this program can't interpret, and calls `on_verdict`, which may
// be empty, for each record with a verdict. `replay` must outlive the
// coroutine. Throws Error (step "read configuration") when the end is not
// reached within `timeout`.
boost::asio::awaitable<void> ReadConfig(
    contracts::LogService log, Duration timeout, config::LogReplay& replay,
    std::function<void(const config::Verdict&, const contracts::LogRecord&)>
        on_verdict);

}  // namespace carobmast::operators

#endif  // CAROBMAST_OPERATORS_DRIVE_H_
