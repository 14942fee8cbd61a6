// Plain data of requests, attempts and refusals.
#ifndef CAROBMAST_REQUESTS_TYPES_REQUEST_H_
#define CAROBMAST_REQUESTS_TYPES_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "framework/base/time.h"

namespace carobmast::requests {

// Identifiers within one gateway process; never reused.
using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;
using ConnectionId = std::uint64_t;

// What is known about a request's execution by a target.
enum class Ran { kNo, kYes, kUnknown };

// Why the gateway answers a caller itself instead of passing on an answer.
enum class Reason {
  kMalformed,        // the request breaks the protocol
  kUnknownService,   // no such service is in force
  kNoInstance,       // the service has no instance that takes requests
  kStopping,         // this gateway is stopping
  kQueueFull,        // too many requests wait
  kTeamLimit,        // the team has its maximum of requests in flight
  kDeadlineTooNear,  // it could not be answered in time
  kDeadlinePassed,   // its time ran out
  kRefused,          // the target refused it
  kInstanceFailed,   // the connection to the target failed
  kAnswerCut,        // the target's answer ended early
  kCallerGone,       // the caller closed its connection
  kKeyClaimed,       // a request under the same key was sent before
  kKeyUnavailable,   // the key can't be claimed now
};
inline constexpr std::size_t kReasonCount = 14;

// The reason as it is written in the header carobmast-reason.
const char* ReasonName(Reason reason);
// The value of the header carobmast-ran: "no", "yes" or "unknown".
const char* RanName(Ran ran);
// The HTTP status that goes with a reason.
int ReasonStatus(Reason reason);

// A request as it arrives from a caller; its body stays in the I/O code.
struct CallerRequest {
  RequestId id = 0;
  std::string service;
  // Requests of one operation are of similar length: the method and the first
  // segments of the path.
  std::string operation;
  // Whether it may be sent more than once.
  bool idempotent = false;
  // Whether the I/O code holds all of its body and can send it again.
  bool replayable = true;
  // The caller's Idempotency-Key; empty for none.
  std::string key;
  // Time to answer in, as the caller gave it; at most the service's own.
  std::optional<Duration> timeout;
};

// Tells the I/O code to send a request to an instance.
struct SendOrder {
  AttemptId attempt = 0;
  RequestId request = 0;
  ConnectionId connection = 0;
  // The connection has to be opened first.
  bool new_connection = false;
  std::string service;
  std::string instance;
  // "ip:port" of the instance.
  std::string address;
  MonotonicTime deadline;
  // 1 for the first attempt.
  std::uint32_t number = 1;
};

// What the head of a target's answer says.
struct AnswerHead {
  int status = 200;
  // The target says that it did not run the request (carobmast-ran: no).
  bool refused = false;
  // The target says that it is leaving (carobmast-leaving: yes).
  bool leaving = false;
};

// How a target's answer ended.
enum class AnswerEnd {
  kWhole,          // complete; the connection can serve another request
  kWholeAndClose,  // complete; the connection can't
  kCut,            // it ended early
};

// The gateway's own answer to a caller.
struct Refusal {
  Reason reason = Reason::kNoInstance;
  Ran ran = Ran::kNo;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_TYPES_REQUEST_H_
