// Runs the core of a shard on the node that owns it: restores it from the
// stream, stores its changes, carries its orders to the workers.
#ifndef CAROBMAST_NODE_OWNER_H_
#define CAROBMAST_NODE_OWNER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "contracts/advice_service.h"
#include "contracts/keyed_log.h"
#include "contracts/task_workers.h"
#include "contracts/vm_service.h"
#include "jobs/generated/jobs.pb.h"
#include "jobs/shard_core.h"
#include "maintenance/maintenance_core.h"
#include "node/stream_follower.h"

namespace carobmast::node {

struct OwnerOptions {
  jobs::ShardOptions shard;
  contracts::StreamId stream;
  contracts::StreamId registry;
  contracts::StreamId status;
  // The name under which maintenance is ordered.
  std::string holder;
  Duration order_timeout;
  Duration append_timeout = std::chrono::milliseconds(700);
  // Of a page of the stream: the platform sends up to 1 MB, which takes 0.9 s
  // on the slowest link of the sites (10 Mbit/s).
  Duration page_timeout = std::chrono::milliseconds(2500);
  Duration advice_timeout = std::chrono::seconds(3);
  Duration tick = std::chrono::milliseconds(50);
};

struct OwnerHooks {
  // The record that tells operators of a wave.
  std::function<contracts::KeyedRecord(std::uint64_t wave, bool completed)>
      encode_wave;
  // Decodes an entry of the registry; empty when it names no worker to use.
  std::function<std::optional<jobs::WorkerEntry>(const contracts::KeyedRecord&)>
      decode_worker;
  std::function<void(bool reached, const std::string& error)> on_store;
  // Another owner is at work.
  std::function<void(const std::string& reason)> on_superseded;
  std::function<void(const std::string&, const std::vector<telemetry::Field>&)>
      decided;
};

class Owner : public RefCounted<Owner> {
 public:
  Owner(boost::asio::any_io_executor executor, Ref<contracts::KeyedLog> log,
        Ref<contracts::TaskWorkers> workers,
        Ref<contracts::AdviceService> advice, Ref<contracts::VmService> vms,
        OwnerOptions options, OwnerHooks hooks);
  void Start(const jobs::ClusterConfig& config);
  // Nothing is ordered or stored afterwards; calls in flight end undecided.
  void Stop();
  void SetConfig(const jobs::ClusterConfig& config);
  void SetMaxRegistryAge(std::chrono::milliseconds age);
  // No earlier owner orders anything any more.
  void OnFormerOwnersStopped();
  void SetWave(const maintenance::Wave& wave);

  // Callers' requests, from this node or another one.
  boost::asio::awaitable<jobs::proto::JobAnswer> Submit(std::string id,
                                                        std::string queue,
                                                        jobs::JobSpec spec,
                                                        Duration timeout);
  boost::asio::awaitable<jobs::proto::JobAnswer> Cancel(std::string id,
                                                        Duration timeout);
  jobs::proto::JobAnswer State(const std::string& id) const;

  // Restored and at work.
  bool ready() const { return ready_ && !stopped_; }
  const jobs::ShardCore& core() const { return *core_; }
  // How long ago the registry of workers was last known to be current.
  Duration RegistryAge() const;

 private:
  struct HoldLoop {
    explicit HoldLoop(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
  };

  // What follows from the answer to an append.
  enum class AppendStep { kStored, kAgain, kAgainLater, kSuperseded };

  jobs::ShardHooks MakeHooks();
  maintenance::MaintenanceHooks MakeMaintenanceHooks();
  boost::asio::awaitable<void> ListVms(Ref<Owner> self);
  boost::asio::awaitable<void> Maintain(Ref<Owner> self, std::string vm,
                                        std::uint64_t wave);
  boost::asio::awaitable<void> TellWave(Ref<Owner> self, std::uint64_t wave,
                                        bool completed);
  boost::asio::awaitable<void> Run(Ref<Owner> self);
  boost::asio::awaitable<bool> TakeEpoch();
  boost::asio::awaitable<void> Restore();
  // One of the stream's records; one that can't be read is told and left out.
  void RestoreRecord(const contracts::KeyedRecord& record);
  void RestoreWave(const contracts::KeyedRecord& record);
  boost::asio::awaitable<void> StoreChanges();
  boost::asio::awaitable<bool> Append(
      std::vector<contracts::KeyedRecord> records);
  // `unanswered`: an earlier try of the same append got no answer.
  AppendStep OnAppendAnswer(const contracts::KeyedAppendAnswer& answer,
                            bool only_epoch, bool unanswered);
  boost::asio::awaitable<void> TickLoop(Ref<Owner> self);
  boost::asio::awaitable<void> Hold(Ref<Owner> self, std::string worker);
  boost::asio::awaitable<void> SendStart(Ref<Owner> self,
                                         contracts::WorkerTarget worker,
                                         contracts::StartOrder order);
  boost::asio::awaitable<void> SendStop(Ref<Owner> self,
                                        contracts::WorkerTarget worker,
                                        contracts::StopOrder order);
  boost::asio::awaitable<void> SendPace(Ref<Owner> self,
                                        contracts::WorkerTarget worker,
                                        contracts::PaceOrder order);
  boost::asio::awaitable<void> Advise(Ref<Owner> self,
                                      contracts::AdviceCall call);
  // Waits until `change` is stored; false after `timeout` or a stop.
  boost::asio::awaitable<bool> WaitStored(std::uint64_t change,
                                          Duration timeout);
  boost::asio::awaitable<void> Sleep(Duration pause);
  void ApplyRegistry();
  // One line a second on how far the registry is known.
  void TellRegistry(Duration tick_late);
  void WakeWaiters();

  boost::asio::any_io_executor executor_;
  Ref<contracts::KeyedLog> log_;
  Ref<contracts::TaskWorkers> workers_;
  // Null where there is none.
  Ref<contracts::AdviceService> advice_;
  Ref<contracts::VmService> vms_;
  OwnerOptions options_;
  OwnerHooks hooks_;
  std::unique_ptr<jobs::ShardCore> core_;
  maintenance::MaintenanceCore maintenance_;
  // Progress of waves that is to be stored with the next batch.
  std::map<std::string, std::string> wave_records_;
  Ref<StreamFollower> registry_;
  std::map<std::string, jobs::WorkerEntry> entries_;
  bool registry_read_ = false;
  MonotonicTime registry_told_at_;
  Duration worst_tick_{0};
  std::map<std::string, std::unique_ptr<HoldLoop>> holds_;
  boost::asio::steady_timer changes_timer_;
  std::list<boost::asio::steady_timer*> waiters_;
  std::uint64_t sequence_ = 0;
  bool first_append_done_ = false;
  std::optional<MonotonicTime> store_failing_since_;
  bool ready_ = false;
  bool stopped_ = false;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_OWNER_H_
