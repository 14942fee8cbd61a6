// Decides for one gateway how callers' requests are admitted, queued, routed
// and retried, and what callers are told. Does no I/O: events and times come in
// as calls, commands go out through hooks.
#ifndef CAROBMAST_REQUESTS_REQUEST_CORE_H_
#define CAROBMAST_REQUESTS_REQUEST_CORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/base/intrusive.h"
#include "requests/attempt.h"
#include "requests/connection_pool.h"
#include "requests/policy.h"
#include "requests/request_queue.h"
#include "requests/retry_budget.h"
#include "requests/service_pool.h"
#include "requests/size_learner.h"
#include "requests/types/request.h"
#include "requests/types/service_rules.h"

namespace carobmast::requests {

// Commands to the I/O code. A hook must not call the core before it returns;
// `claim` is the exception.
struct CoreHooks {
  // Send the request. Report OnSent, then OnAnswerHead and OnAnswerEnd, or
  // OnAttemptFailed.
  std::function<void(const SendOrder&)> send;
  std::function<void(ConnectionId)> close_connection;
  // Answer the caller with a refusal. The core has no state of the request any
  // more.
  std::function<void(RequestId, const Refusal&)> refuse;
  // The answer that is being forwarded to the caller was truncated: close the
  // caller's connection, so that the caller can't take the answer for complete.
  std::function<void(RequestId)> cut;
  // Claim the key of a request that may be executed only once. Report the
  // result with OnClaim, before or after the hook returns.
  std::function<void(RequestId, const std::string& key)> claim;
  // A request with a claimed key ended; `ran` tells whether it was executed.
  std::function<void(const std::string& key, Ran ran)> key_ended;
  // Send a message to another gateway.
  std::function<void(const std::string& peer, const PeerMessage&)> send_to_peer;
  // Ask an instance for its requests in flight and latency, and report the
  // result with OnProbe.
  std::function<void(const std::string& service, const std::string& instance,
                     const std::string& address)>
      probe;
  // Call Tick at this time, which is earlier than any requested before.
  std::function<void(MonotonicTime)> wake;
};

struct CoreOptions {
  // This gateway's name and zone.
  std::string gateway;
  std::string zone;
  std::string policy = "least_outstanding";
  std::uint64_t seed = 1;
  // Maximum number of waiting requests per service.
  std::size_t max_waiting = 2048;
  // Share of its time limit that a request may spend waiting.
  double max_wait_share = 0.2;
  std::uint32_t max_attempts = 3;
  // Upper bound of the random delay before the first retry. Doubles with each
  // further one.
  Duration back_off = std::chrono::milliseconds(10);
  // Retries added to the budget of a service by each request.
  double retry_share = 0.1;
  // Borrowed slots that are not in use are returned after this time.
  Duration keep_borrowed = std::chrono::milliseconds(3);
  // Probes sent per request under the policy `probing`.
  std::uint32_t probes_per_request = 3;
  ConnectionPoolOptions connections;
  // Replaces the embedded chart of attempts if not empty.
  std::string attempt_chart;
};

struct CoreCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  // Attempts sent to instances in other zones.
  std::uint64_t spilled = 0;
  // Messages to peers and probes of instances.
  std::uint64_t control_messages = 0;
  // Answers that no attempt was waiting for.
  std::uint64_t late_answers = 0;
  // Refusals by Reason; includes requests whose caller is gone or whose answer
  // was truncated.
  std::array<std::uint64_t, kReasonCount> refused{};
};

// What the I/O code does with an answer after it reported the head.
enum class AnswerHandling {
  kForward,  // forward it to the caller
  kDrain,    // read it to its end and discard it
  kDrop,     // nobody is waiting for it: close the connection
};

// The outcome of the claim of a key.
enum class ClaimOutcome {
  kGranted,        // no other request with this key was or will be sent
  kHeldByAnother,  // another request claimed the key and may have run
  kAlreadyRan,     // another request claimed the key and ran
  kUnavailable,    // the key can't be claimed at present
};

// Schedules the requests of one gateway.
class RequestCore {
 public:
  // Throws Error if the policy is unknown or a chart is invalid.
  RequestCore(CoreOptions options, CoreHooks hooks);
  ~RequestCore();
  RequestCore(const RequestCore&) = delete;
  RequestCore& operator=(const RequestCore&) = delete;

  // Replaces the rules of all services. A service that stays keeps its
  // requests, learned latencies and size classes.
  void SetServices(const std::vector<ServiceRules>& rules, MonotonicTime now);
  // Replaces the list of all instances of all services.
  void SetInstances(const std::vector<Instance>& instances, MonotonicTime now);
  // Replaces the list of the other gateways that can be reached.
  void SetPeers(const std::vector<GatewayPeer>& peers, MonotonicTime now);

  // A request arrived from a caller.
  void OnRequest(const CallerRequest& request, MonotonicTime now);
  // The caller closed its connection; its request is cancelled.
  void OnCallerGone(RequestId id, MonotonicTime now);
  // Reports the outcome of a claim. Returns whether the request was still
  // waiting for it. If not, the caller has to release a granted claim.
  bool OnClaim(RequestId id, ClaimOutcome outcome, MonotonicTime now);

