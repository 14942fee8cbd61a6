#include "measure/requests_measure.h"

#include <tclap/CmdLine.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <queue>

#include "framework/base/error.h"
#include "measure/requests_workload.h"

namespace carobmast::measure {

using requests::fakes::FakeCluster;
using requests::fakes::FakeClusterOptions;
using requests::fakes::InstanceMode;
using requests::fakes::Outcome;

namespace {

// Requests that arrive during the warm-up are not counted.
constexpr Duration kWarmUp = std::chrono::seconds(2);
constexpr Duration kMeasuredTime = std::chrono::seconds(8);
// Time for requests that are in flight at the end of the measured time.
constexpr Duration kDrainTime = std::chrono::seconds(5);
constexpr Duration kCallerLatency = std::chrono::milliseconds(1);
constexpr Duration kZoneLatency = std::chrono::microseconds(50);
// The demand peak begins this long after the warm-up.
constexpr Duration kPeakStart = std::chrono::seconds(2);
constexpr Duration kPeakLength = std::chrono::seconds(2);
constexpr char kIdeal[] = "ideal";
constexpr char kBaseline[] = "round_robin";

struct RequestsArguments {
  Workload workload;
  std::vector<std::string> policies;
  std::vector<std::int64_t> loads;
  std::uint64_t seed = 1;
  std::size_t gateways = 6;
  bool faults = true;
  DemandPeak demand_peak;
};

struct Result {
  std::string policy;
  std::int64_t load = 0;
  std::vector<Duration> short_latencies;
  std::vector<Duration> long_latencies;
  std::uint64_t requests = 0;
  // Complete answers with status 200 within the deadline.
  std::uint64_t good = 0;
  std::uint64_t good_short = 0;
  std::uint64_t short_requests = 0;
  std::uint64_t late = 0;
  std::uint64_t errors = 0;
  std::uint64_t refused = 0;
  std::uint64_t violations = 0;
  requests::CoreCounters counters;
  // Answers with status 200 to requests that arrived during the demand peak.
  std::uint64_t good_in_peak = 0;
  // Time from the end of the demand peak to the arrival of the last request
  // that was shed.
  Duration recovered_after = Duration::zero();
};

Duration Quantile(std::vector<Duration> sorted, double fraction) {
  if (sorted.empty()) return Duration::zero();
  const std::size_t index = static_cast<std::size_t>(
      fraction * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

void AddLatency(Result& result, bool is_short, Duration latency) {
  (is_short ? result.short_latencies : result.long_latencies)
      .push_back(latency);
}

bool IsShed(const Outcome& outcome) {
  if (!outcome.refusal.has_value()) return false;
  const requests::Reason reason = outcome.refusal->reason;
  return reason == requests::Reason::kDeadlineTooNear ||
         reason == requests::Reason::kQueueFull;
}

void RecordPeakOutcome(Result& result, const DemandPeak& demand_peak,
                       Duration at, const Outcome& outcome) {
  if (demand_peak.Covers(at) && outcome.status == 200) ++result.good_in_peak;
  if (at < demand_peak.until || !IsShed(outcome)) return;
  result.recovered_after =
      std::max(result.recovered_after, at - demand_peak.until);
}

// The fault state of an instance in the ideal queue.
struct InstanceState {
  InstanceMode mode = InstanceMode::kHealthy;
  double slowness = 1;
};

// Simulates one FIFO queue over all slots that knows the state of every
// instance at once: it skips dead and failing instances and uses slow ones
// last.
Result RunIdealQueue(const RequestsArguments& arguments,
                     const std::vector<Request>& arrivals, std::int64_t load) {
  const Workload& workload = arguments.workload;
  Result result{.policy = kIdeal, .load = load};
  std::vector<InstanceState> instances(workload.instances);
  std::vector<std::uint32_t> busy(workload.instances, 0);
  std::deque<const Request*> waiting;
  using End = std::pair<Duration, std::size_t>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  const Duration network_latency = 2 * (kCallerLatency + kZoneLatency);

  const auto find_slot = [&]() {
    std::size_t best = workload.instances;
    for (std::size_t i = 0; i < workload.instances; ++i) {
      if (instances[i].mode != InstanceMode::kHealthy) continue;
      if (busy[i] >= workload.slots) continue;
      if (best == workload.instances ||
          instances[i].slowness < instances[best].slowness) {
        best = i;
      }
    }
    return best;
  };
  const auto start = [&](Duration now) {
    while (!waiting.empty()) {
      const std::size_t slot = find_slot();
      if (slot == workload.instances) return;
      const Request& request = *waiting.front();
      waiting.pop_front();
      ++busy[slot];
      const Duration length(static_cast<Duration::rep>(
          static_cast<double>(request.work.length.count()) *
          instances[slot].slowness));
      ends.emplace(now + length, slot);
      if (request.at < kWarmUp) continue;
      ++result.requests;
      const Duration latency = now + length - request.at + network_latency;
      AddLatency(result, request.is_short, latency);
      (latency <= workload.deadline + 2 * kCallerLatency ? result.good
                                                         : result.late)++;
    }
  };
  std::size_t next_fault = 0;
  const auto advance = [&](Duration now) {
    while (!ends.empty() && ends.top().first <= now) {
      const End end = ends.top();
      ends.pop();
      --busy[end.second];
      start(end.first);
    }
  };
  for (const Request& request : arrivals) {
    while (arguments.faults && next_fault < workload.faults.size() &&
           workload.faults[next_fault].at + kWarmUp <= request.at) {
      const Fault& fault = workload.faults[next_fault++];
      advance(fault.at + kWarmUp);
      instances[fault.instance] = {.mode = fault.mode,
                                   .slowness = fault.slowness};
    }
    advance(request.at);
    waiting.push_back(&request);
    start(request.at);
  }
  advance(Duration::max());
  return result;
}

void ScheduleFaults(FakeCluster& cluster, const RequestsArguments& arguments) {
  if (!arguments.faults) return;
  for (const Fault& fault : arguments.workload.faults) {
    cluster.time().After(kWarmUp + fault.at, [&cluster, fault] {
      cluster.SetMode(fault.instance, fault.mode);
      cluster.SetSlowness(fault.instance, fault.slowness);
    });
  }
}

Result RunPolicy(const RequestsArguments& arguments,
                 const std::vector<Request>& arrivals, std::int64_t load,
                 const std::string& policy) {
  const Workload& workload = arguments.workload;
  Result result{.policy = policy, .load = load};
  FakeClusterOptions options{.zones = workload.zones,
                             .gateways = arguments.gateways,
                             .instances = workload.instances,
                             .slots = workload.slots,
                             .connections = workload.connections,
                             .deadline = workload.deadline,
                             .classes = workload.classes,
                             .policy = policy,
                             .seed = arguments.seed,
                             .to_caller = kCallerLatency,
                             .within_zone = kZoneLatency};
  options.on_outcome = [&](const Outcome& outcome) {
    const Request& request = arrivals[outcome.work.number - 1];
    if (request.at < kWarmUp) return;
    ++result.requests;
    if (request.is_short) ++result.short_requests;
    RecordPeakOutcome(result, arguments.demand_peak, request.at, outcome);
    if (outcome.refusal.has_value()) {
      ++result.refused;
      return;
    }
    if (!outcome.whole || outcome.status != 200) {
      ++result.errors;
      return;
    }
    const Duration latency = outcome.ended_at - outcome.sent_at;
    AddLatency(result, request.is_short, latency);
    if (latency > workload.deadline + 2 * kCallerLatency) {
      ++result.late;
      return;
    }
    ++result.good;
    if (request.is_short) ++result.good_short;
  };
  FakeCluster cluster(options);
  ScheduleFaults(cluster, arguments);
  const MonotonicTime started = cluster.time().now();
  for (const Request& request : arrivals) {
    cluster.time().RunUntil(started + request.at);
    cluster.Send(request.gateway, request.work);
  }
  cluster.time().RunUntil(started + kWarmUp + kMeasuredTime + kDrainTime);
  result.violations = cluster.violations().size();
  for (const std::string& violation : cluster.violations()) {
    std::cerr << policy << ": " << violation << "\n";
  }
  result.counters = cluster.Counters();
  return result;
}

std::string Milliseconds(Duration duration) {
  const double ms = std::chrono::duration<double, std::milli>(duration).count();
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", ms);
  return text.data();
}

std::string Ratio(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", value);
  return text.data();
}

void EmitLatencies(YAML::Emitter& out, const std::string& name,
                   std::vector<Duration> latencies) {
  std::sort(latencies.begin(), latencies.end());
  out << YAML::Key << name + "_ms" << YAML::Value << YAML::Flow
      << YAML::BeginMap;
  out << YAML::Key << "p50" << YAML::Value
      << Milliseconds(Quantile(latencies, 0.5));
  out << YAML::Key << "p99" << YAML::Value
      << Milliseconds(Quantile(latencies, 0.99));
  out << YAML::Key << "p999" << YAML::Value
      << Milliseconds(Quantile(latencies, 0.999));
  out << YAML::EndMap;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration ShortP99(const Result& result) {
  std::vector<Duration> sorted = result.short_latencies;
  std::sort(sorted.begin(), sorted.end());
  return Quantile(sorted, 0.99);
}

void EmitRefusals(YAML::Emitter& out, const requests::CoreCounters& counters) {
  out << YAML::Key << "reasons" << YAML::Value << YAML::Flow << YAML::BeginMap;
  for (std::size_t i = 0; i < requests::kReasonCount; ++i) {
    if (counters.refused[i] == 0) continue;
    out << YAML::Key << requests::ReasonName(static_cast<requests::Reason>(i))
        << YAML::Value << counters.refused[i];
  }
  out << YAML::EndMap;
}

void Emit(YAML::Emitter& out, const Result& result, const Result& ideal,
          const DemandPeak& demand_peak) {
  out << YAML::BeginMap;
  out << YAML::Key << "policy" << YAML::Value << result.policy;
  out << YAML::Key << "load_percent" << YAML::Value << result.load;
  EmitLatencies(out, "short", result.short_latencies);
  EmitLatencies(out, "long", result.long_latencies);
  out << YAML::Key << "short_p99_to_ideal" << YAML::Value
      << Ratio(static_cast<double>(ShortP99(result).count()) /
               static_cast<double>(ShortP99(ideal).count()));
  out << YAML::Key << "requests" << YAML::Value << result.requests;
  out << YAML::Key << "goodput_per_second" << YAML::Value
      << Ratio(static_cast<double>(result.good) / Seconds(kMeasuredTime));
  out << YAML::Key << "late" << YAML::Value << result.late;
  if (result.policy != kIdeal) {
    out << YAML::Key << "good_part_of_short" << YAML::Value
        << Ratio(static_cast<double>(result.good_short) /
                 static_cast<double>(
                     std::max<std::uint64_t>(1, result.short_requests)));
    out << YAML::Key << "errors" << YAML::Value << result.errors;
    out << YAML::Key << "refused" << YAML::Value << result.refused;
    EmitRefusals(out, result.counters);
    out << YAML::Key << "retries" << YAML::Value << result.counters.retries;
    out << YAML::Key << "spill_part" << YAML::Value
        << Ratio(static_cast<double>(result.counters.spilled) /
                 static_cast<double>(result.counters.attempts));
    out << YAML::Key << "messages_per_request" << YAML::Value
        << Ratio(static_cast<double>(result.counters.control_messages) /
                 static_cast<double>(result.counters.requests));
    if (demand_peak.factor > 1) {
      out << YAML::Key << "crest_goodput_per_second" << YAML::Value
          << Ratio(static_cast<double>(result.good_in_peak) /
                   Seconds(kPeakLength));
      out << YAML::Key << "recovered_after_ms" << YAML::Value
          << Milliseconds(result.recovered_after);
    }
    out << YAML::Key << "violations" << YAML::Value << result.violations;
  }
  out << YAML::EndMap;
}

void RunAll(const RequestsArguments& arguments) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  out << YAML::Key << "workload" << YAML::Value << arguments.workload.service;
  out << YAML::Key << "seed" << YAML::Value << arguments.seed;
  out << YAML::Key << "gateways" << YAML::Value << arguments.gateways;
  out << YAML::Key << "faults" << YAML::Value << arguments.faults;
  out << YAML::Key << "results" << YAML::Value << YAML::BeginSeq;
  for (const std::int64_t load : arguments.loads) {
    const std::vector<Request> arrivals = GenerateRequests(
        arguments.workload, {.load = load,
                             .gateways = arguments.gateways,
                             .length = kWarmUp + kMeasuredTime,
                             .demand_peak = arguments.demand_peak,
                             .seed = arguments.seed});
    const Result ideal = RunIdealQueue(arguments, arrivals, load);
    Emit(out, ideal, ideal, arguments.demand_peak);
    for (const std::string& policy : arguments.policies) {
      Emit(out, RunPolicy(arguments, arrivals, load, policy), ideal,
           arguments.demand_peak);
    }
  }
  out << YAML::EndSeq << YAML::EndMap;
  std::cout << out.c_str() << "\n";
}

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Measures request routing, limits and retries");
  TCLAP::ValueArg<std::string> workload("w", "workload",
                                        "zagreb, montevideo or a file", false,
                                        "zagreb", "NAME", line);
  TCLAP::MultiArg<std::string> policy(
      "p", "policy", "policy to compare with round_robin, or all", false,
      "NAME", line);
  TCLAP::MultiArg<std::int64_t> load("l", "load",
                                     "offered load in percent of all slots",
                                     false, "PERCENT", line);
  TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed", false, 1, "N", line);
  TCLAP::ValueArg<std::size_t> gateways("g", "gateways", "gateways", false, 6,
                                        "N", line);
  TCLAP::ValueArg<std::int64_t> demand_peak(
      "", "crest", "factor by which demand rises for 2 s", false, 1, "FACTOR",
      line);
  TCLAP::SwitchArg without_faults("c", "calm",
                                  "leave out the faults of the workload", line);
  TCLAP::ValueArg<std::string> output("o", "output", "yaml", false, "yaml",
                                      "FORMAT", line);
  const std::optional<cli::ExitCode> exit =
      cli::ParseArguments(line, "requests", args);
  if (exit.has_value()) return *exit;
  RequestsArguments arguments{
      .workload = LoadWorkload(workload.getValue()),
      .policies = {kBaseline},
      .loads = load.getValue(),
      .seed = seed.getValue(),
      .gateways = gateways.getValue(),
      .faults = !without_faults.getValue(),
      .demand_peak = {.from = kWarmUp + kPeakStart,
                      .until = kWarmUp + kPeakStart + kPeakLength,
                      .factor = demand_peak.getValue()}};
  if (arguments.loads.empty()) arguments.loads = {40, 70, 90, 110, 150};
  std::vector<std::string> requested_policies = policy.getValue();
  if (requested_policies.empty()) requested_policies = {"least_outstanding"};
  if (requested_policies.front() == "all") {
    requested_policies = requests::PolicyNames();
  }
  for (const std::string& name : requested_policies) {
    if (name != kBaseline) arguments.policies.push_back(name);
  }
  RunAll(arguments);
  return cli::ExitCode::kDone;
}

}  // namespace

cli::Command RequestsCommand() {
  return {.name = "requests",
          .summary = "request routing, limits and retries",
          .run = Run};
}

}  // namespace carobmast::measure
