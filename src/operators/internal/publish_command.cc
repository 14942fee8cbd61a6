#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "config/check.h"
#include "framework/base/digest.h"
#include "framework/base/error.h"
#include "operators/drive.h"
#include "operators/internal/arguments.h"
#include "operators/internal/command_list.h"
#include "operators/internal/key_file.h"
#include "operators/internal/output.h"
#include "operators/internal/publish_report.h"
#include "operators/internal/rollout.h"

namespace carobmast::operators::internal {
namespace {

constexpr std::int64_t kNoBase = -1;

// Prints the errors of the checked file, if any; true when there are none.
bool IsValidOrPrintErrors(const config::CheckedSet& checked,
                          const std::string& path) {
  for (const config::CheckError& error : checked.errors) {
    std::cerr << config::FormatError(error, path) << "\n";
  }
  return checked.errors.empty();
}

struct PublishArguments {
  explicit PublishArguments(TCLAP::CmdLine& line)
      : output(line),
        log(line),
        base("", "base", "Offset of the set that the file was edited from",
             false, kNoBase, "OFFSET", line),
        rebase("", "rebase",
               "Publish on a newer set when no object was changed by both",
               line),
        wait("", "wait", "Wait until the set is in force in every process",
             line),
        scheduler("", "scheduler",
                  "Operator address of the scheduler that --wait polls", false,
                  "", "IP:PORT", line),
        publisher("", "publisher", "Name of the publisher", false,
                  DefaultPublisher(), "NAME", line),
        key("", "key", "File with the publisher's private key", false, "",
            "FILE", line),
        file("file", "File with the whole configuration set", true, "", "FILE",
             line) {}

  OutputArgument output;
  LogArguments log;
  TCLAP::ValueArg<std::int64_t> base;
  TCLAP::SwitchArg rebase;
  TCLAP::SwitchArg wait;
  TCLAP::ValueArg<std::string> scheduler;
  TCLAP::ValueArg<std::string> publisher;
  TCLAP::ValueArg<std::string> key;
  TCLAP::UnlabeledValueArg<std::string> file;
};

PublishFlowOptions MakeOptions(PublishArguments& arguments,
                               const config::CheckedSet& checked) {
  PublishFlowOptions options{.publisher = arguments.publisher.getValue(),
                             .wanted = checked.set.objects(),
                             .base = checked.base,
                             .rebase = arguments.rebase.getValue(),
                             .sign = MakeSigner(arguments.key.getValue()),
                             .new_id = [] { return "publish-" + RandomId(); },
                             .timeout = arguments.log.timeout()};
  if (arguments.base.getValue() != kNoBase) {
    options.base = static_cast<contracts::Offset>(arguments.base.getValue());
  }
  return options;
}

cli::ExitCode Publish(PublishArguments& arguments) {
  const net::Address log_address = arguments.log.address();
  if (arguments.wait.getValue() && !arguments.scheduler.isSet()) {
    throw Error("settings", "--wait", "requires --scheduler");
  }
  const std::string& path = arguments.file.getValue();
  const config::CheckedSet checked = config::CheckFile(path);
  if (!IsValidOrPrintErrors(checked, path)) return cli::ExitCode::kRefused;

  LogSession session(log_address);
  const PublishResult result =
      session.Run(DrivePublish(session.log(), MakeOptions(arguments, checked)));
  boost::json::object report = PublishReport(result);
  cli::ExitCode code = PublishExitCode(result);
  PrintPublishMessage("publish", result);
  if (code == cli::ExitCode::kDone && arguments.wait.getValue()) {
    const RolloutState state = session.Run(WaitForRollout(
        &session.client(), net::ParseAddress(arguments.scheduler.getValue()),
        result.offset, arguments.log.timeout()));
    AddRollout(state, report);
    if (!state.complete) code = cli::ExitCode::kPlatformUnavailable;
  }
  PrintResult(report, arguments.output.format());
  return code;
}

cli::ExitCode RunPublish(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Checks a whole configuration set and publishes it", ' ',
                      cli::Version());
  PublishArguments arguments(line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "publish", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("publish", [&] { return Publish(arguments); });
}

}  // namespace

cli::Command PublishCommand() {
  return {.name = "publish",
          .summary = "check a whole configuration set and publish it",
          .run = RunPublish};
}

}  // namespace carobmast::operators::internal
