// Small fakes at the interfaces of the request core: callers, instances and the
// network between several gateways, in virtual time, with faults on command and
// the oracle of the promises.
#ifndef CAROBMAST_REQUESTS_FAKES_FAKE_CLUSTER_H_
#define CAROBMAST_REQUESTS_FAKES_FAKE_CLUSTER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "requests/fakes/fake_log.h"
#include "requests/fakes/virtual_time.h"
#include "requests/key_claims.h"
#include "requests/request_core.h"

namespace carobmast::requests::fakes {

// One piece of work that a caller wants done.
struct Work {
  // The same for a repeated request.
  std::uint64_t number = 0;
  std::string operation;
  bool idempotent = true;
  std::string key;
  // Time that a healthy instance needs.
  Duration length = std::chrono::milliseconds(10);
  std::optional<Duration> timeout;
};

// What the caller of one request knows in the end.
struct Outcome {
  Work work;
  MonotonicTime sent_at;
  MonotonicTime ended_at;
  // The caller got a whole answer, with this status, for the work `answer_to`.
  bool whole = false;
  int status = 0;
  std::uint64_t answer_to = 0;
  // The gateway refused it.
  std::optional<Refusal> refusal;
};

enum class InstanceMode {
  kHealthy,
  kDead,      // refuses connections; what ran there is lost
  kFailing,   // answers 500 at once
  kRefusing,  // answers that it did not run the request
  kCutting,   // its answers end early
  kHanging,   // runs requests and never answers
};

struct FakeClusterOptions {
  std::vector<std::string> zones = {"zg-a", "zg-b", "zg-c"};
  std::size_t gateways = 6;
  std::size_t instances = 48;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  Duration deadline = std::chrono::seconds(1);
  std::vector<config::SizeClass> classes;
  std::string policy = "least_outstanding";
  std::uint64_t seed = 1;
  Duration to_caller = std::chrono::milliseconds(1);
  Duration within_zone = std::chrono::microseconds(50);
  Duration between_zones = std::chrono::microseconds(500);
  // Whether requests with keys can be claimed, through a log.
  bool keys = false;
  // Lets a test change the options of each core.
  std::function<void(CoreOptions&)> adjust;
  // Called with each request's outcome, when its caller knows it.
  std::function<void(const Outcome&)> on_outcome;
};

class FakeCluster {
 public:
  explicit FakeCluster(FakeClusterOptions options);

  VirtualTime& time() { return time_; }
  FakeLog& log() { return log_; }
  const FakeClusterOptions& options() const { return options_; }

  // A caller sends `work` now, to that gateway.
  void Send(std::size_t gateway, const Work& work);

  void SetMode(std::size_t instance, InstanceMode mode);
  // Requests there take `factor` times as long.
  void SetSlowness(std::size_t instance, double factor);
  // The list says so, to all gateways.
  void SetLeaving(std::size_t instance, bool leaving);
  // The gateway handles nothing until it is resumed.
  void Pause(std::size_t gateway);
  void Resume(std::size_t gateway);
  // Its callers' connections break; a new process takes its place at once.
  void Restart(std::size_t gateway);
  // Nothing passes between this zone and the others.
  void Partition(const std::string& zone);
  void Heal(const std::string& zone);

  RequestCore& core(std::size_t gateway) { return *gateways_[gateway].core; }
  const std::string& ZoneOfGateway(std::size_t gateway) const;
  const std::string& ZoneOfInstance(std::size_t instance) const;
  // Sum over all gateways, those that were replaced included.
  CoreCounters Counters() const;
  // Requests that an instance has.
  std::size_t InFlight(std::size_t instance) const {
    return instances_[instance].running + instances_[instance].waiting.size();
  }
  // Requests that came to the instance since its list said that it leaves.
  std::uint64_t requests_after_leaving(std::size_t instance) const {
    return instances_[instance].requests_after_leaving;
  }

  // Promises that were broken, in words; checked as things happen.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t pending_callers() const { return pending_callers_; }

