#include "requests/request_core.h"

#include <algorithm>

namespace carobmast::requests {

namespace {

// Interval at which waiting requests are dispatched again if no other event
// does so.
constexpr Duration kRedispatchInterval = std::chrono::milliseconds(1);
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);
// Weight of the newest interval between two ends of attempts in the moving
// average of a service.
constexpr double kEndIntervalWeight = 0.02;
constexpr int kMinServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

bool IsRetryableStatus(int status) {
  return status >= kBadGateway && status <= kGatewayTimeout;
}

bool NeedsKeyClaim(const CallerRequest& caller) {
  return !caller.key.empty() && !caller.idempotent;
}

// The same key at two services means two different keys.
std::string ScopedKey(const CallerRequest& caller) {
  return caller.service + '\n' + caller.key;
}

}  // namespace

struct RequestCore::Service : RefCounted<RequestCore::Service> {
  Service(ServicePoolOptions pool_options, const ServiceRules& service_rules,
          double retry_share)
      : rules(service_rules),
        pool(std::move(pool_options)),
        sizes(service_rules.classes),
        queue(sizes.classes().size()),
        budget(retry_share),
        running(sizes.classes().size(), 0) {}

  ServiceRules rules;
  ServicePool pool;
  SizeLearner sizes;
  RequestQueue queue;
  RetryBudget budget;
  // Requests in flight at instances, by size class.
  std::vector<std::uint32_t> running;
  // Moving average of the time between two ends of attempts, in nanoseconds.
  double mean_end_interval_ns = 0;
  MonotonicTime last_end_at{};
  bool dispatch_scheduled = false;
  bool return_scheduled = false;
};

