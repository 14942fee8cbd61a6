// Data of requests, attempts, answers and refusals.
#ifndef CAROBMAST_REQUESTS_TYPES_REQUEST_H_
#define CAROBMAST_REQUESTS_TYPES_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "framework/base/time.h"

namespace carobmast::requests {

// Identifiers are unique within one gateway process and never reused.
using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;
using ConnectionId = std::uint64_t;

// Whether a target executed a request, as far as the gateway knows.
enum class Ran { kNo, kYes, kUnknown };

// Why the gateway answers a caller itself instead of forwarding an answer.
enum class Reason {
  kMalformed,        // the request violates the protocol
  kUnknownService,   // the configuration in force has no such service
  kNoInstance,       // the service has no instance that accepts requests
  kStopping,         // this gateway is shutting down
  kQueueFull,        // too many requests are waiting
  kTeamLimit,        // the team has reached its limit of requests in flight
  kDeadlineTooNear,  // it can't be answered before its deadline
  kDeadlinePassed,   // its deadline passed
  kRefused,          // the target reported that it did not execute it
  kInstanceFailed,   // the connection to the target failed
  kAnswerCut,        // the target's answer was truncated
  kCallerGone,       // the caller closed its connection
  kKeyClaimed,       // another request claimed the same key before
  kKeyUnavailable,   // the key can't be claimed at present
};
inline constexpr std::size_t kReasonCount = 14;

// Returns the value of the header carobmast-reason, such as "queue-full".
const char* ReasonName(Reason reason);
// Returns the value of the header carobmast-ran: "no", "yes" or "unknown".
const char* RanName(Ran ran);
// Returns the HTTP status code that is sent for a reason.
int ReasonStatus(Reason reason);

// A request received from a caller. Its body stays in the I/O code.
struct CallerRequest {
  RequestId id = 0;
  std::string service;
  // The method and the first segments of the path. Requests of one operation
  // are expected to take about the same time.
  std::string operation;
  // Whether it may be executed more than once.
  bool idempotent = false;
  // Whether the I/O code holds the whole body and can send it again.
  bool replayable = true;
  // The caller's Idempotency-Key; empty if there is none.
  std::string key;
  // Maximum time for the answer as requested by the caller; the service's own
  // deadline limits it.
  std::optional<Duration> timeout;
};

// An instruction to the I/O code to send a request to an instance.
struct SendOrder {
  AttemptId attempt = 0;
  RequestId request = 0;
  ConnectionId connection = 0;
  // Whether the connection has to be opened first.
  bool new_connection = false;
  std::string service;
  std::string instance;
  // "ip:port" of the instance.
  std::string address;
  MonotonicTime deadline;
  // Number of the attempt; 1 for the first.
  std::uint32_t number = 1;
};

// What the head of a target's answer says.
struct AnswerHead {
  int status = 200;
  // Whether the target reports that it did not execute the request
  // (carobmast-ran: no).
  bool refused = false;
  // Whether the target reports that it is about to stop (carobmast-leaving:
  // yes).
  bool leaving = false;
};

// How a target's answer ended.
enum class AnswerEnd {
  kWhole,          // complete; the connection can be reused
  kWholeAndClose,  // complete; the connection can't be reused
  kCut,            // truncated
};

// An answer that the gateway itself gives to a caller.
struct Refusal {
  Reason reason = Reason::kNoInstance;
  Ran ran = Ran::kNo;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_TYPES_REQUEST_H_
