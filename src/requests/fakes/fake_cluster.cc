#include "requests/fakes/fake_cluster.h"

#include <algorithm>
#include <utility>

namespace carobmast::requests::fakes {

namespace {

constexpr char kService[] = "service";
// Time after which a failing instance answers.
constexpr Duration kFailureLatency = std::chrono::microseconds(200);
// Time after which opening a connection to a partitioned zone fails.
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// Weight of the newest latency in the average that a probe reports.
constexpr double kProbeWeight = 0.2;
constexpr std::size_t kMaxViolations = 20;

std::string InstanceName(std::size_t index) {
  return "i" + std::to_string(1000 + index);
}

std::size_t InstanceIndex(const std::string& name) {
  return std::stoul(name.substr(1)) - 1000;
}

std::string GatewayName(std::size_t index) {
  return "g" + std::to_string(100 + index);
}

std::size_t GatewayIndex(const std::string& name) {
  return std::stoul(name.substr(1)) - 100;
}

void AddTo(CoreCounters& sum, const CoreCounters& part) {
  sum.requests += part.requests;
  sum.answered += part.answered;
  sum.attempts += part.attempts;
  sum.retries += part.retries;
  sum.spilled += part.spilled;
  sum.control_messages += part.control_messages;
  sum.late_answers += part.late_answers;
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    sum.refused[i] += part.refused[i];
  }
}

}  // namespace

FakeCluster::FakeCluster(FakeClusterOptions options)
    : options_(std::move(options)),
      instances_(options_.instances),
      gateways_(options_.gateways) {
  for (std::size_t i = 0; i < gateways_.size(); ++i) StartCore(i);
}

const std::string& FakeCluster::ZoneOfGateway(std::size_t gateway) const {
  return options_.zones[gateway % options_.zones.size()];
}

const std::string& FakeCluster::ZoneOfInstance(std::size_t instance) const {
  return options_.zones[instance % options_.zones.size()];
}

std::vector<requests::Instance> FakeCluster::List() const {
  std::vector<requests::Instance> list;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    list.push_back({.service = kService,
                    .name = InstanceName(i),
                    .address = InstanceName(i),
                    .zone = ZoneOfInstance(i),
                    .slots = options_.slots,
                    .connections = options_.connections,
                    .leaving = instances_[i].leaving});
  }
  return list;
}

void FakeCluster::StartCore(std::size_t gateway) {
  Gateway& started = gateways_[gateway];
  ++started.incarnation;
  started.connection_uses.clear();
  started.callers.clear();
  started.backlog.clear();
  started.paused = false;
  started.core_wake = MonotonicTime::max();
  started.claims_wake = MonotonicTime::max();
  CoreOptions core{
      .gateway = GatewayName(gateway),
      .zone = ZoneOfGateway(gateway),
      .policy = options_.policy,
      .seed = options_.seed * 1000 + gateway * 100 + started.incarnation};
  if (options_.adjust) options_.adjust(core);
  started.core = std::make_unique<RequestCore>(core, MakeHooks(gateway));
  started.claims = std::make_unique<KeyClaims>(
      KeyClaimsOptions{.incarnation = GatewayName(gateway) + "-" +
                                      std::to_string(started.incarnation)},
      MakeClaimHooks(gateway));
  if (options_.keys) started.claims->Start(time_.now());
  std::vector<GatewayPeer> peers;
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    if (i == gateway) continue;
    peers.push_back({.name = GatewayName(i), .zone = ZoneOfGateway(i)});
  }
  started.core->SetPeers(peers, time_.now());
  started.core->SetServices({{.name = kService,
                              .team = "team",
                              .deadline = options_.deadline,
                              .classes = options_.classes}},
                            time_.now());
  started.core->SetInstances(List(), time_.now());
}