RequestCore::RequestCore(CoreOptions options, CoreHooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(options_.seed),
      attempt_chart_(MakeAttemptChart(options_.attempt_chart)),
      connections_([this] {
        ConnectionPoolOptions pool = options_.connections;
        pool.close = hooks_.close_connection;
        return pool;
      }()) {
  attempt_actions_ = {
      .close_connection =
          [this](Attempt& attempt) { connections_.Drop(attempt.connection); },
      .release_connection =
          [this](Attempt& attempt) {
            connections_.Release(attempt.connection, attempt.reusable, now_);
          }};
  MakePolicy(options_.policy);
}

RequestCore::~RequestCore() = default;

Ref<RequestCore::Service> RequestCore::MakeService(const ServiceRules& rules) {
  ServicePoolOptions pool{.service = rules.name,
                          .gateway = options_.gateway,
                          .zone = options_.zone,
                          .policy = MakePolicy(options_.policy)};
  pool.send_to_peer = [this](const std::string& peer,
                             const PeerMessage& message) {
    ++counters_.control_messages;
    if (hooks_.send_to_peer) hooks_.send_to_peer(peer, message);
  };
  return MakeRef<Service>(std::move(pool), rules, options_.retry_share);
}

void RequestCore::SetServices(const std::vector<ServiceRules>& rules,
                              MonotonicTime now) {
  std::map<std::string, Ref<Service>> next;
  for (const ServiceRules& rule : rules) {
    const auto known = services_.find(rule.name);
    Ref<Service>& service = next[rule.name];
    if (known == services_.end()) {
      service = MakeService(rule);
      service->pool.SetPeers(peers_);
      UpdateInstances(*service);
      continue;
    }
    // A service keeps its size classes until the process restarts.
    service = known->second;
    service->rules = rule;
  }
  services_ = std::move(next);
  Tick(now);
}

void RequestCore::UpdateInstances(Service& service) {
  std::vector<Instance> matching;
  for (const Instance& instance : instances_) {
    if (instance.service == service.rules.name) matching.push_back(instance);
  }
  service.pool.SetInstances(matching);
}

void RequestCore::SetInstances(const std::vector<Instance>& instances,
                               MonotonicTime now) {
  instances_ = instances;
  for (const auto& [name, service] : services_) {
    UpdateInstances(*service);
    Dispatch(*service, now);
  }
}

void RequestCore::SetPeers(const std::vector<GatewayPeer>& peers,
                           MonotonicTime now) {
  if (peers == peers_) return;
  peers_ = peers;
  for (const auto& [name, service] : services_) {
    service->pool.SetPeers(peers_);
    Dispatch(*service, now);
  }
}

void RequestCore::OnRequest(const CallerRequest& caller, MonotonicTime now) {
  now_ = now;
  ++counters_.requests;
  const auto found = services_.find(caller.service);
  // Another request with the same key may have been executed.
  const Ran ran = NeedsKeyClaim(caller) ? Ran::kUnknown : Ran::kNo;
  const Reason unroutable_reason =
      stopping_ ? Reason::kStopping : Reason::kUnknownService;
  if (stopping_ || found == services_.end()) {
    ++counters_.refused[static_cast<std::size_t>(unroutable_reason)];
    return hooks_.refuse(caller.id, {.reason = unroutable_reason, .ran = ran});
  }
  Service& service = *found->second;
  const Duration time = std::min(
      service.rules.deadline, caller.timeout.value_or(service.rules.deadline));
  const std::optional<Reason> refusal = Admit(caller, service, time, now);
  if (refusal.has_value()) {
    ++counters_.refused[static_cast<std::size_t>(*refusal)];
    return hooks_.refuse(caller.id, {.reason = *refusal, .ran = ran});
  }
  service.budget.OnRequest();
  ++team_requests_[service.rules.team];
  const Ref<Request> request = MakeRef<Request>();
  request->caller = caller;
  request->service = found->second;
  request->arrived = now;
  request->deadline = now + time;
  request->wait_until =
      now + Duration(static_cast<Duration::rep>(
                static_cast<double>(time.count()) * options_.max_wait_share));
  request->deadline_timer = AddTimer(
      request->deadline, {.kind = TimerKind::kDeadline, .request = caller.id});
  requests_[caller.id] = request;
  if (NeedsKeyClaim(caller)) {
    request->state = RequestState::kClaiming;
    return hooks_.claim(caller.id, ScopedKey(caller));
  }
  Enqueue(*request, now);
  Dispatch(service, now);
}

std::optional<Reason> RequestCore::Admit(const CallerRequest& caller,
                                         Service& service, Duration time,
                                         MonotonicTime now) {
  if (!service.pool.HasOpenInstance()) return Reason::kNoInstance;
  const std::uint32_t team_limit = service.rules.team_max_requests;
  if (team_limit > 0 && team_requests_[service.rules.team] >= team_limit) {
    return Reason::kTeamLimit;
  }
  if (service.queue.size() >= options_.max_waiting) {
    return Reason::kQueueFull;
  }
  const Duration wait = ExpectedWait(service, now);
  const Duration max_wait(static_cast<Duration::rep>(
      static_cast<double>(time.count()) * options_.max_wait_share));
  const Duration length = service.sizes.Expected(caller.operation);
  if (wait > max_wait || (wait > Duration::zero() && wait + length > time)) {
    return Reason::kDeadlineTooNear;
  }
  return std::nullopt;
}

Duration RequestCore::ExpectedWait(const Service& service,
                                   MonotonicTime now) const {
  const std::size_t ahead =
      service.queue.CountAhead(service.rules.priority, now);
  return Duration(static_cast<Duration::rep>(service.mean_end_interval_ns *
                                             static_cast<double>(ahead)));
}

void RequestCore::Enqueue(Request& request, MonotonicTime now) {
  Service& service = *request.service;
  request.state = RequestState::kWaiting;
  request.size_class = service.sizes.ClassOf(request.caller.operation);
  request.place = service.queue.Push(request.caller.id, request.size_class,
                                     service.rules.priority, request.arrived);
  now_ = now;
}

bool RequestCore::HasClassCapacity(const Service& service,
                                   std::size_t size_class) const {
  const std::uint32_t share = service.sizes.classes()[size_class].max_share;
  if (share >= 100) return true;
  const std::uint32_t max_running =
      std::max<std::uint32_t>(1, service.pool.Capacity() * share / 100);
  return service.running[size_class] < max_running;
}

void RequestCore::Dispatch(Service& service, MonotonicTime now) {
  now_ = now;
  while (true) {
    const std::optional<RequestId> front =
        service.queue.Front([&](std::size_t size_class) {
          return HasClassCapacity(service, size_class);
        });
    if (!front.has_value()) break;
    Request& request = *requests_.at(*front);
    if (ShedIfTooLate(service, request, now)) continue;
    const Ref<InstanceState> instance = service.pool.Pick(
        request.caller.idempotent, request.failed, now, random_);
    if (instance == nullptr) {
      service.pool.AskForSlots(service.queue.size(), now);
      break;
    }
    service.queue.Remove(request.caller.id, request.place);
    Start(request, instance, now);
  }
  if (service.queue.size() > 0) ScheduleServiceTimer(service, now);
}

bool RequestCore::ShedIfTooLate(Service& service, Request& request,
                                MonotonicTime now) {
  const bool too_late =
      now + service.sizes.Expected(request.caller.operation) > request.deadline;
  if (now <= request.wait_until && !too_late) return false;
  if (!too_late && request.attempts > 0) return false;
  service.queue.Remove(request.caller.id, request.place);
  Refuse(request, Reason::kDeadlineTooNear,
         request.may_have_run ? Ran::kUnknown : Ran::kNo);
  return true;
}

void RequestCore::Start(Request& request, const Ref<InstanceState>& instance,
                        MonotonicTime now) {
  Service& service = *request.service;
  const ConnectionPool::Taken connection =
      connections_.Take(instance->instance.address);
  const Ref<Attempt> attempt = MakeRef<Attempt>();
  attempt->id = next_attempt_++;
  attempt->request = request.caller.id;
  attempt->connection = connection.id;
  attempt->instance = instance;
  attempt->state = attempt_chart_.initial();
  attempt->started = now;
  attempt->actions = &attempt_actions_;
  attempts_[attempt->id] = attempt;
  request.attempt = attempt;
  request.last_instance = instance;
  request.state = RequestState::kSending;
  ++request.attempts;
  ++service.running[request.size_class];
  service.pool.OnStart(*instance);
  ++counters_.attempts;
  if (request.attempts > 1) ++counters_.retries;
  if (!instance->local) ++counters_.spilled;
  if (service.pool.probes()) Probe(service);
  hooks_.send({.attempt = attempt->id,
               .request = request.caller.id,
               .connection = connection.id,
               .new_connection = connection.new_connection,
               .service = service.rules.name,
               .instance = instance->instance.name,
               .address = instance->instance.address,
               .deadline = request.deadline,
               .number = request.attempts});
}

void RequestCore::Probe(Service& service) {
  const std::vector<Ref<InstanceState>>& instances = service.pool.instances();
  std::vector<const InstanceState*> local;
  for (const Ref<InstanceState>& state : instances) {
    if (state->local && !state->instance.leaving) local.push_back(state.get());
  }
  if (local.empty()) return;
  for (std::uint32_t i = 0; i < options_.probes_per_request; ++i) {
    const InstanceState& chosen = *local[random_() % local.size()];
    ++counters_.control_messages;
    hooks_.probe(service.rules.name, chosen.instance.name,
                 chosen.instance.address);
  }
}

bool RequestCore::OnClaim(RequestId id, ClaimOutcome outcome,
                          MonotonicTime now) {
  now_ = now;
  Request* request = FindRequest(id);
  if (request == nullptr || request->state != RequestState::kClaiming) {
    return false;
  }
  switch (outcome) {
    case ClaimOutcome::kGranted: {
      request->key_claimed = true;
      const Ref<Service> service = request->service;
      Enqueue(*request, now);
      Dispatch(*service, now);
      break;
    }
    case ClaimOutcome::kHeldByAnother:
      Refuse(*request, Reason::kKeyClaimed, Ran::kUnknown);
      break;
    case ClaimOutcome::kAlreadyRan:
      Refuse(*request, Reason::kKeyClaimed, Ran::kYes);
      break;
    case ClaimOutcome::kUnavailable:
      Refuse(*request, Reason::kKeyUnavailable, Ran::kUnknown);
      break;
  }
  return true;
}

void RequestCore::OnCallerGone(RequestId id, MonotonicTime now) {
  now_ = now;
  const Ref<Request> request = FindRequest(id);
  if (request == nullptr) return;
  ++counters_.refused[static_cast<std::size_t>(Reason::kCallerGone)];
  if (request->state == RequestState::kWaiting) {
    request->service->queue.Remove(id, request->place);
  }
  const Ref<Attempt> attempt = request->attempt;
  if (attempt == nullptr) {
    return Finish(*request, request->may_have_run ? Ran::kUnknown : Ran::kNo);
  }
  const Ref<Service> service = request->service;
  FireAttempt(*attempt, AttemptEvent::kCancelled, now);
  const bool unknown =
      request->may_have_run || RanAfter(attempt->state) != Ran::kNo;
  Finish(*request, unknown ? Ran::kUnknown : Ran::kNo);
  Dispatch(*service, now);
}

void RequestCore::OnConnected(AttemptId id) {
  const Ref<Attempt> attempt = FindAttempt(id);
  if (attempt != nullptr) connections_.OnOpened(attempt->connection);
}

bool RequestCore::OnSent(AttemptId id, MonotonicTime now) {
  now_ = now;
  const Ref<Attempt> attempt = FindAttempt(id);
  if (attempt == nullptr) return false;
  // After a pause of the process the deadline's timer may not have run yet.
  Request& request = *FindRequest(attempt->request);
  if (now >= request.deadline) {
    OnDeadline(request, now);
    return false;
  }
  FireAttempt(*attempt, AttemptEvent::kFirstByteSent, now);
  return true;
}

AnswerHandling RequestCore::OnAnswerHead(AttemptId id, const AnswerHead& head,
                                         MonotonicTime now) {
  now_ = now;
  const Ref<Attempt> attempt = FindAttempt(id);
  if (attempt == nullptr || attempt->state != AttemptState::kSent) {
    ++counters_.late_answers;
    return AnswerHandling::kDrop;
  }
  Request* request = FindRequest(attempt->request);
  if (head.leaving) attempt->instance->instance.leaving = true;
  if (head.status >= kMinServerError && !head.refused) {
    attempt->instance->health.OnFailure(now);
  }
  attempt->refused = head.refused;
  attempt->drained =
      head.refused || (IsRetryableStatus(head.status) &&
                       request->caller.idempotent && MayRetry(*request, now));
  if (attempt->drained) return AnswerHandling::kDrain;
  attempt->forwarded = true;
  if (head.status < kMinServerError) RecordLatency(*attempt, *request, now);
  return AnswerHandling::kForward;
}

void RequestCore::RecordLatency(const Attempt& attempt, const Request& request,
                                MonotonicTime now) {
  SizeLearner& sizes = request.service->sizes;
  const Duration latency = now - attempt.started;
  attempt.instance->health.OnAnswer(latency,
                                    sizes.Expected(request.caller.operation),
                                    attempt.instance->instance.slots);
  sizes.OnAnswer(request.caller.operation, latency);
}

void RequestCore::OnAnswerEnd(AttemptId id, AnswerEnd end, MonotonicTime now) {
  now_ = now;
  const Ref<Attempt> attempt = FindAttempt(id);
  if (attempt == nullptr) return;
  const Ref<Request> request = FindRequest(attempt->request);
  attempt->reusable = end == AnswerEnd::kWhole;
  if (attempt->refused) {
    FireAttempt(*attempt, AttemptEvent::kTargetRefused, now);
    return RetryOrRefuse(*request, Reason::kRefused, now);
  }
  const Ref<Service> service = request->service;
  const bool cut = end == AnswerEnd::kCut;
  FireAttempt(*attempt,
              cut ? AttemptEvent::kAnswerCut : AttemptEvent::kAnswerWhole, now);
  if (cut) attempt->instance->health.OnFailure(now);
  if (attempt->drained) {
    request->may_have_run = true;
    BackOff(*request, now);
  } else if (cut) {
    ++counters_.refused[static_cast<std::size_t>(Reason::kAnswerCut)];
    Finish(*request, Ran::kUnknown);
    hooks_.cut(request->caller.id);
  } else {
    ++counters_.answered;
    Finish(*request, Ran::kYes);
  }
  Dispatch(*service, now);
}

void RequestCore::OnAttemptFailed(AttemptId id, MonotonicTime now) {
  now_ = now;
  const Ref<Attempt> attempt = FindAttempt(id);
  if (attempt == nullptr) return;
  const Ref<Request> request = FindRequest(attempt->request);
  attempt->instance->health.OnFailure(now);
  FireAttempt(*attempt, AttemptEvent::kConnectionFailed, now);
  if (RanAfter(attempt->state) != Ran::kNo) request->may_have_run = true;
  RetryOrRefuse(*request, Reason::kInstanceFailed, now);
}

void RequestCore::OnConnectionLost(ConnectionId id) {
  connections_.OnFailed(id);
}

void RequestCore::FireAttempt(Attempt& attempt, AttemptEvent event,
                              MonotonicTime now) {
  now_ = now;
  attempt.state = attempt_chart_.Fire(attempt.state, event, attempt);
  if (attempt_chart_.IsFinal(attempt.state)) EndAttempt(&attempt, now);
}

void RequestCore::EndAttempt(const Ref<Attempt>& attempt, MonotonicTime now) {
  attempts_.erase(attempt->id);
  Request* request = FindRequest(attempt->request);
  Service& service = *request->service;
  request->attempt = nullptr;
  --service.running[request->size_class];
  service.pool.OnEnd(*attempt->instance);
  if (service.last_end_at != MonotonicTime{}) {
    const double interval =
        static_cast<double>((now - service.last_end_at).count());
    service.mean_end_interval_ns +=
        kEndIntervalWeight * (interval - service.mean_end_interval_ns);
  }
  service.last_end_at = now;
  if (service.pool.homed()) ScheduleServiceTimer(service, now);
}

bool RequestCore::MayRetry(Request& request, MonotonicTime now) {
  const bool possible =
      request.caller.replayable && request.attempts < options_.max_attempts;
  if (!possible || now >= request.deadline) return false;
  return request.service->budget.Take();
}

void RequestCore::RetryOrRefuse(Request& request, Reason reason,
                                MonotonicTime now) {
  const Ref<Request> keep_alive = &request;
  const Ref<Service> service = request.service;
  const bool repeatable = request.caller.idempotent || !request.may_have_run;
  if (repeatable && MayRetry(request, now)) {
    BackOff(request, now);
  } else {
    Refuse(request, reason, request.may_have_run ? Ran::kUnknown : Ran::kNo);
  }
  Dispatch(*service, now);
}

// Schedules a retry after a random delay, whose upper bound doubles with each
// attempt.
void RequestCore::BackOff(Request& request, MonotonicTime now) {
  request.failed.push_back(request.last_instance);
  request.state = RequestState::kBackingOff;
  const Duration max_wait = options_.back_off * (1U << (request.attempts - 1));
  const Duration wait(static_cast<Duration::rep>(
      random_() % static_cast<std::uint64_t>(max_wait.count())));
  AddTimer(now + wait,
           {.kind = TimerKind::kRetry, .request = request.caller.id});
}

void RequestCore::Refuse(Request& request, Reason reason, Ran ran) {
  ++counters_.refused[static_cast<std::size_t>(reason)];
  const RequestId id = request.caller.id;
  Finish(request, ran);
  hooks_.refuse(id, {.reason = reason, .ran = ran});
}

void RequestCore::Finish(Request& request, Ran ran) {
  const Ref<Request> keep_alive = &request;
  timers_.erase(request.deadline_timer);
  --team_requests_[request.service->rules.team];
  requests_.erase(request.caller.id);
  if (request.key_claimed && hooks_.key_ended) {
    hooks_.key_ended(ScopedKey(request.caller), ran);
  }
}

void RequestCore::OnDeadline(Request& request, MonotonicTime now) {
  const Ref<Request> keep_alive = &request;
  const Ref<Attempt> attempt = request.attempt;
  if (request.state == RequestState::kClaiming) {
    return Refuse(request, Reason::kKeyUnavailable, Ran::kUnknown);
  }
  if (request.state == RequestState::kWaiting) {
    request.service->queue.Remove(request.caller.id, request.place);
  }
  if (attempt == nullptr) {
    return Refuse(request, Reason::kDeadlinePassed,
                  request.may_have_run ? Ran::kUnknown : Ran::kNo);
  }
  // An answer that is being forwarded continues; the idle timeout of the I/O
  // code limits it.
  if (attempt->forwarded) return;
  attempt->instance->health.OnFailure(now);
  FireAttempt(*attempt, AttemptEvent::kTimedOut, now);
  if (RanAfter(attempt->state) != Ran::kNo) request.may_have_run = true;
  const Ref<Service> service = request.service;
  Refuse(request, Reason::kDeadlinePassed,
         request.may_have_run ? Ran::kUnknown : Ran::kNo);
  Dispatch(*service, now);
}

void RequestCore::Stop() { stopping_ = true; }

void RequestCore::Tick(MonotonicTime now) {
  now_ = now;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const Timer timer = timers_.begin()->second;
    if (timer.kind == TimerKind::kDeadline) {
      // Finish() erases the timer by its iterator, so that has to stay valid.
      Request& request = *requests_.at(timer.request);
      timers_.erase(request.deadline_timer);
      request.deadline_timer = AddTimer(MonotonicTime::max(), timer);
      OnDeadline(request, now);
      continue;
    }
    timers_.erase(timers_.begin());
    RunTimer(timer, now);
  }
  if (now < next_housekeeping_) return;
  next_housekeeping_ = now + kHousekeepingInterval;
  connections_.CloseIdle(now);
  for (const auto& [name, service] : services_) service->pool.ReclaimSlots(now);
}

