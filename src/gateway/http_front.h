// The callers' port, the connections to instances and the core's decisions,
// put together.
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
  // Given to the ports.
  TraceHooks trace;
  // Hooks that no connection of callers or instances serves: claim, key_ended
  // and tell. The others are set here.
  requests::CoreHooks hooks;
};

class HttpFront {
 public:
  // Listens at once. Throws Error (step "listen") when the address is taken.
  HttpFront(boost::asio::any_io_executor executor, HttpFrontOptions options);

  // Begins to accept callers.
  void Start();
  boost::asio::awaitable<void> Stop(Duration grace);

  requests::RequestCore& core() { return core_; }
  const CallerPort& callers() const { return callers_; }

 private:
  requests::CoreHooks MakeHooks(requests::CoreHooks hooks);
  static CallerPortOptions MakeCallerOptions(const HttpFrontOptions& options);
  TargetPortOptions MakeTargetOptions(const HttpFrontOptions& options);
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
