#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "config/check.h"
#include "config/kinds.h"
#include "config/log_replay.h"
#include "framework/base/error.h"
#include "operators/drive.h"
#include "operators/explain.h"
#include "operators/internal/arguments.h"
#include "operators/internal/ask_status.h"
#include "operators/internal/command_list.h"
#include "operators/internal/output.h"

namespace carobmast::operators::internal {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxHistoryEntries = 10'000;
constexpr int kDefaultHistoryLength = 20;

// Reads the configuration stream into `replay` and `history`.
void ReadConfigHistory(LogArguments& arguments, config::LogReplay& replay,
                       History& history) {
  LogSession session(arguments.address());
  session.Run(ReadConfig(session.log(), arguments.timeout(), replay,
                         [&history](const config::Verdict& verdict,
                                    const contracts::LogRecord& record) {
                           history.Add(verdict, record);
                         }));
}

struct ExplainArguments {
  explicit ExplainArguments(TCLAP::CmdLine& line)
      : output(line),
        log(line),
        scheduler("", "scheduler",
                  "Operator address of a scheduler to ask about tasks", false,
                  "", "IP:PORT", line),
        name("name", "Name of an object, a submission or a task", true, "",
             "NAME", line) {}

  OutputArgument output;
  LogArguments log;
  TCLAP::ValueArg<std::string> scheduler;
  TCLAP::UnlabeledValueArg<std::string> name;
};

// Asks a scheduler about the tasks and jobs named `name`: where they run, and
// why a task waits.
json::object AskTasks(const std::string& scheduler, const std::string& name) {
  const json::value status =
      AskStatus(net::ParseAddress(scheduler), "/status?name=" + name);
  json::object out;
  if (!status.is_object()) return out;
  for (const char* key : {"scheduler", "tasks", "more_tasks", "jobs"}) {
    const json::value* value = status.get_object().if_contains(key);
    if (value != nullptr) out[key] = *value;
  }
  return out;
}

// Whether `name` has only the characters of names of objects and tasks, none of
// which needs escaping in a URL query.
bool IsValidQueryName(const std::string& name) {
  const std::string allowed = "abcdefghijklmnopqrstuvwxyz0123456789-/._";
  return !name.empty() && name.find_first_not_of(allowed) == std::string::npos;
}

cli::ExitCode ExplainName(ExplainArguments& arguments) {
  const std::string& name = arguments.name.getValue();
  if (!IsValidQueryName(name)) {
    throw Error("settings", "NAME",
                "expected lower-case letters, digits, '-', '/', '.' and '_'");
  }
  config::LogReplay replay;
  History history(kMaxHistoryEntries);
  ReadConfigHistory(arguments.log, replay, history);
  json::object out = Explain(replay.fold(), history, name);
  bool found = out["found"].get_bool();
  if (arguments.scheduler.isSet()) {
    json::object work = AskTasks(arguments.scheduler.getValue(), name);
    for (const char* key : {"tasks", "jobs"}) {
      const json::value* list = work.if_contains(key);
      if (list != nullptr && list->is_array() && !list->get_array().empty()) {
        found = true;
      }
    }
    out["work"] = std::move(work);
  }
  PrintResult(out, arguments.output.format());
  if (found) return cli::ExitCode::kDone;
  PrintMessage("explain", "nothing is named '" + name + "'");
  return cli::ExitCode::kRefused;
}

cli::ExitCode RunExplain(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Shows what is known about an object, submission or task",
                      ' ', cli::Version());
  ExplainArguments arguments(line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "explain", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("explain", [&] { return ExplainName(arguments); });
}

cli::ExitCode RunDiff(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Shows what publishing a file would change", ' ',
                      cli::Version());
  OutputArgument output(line);
  LogArguments log(line);
  TCLAP::UnlabeledValueArg<std::string> file(
      "file", "File with the whole configuration set", true, "", "FILE", line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "diff", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("diff", [&] {
    const config::CheckedSet checked = config::CheckFile(file.getValue());
    for (const config::CheckError& error : checked.errors) {
      std::cerr << config::FormatError(error, file.getValue()) << "\n";
    }
    config::LogReplay replay;
    History history(kMaxHistoryEntries);
    ReadConfigHistory(log, replay, history);
    PrintResult(Difference(replay.fold(), checked.set.objects()),
                output.format());
    return checked.errors.empty() ? cli::ExitCode::kDone
                                  : cli::ExitCode::kRefused;
  });
}

struct HistoryArguments {
  explicit HistoryArguments(TCLAP::CmdLine& line)
      : output(line),
        log(line),
        last("", "last", "How many of the newest publishes to print", false,
             kDefaultHistoryLength, "NUMBER", line),
        id("", "id", "Print only the publish with this id", false, "", "ID",
           line),
        name("", "name", "Print only publishes that changed this object", false,
             "", "NAME", line) {}

  OutputArgument output;
  LogArguments log;
  TCLAP::ValueArg<int> last;
  TCLAP::ValueArg<std::string> id;
  TCLAP::ValueArg<std::string> name;
};

// Prints the outcome of the publish with the id given. Several records may have
// the id after a retry; the first of them decides.
cli::ExitCode PrintPublishById(const History& history,
                               HistoryArguments& arguments) {
  const std::string& id = arguments.id.getValue();
  for (const HistoryEntry& entry : history.entries()) {
    if (entry.id != id) continue;
    PrintResult(HistoryToJson(entry), arguments.output.format());
    return entry.verdict == "accepted" ? cli::ExitCode::kDone
                                       : cli::ExitCode::kRefused;
  }
  PrintMessage("history", "no publish in the log has the id '" + id + "'");
  return cli::ExitCode::kRefused;
}

cli::ExitCode PrintHistory(HistoryArguments& arguments) {
  config::LogReplay replay;
  History history(kMaxHistoryEntries);
  ReadConfigHistory(arguments.log, replay, history);
  if (arguments.id.isSet()) return PrintPublishById(history, arguments);
  json::array entries;
  for (const HistoryEntry& entry : history.entries()) {
    const bool matches = !arguments.name.isSet() ||
                         ChangesObject(entry, arguments.name.getValue());
    if (matches) entries.push_back(HistoryToJson(entry));
  }
  const std::size_t last =
      static_cast<std::size_t>(std::max(0, arguments.last.getValue()));
  if (entries.size() > last) {
    entries.erase(entries.begin(),
                  entries.end() - static_cast<std::ptrdiff_t>(last));
  }
  PrintResult(entries, arguments.output.format());
  return cli::ExitCode::kDone;
}

cli::ExitCode RunHistory(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Prints the publishes that the log still holds", ' ',
                      cli::Version());
  HistoryArguments arguments(line);
  const std::optional<cli::ExitCode> early_exit =
      cli::ParseArguments(line, "history", args);
  if (early_exit.has_value()) return *early_exit;
  return RunAndReportErrors("history", [&] { return PrintHistory(arguments); });
}

}  // namespace

cli::Command ExplainCommand() {
  return {.name = "explain",
          .summary = "show what is known about an object",
          .run = RunExplain};
}

cli::Command DiffCommand() {
  return {.name = "diff",
          .summary = "show what publishing a file would change",
          .run = RunDiff};
}

cli::Command HistoryCommand() {
  return {.name = "history",
          .summary = "print the publishes that the log still holds",
          .run = RunHistory};
}

}  // namespace carobmast::operators::internal
