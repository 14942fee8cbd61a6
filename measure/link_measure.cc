#include "measure/link_measure.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "framework/link/link.h"
#include "measure/process_cost.h"

namespace carobmast::measure {

namespace asio = boost::asio;

namespace {

constexpr char kMethod[] = "measure.echo";

struct LinkCounts {
  std::size_t links = 100;
  std::size_t calls = 20000;
  std::size_t bytes = 200;
};

asio::awaitable<std::string> Echo(std::string request) { co_return request; }

class LinkMeasure {
 public:
  explicit LinkMeasure(const LinkCounts& counts)
      : counts_(counts),
        server_(MakeRef<link::LinkServer>(
            context_.get_executor(),
            link::LinkServerOptions{.listen = {.ip = "127.0.0.1", .port = 0},
                                    .handlers = {{kMethod, Echo}},
                                    .max_links = counts.links})) {}

  void Run() {
    asio::co_spawn(context_, Measure(), [this](std::exception_ptr error) {
      context_.stop();
      if (error) std::rethrow_exception(error);
    });
    context_.run();
  }

 private:
  asio::awaitable<void> Measure() {
    const std::size_t memory_before = ResidentBytes();
    for (std::size_t i = 0; i < counts_.links; ++i) {
      clients_.push_back(MakeRef<link::LinkClient>(
          context_.get_executor(),
          link::LinkClientOptions{.peer = server_->address()}));
      co_await CallOnce(i);
    }
    const std::size_t memory_after = ResidentBytes();
    const Duration before = ProcessorTime();
    for (std::size_t i = 0; i < counts_.calls; ++i) co_await CallOnce(i);
    const Duration used = ProcessorTime() - before;
    std::cout << "links: " << counts_.links << "\ncalls: " << counts_.calls
              << "\nmessage_bytes: " << counts_.bytes
              << "\nprocessor_us_per_call: "
              << static_cast<double>(used.count()) / 1000.0 /
                     static_cast<double>(counts_.calls)
              << "\nmemory_bytes_per_link: "
              << (memory_after - memory_before) / counts_.links << "\n";
  }

  asio::awaitable<void> CallOnce(std::size_t number) {
    const Ref<link::LinkClient> client = clients_[number % clients_.size()];
    std::string request(counts_.bytes, 'x');
    co_await client->Call(kMethod, std::move(request), std::chrono::seconds(5));
  }

  LinkCounts counts_;
  asio::io_context context_{1};
  Ref<link::LinkServer> server_;
  std::vector<Ref<link::LinkClient>> clients_;
};

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Measures the cost of peer links", ' ', cli::Version());
  const LinkCounts defaults;
  TCLAP::ValueArg<std::size_t> links("l", "links", "Number of open links",
                                     false, defaults.links, "N", line);
  TCLAP::ValueArg<std::size_t> calls("c", "calls", "Total number of calls",
                                     false, defaults.calls, "N", line);
  TCLAP::ValueArg<std::size_t> bytes("b", "bytes",
                                     "Size of each message in bytes", false,
                                     defaults.bytes, "N", line);
  const std::optional<cli::ExitCode> end =
      cli::ParseArguments(line, "links", args);
  if (end.has_value()) return *end;
  LinkMeasure measure({.links = std::max<std::size_t>(links.getValue(), 1),
                       .calls = std::max<std::size_t>(calls.getValue(), 1),
                       .bytes = bytes.getValue()});
  measure.Run();
  return cli::ExitCode::kDone;
}

}  // namespace

cli::Command LinkCommand() {
  return {.name = "links", .summary = "cost of peer links", .run = Run};
}

}  // namespace carobmast::measure