 private:
  // What an instance got.
  struct Arrival {
    std::size_t gateway = 0;
    std::uint64_t incarnation = 0;
    ConnectionId connection = 0;
    std::uint64_t caller = 0;
  };
  struct Instance {
    InstanceMode mode = InstanceMode::kHealthy;
    double slowness = 1;
    bool leaving = false;
    std::uint64_t requests_after_leaving = 0;
    std::uint32_t running = 0;
    // Grows when it dies, so that what ran there does not end.
    std::uint64_t generation = 0;
    std::deque<Arrival> waiting;
    double latency_ns = 0;
  };
  struct Gateway {
    std::unique_ptr<RequestCore> core;
    std::unique_ptr<KeyClaims> claims;
    std::uint64_t incarnation = 0;
    bool paused = false;
    // When the core and the claims are run next.
    MonotonicTime core_wake = MonotonicTime::max();
    MonotonicTime claims_wake = MonotonicTime::max();
    std::vector<std::function<void()>> backlog;
    // The attempt that uses a connection, with its caller.
    struct ConnectionUse {
      SendOrder order;
      std::size_t instance = 0;
    };
    std::map<ConnectionId, ConnectionUse> connection_uses;
    // By RequestId: the caller.
    std::map<RequestId, std::uint64_t> callers;
    // Callers whose requests have not arrived yet.
    std::set<std::uint64_t> in_transit;
    RequestId next_request = 1;
    CoreCounters replaced_counters;
  };
  // A request of a caller; kept for the oracle.
  struct Caller {
    Outcome outcome;
    bool ended = false;
    std::uint32_t runs = 0;
  };

  void StartCore(std::size_t gateway);
  CoreHooks MakeHooks(std::size_t gateway);
  KeyClaimsHooks MakeClaimHooks(std::size_t gateway);
  // Lets the claims do what is due, and again when more is.
  void RunClaims(std::size_t gateway);
  std::vector<requests::Instance> List() const;
  Duration Latency(const std::string& from, const std::string& to) const;
  bool IsPartitioned(const std::string& a, const std::string& b) const;
  // Runs `handle` at the gateway after `delay`, unless it was replaced.
  void Deliver(std::size_t gateway, Duration delay,
               std::function<void()> handle);
  // Lets the core do what is due at that time, and again when more is.
  void RunCore(std::size_t gateway, MonotonicTime at);
  void WakeAt(std::size_t gateway, MonotonicTime at, std::function<void()> run);

  std::uint64_t RemoveCaller(std::size_t gateway, RequestId id);
  void Transmit(std::size_t gateway, const SendOrder& order);
  void Write(std::size_t gateway, const SendOrder& order);
  void Arrive(std::size_t instance, const Arrival& arrival);
  void RunNext(std::size_t instance);
  void Run(std::size_t instance, const Arrival& arrival);
  void Answer(std::size_t instance, const Arrival& arrival, int status,
              bool ran);
  void OnAnswer(std::size_t gateway, ConnectionId connection,
                std::uint64_t answer_to, int status, bool refused, bool cut);
  void FailConnection(std::size_t gateway, ConnectionId connection);
  void EndCaller(std::uint64_t caller,
                 const std::function<void(Outcome&)>& set);
  void CheckOutcome(const Caller& caller);
  void AddViolation(const std::string& text, const Caller& caller);

  FakeClusterOptions options_;
  VirtualTime time_;
  FakeLog log_{time_};
  std::vector<Instance> instances_;
  std::vector<Gateway> gateways_;
  std::set<std::string> partitioned_zones_;
  std::map<std::uint64_t, Caller> callers_;
  // By Work::number: executions of work that may run once.
  std::map<std::uint64_t, std::uint32_t> runs_;
  std::uint64_t next_caller_ = 1;
  std::uint64_t pending_callers_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace carobmast::requests::fakes

#endif  // CAROBMAST_REQUESTS_FAKES_FAKE_CLUSTER_H_
