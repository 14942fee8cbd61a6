// State that the owner of a cell keeps about a member.
#ifndef CAROBMAST_WORK_INTERNAL_WORKER_SESSION_H_
#define CAROBMAST_WORK_INTERNAL_WORKER_SESSION_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "contracts/types/log_record.h"
#include "contracts/types/worker.h"
#include "framework/base/time.h"
#include "work/internal/local_task.h"

namespace carobmast::work {

enum class Contact {
  kUnfenced,     // not reached since the claim
  kFenced,       // answered the last command
  kUnreachable,  // fenced, but the last command had no complete answer
  kGone,         // the VM does not exist any more
};

struct WorkerSession {
  std::string worker;
  std::string cell;
  std::string address;
  std::string pool;
  // Sent with every command: the offset of the claim or of the record that
  // added the worker to the cell, whichever is later.
  contracts::FencingToken token = 0;
  // Offset of the record that added the worker to the cell.
  contracts::Offset added_at = 0;
  // Whether it was a member at the time of the claim, and may run tasks that
  // were taken before.
  bool at_claim = false;
  Contact contact = Contact::kUnfenced;
  bool leaving = false;
  // Whether a fence or renewal is in flight.
  bool control_in_flight = false;
  MonotonicTime next_control;
  // No attempt that this worker confirmed runs after this time without another
  // renewal.
  MonotonicTime leases_end_by;
  // Number of renewals without a complete answer; each may still extend the
  // leases once.
  std::uint32_t uncertain_renewals = 0;
  // Since when the worker is missing from the VM list.
  std::optional<MonotonicTime> absent_since;
  // No starts are sent before this time, after the worker refused one.
  MonotonicTime refused_until;
  // Consecutive failures, each of a different task than the one before.
  std::uint32_t failures_in_row = 0;
  std::string last_failed_task;
  // No starts are sent before this time, because of these failures.
  MonotonicTime set_aside_until;
  std::uint32_t set_asides = 0;
  // Reported attempts that should not be running.
  std::set<contracts::AttemptId> strays;
  MonotonicTime next_stray_stop;
  // Attempts whose start had no complete answer. The worker must remember them,
  // so that a start that arrives late has no effect.
  std::set<contracts::AttemptId> uncertain_starts;
  LocalTaskList tasks;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_WORKER_SESSION_H_
