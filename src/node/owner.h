// Runs the core of a shard on the node that owns it: restores its state from
// the stream, stores its changes, and sends its orders to the workers.
#ifndef CAROBMAST_NODE_OWNER_H_
#define CAROBMAST_NODE_OWNER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "contracts/advice_service.h"
#include "contracts/keyed_log.h"
#include "contracts/task_workers.h"
#include "contracts/vm_service.h"
#include "jobs/generated/jobs.pb.h"
#include "jobs/shard_core.h"
#include "maintenance/maintenance_core.h"
#include "node/sequenced_writer.h"
#include "node/stream_follower.h"

namespace carobmast::node {

struct OwnerOptions {
  jobs::ShardOptions shard;
  contracts::StreamId stream;
  contracts::StreamId registry;
  contracts::StreamId status;
  // Identifies the owner to the VM service when it orders maintenance.
  std::string holder;
  // Minimum time between orders of two owners for the same VM.
  Duration vm_order_lease = std::chrono::seconds(3);
  Duration order_timeout;
  Duration append_timeout = std::chrono::milliseconds(700);
  // For reading a page of the stream. A page has up to 1 MB, which takes 0.9 s
  // on the slowest link of the sites (10 Mbit/s).
  Duration page_timeout = std::chrono::milliseconds(2500);
  Duration advice_timeout = std::chrono::seconds(3);
  Duration tick_interval = std::chrono::milliseconds(50);
};

struct OwnerHooks {
  // The status record that tells operators of the progress of a wave.
  std::function<contracts::KeyedRecord(std::uint64_t wave, bool completed)>
      encode_wave;
  // Decodes a registry entry. Returns nothing when it is invalid or describes
  // no usable worker.
  std::function<std::optional<jobs::WorkerEntry>(const contracts::KeyedRecord&)>
      decode_worker;
  // Called after each call to the store; `error` says why it failed.
  std::function<void(bool reached, const std::string& error)> on_store_call;
  // Another node has become the owner. May be called from within a method of
  // the owner; the receiver calls Stop after that has returned.
  std::function<void(const std::string& reason)> on_superseded;
  std::function<void(const std::string&, const std::vector<telemetry::Field>&)>
      log_event;
};

// `advice` and `vms` may be null.
class Owner : public RefCounted<Owner> {
 public:
  Owner(boost::asio::any_io_executor executor, Ref<contracts::KeyedLog> log,
        Ref<contracts::TaskWorkers> workers,
        Ref<contracts::AdviceService> advice, Ref<contracts::VmService> vms,
        OwnerOptions options, OwnerHooks hooks);
  void Start(const jobs::ClusterConfig& config);
  // Sends no orders and stores nothing afterwards. Pending Submit and Cancel
  // calls end as undecided.
  void Stop();
  void SetConfig(const jobs::ClusterConfig& config);
  void SetMaxRegistryAge(std::chrono::milliseconds age);
  // No earlier owner sends orders any more.
  void OnFormerOwnersStopped();
  // See ShardCore::OnNodeAnswered.
  void OnNodeAnswered(const jobs::WitnessCandidate& node,
                      MonotonicTime asked_at);
  // Waves that come before the shard is restored are kept until then.
  void SetWave(const maintenance::Wave& wave);

  // Callers' requests, received by this node or passed on by another one.
  // Submit and Cancel wait up to `timeout` until the change is stored.
  boost::asio::awaitable<jobs::proto::JobAnswer> Submit(std::string id,
                                                        std::string queue,
                                                        jobs::JobSpec spec,
                                                        Duration timeout);
  boost::asio::awaitable<jobs::proto::JobAnswer> Cancel(std::string id,
                                                        Duration timeout);
  jobs::proto::JobAnswer State(const std::string& id) const;

  // Whether the shard is restored and the owner not stopped.
  bool ready() const { return ready_ && !stopped_; }
  const jobs::ShardCore& core() const { return *core_; }
  // Time since the registry of workers was last known to be current.
  Duration RegistryAge() const;

