// Reports the outcome of a publish to the operator.
#ifndef CAROBMAST_OPERATORS_INTERNAL_PUBLISH_REPORT_H_
#define CAROBMAST_OPERATORS_INTERNAL_PUBLISH_REPORT_H_

#include <boost/json.hpp>
#include <string>

#include "framework/cli/command.h"
#include "operators/publish_flow.h"

namespace carobmast::operators::internal {

// The report for standard output.
boost::json::object PublishReport(const PublishResult& result);
cli::ExitCode PublishExitCode(const PublishResult& result);
// Prints a message on standard error unless the outcome is kPublished.
void PrintPublishMessage(const std::string& command,
                         const PublishResult& result);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_PUBLISH_REPORT_H_
