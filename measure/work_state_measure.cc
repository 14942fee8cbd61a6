#include "measure/work_state_measure.h"

#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "contracts/service_codec.h"
#include "measure/process_cost.h"
#include "work/work_fold.h"
#include "work/work_record.h"

namespace carobmast::measure {
namespace {

constexpr std::size_t kTasksPerWorker = 12;
constexpr std::size_t kWorkersPerCell = 8;
constexpr std::uint32_t kTasksPerJob = 100;

std::string WorkerName(std::size_t number) {
  return "zg-a-worker-" + std::to_string(number);
}

// The records of a work stream that assign the given number of tasks, rounded
// up to whole jobs, to cells.
class WorkStream {
 public:
  explicit WorkStream(std::size_t tasks) {
    const std::size_t workers = tasks / kTasksPerWorker + 1;
    for (std::size_t first = 0; first < workers; first += kWorkersPerCell) {
      AddCell(first);
    }
    for (std::size_t done = 0; done < tasks; done += kTasksPerJob) {
      AddJob(done / kTasksPerJob);
    }
  }

  const std::vector<contracts::LogRecord>& records() const { return records_; }

 private:
  contracts::Offset Add(const work::WorkRecord& record) {
    const contracts::Offset offset = records_.size() + 1;
    records_.push_back({.offset = offset,
                        .id = "record-" + std::to_string(offset),
                        .data = work::EncodeRecord(record)});
    return offset;
  }

  void AddCell(std::size_t first_worker) {
    const std::string cell =
        "zg-a/rack-" + std::to_string(first_worker / kWorkersPerCell);
    const contracts::FencingToken token = Add(work::ClaimRecord{
        .cell = cell, .zone = "zg-a", .scheduler = "scheduler-1/1"});
    work::MembersRecord members{.cell = cell, .token = token};
    for (std::size_t i = 0; i < kWorkersPerCell; ++i) {
      members.add.push_back({.worker = WorkerName(first_worker + i),
                             .address = "10.20.30.40:8080",
                             .pool = "zagreb-workers"});
    }
    Add(members);
    take_templates_.push_back({.cell = cell, .token = token});
  }

  void AddJob(std::size_t number) {
    const std::string submission = "submission-" + std::to_string(number);
    Add(work::SubmitRecord{.submission = submission,
                           .spec = {.name = "reconciliation",
                                    .team = "accounting",
                                    .pool = "zagreb-workers",
                                    .program = "reconciliation",
                                    .tasks = kTasksPerJob}});
    work::TakeRecord take = take_templates_[number % take_templates_.size()];
    for (std::uint32_t i = 0; i < kTasksPerJob; ++i) {
      take.tasks.push_back(work::BatchTaskId(submission, i));
    }
    Add(take);
  }

  std::vector<contracts::LogRecord> records_;
  std::vector<work::TakeRecord> take_templates_;
};

std::size_t SnapshotBytes(const work::WorkFold& fold) {
  std::size_t bytes = 0;
  for (const work::SnapshotRecord& part : fold.MakeSnapshot("measure")) {
    bytes += work::EncodeRecord(part).size();
  }
  return bytes;
}

std::size_t VmListBytes(std::size_t workers) {
  contracts::VmListAnswer list;
  for (std::size_t i = 0; i < workers; ++i) {
    list.vms.push_back({.name = WorkerName(i),
                        .zone = "zg-a",
                        .rack = "rack-" + std::to_string(i / kWorkersPerCell),
                        .pool = "zagreb-workers",
                        .address = "10.20.30.40:8080"});
  }
  return contracts::EncodeVmList(list).size();
}

void MeasureSize(std::size_t tasks) {
  const WorkStream stream(tasks);
  const contracts::ReadAnswer answer{.records = stream.records(),
                                     .next = stream.records().size() + 1};
  const std::size_t memory_before = ResidentBytes();
  const Duration begin = ProcessorTime();
  work::WorkFold fold;
  fold.Apply(answer);
  const Duration used = ProcessorTime() - begin;
  fold.TakeChanges();
  const std::size_t memory = ResidentBytes() - memory_before;
  const std::size_t workers = tasks / kTasksPerWorker + 1;
  const double count = static_cast<double>(fold.tasks().size());
  std::printf(
      "- tasks: %zu\n  processor_us_per_task_folded: %.2f\n"
      "  memory_bytes_per_task: %.0f\n  snapshot_bytes_per_task: %.1f\n"
      "  workers: %zu\n  vm_list_bytes: %zu\n",
      fold.tasks().size(), static_cast<double>(used.count()) / 1000.0 / count,
      static_cast<double>(memory) / count,
      static_cast<double>(SnapshotBytes(fold)) / count, workers,
      VmListBytes(workers));
}

cli::ExitCode Run(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Measures the cost of the work stream's state", ' ',
                      cli::Version());
  TCLAP::MultiArg<std::size_t> sizes("t", "tasks", "Number of tasks", false,
                                     "N", line);
  const std::optional<cli::ExitCode> end =
      cli::ParseArguments(line, "work-state", args);
  if (end.has_value()) return *end;
  std::vector<std::size_t> requested_sizes = sizes.getValue();
  if (requested_sizes.empty()) requested_sizes = {1000, 10000, 70000};
  for (const std::size_t tasks : requested_sizes) MeasureSize(tasks);
  return cli::ExitCode::kDone;
}

}  // namespace

cli::Command WorkStateCommand() {
  return {.name = "work-state",
          .summary = "cost of the work stream's state",
          .run = Run};
}

}  // namespace carobmast::measure
