// One worker VM of the stand-in platform: a fake worker with its own listener,
// and the targets of the services that run on it.
#ifndef CAROBMAST_STANDIN_WORKER_HOST_H_
#define CAROBMAST_STANDIN_WORKER_HOST_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "contracts/types/vm.h"
#include "framework/base/intrusive.h"
#include "framework/net/http_server.h"
#include "standin/fake_worker.h"
#include "standin/settings.h"
#include "standin/target.h"

namespace carobmast::standin {

class WorkerHost : public RefCounted<WorkerHost> {
 public:
  // Starts to listen; vm().address is set to the address. `seed` is the seed of
  // the first target, each further target takes the next number. Throws Error
  // (step "listen").
  WorkerHost(boost::asio::any_io_executor executor,
             const StandInSettings& settings, contracts::Vm vm,
             Ref<RequestCounter> request_counter, std::uint64_t seed);
  ~WorkerHost();

  const contracts::Vm& vm() const { return vm_; }
  FakeWorker& worker() { return worker_; }

  // Ends the tasks that finished, failed or lost their lease by `now`, and
  // closes their endpoints.
  void Tick(MonotonicTime now);
  // Simulates the loss of the VM: it stops listening and its tasks fail.
  void PowerOff(MonotonicTime now);
  // Sets the VM to live and, after PowerOff, listens again at the same address
  // with no task running. Throws Error (step "listen").
  void PowerOn();
  void SetState(contracts::VmState state) { vm_.state = state; }

  // Calls `change` for each target whose task name begins with `prefix`
  // (empty for all). Targets that are opened later are not affected.
  void ChangeTargets(const std::string& prefix,
                     const std::function<void(TargetFaults&)>& change);

 private:
  FakeWorkerOptions MakeOptions(const StandInSettings& settings);
  std::string OpenEndpoint(const contracts::WorkerCommand& command);
  void CloseEndpoint(const contracts::AttemptId& id, bool graceful);
  void Listen();
  static boost::asio::awaitable<net::ServerAnswer> Serve(
      Ref<WorkerHost> self, net::ServerRequest request);
  // Holds back the answer while the worker is paused.
  boost::asio::awaitable<void> WaitWhilePaused();

  boost::asio::any_io_executor executor_;
  contracts::Vm vm_;
  net::Address address_;
  Duration target_mean_run_;
  Ref<RequestCounter> request_counter_;
  std::uint64_t seed_;
  std::map<contracts::AttemptId, Ref<Target>> targets_;
  FakeWorker worker_;
  Ref<net::HttpServer> server_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_WORKER_HOST_H_