CoreHooks FakeCluster::MakeHooks(std::size_t gateway) {
  CoreHooks hooks;
  hooks.send = [this, gateway](const SendOrder& order) {
    Transmit(gateway, order);
  };
  hooks.close_connection = [this, gateway](ConnectionId id) {
    gateways_[gateway].connection_uses.erase(id);
  };
  hooks.refuse = [this, gateway](RequestId id, const Refusal& refusal) {
    const std::uint64_t caller = RemoveCaller(gateway, id);
    time_.After(options_.to_caller, [this, caller, refusal] {
      EndCaller(caller, [&](Outcome& outcome) { outcome.refusal = refusal; });
    });
  };
  hooks.cut = [this, gateway](RequestId id) {
    const std::uint64_t caller = RemoveCaller(gateway, id);
    time_.After(options_.to_caller,
                [this, caller] { EndCaller(caller, [](Outcome&) {}); });
  };
  hooks.send_to_peer = [this, gateway](const std::string& peer,
                                       const PeerMessage& message) {
    const std::size_t to = GatewayIndex(peer);
    const std::string& here = ZoneOfGateway(gateway);
    if (IsPartitioned(here, ZoneOfGateway(to))) return;
    Deliver(to, Latency(here, ZoneOfGateway(to)), [this, gateway, to, message] {
      gateways_[to].core->OnPeerMessage(GatewayName(gateway), message,
                                        time_.now());
    });
  };
  hooks.probe = [this, gateway](const std::string& service,
                                const std::string& name, const std::string&) {
    const std::size_t instance = InstanceIndex(name);
    const Duration distance =
        Latency(ZoneOfGateway(gateway), ZoneOfInstance(instance));
    time_.After(distance, [this, gateway, service, name, instance, distance] {
      const Instance& probed = instances_[instance];
      if (probed.mode == InstanceMode::kDead) return;
      const std::uint32_t in_flight =
          static_cast<std::uint32_t>(InFlight(instance));
      const Duration latency(static_cast<Duration::rep>(probed.latency_ns));
      Deliver(gateway, distance, [=, this] {
        gateways_[gateway].core->OnProbe(service, name, in_flight, latency,
                                         time_.now());
      });
    });
  };
  hooks.claim = [this, gateway](RequestId id, const std::string& key) {
    gateways_[gateway].claims->Claim(id, key, time_.now());
    RunClaims(gateway);
  };
  hooks.key_ended = [this, gateway](const std::string& key, Ran ran) {
    gateways_[gateway].claims->OnKeyEnded(key, ran, time_.now());
    RunClaims(gateway);
  };
  hooks.wake = [this, gateway](MonotonicTime at) { RunCore(gateway, at); };
  return hooks;
}

KeyClaimsHooks FakeCluster::MakeClaimHooks(std::size_t gateway) {
  KeyClaimsHooks hooks;
  hooks.append = [this, gateway](const contracts::AppendRequest& request) {
    if (partitioned_zones_.contains(ZoneOfGateway(gateway))) {
      return Deliver(gateway, request.timeout, [this, gateway] {
        gateways_[gateway].claims->OnAppend(
            {.outcome = contracts::AppendOutcome::kNotSent}, time_.now());
        RunClaims(gateway);
      });
    }
    const std::uint64_t incarnation = gateways_[gateway].incarnation;
    log_.Append(request, [=, this](const contracts::AppendAnswer& answer) {
      if (gateways_[gateway].incarnation != incarnation) return;
      Deliver(gateway, Duration::zero(), [this, gateway, answer] {
        gateways_[gateway].claims->OnAppend(answer, time_.now());
        RunClaims(gateway);
      });
    });
  };
  hooks.read = [this, gateway](const contracts::ReadRequest& request) {
    const std::uint64_t incarnation = gateways_[gateway].incarnation;
    log_.Read(request, [=, this](const contracts::ReadAnswer* answer) {
      if (gateways_[gateway].incarnation != incarnation) return;
      const bool cut = partitioned_zones_.contains(ZoneOfGateway(gateway));
      const std::optional<contracts::ReadAnswer> read =
          answer == nullptr || cut ? std::nullopt : std::optional(*answer);
      Deliver(gateway, Duration::zero(), [this, gateway, read] {
        KeyClaims& claims = *gateways_[gateway].claims;
        if (read.has_value()) {
          claims.OnRead(*read, time_.now());
        } else {
          claims.OnReadFailed(time_.now());
        }
        RunClaims(gateway);
      });
    });
  };
  hooks.decided = [this, gateway](RequestId id, ClaimOutcome outcome) {
    return gateways_[gateway].core->OnClaim(id, outcome, time_.now());
  };
  return hooks;
}

void FakeCluster::RunClaims(std::size_t gateway) {
  Gateway& running = gateways_[gateway];
  const std::optional<MonotonicTime> next = running.claims->NextWake();
  if (!next.has_value() || running.claims_wake <= *next) return;
  running.claims_wake = *next;
  WakeAt(gateway, *next, [this, gateway] {
    gateways_[gateway].claims_wake = MonotonicTime::max();
    gateways_[gateway].claims->Tick(time_.now());
    RunClaims(gateway);
  });
}

