#include "operators/internal/arguments.h"

#include <boost/asio/co_spawn.hpp>
#include <cstdlib>
#include <exception>
#include <utility>

#include "contracts/http_services.h"
#include "framework/base/error.h"
#include "framework/base/units.h"
#include "framework/settings/settings.h"
#include "operators/internal/output.h"

namespace carobmast::operators::internal {
namespace {

// Whether the error is caused by an argument or a file given by the operator.
bool IsUsageError(const Error& error) {
  return error.step() == "settings" || error.step() == "address";
}

}  // namespace

OutputArgument::OutputArgument(TCLAP::CmdLine& line)
    : constraint_(formats_),
      argument_("", "output", "Format of the result", false, "yaml",
                &constraint_, line) {}

LogArguments::LogArguments(TCLAP::CmdLine& line)
    : log_("", "log", "Address of the platform's log service", false, "",
           "IP:PORT", line),
      settings_("", "settings",
                "Settings file of a daemon; its log_service is used", false, "",
                "FILE", line),
      timeout_("", "timeout", "How long to retry while the log is out", false,
               "15s", "DURATION", line) {}

net::Address LogArguments::address() {
  if (log_.isSet() == settings_.isSet()) {
    throw Error("settings", "arguments",
                "expected exactly one of --log and --settings");
  }
  if (log_.isSet()) return net::ParseAddress(log_.getValue());
  settings::SettingsReader reader =
      settings::SettingsReader::Load(settings_.getValue());
  return reader.Address("log_service");
}

Duration LogArguments::timeout() {
  const std::optional<Duration> timeout = ParseDuration(timeout_.getValue());
  if (!timeout.has_value()) {
    throw Error("settings", "--timeout",
                "expected a duration with its unit, such as 15s");
  }
  return *timeout;
}

LogSession::LogSession(const net::Address& address)
    : client_(MakeRef<net::HttpClient>(context_.get_executor(),
                                       net::HttpClientOptions{})),
      log_(contracts::MakeHttpLogService(client_, address)) {}

LogSession::~LogSession() { client_->Close(); }

void LogSession::Run(boost::asio::awaitable<void> coroutine) {
  std::exception_ptr failure;
  boost::asio::co_spawn(
      context_, std::move(coroutine),
      [&failure](std::exception_ptr error) { failure = error; });
  context_.restart();
  context_.run();
  if (failure) std::rethrow_exception(failure);
}

std::string DefaultPublisher() {
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "operator" : user;
}

cli::ExitCode RunAndReportErrors(const std::string& command,
                                 const std::function<cli::ExitCode()>& action) {
  try {
    return action();
  } catch (const Error& error) {
    PrintMessage(command, error.what());
    if (IsUsageError(error)) return cli::ExitCode::kUsage;
    if (error.step() == "check") return cli::ExitCode::kRefused;
    return cli::ExitCode::kPlatformUnavailable;
  }
}

}  // namespace carobmast::operators::internal
