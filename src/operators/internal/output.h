// Prints results on standard output and messages on standard error.
#ifndef CAROBMAST_OPERATORS_INTERNAL_OUTPUT_H_
#define CAROBMAST_OPERATORS_INTERNAL_OUTPUT_H_

#include <boost/json.hpp>
#include <string>

namespace carobmast::operators::internal {

// Formats a result as "yaml" or "json", with a final newline.
std::string FormatResult(const boost::json::value& result,
                         const std::string& format);

void PrintResult(const boost::json::value& result, const std::string& format);

// Prints a message on standard error, prefixed with the command's name.
void PrintMessage(const std::string& command, const std::string& message);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_OUTPUT_H_
