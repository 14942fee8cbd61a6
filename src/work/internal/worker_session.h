// What the owner of a cell knows about one member.
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
  kUnreachable,  // fenced, but the last command had no whole answer
  kGone,         // the VM does not exist any more
};

struct WorkerSession {
  std::string worker;
  std::string cell;
  std::string address;
  std::string pool;
  // Carried by every command: the offset of the claim or of the record that
  // added the worker to the cell, whichever is later.
  contracts::FencingToken token = 0;
  // Offset of the record that added it.
  contracts::Offset added_at = 0;
  // Member at the claim: may run tasks that were taken before it.
  bool at_claim = false;
  Contact contact = Contact::kUnfenced;
  bool leaving = false;
  // Fence or renewal in flight.
  bool control_in_flight = false;
  MonotonicTime next_control;
  // No attempt that was confirmed here runs later than this without another
  // renewal.
  MonotonicTime latest_lease_end;
  // Renewals without a whole answer; each may still prolong the leases once.
  std::uint32_t uncertain_renewals = 0;
  // Since when the VM list lacks the worker.
  std::optional<MonotonicTime> absent_since;
  // No starts before this, after a refusal.
  MonotonicTime refused_until;
  // Failures in a row, each of another task than the one before.
  std::uint32_t failures_in_row = 0;
  std::string last_failed_task;
  // Set aside for its failures: until when, and how often in a row.
  MonotonicTime set_aside_until;
  std::uint32_t set_asides = 0;
  // Running attempts that must not run.
  std::set<contracts::AttemptId> strays;
  MonotonicTime next_stray_stop;
  // Attempts of which a start had no whole answer: the worker must remember
  // them, so that the start does nothing if it arrives later.
  std::set<contracts::AttemptId> uncertain_starts;
  LocalTaskList tasks;
};

}  // namespace carobmast::work

#endif  // CAROBMAST_WORK_INTERNAL_WORKER_SESSION_H_