void RequestCore::RunTimer(const Timer& timer, MonotonicTime now) {
  if (timer.kind == TimerKind::kRetry) {
    Request* request = FindRequest(timer.request);
    if (request == nullptr) return;
    const Ref<Service> service = request->service;
    Enqueue(*request, now);
    return Dispatch(*service, now);
  }
  const auto found = services_.find(timer.service);
  if (found == services_.end()) return;
  Service& service = *found->second;
  if (timer.kind == TimerKind::kDispatch) {
    service.dispatch_scheduled = false;
    return Dispatch(service, now);
  }
  service.return_scheduled = false;
  if (service.queue.size() == 0) service.pool.ReturnIdleSlots();
}

// Schedules the next dispatch if requests are waiting, otherwise the return of
// borrowed slots that are not in use.
void RequestCore::ScheduleServiceTimer(Service& service, MonotonicTime now) {
  if (service.queue.size() > 0) {
    if (service.dispatch_scheduled) return;
    service.dispatch_scheduled = true;
    AddTimer(now + kRedispatchInterval,
             {.kind = TimerKind::kDispatch, .service = service.rules.name});
    return;
  }
  if (service.return_scheduled || !service.pool.HasIdleBorrowedSlots()) return;
  service.return_scheduled = true;
  AddTimer(now + options_.keep_borrowed,
           {.kind = TimerKind::kReturnSlots, .service = service.rules.name});
}

