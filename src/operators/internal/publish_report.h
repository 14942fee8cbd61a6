// How the end of a publish is told.
#ifndef CAROBMAST_OPERATORS_INTERNAL_PUBLISH_REPORT_H_
#define CAROBMAST_OPERATORS_INTERNAL_PUBLISH_REPORT_H_

#include <boost/json.hpp>
#include <string>

#include "framework/cli/command.h"
#include "operators/publish_flow.h"

namespace carobmast::operators::internal {

boost::json::object PublishReport(const PublishResult& result);
cli::ExitCode PublishExitCode(const PublishResult& result);
// On standard error, when it is not plainly done.
void PrintPublishMessage(const std::string& command,
                         const PublishResult& result);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_PUBLISH_REPORT_H_
