// The stand-in platform: log service, VM list, workers and targets in one
// process, with control calls that switch faults on.
//
//   POST /control/fault      {"kind": ..., further fields by kind}
//   POST /control/clear      ends all faults; VMs that are gone stay gone
//   GET  /control/executions every period in which an attempt ran
//   GET  /control/requests   how often each request id ran at a target
//   GET  /control/workers    the report of each worker
#ifndef CAROBMAST_STANDIN_STAND_IN_H_
#define CAROBMAST_STANDIN_STAND_IN_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "framework/base/intrusive.h"
#include "framework/base/json.h"
#include "framework/net/http_server.h"
#include "standin/fake_log.h"
#include "standin/fake_vm_list.h"
#include "standin/settings.h"
#include "standin/worker_host.h"

namespace carobmast::standin {

class StandIn {
 public:
  // Listens at once. Throws Error (step "listen").
  StandIn(boost::asio::any_io_executor executor, StandInSettings settings);
  ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  net::Address address() const { return server_->address(); }

  // Moves the workers' clocks on until the process ends.
  boost::asio::awaitable<void> RunClock();

 private:
  using FaultHandler = std::function<void(const JsonReader&)>;

  boost::asio::awaitable<net::ServerAnswer> Serve(net::ServerRequest request);
  boost::asio::awaitable<net::ServerAnswer> Append(net::ServerRequest request);
  boost::asio::awaitable<net::ServerAnswer> Read(net::ServerRequest request);
  net::ServerAnswer ListVms();
  net::ServerAnswer Control(const net::ServerRequest& request);
  boost::asio::awaitable<void> WaitForDelay();
  boost::asio::awaitable<void> WaitForRecord(contracts::ReadRequest request,
                                             Duration wait);

  void RegisterLogFaults();
  void RegisterWorkerFaults();
  void RegisterVmFaults();
  void RegisterTargetFaults();
  void ClearFaults();
  // Calls `change` for the worker that the field "worker" names, else for all.
  void ForSelectedWorkers(const JsonReader& fault,
                          const std::function<void(WorkerHost&)>& change);

  std::string EncodeExecutions() const;
  std::string EncodeRequests() const;
  std::string EncodeWorkers() const;

  boost::asio::any_io_executor executor_;
  StandInSettings settings_;
  Ref<RequestCounter> request_counter_;
  FakeLog log_;
  std::map<std::string, Ref<WorkerHost>> hosts_;
  FakeVmList vm_list_;
  std::map<std::string, FaultHandler> fault_handlers_;
  // Cancelled at each append, which wakes the reads.
  std::set<boost::asio::steady_timer*> waiting_reads_;
  Ref<net::HttpServer> server_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_STAND_IN_H_
