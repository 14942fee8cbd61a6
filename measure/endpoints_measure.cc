#include "measure/endpoints_measure.h"

#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "measure/process_cost.h"
#include "requests/endpoint_table.h"
#include "requests/generated/endpoints.pb.h"
#include "requests/request_core.h"

namespace carobmast::measure {
namespace {

constexpr std::size_t kCellSize = 8;
constexpr std::size_t kInstancesPerService = 48;
constexpr int kRounds = 20;

std::string CellName(std::size_t instance) {
  return "zg-a/rack-" + std::to_string(instance / kCellSize);
}

std::string ServiceName(std::size_t instance) {
  return "bordero-portal-" + std::to_string(instance / kInstancesPerService);
}

requests::proto::EndpointsAnswer MakeAnswer(std::size_t instances) {
  requests::proto::EndpointsAnswer answer;
  answer.set_version(1);
  for (std::size_t i = 0; i < instances; ++i) {
    if (i % kCellSize == 0) {
      requests::proto::CellHead* cell = answer.add_cells();
      cell->set_cell(CellName(i));
      cell->set_token(100000 + i);
    }
    requests::proto::Endpoint* endpoint = answer.add_endpoints();
    endpoint->set_service(ServiceName(i));
    endpoint->set_instance(ServiceName(i) + "/" + std::to_string(i) + "/1001");
    endpoint->set_address("10.20." + std::to_string(i / 250 % 250) + "." +
                          std::to_string(i % 250) + ":31234");
    endpoint->set_zone("zg-a");
    endpoint->set_slots(8);
    endpoint->set_connections(64);
    endpoint->set_cell(CellName(i));
    endpoint->set_token(100000 + i);
  }
  return answer;
}

std::vector<requests::CellInstances> GroupByCell(
    const requests::proto::EndpointsAnswer& answer) {
  std::vector<requests::CellInstances> cells;
  for (const requests::proto::Endpoint& endpoint : answer.endpoints()) {
    if (cells.empty() || cells.back().cell != endpoint.cell()) {
      cells.push_back({.cell = endpoint.cell(), .token = endpoint.token()});
    }
    cells.back().instances.push_back({.service = endpoint.service(),
                                      .name = endpoint.instance(),
                                      .address = endpoint.address(),
                                      .zone = endpoint.zone(),
                                      .slots = endpoint.slots(),
                                      .connections = endpoint.connections()});
  }
  return cells;
}

std::vector<requests::ServiceRules> MakeRules(std::size_t instances) {
  std::vector<requests::ServiceRules> rules;
  for (std::size_t i = 0; i < instances; i += kInstancesPerService) {
    rules.push_back({.name = ServiceName(i)});
  }
  return rules;
}

void MeasureSize(std::size_t instances) {
  const std::string bytes = MakeAnswer(instances).SerializeAsString();
  const std::size_t memory_before = ResidentBytes();
  requests::RequestCore core({.gateway = "measured", .zone = "zg-a"}, {});
  const MonotonicTime now;
  core.SetServices(MakeRules(instances), now);
  requests::EndpointTable table;
  const Duration begin = ProcessorTime();
  for (int round = 0; round < kRounds; ++round) {
    requests::proto::EndpointsAnswer answer;
    answer.ParseFromString(bytes);
    table.Take(GroupByCell(answer));
    core.SetInstances(table.All(), now);
  }
  const Duration used = (ProcessorTime() - begin) / kRounds;
  const std::size_t memory = ResidentBytes() - memory_before;
  std::printf(
      "- instances: %zu\n  answer_bytes: %zu\n  bytes_per_instance: %.1f\n"
      "  processor_ms_to_take_in: %.2f\n  memory_bytes_per_instance: %.0f\n",
      instances, bytes.size(),
      static_cast<double>(bytes.size()) / static_cast<double>(instances),
      static_cast<double>(used.count()) / 1e6,
      static_cast<double>(memory) / static_cast<double>(instances));
}

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Measures the cost of a gateway's endpoint table", ' ',
                      cli::Version());
  TCLAP::MultiArg<std::size_t> sizes("i", "instances", "Number of instances",
                                     false, "N", line);
  const std::optional<cli::ExitCode> end =
      cli::ParseArguments(line, "endpoints", args);
  if (end.has_value()) return *end;
  std::vector<std::size_t> requested_sizes = sizes.getValue();
  if (requested_sizes.empty()) requested_sizes = {48, 1920, 30000};
  for (const std::size_t instances : requested_sizes) MeasureSize(instances);
  return cli::ExitCode::kDone;
}

}  // namespace

cli::Command EndpointsCommand() {
  return {.name = "endpoints",
          .summary = "cost of a gateway's endpoint table",
          .run = Run};
}

}  // namespace carobmast::measure