RequestCore::Timers::iterator RequestCore::AddTimer(MonotonicTime at,
                                                    Timer timer) {
  const auto added = timers_.insert({at, std::move(timer)});
  if (added == timers_.begin() && hooks_.wake) hooks_.wake(at);
  return added;
}

std::optional<MonotonicTime> RequestCore::NextWake() const {
  if (timers_.empty()) return std::nullopt;
  const MonotonicTime next = timers_.begin()->first;
  if (next == MonotonicTime::max()) return std::nullopt;
  return next;
}

void RequestCore::OnPeerMessage(const std::string& peer,
                                const PeerMessage& message, MonotonicTime now) {
  const auto found = services_.find(message.service);
  if (found == services_.end()) return;
  Service& service = *found->second;
  service.pool.OnPeerMessage(peer, message, service.queue.size(), now);
  Dispatch(service, now);
  ScheduleServiceTimer(service, now);
}

void RequestCore::OnProbe(const std::string& service,
                          const std::string& instance, std::uint32_t in_flight,
                          Duration latency, MonotonicTime now) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  InstanceState* state = found->second->pool.Find(instance);
  if (state == nullptr) return;
  state->probed_in_flight = in_flight;
  state->probed_latency = latency;
  state->probed_at = now;
  state->picks_since_probe = 0;
}

bool RequestCore::HasService(const std::string& name) const {
  return services_.contains(name);
}

std::size_t RequestCore::open_instances() const {
  std::size_t open = 0;
  for (const auto& [name, service] : services_) {
    for (const Ref<InstanceState>& state : service->pool.instances()) {
      if (!state->instance.leaving) ++open;
    }
  }
  return open;
}

RequestCore::Request* RequestCore::FindRequest(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

Ref<Attempt> RequestCore::FindAttempt(AttemptId id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : found->second;
}

}  // namespace carobmast::requests
