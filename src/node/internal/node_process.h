// Connects the parts of a node: servers, store, election, owner and callers'
// requests.
#ifndef CAROBMAST_NODE_INTERNAL_NODE_PROCESS_H_
#define CAROBMAST_NODE_INTERNAL_NODE_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <set>
#include <string>

#include "framework/link/link.h"
#include "framework/telemetry/line_log.h"
#include "framework/telemetry/metrics.h"
#include "node/election_core.h"
#include "node/node.h"
#include "node/owner.h"
#include "node/queue_table.h"
#include "node/stream_follower.h"

namespace carobmast::node {

class NodeProcess {
 public:
  NodeProcess(NodeSettings settings, NodeServices services);
  int Run();

 private:
  using JobAnswer = jobs::proto::JobAnswer;
  using JobCall = jobs::proto::JobCall;

  // node_process.cc: start and shutdown, store, ownership.
  ElectionHooks MakeElectionHooks();
  void StartServers();
  void StartFollowers();
  void OnOperatorRecord(const contracts::KeyedRecord& record);
  void OnConfigRecord(const contracts::KeyedRecord& record);
  void OnWaveRecord(const contracts::KeyedRecord& record);
  // Returns the claim; empty when the record is not a valid claim.
  std::optional<OwnerClaim> OnClaimRecord(const contracts::KeyedRecord& record);
  void OnStoreCall(bool reached, const std::string& error);
  boost::asio::awaitable<void> StoreClaim();
  enum class ClaimResult { kStored, kFailed, kUnanswered };
  boost::asio::awaitable<ClaimResult> TryClaim();
  void OnClaimStored(std::uint64_t token, FormerOwners former);
  void StartOwning();
  void OnFormerOwnerMessage(const NodeMessage& message);
  void StopOwning(const std::string& reason);
  std::optional<jobs::WorkerEntry> DecodeWorker(
      const contracts::KeyedRecord& record);
  boost::asio::awaitable<void> TickLoop();
  void OnDatagram(const std::string& bytes,
                  const boost::asio::ip::udp::endpoint& sender);
  boost::asio::awaitable<void> WatchOwner();
  void SendDatagram(const net::Address& to, const NodeMessage& message);
  void WaitForSignals();
  void WaitForReload();
  void Reload();
  // Reloads changed settings, for changes without a SIGHUP.
  void CheckSettings();
  boost::asio::awaitable<void> ShutDown();
  boost::asio::awaitable<void> Sleep(Duration pause);
  net::ServerAnswer ServeOperator(const net::ServerRequest& request);
  void UpdateMetrics();
  bool IsReady() const;

  // node_front.cc: requests of callers and calls from other nodes.
  boost::asio::awaitable<net::ServerAnswer> ServeFront(
      net::ServerRequest request);
  boost::asio::awaitable<FrontAnswer> HandleRequest(FrontRequest request);
  boost::asio::awaitable<FrontAnswer> HandleJobRequest(FrontRequest request,
                                                       QueueMatch match);
  FrontAnswer HandleUnknownQueue() const;
  FrontAnswer HandleCountRequest(const std::string& queue) const;
  boost::asio::awaitable<JobAnswer> CallOwnerWithRetries(FrontKind kind,
                                                         JobCall call,
                                                         Duration time_limit);
  boost::asio::awaitable<JobAnswer> CallOwner(FrontKind kind,
                                              const JobCall& call,
                                              Duration timeout);
  boost::asio::awaitable<JobAnswer> ServeJobCall(FrontKind kind, JobCall call,
                                                 Duration timeout);
  std::map<std::string, link::CallHandler> MakeCallHandlers();
  Ref<link::LinkClient> OwnerLink();
  void WakeRetries();

  NodeSettings settings_;
  NodeServices services_;
  boost::asio::io_context context_{1};
  boost::asio::signal_set signals_;
  boost::asio::signal_set reload_signal_;
  // Identifies this process among those of the same node.
  std::int64_t incarnation_;
  telemetry::LineLog log_;
  telemetry::MetricsRegistry metrics_;
  Ref<telemetry::LatencyHistogram> submit_latency_;
  Ref<telemetry::LatencyHistogram> state_latency_;
  Ref<contracts::KeyedLog> store_;
  Ref<contracts::TaskWorkers> workers_;
  Ref<contracts::AdviceService> advice_;
  Ref<contracts::VmService> vms_;
  ElectionCore election_;
  boost::asio::ip::udp::socket datagrams_;
  Ref<net::HttpServer> front_server_;
  Ref<net::HttpServer> ready_server_;
  Ref<link::LinkServer> link_server_;
  Ref<link::LinkClient> owner_link_;
  net::Address owner_link_peer_;
  Ref<StreamFollower> config_follower_;
  Ref<StreamFollower> claim_follower_;
  Ref<Owner> owner_;
  // Earlier owners that have not yet shown that they know this node's claim.
  FormerOwners former_owners_;
  // A claim of this process of which it is not known whether it was stored.
  std::optional<std::string> unanswered_claim_;
  std::optional<jobs::ClusterConfig> config_;
  QueueTable queues_;
  std::map<std::uint64_t, maintenance::Wave> waves_;
  // Workers whose invalid registry entry was logged already.
  std::set<std::string> rejected_workers_;
  // Of callers' requests that wait to call the owner again.
  std::list<boost::asio::steady_timer*> retry_timers_;
  MonotonicTime settings_checked_at_;
  bool store_reached_ = true;
  bool stopping_ = false;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_INTERNAL_NODE_PROCESS_H_