void FakeCluster::RunCore(std::size_t gateway, MonotonicTime at) {
  Gateway& running = gateways_[gateway];
  if (running.core_wake <= at) return;
  running.core_wake = at;
  WakeAt(gateway, at, [this, gateway] {
    Gateway& woken = gateways_[gateway];
    woken.core_wake = MonotonicTime::max();
    woken.core->Tick(time_.now());
    RunCore(gateway, woken.core->NextWake().value_or(MonotonicTime::max()));
  });
}

void FakeCluster::WakeAt(std::size_t gateway, MonotonicTime at,
                         std::function<void()> run) {
  const Duration delay = at - time_.now();
  Deliver(gateway, std::max(Duration::zero(), delay), std::move(run));
}

Duration FakeCluster::Latency(const std::string& from,
                              const std::string& to) const {
  return from == to ? options_.within_zone : options_.between_zones;
}

bool FakeCluster::IsPartitioned(const std::string& a,
                                const std::string& b) const {
  return a != b &&
         (partitioned_zones_.contains(a) || partitioned_zones_.contains(b));
}

void FakeCluster::Deliver(std::size_t gateway, Duration delay,
                          std::function<void()> handle) {
  const std::uint64_t incarnation = gateways_[gateway].incarnation;
  time_.After(delay, [this, gateway, incarnation, handle = std::move(handle)] {
    Gateway& to = gateways_[gateway];
    if (to.incarnation != incarnation) return;
    if (to.paused) {
      to.backlog.push_back(handle);
    } else {
      handle();
    }
  });
}

void FakeCluster::Send(std::size_t gateway, const Work& work) {
  const std::uint64_t caller = next_caller_++;
  callers_[caller].outcome = {.work = work, .sent_at = time_.now()};
  ++pending_callers_;
  gateways_[gateway].in_transit.insert(caller);
  Deliver(gateway, options_.to_caller, [this, gateway, caller, work] {
    Gateway& to = gateways_[gateway];
    const RequestId id = to.next_request++;
    to.in_transit.erase(caller);
    to.callers[id] = caller;
    to.core->OnRequest({.id = id,
                        .service = kService,
                        .operation = work.operation,
                        .idempotent = work.idempotent,
                        .key = work.key,
                        .timeout = work.timeout},
                       time_.now());
  });
}

// Called when the gateway sends its answer: the caller no longer depends on the
// gateway.
std::uint64_t FakeCluster::RemoveCaller(std::size_t gateway, RequestId id) {
  std::map<RequestId, std::uint64_t>& callers = gateways_[gateway].callers;
  const std::uint64_t caller = callers.at(id);
  callers.erase(id);
  return caller;
}

void FakeCluster::Transmit(std::size_t gateway, const SendOrder& order) {
  const std::size_t instance = InstanceIndex(order.instance);
  gateways_[gateway].connection_uses[order.connection] = {.order = order,
                                                          .instance = instance};
  if (!order.new_connection) {
    Deliver(gateway, Duration::zero(),
            [this, gateway, order] { Write(gateway, order); });
    return;
  }
  const std::string& here = ZoneOfGateway(gateway);
  const std::string& there = ZoneOfInstance(instance);
  const bool fails = IsPartitioned(here, there) ||
                     instances_[instance].mode == InstanceMode::kDead ||
                     InFlight(instance) >= options_.connections;
  const Duration wait =
      IsPartitioned(here, there) ? kConnectTimeout : 2 * Latency(here, there);
  Deliver(gateway, wait, [this, gateway, order, fails] {
    if (fails) return FailConnection(gateway, order.connection);
    gateways_[gateway].core->OnConnected(order.attempt);
    Write(gateway, order);
  });
}

void FakeCluster::Write(std::size_t gateway, const SendOrder& order) {
  Gateway& from = gateways_[gateway];
  if (!from.core->OnSent(order.attempt, time_.now())) return;
  const std::size_t instance = InstanceIndex(order.instance);
  const std::string& here = ZoneOfGateway(gateway);
  const std::string& there = ZoneOfInstance(instance);
  if (IsPartitioned(here, there)) return;
  const Arrival arrival{.gateway = gateway,
                        .incarnation = from.incarnation,
                        .connection = order.connection,
                        .caller = from.callers[order.request]};
  time_.After(Latency(here, there),
              [this, instance, arrival] { Arrive(instance, arrival); });
}

