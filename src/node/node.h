// One process of an entry VM: takes callers' jobs, passes them to the owner of
// the shard, and is that owner when it has claimed it.
#ifndef CAROBMAST_NODE_NODE_H_
#define CAROBMAST_NODE_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "contracts/advice_service.h"
#include "contracts/keyed_log.h"
#include "contracts/task_workers.h"
#include "contracts/vm_service.h"
#include "framework/net/http_server.h"
#include "jobs/types/job.h"
#include "maintenance/maintenance_core.h"
#include "node/types/front.h"

namespace carobmast::node {

struct NodeSettings {
  std::string name;
  std::string zone;
  // Where callers, the balancer's readiness checks and other nodes arrive. The
  // last takes links (TCP) and datagrams (UDP).
  net::Address front;
  net::Address ready;
  net::Address peers;
  // Larger comes first as owner, e.g. thousandths of a processor.
  std::uint32_t rank = 0;
  // How long a graceful stop may take.
  Duration stop_grace = std::chrono::seconds(6);
  contracts::StreamId config_stream;
  std::string config_key;
  contracts::StreamId registry_stream;
  contracts::StreamId status_stream;
  std::chrono::milliseconds max_lease{6000};
  std::chrono::milliseconds keep_ended{120000};
  double far_factor = 1;
  // A worker that has said that it leaves gets starts for no longer than this.
  std::chrono::milliseconds drain_bound{2000};
  // From the operator's word until each node goes by a configuration.
  std::chrono::milliseconds config_bound{2000};
};

// What the node needs of the platform.
struct NodeServices {
  std::function<Ref<contracts::KeyedLog>(boost::asio::any_io_executor)> log;
  std::function<Ref<contracts::TaskWorkers>(boost::asio::any_io_executor)>
      workers;
  // May give null: then queues that ask for advice can't be served.
  std::function<Ref<contracts::AdviceService>(boost::asio::any_io_executor)>
      advice;
  // May give null: then no maintenance is carried out.
  std::function<Ref<contracts::VmService>(boost::asio::any_io_executor)> vms;
  // Empty when the record of the operators' stream is no wave.
  std::function<std::optional<maintenance::Wave>(const std::string& key,
                                                 const std::string& value)>
      decode_wave;
  std::function<contracts::KeyedRecord(std::uint64_t wave, bool completed)>
      encode_wave;
  // Throw Error when the record can't be used.
  std::function<jobs::ClusterConfig(const std::string& value)> decode_config;
  std::function<std::optional<jobs::WorkerEntry>(const std::string& key,
                                                 const std::string& value)>
      decode_worker;
  // Callers' requests, from and to HTTP.
  std::function<FrontRequest(net::ServerRequest)> decode_request;
  std::function<jobs::JobSpec(const std::string& body)> decode_job;
  std::function<net::ServerAnswer(const FrontAnswer&)> encode_answer;
  // Called at SIGHUP and when the settings have changed; throws Error when they
  // can't be used, and the former ones stay.
  std::function<NodeSettings()> reload;
  // Whether the settings differ from those that were last read.
  std::function<bool()> settings_changed;
};

// Runs the node until SIGTERM; returns the exit code.
int RunNode(NodeSettings settings, NodeServices services);

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_NODE_H_
