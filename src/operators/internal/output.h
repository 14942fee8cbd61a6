// Results of commands on standard output.
#ifndef CAROBMAST_OPERATORS_INTERNAL_OUTPUT_H_
#define CAROBMAST_OPERATORS_INTERNAL_OUTPUT_H_

#include <boost/json.hpp>
#include <string>

namespace carobmast::operators::internal {

// "yaml" or "json", with a line end.
std::string FormatResult(const boost::json::value& result,
                         const std::string& format);

void PrintResult(const boost::json::value& result, const std::string& format);

// One line on standard error.
void PrintMessage(const std::string& command, const std::string& message);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_OUTPUT_H_
