// The gateway's HTTP data path: connects the server for callers and the client
// of instances with the request core that makes the decisions.
#ifndef CAROBMAST_GATEWAY_HTTP_FRONT_H_
#define CAROBMAST_GATEWAY_HTTP_FRONT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/caller_port.h"
#include "gateway/target_port.h"
#include "requests/request_core.h"

namespace carobmast::gateway {

struct HttpFrontOptions {
  CallerPortOptions callers;
  TargetPortOptions targets;
  requests::CoreOptions core;
  // Passed to both ports; replaces `callers.trace` and `targets.trace`.
  TraceHooks trace;
  // Only claim, key_ended and send_to_peer are needed here. HttpFront replaces
  // the hooks that act on connections, and `wake`.
  requests::CoreHooks hooks;
};

class HttpFront {
 public:
  // Opens the listening socket for callers. Throws Error (step "listen") when
  // the address is in use.
  HttpFront(boost::asio::any_io_executor executor, HttpFrontOptions options);

  // Starts to accept callers.
  void Start();
  // Stops accepting callers and waits until their requests have ended, for at
  // most `grace`.
  boost::asio::awaitable<void> Stop(Duration grace);

  requests::RequestCore& core() { return core_; }
  const CallerPort& callers() const { return callers_; }

 private:
  requests::CoreHooks MakeHooks(requests::CoreHooks hooks);
  static CallerPortOptions MakeCallerOptions(const HttpFrontOptions& options);
  TargetPortOptions MakeTargetOptions(const HttpFrontOptions& options);
  // Calls the core's Tick when it is due.
  boost::asio::awaitable<void> RunCoreTimer();

  boost::asio::any_io_executor executor_;
  CallerPort callers_;
  TargetPort targets_;
  boost::asio::steady_timer core_timer_;
  requests::RequestCore core_;
  bool running_ = false;
};

}  // namespace carobmast::gateway

#endif  // CAROBMAST_GATEWAY_HTTP_FRONT_H_
