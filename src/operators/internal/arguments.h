// Arguments that several commands share.
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

// --log IP:PORT | --settings FILE, and --timeout DURATION
class LogArguments {
 public:
  explicit LogArguments(TCLAP::CmdLine& line);

  // Throws Error (step "settings") when neither or both are given or can't be
  // read.
  net::Address address();
  // Throws Error (step "settings") when it is no duration.
  Duration timeout();

 private:
  TCLAP::ValueArg<std::string> log_;
  TCLAP::ValueArg<std::string> settings_;
  TCLAP::ValueArg<std::string> timeout_;
};

// An event loop with the log service, for commands that run one coroutine.
class LogSession {
 public:
  explicit LogSession(const net::Address& address);
  ~LogSession();

  const contracts::LogService& log() const { return log_; }
  net::HttpClient& client() { return *client_; }

  // Runs it to its end; throws what it throws.
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

// Who publishes: the user's name of the shell.
std::string DefaultPublisher();

// Runs `action` and maps errors of usage to kUsage and failures to reach the
// platform to kPlatformOut, with a message on standard error.
cli::ExitCode RunAndReportErrors(const std::string& command,
                                 const std::function<cli::ExitCode()>& action);

}  // namespace carobmast::operators::internal

#endif  // CAROBMAST_OPERATORS_INTERNAL_ARGUMENTS_H_
