// The decisions of one gateway about callers' requests: admission, order,
// routing, retries, and what the caller is told. No I/O: events and times come
// in, commands go out through hooks.
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

// Commands to the I/O code. None may call back into the core before it returns.
struct CoreHooks {
  // Send the request; report OnSent, then OnAnswerHead and OnAnswerEnd, or
  // OnAttemptFailed.
  std::function<void(const SendOrder&)> send;
  std::function<void(ConnectionId)> close_connection;
  // Answer the caller. The request is forgotten after this.
  std::function<void(RequestId, const Refusal&)> refuse;
  // The answer that is being passed to the caller ended early: close the
  // caller's connection so that it can't take the answer for whole.
  std::function<void(RequestId)> cut;
  // Claim the key of a request that may run only once; report OnClaim, at once
  // or later.
  std::function<void(RequestId, const std::string& key)> claim;
  // A request with a claimed key ended with this knowledge.
  std::function<void(const std::string& key, Ran ran)> key_ended;
  std::function<void(const std::string& peer, const PeerMessage&)> send_to_peer;
  // Ask an instance for its requests in flight and latency; report OnProbe.
  std::function<void(const std::string& service, const std::string& instance,
                     const std::string& address)>
      probe;
  // Tick is needed at this time, which is earlier than before.
  std::function<void(MonotonicTime)> wake;
};

struct CoreOptions {
  // This gateway's name and zone.
  std::string gateway;
  std::string zone;
  std::string policy = "least_outstanding";
  std::uint64_t seed = 1;
  // Requests of one service that may wait.
  std::size_t max_waiting = 2048;
  // Part of its time to answer that a request may spend waiting.
  double max_wait_share = 0.2;
  std::uint32_t max_attempts = 3;
  // The first retry waits up to this long, each further one up to twice as
  // long.
  Duration back_off = std::chrono::milliseconds(10);
  double retry_share = 0.1;
  // Lent slots that are not in use are given back after this time.
  Duration keep_borrowed = std::chrono::milliseconds(3);
  // Probes for one request, under the policy `probing`.
  std::uint32_t probes_per_request = 3;
  ConnectionPoolOptions connections;
  // Overrides the embedded chart of attempts when not empty.
  std::string attempt_chart;
};

struct CoreCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  // Attempts at instances in other zones.
  std::uint64_t spilled = 0;
  // Messages to peers.
  std::uint64_t control_messages = 0;
  std::uint64_t late_answers = 0;
  // By Reason.
  std::array<std::uint64_t, kReasonCount> refused{};
};

// What I/O code does with an answer whose head it reported.
enum class AnswerHandling {
  kForward,  // to the caller
  kDrain,    // read it to its end and throw it away
  kDrop,     // nobody waits for it: close the connection
};

// How the claim of a key ended.
enum class ClaimOutcome {
  kGranted,        // no request under this key was sent or will be
  kHeldByAnother,  // another request has the key: it may have run
  kAlreadyRan,     // another request has the key, and ran
  kUnavailable,    // not known now
};

class RequestCore {
 public:
  RequestCore(CoreOptions options, CoreHooks hooks);
  ~RequestCore();
  RequestCore(const RequestCore&) = delete;
  RequestCore& operator=(const RequestCore&) = delete;

  // The configuration in force; whole.
  void SetServices(const std::vector<ServiceRules>& rules, MonotonicTime now);
  // All instances of all services; whole.
  void SetInstances(const std::vector<Instance>& instances, MonotonicTime now);
  // The other gateways that are reachable; whole.
  void SetPeers(const std::vector<GatewayPeer>& peers, MonotonicTime now);

  void OnRequest(const CallerRequest& request, MonotonicTime now);
  void OnCallerGone(RequestId id, MonotonicTime now);
  // Returns whether the request still waited for it. The claim that was taken
  // for one that did not is given up.
  bool OnClaim(RequestId id, ClaimOutcome outcome, MonotonicTime now);

  void OnConnected(AttemptId id);
  // Call it before the first byte of the request leaves. When it returns false
  // the attempt has ended, or its time is over, and nothing may be sent.
  bool OnSent(AttemptId id, MonotonicTime now);
  AnswerHandling OnAnswerHead(AttemptId id, const AnswerHead& head,
                              MonotonicTime now);
  void OnAnswerEnd(AttemptId id, AnswerEnd end, MonotonicTime now);
  // The connection failed before the head of an answer.
  void OnAttemptFailed(AttemptId id, MonotonicTime now);
  // An idle connection was closed by its instance.
  void OnConnectionLost(ConnectionId id);

  void OnPeerMessage(const std::string& peer, const PeerMessage& message,
                     MonotonicTime now);
  void OnProbe(const std::string& service, const std::string& instance,
               std::uint32_t in_flight, Duration latency, MonotonicTime now);

  // Refuses new requests from now on.
  void Stop();
  // Handles what is due.
  void Tick(MonotonicTime now);
  // When Tick is needed next.
  std::optional<MonotonicTime> NextWake() const;

  // Requests that have no answer yet.
  std::size_t in_flight() const { return requests_.size(); }
  const CoreCounters& counters() const { return counters_; }
  const ConnectionPool& connections() const { return connections_; }
  bool HasService(const std::string& name) const;
  // Instances of all services that take requests.
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
    // It is refused when it has no slot by then.
    MonotonicTime wait_until;
    RequestQueue::Place place;
    std::size_t size_class = 0;
    std::uint32_t attempts = 0;
    Ref<Attempt> attempt;
    Ref<InstanceState> last_instance;
    // Where its attempts failed; at most one less than `max_attempts`.
    std::vector<Ref<InstanceState>> failed;
    Timers::iterator deadline_timer;
    bool key_claimed = false;
    // An earlier attempt may have run.
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
  // By team.
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
