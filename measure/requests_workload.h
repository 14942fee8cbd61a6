// Workloads of the requests measurement: read from a file, drawn from a seed.
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
  // In thousandths of the operation's requests.
  std::int64_t stragglers = 0;
  std::int64_t straggler_factor = 1;
};

struct Fault {
  // From the start of the measured part.
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

  // Time that the average request needs.
  Duration MeanLength() const;
};

// One request of a workload.
struct Request {
  Duration at = Duration::zero();
  // The platform's balancer gave it to this gateway.
  std::size_t gateway = 0;
  bool is_short = true;
  requests::fakes::Work work;
};

// `zagreb`, `montevideo` or a file's name. Throws Error when it is malformed.
Workload LoadWorkload(const std::string& name);

// A time during which demand is a multiple of what it is otherwise.
struct Crest {
  Duration from = Duration::zero();
  Duration until = Duration::zero();
  std::int64_t factor = 1;

  bool Covers(Duration at) const { return from <= at && at < until; }
};

struct DrawOptions {
  // In percent of the slots.
  std::int64_t load = 70;
  std::size_t gateways = 6;
  Duration length = Duration::zero();
  Crest crest;
  std::uint64_t seed = 1;
};

// A Poisson process of requests.
std::vector<Request> Draw(const Workload& workload, const DrawOptions& options);

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_REQUESTS_WORKLOAD_H_
