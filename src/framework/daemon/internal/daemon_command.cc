#include "framework/daemon/daemon_command.h"

#include <optional>
#include <utility>

namespace carobmast::daemon {

cli::Command MakeDaemonCommand(const std::string& name,
                               const std::string& summary, RunDaemon run) {
  return {
      .name = name,
      .summary = summary,
      .run = [name, summary, run = std::move(run)](
                 const std::vector<std::string>& args) -> cli::ExitCode {
        TCLAP::CmdLine line(summary, ' ', cli::Version());
        TCLAP::ValueArg<std::string> file(
            "s", "settings", "Settings file (YAML)", true, "", "FILE", line);
        const std::optional<cli::ExitCode> exit_code =
            cli::ParseArguments(line, name, args);
        if (exit_code.has_value()) return *exit_code;
        settings::SettingsReader reader =
            settings::SettingsReader::Load(file.getValue());
        DaemonSettings settings = ReadDaemonSettings(reader);
        return run(std::move(settings), reader) == 0 ? cli::ExitCode::kDone
                                                     : cli::ExitCode::kRefused;
      }};
}

}  // namespace carobmast::daemon
