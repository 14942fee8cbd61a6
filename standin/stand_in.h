// Stand-in platform: log service, VM list, workers and targets in one process,
// with control calls that inject faults.
//
//   POST /control/fault      injects a fault: {"kind": ..., further fields that
//                            depend on the kind}
//   POST /control/clear      ends all faults, but VMs that are gone or leaving
//                            stay so, and changed limits of the log stay
//   GET  /control/executions returns every period in which an attempt ran
//   GET  /control/requests   returns how often each request id ran at a target
//   GET  /control/workers    returns the report of each worker
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
  // Starts to listen. Throws Error (step "listen").
  StandIn(boost::asio::any_io_executor executor, StandInSettings settings);
  ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  net::Address address() const { return server_->address(); }

  // Advances the workers every 10 ms. Never returns; the caller must run it for
  // tasks to end and endpoints to close on time.
  boost::asio::awaitable<void> RunClock();

 private:
  using FaultHandler = std::function<void(const JsonReader&)>;

  boost::asio::awaitable<net::ServerAnswer> Serve(net::ServerRequest request);
  boost::asio::awaitable<net::ServerAnswer> Append(net::ServerRequest request);
  boost::asio::awaitable<net::ServerAnswer> Read(net::ServerRequest request);
  net::ServerAnswer ListVms();
  net::ServerAnswer Control(const net::ServerRequest& request);
  // Waits for the injected delay of the log.
  boost::asio::awaitable<void> WaitForDelay();
  // Waits until the log has a record for the request, it becomes unavailable or
  // `wait` has passed.
  boost::asio::awaitable<void> WaitForRecord(contracts::ReadRequest request,
                                             Duration wait);

  void RegisterLogFaults();
  void RegisterWorkerFaults();
  void RegisterVmFaults();
  void RegisterTargetFaults();
  void ClearFaults();
  // Calls `change` for the worker that the field "worker" names, or for all if
  // the field is missing or empty. Throws Error (step "control") for an unknown
  // worker.
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
  // By kind of fault.
  std::map<std::string, FaultHandler> fault_handlers_;
  // Timers of the reads that wait for a record. An append cancels them all,
  // which makes the reads look again.
  std::set<boost::asio::steady_timer*> waiting_reads_;
  Ref<net::HttpServer> server_;
};

}  // namespace carobmast::standin

#endif  // CAROBMAST_STANDIN_STAND_IN_H_