void FakeCluster::Arrive(std::size_t index, const Arrival& arrival) {
  Instance& instance = instances_[index];
  if (instance.leaving) ++instance.requests_after_leaving;
  switch (instance.mode) {
    case InstanceMode::kDead:
      return Deliver(
          arrival.gateway,
          Latency(ZoneOfInstance(index), ZoneOfGateway(arrival.gateway)),
          [this, arrival] {
            FailConnection(arrival.gateway, arrival.connection);
          });
    case InstanceMode::kFailing:
      ++callers_[arrival.caller].runs;
      ++runs_[callers_[arrival.caller].outcome.work.number];
      return time_.After(kFailureLatency, [this, index, arrival] {
        Answer(index, arrival, 500, true);
      });
    case InstanceMode::kRefusing:
      return Answer(index, arrival, 503, false);
    default:
      instance.waiting.push_back(arrival);
      RunNext(index);
  }
}

void FakeCluster::RunNext(std::size_t index) {
  Instance& instance = instances_[index];
  while (instance.running < options_.slots && !instance.waiting.empty()) {
    const Arrival arrival = instance.waiting.front();
    instance.waiting.pop_front();
    Run(index, arrival);
  }
}

void FakeCluster::Run(std::size_t index, const Arrival& arrival) {
  Instance& instance = instances_[index];
  Caller& caller = callers_[arrival.caller];
  const Work& work = caller.outcome.work;
  ++caller.runs;
  ++instance.running;
  const std::uint32_t runs = ++runs_[work.number];
  if (runs > 1 && !work.idempotent) AddViolation("ran more than once", caller);
  const bool told_not_run = caller.ended &&
                            caller.outcome.refusal.has_value() &&
                            caller.outcome.refusal->ran == Ran::kNo;
  if (told_not_run) AddViolation("ran after \"not run\" was reported", caller);
  const Duration length(static_cast<Duration::rep>(
      static_cast<double>(work.length.count()) * instance.slowness));
  instance.latency_ns += kProbeWeight * (static_cast<double>(length.count()) -
                                         instance.latency_ns);
  const std::uint64_t generation = instance.generation;
  time_.After(length, [this, index, arrival, generation] {
    Instance& after = instances_[index];
    if (after.generation != generation) return;
    --after.running;
    Answer(index, arrival, 200, true);
    RunNext(index);
  });
}

void FakeCluster::Answer(std::size_t index, const Arrival& arrival, int status,
                         bool ran) {
  const Instance& instance = instances_[index];
  if (instance.mode == InstanceMode::kHanging) return;
  const std::string& here = ZoneOfInstance(index);
  const std::string& there = ZoneOfGateway(arrival.gateway);
  if (IsPartitioned(here, there)) return;
  if (gateways_[arrival.gateway].incarnation != arrival.incarnation) return;
  const bool cut = instance.mode == InstanceMode::kCutting;
  const std::uint64_t number = callers_[arrival.caller].outcome.work.number;
  Deliver(arrival.gateway, Latency(here, there), [=, this] {
    OnAnswer(arrival.gateway, arrival.connection, number, status, !ran, cut);
  });
}

void FakeCluster::OnAnswer(std::size_t gateway, ConnectionId connection,
                           std::uint64_t answer_to, int status, bool refused,
                           bool cut) {
  Gateway& at = gateways_[gateway];
  const auto use = at.connection_uses.find(connection);
  // The connection was closed, so the answer is lost.
  if (use == at.connection_uses.end()) return;
  const SendOrder order = use->second.order;
  const AnswerHandling handling = at.core->OnAnswerHead(
      order.attempt, {.status = status, .refused = refused}, time_.now());
  if (handling == AnswerHandling::kDrop) return;
  if (handling == AnswerHandling::kForward && !cut) {
    const std::uint64_t caller = RemoveCaller(gateway, order.request);
    time_.After(options_.to_caller, [this, caller, answer_to, status] {
      EndCaller(caller, [&](Outcome& outcome) {
        outcome.whole = true;
        outcome.status = status;
        outcome.answer_to = answer_to;
      });
    });
  }
  at.core->OnAnswerEnd(order.attempt, cut ? AnswerEnd::kCut : AnswerEnd::kWhole,
                       time_.now());
}

