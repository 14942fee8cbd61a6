#include "app/charts_command.h"

#include <iostream>
#include <optional>

#include "requests/attempt.h"
#include "requests/connection_pool.h"
#include "work/scheduler_core.h"

namespace carobmast::app {
namespace {

constexpr char kSummary[] = "draw the state charts of the program";

void PrintChart(const std::string& title, const std::string& file,
                const std::string& diagram) {
  std::cout << "\n## " << title << "\n\nFrom `" << file << "`.\n\n```mermaid\n"
            << diagram << "```\n";
}

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine command_line(kSummary, ' ', cli::Version());
  const std::optional<cli::ExitCode> exit_code =
      cli::ParseArguments(command_line, "charts", args);
  if (exit_code.has_value()) return *exit_code;
  std::cout << "# State charts\n\nDrawn by `carobmast charts` from the files "
               "that the program interprets. A file of the\nsame name in the "
               "settings' `charts_folder` takes the place of a built-in "
               "chart.\n";
  PrintChart("An attempt to have a request answered",
             "src/requests/charts/attempt.yaml",
             requests::MakeAttemptChart().Draw());
  PrintChart("A connection to a target", "src/requests/charts/connection.yaml",
             requests::ConnectionPool::DrawChart());
  PrintChart("The ownership of a cell", "src/work/charts/cell.yaml",
             work::SchedulerCore::DrawCellChart());
  PrintChart("A task that a cell holds", "src/work/charts/task.yaml",
             work::SchedulerCore::DrawTaskChart());
  return cli::ExitCode::kDone;
}

}  // namespace

cli::Command ChartsCommand() {
  return {.name = "charts", .summary = kSummary, .run = Run};
}

}  // namespace carobmast::app
