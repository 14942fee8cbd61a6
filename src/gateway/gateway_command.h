// The command `carobmast gateway`.
#ifndef CAROBMAST_GATEWAY_GATEWAY_COMMAND_H_
#define CAROBMAST_GATEWAY_GATEWAY_COMMAND_H_

#include "framework/cli/command.h"

namespace carobmast::gateway {

// `carobmast gateway --settings FILE` runs a gateway until SIGTERM.
cli::Command GatewayCommand();

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_GATEWAY_COMMAND_H_