 private:
  struct HoldLoop {
    explicit HoldLoop(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
  };

  jobs::ShardHooks MakeHooks();
  maintenance::MaintenanceHooks MakeMaintenanceHooks();
  boost::asio::awaitable<void> ListVms(Ref<Owner> self);
  boost::asio::awaitable<void> Maintain(Ref<Owner> self, std::string vm,
                                        std::uint64_t wave);
  // Publishes the states of `unpublished_waves_` until there is none.
  boost::asio::awaitable<void> PublishWaves(Ref<Owner> self);
  boost::asio::awaitable<void> Run(Ref<Owner> self);
  boost::asio::awaitable<bool> FenceEarlierWriters();
  boost::asio::awaitable<void> Restore();
  // Restores from one record of the stream. A malformed one is logged and
  // skipped.
  void RestoreRecord(const contracts::KeyedRecord& record);
  void RestoreWave(const contracts::KeyedRecord& record);
  // To be called once, with all that was restored.
  void StartMaintenance();
  // When the VM service takes an order of this owner for a VM that a former
  // owner has ordered down, if that stops now.
  MonotonicTime FormerVmOrdersUntil() const;
  boost::asio::awaitable<void> StoreChanges();
  boost::asio::awaitable<bool> Append(
      std::vector<contracts::KeyedRecord> records);
  // Notes whether the store can be reached.
  void NoteStoreAnswer(const contracts::KeyedAppendAnswer& answer);
  boost::asio::awaitable<void> TickLoop(Ref<Owner> self);
  // Sends holds to one worker until it is no longer a target.
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
  // Waits until `change` is stored. False after `timeout` or a stop.
  boost::asio::awaitable<bool> WaitStored(std::uint64_t change,
                                          Duration timeout);
  boost::asio::awaitable<void> Sleep(Duration pause);
  void ApplyRegistry();
  // Logs once a second how far the registry has been read.
  void LogRegistryStatus(Duration tick_delay);
  void WakeStoreWaiters();

  boost::asio::any_io_executor executor_;
  Ref<contracts::KeyedLog> log_;
  Ref<contracts::TaskWorkers> workers_;
  // Both may be null.
  Ref<contracts::AdviceService> advice_;
  Ref<contracts::VmService> vms_;
  OwnerOptions options_;
  OwnerHooks hooks_;
  std::unique_ptr<jobs::ShardCore> core_;
  // The waves that are known, by number.
  std::map<std::uint64_t, maintenance::Wave> waves_;
  // The stored progress of waves, until `maintenance_` exists.
  std::map<std::uint64_t, maintenance::WaveProgress> restored_waves_;
  // Null until the shard is restored, and without a VM service.
  std::unique_ptr<maintenance::MaintenanceCore> maintenance_;
  // Progress of waves by record key, to be stored with the next batch.
  std::map<std::string, std::string> unstored_waves_;
  // Number of times that the progress of a wave was set to be stored.
  std::uint64_t wave_stores_ = 0;
  // Whether each wave of which the state is to be published is completed.
  std::map<std::uint64_t, bool> unpublished_waves_;
  Ref<StreamFollower> registry_;
  std::map<std::string, jobs::WorkerEntry> registry_entries_;
  bool registry_read_ = false;
  MonotonicTime registry_logged_at_;
  Duration max_tick_delay_{0};
  std::map<std::string, std::unique_ptr<HoldLoop>> hold_loops_;
  boost::asio::steady_timer changes_timer_;
  // Of calls that wait until their change is stored.
  std::list<boost::asio::steady_timer*> store_waiters_;
  // Of the shard's stream, and of that with the states of waves.
  SequencedWriter writer_;
  SequencedWriter status_writer_;
  std::optional<MonotonicTime> store_failing_since_;
  bool ready_ = false;
  bool stopped_ = false;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_OWNER_H_
