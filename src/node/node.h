// The process of an entry VM: takes callers' requests and passes them to the
// owner of the shard. A node that has claimed the shard is its owner.
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
  // Listen addresses for callers, for readiness checks and metrics, and for
  // other nodes. The last one serves links (TCP) and datagrams (UDP).
  net::Address front;
  net::Address ready;
  net::Address peers;
  // The node of the highest rank is preferred as owner. Any measure of size,
  // e.g. thousandths of a processor.
  std::uint32_t rank = 0;
  // How long a graceful stop may take.
  Duration stop_grace = std::chrono::seconds(6);
  contracts::StreamId config_stream;
  std::string config_key;
  contracts::StreamId registry_stream;
  contracts::StreamId status_stream;
  std::chrono::milliseconds max_lease{6000};
  // Minimum time between orders of two owners for the same VM.
  std::chrono::milliseconds vm_order_lease{3000};
  // How long the state of an ended job is kept.
  std::chrono::milliseconds keep_ended{120000};
  // Maximum time that a worker takes to end a run once it has confirmed a stop.
  std::chrono::milliseconds stop_time{500};
  // How many times as long a task takes outside the rack of its data.
  double far_factor = 1;
  // Longest time after a worker has announced that it leaves in which it may
  // still be sent starts.
  std::chrono::milliseconds drain_bound{2000};
  // Largest record that the log accepts.
  std::size_t max_record_bytes = std::size_t{256} * 1024;
  // Longest time from publishing a configuration until every node applies it.
  std::chrono::milliseconds config_bound{2000};
};

// Factories and codecs that the platform provides to a node. None may be empty.
struct NodeServices {
  std::function<Ref<contracts::KeyedLog>(boost::asio::any_io_executor)> log;
  std::function<Ref<contracts::TaskWorkers>(boost::asio::any_io_executor)>
      workers;
  // May return null: then queues that need advice can't be served.
  std::function<Ref<contracts::AdviceService>(boost::asio::any_io_executor)>
      advice;
  // May return null: then no maintenance is carried out.
  std::function<Ref<contracts::VmService>(boost::asio::any_io_executor)> vms;
  // Decodes a record of the operators' stream. Returns nothing when it is not
  // a maintenance wave; throws Error when it is malformed.
  std::function<std::optional<maintenance::Wave>(const std::string& key,
                                                 const std::string& value)>
      decode_wave;
  // The status record that tells operators of the progress of a wave.
  std::function<contracts::KeyedRecord(std::uint64_t wave, bool completed)>
      encode_wave;
  // Both throw Error when the record is invalid. `decode_worker` returns
  // nothing for a record that describes no usable worker.
  std::function<jobs::ClusterConfig(const std::string& value)> decode_config;
  std::function<std::optional<jobs::WorkerEntry>(const std::string& key,
                                                 const std::string& value)>
      decode_worker;
  // Translate between HTTP and the types of the front. `decode_job` throws
  // Error when the body is not a valid job.
  std::function<FrontRequest(net::ServerRequest)> decode_request;
  std::function<jobs::JobSpec(const std::string& body)> decode_job;
  std::function<net::ServerAnswer(const FrontAnswer&)> encode_answer;
  // Reads the settings again on SIGHUP and when they have changed. Throws Error
  // when they are invalid; the node then keeps its current settings.
  std::function<NodeSettings()> reload;
  // Whether the settings differ from those last read.
  std::function<bool()> settings_changed;
};

// Runs the node until SIGTERM or SIGINT. Returns the exit code.
int RunNode(NodeSettings settings, NodeServices services);

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_NODE_H_
