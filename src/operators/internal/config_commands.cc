#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "config/codec.h"
#include "config/log_replay.h"
#include "framework/base/digest.h"
#include "framework/base/error.h"
#include "operators/drive.h"
#include "operators/internal/arguments.h"
#include "operators/internal/ask_status.h"
#include "operators/internal/command_list.h"
#include "operators/internal/key_file.h"
#include "operators/internal/output.h"
#include "operators/internal/publish_report.h"

namespace carobmast::operators::internal {
namespace {

namespace json = boost::json;

cli::ExitCode RunShow(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Prints the set in force as a file to edit and publish",
                      ' ', cli::Version());
  LogArguments log(line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "show", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("show", [&] {
    LogSession session(log.address());
    config::LogReplay replay;
    session.Run(ReadConfig(session.log(), log.timeout(), replay, nullptr));
    std::cout << "base: " << replay.fold().head().offset << "\n"
              << config::SetToYaml(replay.fold().set().objects()) << std::flush;
    return cli::ExitCode::kDone;
  });
}

struct DrainArguments {
  explicit DrainArguments(TCLAP::CmdLine& line)
      : output(line),
        log(line),
        undo("", "undo", "Allow new work on the VM again", line),
        reason("", "reason", "Reason shown to other operators", false,
               "drained by an operator", "TEXT", line),
        publisher("", "publisher", "Name of the publisher", false,
                  DefaultPublisher(), "NAME", line),
        key("", "key", "File with the publisher's private key", false, "",
            "FILE", line),
        vm("vm", "Name of the VM", true, "", "VM", line) {}

  OutputArgument output;
  LogArguments log;
  TCLAP::SwitchArg undo;
  TCLAP::ValueArg<std::string> reason;
  TCLAP::ValueArg<std::string> publisher;
  TCLAP::ValueArg<std::string> key;
  TCLAP::UnlabeledValueArg<std::string> vm;
};

cli::ExitCode Drain(DrainArguments& arguments) {
  PublishFlowOptions options{.publisher = arguments.publisher.getValue(),
                             .sign = MakeSigner(arguments.key.getValue()),
                             .new_id = [] { return "publish-" + RandomId(); },
                             .timeout = arguments.log.timeout()};
  options.remove_kind = config::Kind::kDrainedVm;
  const std::string& vm = arguments.vm.getValue();
  if (arguments.undo.getValue()) {
    options.change.remove.push_back(vm);
  } else {
    options.change.put.emplace_back(
        config::DrainedVm{.name = vm, .reason = arguments.reason.getValue()});
  }
  LogSession session(arguments.log.address());
  const PublishResult result =
      session.Run(DrivePublish(session.log(), std::move(options)));
  PrintPublishMessage("drain", result);
  PrintResult(PublishReport(result), arguments.output.format());
  return PublishExitCode(result);
}

cli::ExitCode RunDrain(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Changes the set in force to give a VM no new work", ' ',
                      cli::Version());
  DrainArguments arguments(line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "drain", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("drain", [&] { return Drain(arguments); });
}

cli::ExitCode RunStatus(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Prints the status of a process", ' ', cli::Version());
  OutputArgument output(line);
  TCLAP::ValueArg<std::string> scheduler(
      "", "scheduler", "Operator address of a scheduler or gateway", true, "",
      "IP:PORT", line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "status", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("status", [&] {
    PrintResult(AskStatus(net::ParseAddress(scheduler.getValue()), "/status"),
                output.format());
    return cli::ExitCode::kDone;
  });
}

}  // namespace

cli::Command ShowCommand() {
  return {.name = "show",
          .summary = "print the set in force as a file",
          .run = RunShow};
}

cli::Command DrainCommand() {
  return {.name = "drain", .summary = "give a VM no new work", .run = RunDrain};
}

cli::Command StatusCommand() {
  return {.name = "status",
          .summary = "print the status of a process",
          .run = RunStatus};
}

}  // namespace carobmast::operators::internal