void FakeCluster::FailConnection(std::size_t gateway, ConnectionId connection) {
  Gateway& at = gateways_[gateway];
  const auto use = at.connection_uses.find(connection);
  if (use == at.connection_uses.end()) return;
  const AttemptId attempt = use->second.order.attempt;
  at.core->OnAttemptFailed(attempt, time_.now());
  at.core->OnConnectionLost(connection);
}

void FakeCluster::EndCaller(std::uint64_t id,
                            const std::function<void(Outcome&)>& set) {
  Caller& caller = callers_[id];
  if (caller.ended) return AddViolation("answered twice", caller);
  caller.ended = true;
  --pending_callers_;
  set(caller.outcome);
  caller.outcome.ended_at = time_.now();
  CheckOutcome(caller);
  if (options_.on_outcome) options_.on_outcome(caller.outcome);
}

void FakeCluster::CheckOutcome(const Caller& caller) {
  const Outcome& outcome = caller.outcome;
  if (outcome.whole && outcome.answer_to != outcome.work.number) {
    AddViolation("got the answer to another request", caller);
  }
  if (!outcome.refusal.has_value()) return;
  // With a key, a refusal speaks for all requests with that key.
  const std::uint32_t runs =
      outcome.work.key.empty() ? caller.runs : runs_[outcome.work.number];
  if (outcome.refusal->ran == Ran::kNo && runs > 0) {
    AddViolation("ran, but \"not run\" was reported", caller);
  }
  if (outcome.refusal->ran == Ran::kYes && runs == 0) {
    AddViolation("did not run, but \"ran\" was reported", caller);
  }
}

void FakeCluster::AddViolation(const std::string& text, const Caller& caller) {
  if (violations_.size() >= kMaxViolations) return;
  violations_.push_back(text + ": work " +
                        std::to_string(caller.outcome.work.number) + " " +
                        caller.outcome.work.operation);
}

void FakeCluster::SetMode(std::size_t index, InstanceMode mode) {
  Instance& instance = instances_[index];
  instance.mode = mode;
  if (mode != InstanceMode::kDead) return;
  ++instance.generation;
  instance.running = 0;
  instance.waiting.clear();
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    if (IsPartitioned(ZoneOfGateway(i), ZoneOfInstance(index))) continue;
    std::vector<ConnectionId> broken;
    for (const auto& [id, use] : gateways_[i].connection_uses) {
      if (use.instance == index) broken.push_back(id);
    }
    for (const ConnectionId id : broken) {
      Deliver(i, Latency(ZoneOfGateway(i), ZoneOfInstance(index)),
              [this, i, id] { FailConnection(i, id); });
    }
  }
}

void FakeCluster::SetSlowness(std::size_t instance, double factor) {
  instances_[instance].slowness = factor;
}

void FakeCluster::SetLeaving(std::size_t instance, bool leaving) {
  instances_[instance].leaving = leaving;
  const std::vector<requests::Instance> list = List();
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    Deliver(i, Duration::zero(), [this, i, list] {
      gateways_[i].core->SetInstances(list, time_.now());
    });
  }
}

void FakeCluster::Pause(std::size_t gateway) {
  gateways_[gateway].paused = true;
}

void FakeCluster::Resume(std::size_t gateway) {
  Gateway& resumed = gateways_[gateway];
  resumed.paused = false;
  const std::vector<std::function<void()>> backlog =
      std::exchange(resumed.backlog, {});
  for (const std::function<void()>& handle : backlog) handle();
}

void FakeCluster::Restart(std::size_t gateway) {
  Gateway& old = gateways_[gateway];
  AddTo(old.replaced_counters, old.core->counters());
  for (const auto& [id, caller] : old.callers) {
    EndCaller(caller, [](Outcome&) {});
  }
  for (const std::uint64_t caller : old.in_transit) {
    EndCaller(caller, [](Outcome&) {});
  }
  old.in_transit.clear();
  StartCore(gateway);
}

void FakeCluster::Partition(const std::string& zone) {
  partitioned_zones_.insert(zone);
}

void FakeCluster::Heal(const std::string& zone) {
  partitioned_zones_.erase(zone);
}

CoreCounters FakeCluster::Counters() const {
  CoreCounters sum;
  for (const Gateway& gateway : gateways_) {
    AddTo(sum, gateway.replaced_counters);
    AddTo(sum, gateway.core->counters());
  }
  return sum;
}

}  // namespace carobmast::requests::fakes
