// Entry point of the measurement program, with one command per measurement.
// Measurements in virtual time depend on the seed only; those of processor time
// and memory measure this process.
#include "framework/cli/command.h"
#include "measure/config_measure.h"
#include "measure/endpoints_measure.h"
#include "measure/gateway_measure.h"
#include "measure/link_measure.h"
#include "measure/ownership_measure.h"
#include "measure/requests_measure.h"
#include "measure/starts_measure.h"
#include "measure/work_measure.h"
#include "measure/work_state_measure.h"

int main(int argc, char** argv) {
  const std::vector<carobmast::cli::Command> commands = {
      carobmast::measure::ConfigMeasureCommand(),
      carobmast::measure::EndpointsCommand(),
      carobmast::measure::GatewayCommand(),
      carobmast::measure::LinkCommand(),
      carobmast::measure::OwnershipCommand(),
      carobmast::measure::RequestsCommand(),
      carobmast::measure::StartsCommand(),
      carobmast::measure::WorkCommand(),
      carobmast::measure::WorkStateCommand(),
  };
  return carobmast::cli::Dispatch(commands, argc, argv);
}
