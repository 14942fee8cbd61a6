#include <string>
#include <utility>
#include <vector>

#include "config/log_replay.h"
#include "framework/base/digest.h"
#include "framework/base/error.h"
#include "operators/drive.h"
#include "operators/internal/arguments.h"
#include "operators/internal/command_list.h"
#include "operators/internal/output.h"
#include "work/work_record.h"

namespace carobmast::operators::internal {
namespace {

constexpr std::size_t kGeneratedIdLength = 16;

// Returns the batch job `name` of the set in force. Throws Error (step "check")
// when there is none.
config::BatchJob FindJob(const config::LogReplay& replay,
                         const std::string& name) {
  const std::map<std::string, config::BatchJob>& jobs =
      replay.fold().set().objects().batch_jobs;
  const auto found = jobs.find(name);
  if (found == jobs.end()) {
    throw Error(
        "check",
        "set in force at offset " + std::to_string(replay.fold().head().offset),
        "no batch job is named '" + name + "'");
  }
  return found->second;
}

// Whether the record data found under the id is a submission of the same job.
bool IsSameJob(const std::string& found, const std::string& job) {
  const work::WorkRecord record = work::DecodeRecord(found, "log");
  const work::SubmitRecord* submit = std::get_if<work::SubmitRecord>(&record);
  return submit != nullptr && submit->spec.name == job;
}

// Prints the outcome of a submit or cancel and returns its exit code.
// `success_word` is the outcome reported on success, such as "accepted".
cli::ExitCode ReportOutcome(const std::string& command,
                            const std::string& success_word,
                            const std::string& id, const AppendResult& result,
                            const std::string& format) {
  boost::json::object report{{"id", id}};
  cli::ExitCode code = cli::ExitCode::kPlatformUnavailable;
  switch (result.kind) {
    case AppendResultKind::kAppended:
      report["outcome"] = success_word;
      report["offset"] = result.offset;
      code = cli::ExitCode::kDone;
      break;
    case AppendResultKind::kNotAppended:
      report["outcome"] = "not " + success_word;
      report["reason"] = result.reason;
      PrintMessage(command, "not " + success_word + ": " + result.reason);
      break;
    case AppendResultKind::kUnknown:
      report["outcome"] = "unknown";
      report["reason"] = result.reason;
      PrintMessage(command, "unknown whether it was " + success_word + ": " +
                                result.reason + "; run '" + command +
                                "' again with the id " + id);
      break;
  }
  PrintResult(report, format);
  return code;
}

struct SubmitArguments {
  explicit SubmitArguments(TCLAP::CmdLine& line)
      : output(line),
        log(line),
        id("", "id",
           "Name of this submission; a repeated name is accepted once", false,
           "", "ID", line),
        job("job", "Name of a batch job of the set in force", true, "", "JOB",
            line) {}

  OutputArgument output;
  LogArguments log;
  TCLAP::ValueArg<std::string> id;
  TCLAP::UnlabeledValueArg<std::string> job;
};

cli::ExitCode Submit(SubmitArguments& arguments) {
  const std::string& job = arguments.job.getValue();
  const std::string id = arguments.id.isSet()
                             ? arguments.id.getValue()
                             : RandomId().substr(0, kGeneratedIdLength);
  LogSession session(arguments.log.address());
  config::LogReplay replay;
  try {
    session.Run(
        ReadConfig(session.log(), arguments.log.timeout(), replay, nullptr));
  } catch (const Error& error) {
    // When the operator gave the id, an earlier run may have appended it.
    const AppendResultKind kind = arguments.id.isSet()
                                      ? AppendResultKind::kUnknown
                                      : AppendResultKind::kNotAppended;
    return ReportOutcome("submit", "accepted", id,
                         {.kind = kind, .reason = error.what()},
                         arguments.output.format());
  }
  AppendFlowOptions options{
      .stream = contracts::kWorkStream,
      .record = work::MakeSubmit(id, FindJob(replay, job)),
      .search_first = arguments.id.isSet(),
      .timeout = arguments.log.timeout()};
  const AppendResult result =
      session.Run(DriveAppend(session.log(), std::move(options)));
  if (!result.existing_data.empty() && !IsSameJob(result.existing_data, job)) {
    PrintMessage("submit", "refused: the id '" + id +
                               "' belongs to a submission of another job");
    return cli::ExitCode::kRefused;
  }
  return ReportOutcome("submit", "accepted", id, result,
                       arguments.output.format());
}

cli::ExitCode RunSubmit(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Submits a batch job of the set in force", ' ',
                      cli::Version());
  SubmitArguments arguments(line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "submit", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("submit", [&] { return Submit(arguments); });
}

cli::ExitCode RunCancel(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Cancels a submission", ' ', cli::Version());
  OutputArgument output(line);
  LogArguments log(line);
  TCLAP::UnlabeledValueArg<std::string> id("id", "Name of the submission", true,
                                           "", "ID", line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "cancel", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("cancel", [&] {
    LogSession session(log.address());
    AppendFlowOptions options{.stream = contracts::kWorkStream,
                              .record = work::MakeCancel(id.getValue()),
                              .timeout = log.timeout()};
    const AppendResult result =
        session.Run(DriveAppend(session.log(), std::move(options)));
    return ReportOutcome("cancel", "cancelled", id.getValue(), result,
                         output.format());
  });
}

}  // namespace

cli::Command SubmitCommand() {
  return {.name = "submit", .summary = "submit a batch job", .run = RunSubmit};
}

cli::Command CancelCommand() {
  return {.name = "cancel", .summary = "cancel a submission", .run = RunCancel};
}

}  // namespace carobmast::operators::internal
