// Workloads of the work measurement: read from a file; their batch tasks are
// generated from a seed.
#ifndef CAROBMAST_MEASURE_WORK_WORKLOAD_H_
#define CAROBMAST_MEASURE_WORK_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "contracts/types/worker.h"
#include "framework/base/time.h"

namespace carobmast::measure {

struct BatchType {
  std::string name;
  std::int64_t per_hour = 0;
  contracts::Resources need;
  Duration declared = Duration::zero();
  Duration mean = Duration::zero();
  double sigma = 0;
  // Logarithm of the slowdown that a task which uses the whole worker causes to
  // a service at full load.
  double interference = 0;
  // Tasks that take `straggler_factor` times as long, in thousandths of the
  // type's tasks.
  std::int64_t stragglers = 0;
  std::int64_t straggler_factor = 1;
  bool checkpoints = false;
};

// The service's utilization from this time until the next point.
struct LoadPoint {
  Duration at = Duration::zero();
  double utilization = 0;
};

// A period in which tasks of a type arrive `factor` times as often.
struct Wave {
  Duration at = Duration::zero();
  Duration length = Duration::zero();
  std::string type;
  std::int64_t factor = 1;
};

// Every batch task that starts on the worker in this period fails.
struct BadWorker {
  std::size_t worker = 0;
  Duration from = Duration::zero();
  Duration until = Duration::zero();
};

struct WorkWorkload {
  Duration length = Duration::zero();
  std::vector<std::string> zones;
  std::size_t workers = 0;
  std::size_t rack_size = 8;
  contracts::Resources worker;
  bool guards = false;

  std::string service;
  std::size_t instances = 0;
  contracts::Resources instance;
  Duration median = Duration::zero();
  double sigma = 0;
  Duration deadline = Duration::zero();

  Duration report_every = Duration::zero();
  Duration report_lag = Duration::zero();
  double report_noise = 0;

  std::vector<LoadPoint> load;
  std::vector<BatchType> batch;
  std::vector<Wave> waves;
  std::vector<BadWorker> bad_workers;

  double UtilizationAt(Duration at) const;
  double PeakUtilization() const;
};

// One batch task of a workload.
struct BatchTask {
  Duration at = Duration::zero();
  // Index in WorkWorkload::batch.
  std::size_t type = 0;
  Duration run_time = Duration::zero();
};

// Loads the workload `zagreb`, `montevideo` or that of a file. Throws Error
// when the file can't be read or is malformed.
WorkWorkload LoadWorkWorkload(const std::string& name);

// Generates all batch tasks, in order of arrival.
std::vector<BatchTask> GenerateBatchTasks(const WorkWorkload& workload,
                                          std::uint64_t seed);

}  // namespace carobmast::measure

#endif  // CAROBMAST_MEASURE_WORK_WORKLOAD_H_
