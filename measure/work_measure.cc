#include "measure/work_measure.h"

#include <iomanip>
#include <iostream>

#include "framework/base/error.h"
#include "measure/work_policies.h"

namespace carobmast::measure {

namespace {

// Targets that the policy must meet.
constexpr double kMaxP99Ratio = 1.1;
constexpr double kMinThroughputShare = 0.9;
constexpr double kMaxEvictionsPer20 = 1;

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e9;
}

double Ratio(double value, double base) { return base > 0 ? value / base : 0; }

void PrintOutcome(const WorkOutcome& outcome, const WorkOutcome& services_only,
                  double hours) {
  std::cout << outcome.policy << ":\n"
            << "  service_p99_ms: " << Milliseconds(outcome.service_p99) << "\n"
            << "  service_p99_ratio: "
            << Ratio(Milliseconds(outcome.service_p99),
                     Milliseconds(services_only.service_p99))
            << "\n"
            << "  crest_p99_ms: " << Milliseconds(outcome.peak_p99) << "\n"
            << "  crest_p99_ratio: "
            << Ratio(Milliseconds(outcome.peak_p99),
                     Milliseconds(services_only.peak_p99))
            << "\n"
            << "  crest_within_deadline: " << outcome.peak_within_deadline
            << "\n"
            << "  batch_arrived: " << outcome.batch_arrived << "\n"
            << "  batch_done_per_hour: "
            << static_cast<double>(outcome.batch_done) / hours << "\n"
            << "  batch_core_hours_per_hour: "
            << outcome.batch_core_hours / hours << "\n"
            << "  batch_share_of_allowed: "
            << Ratio(outcome.batch_core_hours, outcome.attainable_core_hours)
            << "\n"
            << "  evictions: " << outcome.evictions << "\n"
            << "  evictions_per_20_tasks: "
            << 20 * Ratio(static_cast<double>(outcome.evictions),
                          static_cast<double>(outcome.batch_arrived))
            << "\n"
            << "  throttles: " << outcome.throttles << "\n"
            << "  failed_attempts: " << outcome.failures << "\n"
            << "  short_wait_mean_s: " << Seconds(outcome.short_wait_mean)
            << "\n"
            << "  short_wait_p99_s: " << Seconds(outcome.short_wait_p99) << "\n"
            << "  long_wait_mean_s: " << Seconds(outcome.long_wait_mean) << "\n"
            << "  overcommitted: " << outcome.overcommitted << "\n";
}

// Prints whether each target was met. Returns whether all were.
bool PrintTargets(const WorkOutcome& outcome,
                  const WorkOutcome& services_only) {
  const double p99 = Ratio(Milliseconds(outcome.service_p99),
                           Milliseconds(services_only.service_p99));
  const double throughput =
      Ratio(outcome.batch_core_hours, outcome.attainable_core_hours);
  const double evictions =
      20 * Ratio(static_cast<double>(outcome.evictions),
                 static_cast<double>(outcome.batch_arrived));
  std::cout << "targets:\n"
            << "  service_p99_ratio_up_to_1.1: "
            << (p99 <= kMaxP99Ratio ? "met" : "missed") << "\n"
            << "  batch_share_of_allowed_from_0.9: "
            << (throughput >= kMinThroughputShare ? "met" : "missed") << "\n"
            << "  evictions_per_20_tasks_up_to_1: "
            << (evictions <= kMaxEvictionsPer20 ? "met" : "missed") << "\n"
            << "  overcommitted_0: "
            << (outcome.overcommitted == 0 ? "met" : "missed") << "\n";
  return p99 <= kMaxP99Ratio && throughput >= kMinThroughputShare &&
         evictions <= kMaxEvictionsPer20 && outcome.overcommitted == 0;
}

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine line(
      "Measures placement and colocation of services and batch tasks", ' ',
      cli::Version());
  TCLAP::ValueArg<std::string> workload_name("w", "workload",
                                             "zagreb, montevideo or a file",
                                             false, "zagreb", "NAME", line);
  TCLAP::ValueArg<std::string> policy_name(
      "p", "policy", "learned, no-remedies, no-guards or no-long-share", false,
      "learned", "NAME", line);
  TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed", false, 1, "N", line);
  TCLAP::ValueArg<std::string> output("o", "output", "Output format: yaml",
                                      false, "yaml", "FORMAT", line);
  TCLAP::SwitchArg check("c", "check",
                         "Exit with an error if a target is missed", line);
  const std::optional<cli::ExitCode> end =
      cli::ParseArguments(line, "work", args);
  if (end.has_value()) return *end;
  if (output.getValue() != "yaml") {
    throw Error("measure", output.getValue(),
                "expected yaml, the only output format");
  }
  const WorkWorkload workload = LoadWorkWorkload(workload_name.getValue());
  const double hours = Seconds(workload.length) / 3600;
  const WorkOutcome services_only =
      Simulate(workload, ServicesOnlyPolicy(), seed.getValue());
  const WorkOutcome first_fit =
      Simulate(workload, FirstFitPolicy(workload), seed.getValue());
  const WorkOutcome outcome =
      Simulate(workload, PlacementPolicy(policy_name.getValue(), workload),
               seed.getValue());
  std::cout << std::setprecision(4) << "workload: " << workload_name.getValue()
            << "\nseed: " << seed.getValue() << "\n";
  for (const WorkOutcome* each : {&services_only, &first_fit, &outcome}) {
    PrintOutcome(*each, services_only, hours);
  }
  const bool all_met = PrintTargets(outcome, services_only);
  return check.getValue() && !all_met ? cli::ExitCode::kRefused
                                      : cli::ExitCode::kDone;
}

}  // namespace

cli::Command WorkCommand() {
  return {.name = "work",
          .summary = "placement and colocation compared with first fit",
          .run = Run};
}

}  // namespace carobmast::measure