  // The new connection for the attempt was opened.
  void OnConnected(AttemptId id);
  // Must be called before the first byte of the request is sent. If it returns
  // false, the attempt has ended or its deadline has passed, and nothing may be
  // sent.
  bool OnSent(AttemptId id, MonotonicTime now);
  // The head of an answer was read. The result tells what to do with the
  // answer.
  AnswerHandling OnAnswerHead(AttemptId id, const AnswerHead& head,
                              MonotonicTime now);
  // The answer was read to its end, or its connection failed.
  void OnAnswerEnd(AttemptId id, AnswerEnd end, MonotonicTime now);
  // The connection failed before the head of an answer was read.
  void OnAttemptFailed(AttemptId id, MonotonicTime now);
  // The instance closed an idle connection.
  void OnConnectionLost(ConnectionId id);

  // Another gateway sent a message.
  void OnPeerMessage(const std::string& peer, const PeerMessage& message,
                     MonotonicTime now);
  // An instance answered a probe.
  void OnProbe(const std::string& service, const std::string& instance,
               std::uint32_t in_flight, Duration latency, MonotonicTime now);

  // Refuses new requests from now on; those in flight go on.
  void Stop();
  // Runs the timers that are due.
  void Tick(MonotonicTime now);
  // When Tick has to be called next, if at all.
  std::optional<MonotonicTime> NextWake() const;

  // Requests that have not ended.
  std::size_t in_flight() const { return requests_.size(); }
  const CoreCounters& counters() const { return counters_; }
  const ConnectionPool& connections() const { return connections_; }
  bool HasService(const std::string& name) const;
  // Instances of all services that accept new requests.
  std::size_t open_instances() const;

 private:
  enum class TimerKind { kDeadline, kRetry, kDispatch, kReturnSlots };
  struct Timer {
    TimerKind kind = TimerKind::kDeadline;
    RequestId request = 0;
    std::string service;
  };
  using Timers = std::multimap<MonotonicTime, Timer>;

  struct Service;
  enum class RequestState { kClaiming, kWaiting, kBackingOff, kSending };
  struct Request : RefCounted<Request> {
    CallerRequest caller;
    Ref<Service> service;
    RequestState state = RequestState::kWaiting;
    MonotonicTime arrived;
    MonotonicTime deadline;
    // Refused if it still waits for a slot at this time.
    MonotonicTime wait_until;
    RequestQueue::Place place;
    std::size_t size_class = 0;
    std::uint32_t attempts = 0;
    Ref<Attempt> attempt;
    Ref<InstanceState> last_instance;
    // Instances at which its attempts failed; at most `max_attempts` - 1.
    std::vector<Ref<InstanceState>> failed;
    Timers::iterator deadline_timer;
    bool key_claimed = false;
    // Whether an earlier attempt may have been executed.
    bool may_have_run = false;
  };

  Ref<Service> MakeService(const ServiceRules& rules);
  void UpdateInstances(Service& service);

  std::optional<Reason> Admit(const CallerRequest& caller, Service& service,
                              Duration time, MonotonicTime now);
  Duration ExpectedWait(const Service& service, MonotonicTime now) const;
  void Enqueue(Request& request, MonotonicTime now);
  void Dispatch(Service& service, MonotonicTime now);
  bool ShedIfTooLate(Service& service, Request& request, MonotonicTime now);
  bool HasClassCapacity(const Service& service, std::size_t size_class) const;
  void Start(Request& request, const Ref<InstanceState>& instance,
             MonotonicTime now);
  void Probe(Service& service);

  void FireAttempt(Attempt& attempt, AttemptEvent event, MonotonicTime now);
  void EndAttempt(const Ref<Attempt>& attempt, MonotonicTime now);
  void RetryOrRefuse(Request& request, Reason reason, MonotonicTime now);
  bool MayRetry(Request& request, MonotonicTime now);
  void BackOff(Request& request, MonotonicTime now);
  void Finish(Request& request, Ran ran);
  void Refuse(Request& request, Reason reason, Ran ran);
  void RecordLatency(const Attempt& attempt, const Request& request,
                     MonotonicTime now);
  void OnDeadline(Request& request, MonotonicTime now);
  Timers::iterator AddTimer(MonotonicTime at, Timer timer);
  void RunTimer(const Timer& timer, MonotonicTime now);
  void ScheduleServiceTimer(Service& service, MonotonicTime now);

  Request* FindRequest(RequestId id);
  Ref<Attempt> FindAttempt(AttemptId id);

  CoreOptions options_;
  CoreHooks hooks_;
  Random random_;
  AttemptActions attempt_actions_;
  AttemptChart attempt_chart_;
  ConnectionPool connections_;
  std::map<std::string, Ref<Service>> services_;
  // Requests in flight by team.
  std::map<std::string, std::uint32_t> team_requests_;
  std::vector<Instance> instances_;
  std::vector<GatewayPeer> peers_;
  std::unordered_map<RequestId, Ref<Request>> requests_;
  std::unordered_map<AttemptId, Ref<Attempt>> attempts_;
  Timers timers_;
  AttemptId next_attempt_ = 1;
  MonotonicTime next_housekeeping_{};
  MonotonicTime now_{};
  bool stopping_ = false;
  CoreCounters counters_;
};

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_REQUEST_CORE_H_
