// Runs the stand-in platform as a process; not part of the product.
#include <tclap/CmdLine.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <string>

#include "standin/settings.h"
#include "standin/stand_in.h"

namespace carobmast::standin {

namespace {

int RunStandIn(const StandInSettings& settings) {
  boost::asio::io_context context{1};
  StandIn stand_in(context.get_executor(), settings);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&context](boost::system::error_code, int) { context.stop(); });
  boost::asio::co_spawn(context, stand_in.RunClock(), boost::asio::detached);
  std::cout << "standin listens " << stand_in.address().ToString() << std::endl;
  context.run();
  return 0;
}

}  // namespace

}  // namespace carobmast::standin

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Stand-in platform of carobmast's demo and tests");
    TCLAP::ValueArg<std::string> settings(
        "", "settings", "Settings file (docs/operators/stand-in.md)", true, "",
        "FILE", line);
    line.parse(argc, argv);
    return carobmast::standin::RunStandIn(
        carobmast::standin::ReadStandInSettings(settings.getValue()));
  } catch (const std::exception& error) {
    std::cerr << "carobmast_standin: " << error.what() << "\n";
    return 2;
  }
}
