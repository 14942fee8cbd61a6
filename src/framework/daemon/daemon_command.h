// The command that runs a daemon.
#ifndef CAROBMAST_FRAMEWORK_DAEMON_DAEMON_COMMAND_H_
#define CAROBMAST_FRAMEWORK_DAEMON_DAEMON_COMMAND_H_

#include <functional>
#include <string>

#include "framework/cli/command.h"
#include "framework/daemon/daemon.h"
#include "framework/settings/settings.h"

namespace carobmast::daemon {

// Reads the daemon's own keys from `reader`, calls reader.Finish() and serves
// until SIGTERM or SIGINT. Returns the exit code.
using RunDaemon =
    std::function<int(DaemonSettings, settings::SettingsReader& reader)>;

// Makes the command `carobmast NAME --settings FILE`. It reads the settings
// file and the common settings, and passes both to `run`.
cli::Command MakeDaemonCommand(const std::string& name,
                               const std::string& summary, RunDaemon run);

}  // namespace carobmast::daemon

#endif  // CAROBMAST_FRAMEWORK_DAEMON_DAEMON_COMMAND_H_
