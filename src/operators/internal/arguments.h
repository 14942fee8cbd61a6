// Arguments, the event loop and the error handling that several commands share.
#ifndef CAROBMAST_OPERATORS_INTERNAL_ARGUMENTS_H_
#define CAROBMAST_OPERATORS_INTERNAL_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "contracts/log_service.h"
#include "framework/base/time.h"
#include "framework/cli/command.h"
#include "framework/net/http_client.h"

namespace carobmast::operators::internal {

// --output yaml|json
class OutputArgument {
 public:
  explicit OutputArgument(TCLAP::CmdLine& line);
  const std::string& format() { return argument_.getValue(); }

 private:
  std::vector<std::string> formats_ = {"yaml", "json"};
  TCLAP::ValuesConstraint<std::string> constraint_;
  TCLAP::ValueArg<std::string> argument_;
};

// The address of the log, --log IP:PORT or --settings FILE, and --timeout
// DURATION.
class LogArguments {
 public:
  explicit LogArguments(TCLAP::CmdLine& line);

  // The address of the log service. Throws Error (step "settings") when neither
  // or both of --log and --settings are given or the file can't be read, and
  // Error (step "address") when the address can't be parsed.
  net::Address address();
  // Throws Error (step "settings") when --timeout is not a valid duration.
  Duration timeout();

 private:
  TCLAP::ValueArg<std::string> log_;
  TCLAP::ValueArg<std::string> settings_;
  TCLAP::ValueArg<std::string> timeout_;
};

// An event loop with an HTTP client and the log service, for commands that run
// coroutines one after another.
class LogSession {
 public:
  explicit LogSession(const net::Address& address);
  ~LogSession();

  const contracts::LogService& log() const { return log_; }
  net::HttpClient& client() { return *client_; }

  // Runs the coroutine to its end and returns its result; throws what it
  // throws.
  template <typename Result>
  Result Run(boost::asio::awaitable<Result> coroutine);
  void Run(boost::asio::awaitable<void> coroutine);

 private:
  boost::asio::io_context context_{1};
  Ref<net::HttpClient> client_;
  contracts::LogService log_;
};

template <typename Result>
Result LogSession::Run(boost::asio::awaitable<Result> coroutine) {
  std::optional<Result> result;
  const auto store_result = [&result](boost::asio::awaitable<Result> inner)
      -> boost::asio::awaitable<void> { result = co_await std::move(inner); };
  Run(store_result(std::move(coroutine)));
  return std::move(*result);
}

// The default for --publisher: $USER, or "operator" when it is unset or empty.
std::string DefaultPublisher();

// Runs `action` and returns its exit code. An Error is printed on standard
// error and becomes kUsage for faulty arguments and files, kRefused for a
// failed check, and kPlatformUnavailable for any other step, such as a log or
// daemon that can't be reached.
cli::ExitCode RunAndReportErrors(const std::string& command,
                                 const std::function<cli::ExitCode()>& action);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_ARGUMENTS_H_
