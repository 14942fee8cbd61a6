// A simulated cluster in virtual time: callers, instances and the network
// between several gateways. It injects faults on command and checks the
// guarantees that gateways give to callers.
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

// One piece of work that a caller requests.
struct Work {
  // Identifies the work; repeated requests have the same number.
  std::uint64_t number = 0;
  std::string operation;
  bool idempotent = true;
  std::string key;
  // Execution time at a healthy instance.
  Duration length = std::chrono::milliseconds(10);
  std::optional<Duration> timeout;
};

// What the caller of one request knows at the end.
struct Outcome {
  Work work;
  MonotonicTime sent_at;
  MonotonicTime ended_at;
  // Whether the caller got a complete answer, with this status, to the work
  // with the number `answer_to`.
  bool whole = false;
  int status = 0;
  std::uint64_t answer_to = 0;
  // Set if the gateway refused the request.
  std::optional<Refusal> refusal;
};

enum class InstanceMode {
  kHealthy,
  kDead,      // refuses connections; its running requests are lost
  kFailing,   // answers 500 at once
  kRefusing,  // answers that it did not execute the request
  kCutting,   // truncates its answers
  kHanging,   // executes requests and never answers
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
  // One-way network latencies.
  Duration to_caller = std::chrono::milliseconds(1);
  Duration within_zone = std::chrono::microseconds(50);
  Duration between_zones = std::chrono::microseconds(500);
  // Whether keys can be claimed, through a fake log.
  bool keys = false;
  // Changes the options of each core.
  std::function<void(CoreOptions&)> adjust;
  // Called when the caller of a request learns its outcome.
  std::function<void(const Outcome&)> on_outcome;
};

class FakeCluster {
 public:
  explicit FakeCluster(FakeClusterOptions options);

  VirtualTime& time() { return time_; }
  FakeLog& log() { return log_; }
  const FakeClusterOptions& options() const { return options_; }

  // Sends a request for `work` to that gateway now.
  void Send(std::size_t gateway, const Work& work);

  void SetMode(std::size_t instance, InstanceMode mode);
  // Multiplies the execution time of requests at the instance.
  void SetSlowness(std::size_t instance, double factor);
  // Sends all gateways a list in which the instance is leaving or not.
  void SetLeaving(std::size_t instance, bool leaving);
  // The gateway handles no events until it is resumed.
  void Pause(std::size_t gateway);
  void Resume(std::size_t gateway);
  // Breaks the connections of its callers; a new process replaces it at once.
  void Restart(std::size_t gateway);
  // Blocks all traffic between this zone and the others.
  void Partition(const std::string& zone);
  void Heal(const std::string& zone);

  RequestCore& core(std::size_t gateway) { return *gateways_[gateway].core; }
  const std::string& ZoneOfGateway(std::size_t gateway) const;
  const std::string& ZoneOfInstance(std::size_t instance) const;
  // Sum over all gateways, including processes that were replaced.
  CoreCounters Counters() const;
  // Requests that are running or waiting at an instance.
  std::size_t InFlight(std::size_t instance) const {
    return instances_[instance].running + instances_[instance].waiting.size();
  }
  // Requests that arrived at the instance while it was listed as leaving.
  std::uint64_t requests_after_leaving(std::size_t instance) const {
    return instances_[instance].requests_after_leaving;
  }

  // Descriptions of violated guarantees, which are checked during the run.
  const std::vector<std::string>& violations() const { return violations_; }
  // Number of requests whose callers do not know the outcome yet.
  std::uint64_t pending_callers() const { return pending_callers_; }

 private:
  // A request that arrived at an instance.
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
    // Incremented when it dies, so that its running requests never end.
    std::uint64_t generation = 0;
    // Requests that wait for a slot.
    std::deque<Arrival> waiting;
    // Moving average that probes report.
    double latency_ns = 0;
  };
  struct Gateway {
    std::unique_ptr<RequestCore> core;
    std::unique_ptr<KeyClaims> claims;
    std::uint64_t incarnation = 0;
    bool paused = false;
    // When the core and the claims run next.
    MonotonicTime core_wake = MonotonicTime::max();
    MonotonicTime claims_wake = MonotonicTime::max();
    // Events that arrived during a pause.
    std::vector<std::function<void()>> backlog;
    // The attempt that uses a connection, and its instance.
    struct ConnectionUse {
      SendOrder order;
      std::size_t instance = 0;
    };
    std::map<ConnectionId, ConnectionUse> connection_uses;
    // Callers by the request ids of this gateway.
    std::map<RequestId, std::uint64_t> callers;
    // Callers whose requests are still on their way to the gateway.
    std::set<std::uint64_t> in_transit;
    RequestId next_request = 1;
    // Counters of the processes that were replaced.
    CoreCounters replaced_counters;
  };
  // A request of a caller, kept to check the guarantees.
  struct Caller {
    Outcome outcome;
    bool ended = false;
    std::uint32_t runs = 0;
  };

  void StartCore(std::size_t gateway);
  CoreHooks MakeHooks(std::size_t gateway);
  KeyClaimsHooks MakeClaimHooks(std::size_t gateway);
  // Schedules the next Tick of the claims unless an earlier one is scheduled.
  void RunClaims(std::size_t gateway);
  std::vector<requests::Instance> List() const;
  Duration Latency(const std::string& from, const std::string& to) const;
  bool IsPartitioned(const std::string& a, const std::string& b) const;
  // Runs `handle` at the gateway after `delay`, unless the gateway was replaced
  // in the meantime.
  void Deliver(std::size_t gateway, Duration delay,
               std::function<void()> handle);
  // Schedules the core's Tick at that time, and further ones as the core
  // requests.
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
  // Number of executions by Work::number.
  std::map<std::uint64_t, std::uint32_t> runs_;
  std::uint64_t next_caller_ = 1;
  std::uint64_t pending_callers_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace carobmast::requests::fakes

#endif  // CAROBMAST_REQUESTS_FAKES_FAKE_CLUSTER_H_
