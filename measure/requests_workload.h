// Workloads of the requests measurement: read from a file; their requests are
// generated from a seed.
#ifndef CAROBMAST_MEASURE_REQUESTS_WORKLOAD_H_
#define CAROBMAST_MEASURE_REQUESTS_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/time.h"
#include "requests/fakes/fake_cluster.h"

namespace carobmast::measure {

struct Operation {
  std::string name;
  // In thousandths of all requests.
  std::int64_t share = 0;
  Duration mean = Duration::zero();
  double sigma = 0;
  bool idempotent = true;
  bool is_short = true;
  // Requests that take `straggler_factor` times as long, in thousandths of the
  // operation's requests.
  std::int64_t stragglers = 0;
  std::int64_t straggler_factor = 1;
};

struct Fault {
  // Time since the end of the warm-up.
  Duration at = Duration::zero();
  std::size_t instance = 0;
  requests::fakes::InstanceMode mode = requests::fakes::InstanceMode::kHealthy;
  double slowness = 1;
};

struct Workload {
  std::string service;
  std::vector<std::string> zones;
  std::size_t instances = 0;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  Duration deadline = Duration::zero();
  std::vector<config::SizeClass> classes;
  std::vector<Operation> operations;
  std::vector<Fault> faults;

  // Mean service time of a request, over all operations.
  Duration MeanLength() const;
};

// One request of a workload.
struct Request {
  Duration at = Duration::zero();
  // Index of the gateway that the platform's load balancer chose.
  std::size_t gateway = 0;
  bool is_short = true;
  requests::fakes::Work work;
};

// Loads the workload `zagreb`, `montevideo` or that of a file. Throws Error
// when the file can't be read or is malformed.
Workload LoadWorkload(const std::string& name);

// A period in which requests arrive `factor` times as often as otherwise.
struct DemandPeak {
  Duration from = Duration::zero();
  Duration until = Duration::zero();
  std::int64_t factor = 1;

  bool Covers(Duration at) const { return from <= at && at < until; }
};

struct RequestGeneratorOptions {
  // Offered load, in percent of all slots.
  std::int64_t load = 70;
  std::size_t gateways = 6;
  Duration length = Duration::zero();
  DemandPeak demand_peak;
  std::uint64_t seed = 1;
};

// Generates requests that arrive as a Poisson process, in order of arrival.
std::vector<Request> GenerateRequests(const Workload& workload,
                                      const RequestGeneratorOptions& options);

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_REQUESTS_WORKLOAD_H_
