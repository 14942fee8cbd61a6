#include "gateway/http_front.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carobmast::gateway {

namespace asio = boost::asio;

HttpFront::HttpFront(asio::any_io_executor executor, HttpFrontOptions options)
    : executor_(executor),
      callers_(executor, MakeCallerOptions(options)),
      targets_(executor, MakeTargetOptions(options)),
      core_timer_(executor),
      core_(std::move(options.core), MakeHooks(std::move(options.hooks))) {
  core_timer_.expires_at(MonotonicTime::max());
  callers_.SetCore(&core_);
  targets_.SetCore(&core_);
}

CallerPortOptions HttpFront::MakeCallerOptions(
    const HttpFrontOptions& options) {
  CallerPortOptions callers = options.callers;
  callers.trace = options.trace;
  return callers;
}

TargetPortOptions HttpFront::MakeTargetOptions(
    const HttpFrontOptions& options) {
  TargetPortOptions targets = options.targets;
  targets.trace = options.trace;
  targets.stopping = [this] { return callers_.stopping(); };
  return targets;
}

requests::CoreHooks HttpFront::MakeHooks(requests::CoreHooks hooks) {
  hooks.send = [this](const requests::SendOrder& order) {
    targets_.Send(order, callers_.Find(order.request));
  };
  hooks.close_connection = [this](requests::ConnectionId id) {
    targets_.Close(id);
  };
  hooks.refuse = [this](requests::RequestId id,
                        const requests::Refusal& refusal) {
    callers_.Refuse(id, refusal);
  };
  hooks.cut = [this](requests::RequestId id) { callers_.AbortAnswer(id); };
  hooks.wake = [this](MonotonicTime at) { core_timer_.expires_at(at); };
  return hooks;
}

void HttpFront::Start() {
  running_ = true;
  callers_.Start();
  asio::co_spawn(executor_, RunCoreTimer(), asio::detached);
}

asio::awaitable<void> HttpFront::RunCoreTimer() {
  while (running_) {
    boost::system::error_code error;
    co_await core_timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    // The wait was cancelled because an earlier time was set.
    if (error) continue;
    core_.Tick(MonotonicClock::now());
    core_timer_.expires_at(core_.NextWake().value_or(MonotonicTime::max()));
  }
}

asio::awaitable<void> HttpFront::Stop(Duration grace) {
  co_await callers_.Stop(grace);
  running_ = false;
  core_timer_.cancel();
}

}  // namespace carobmast::gateway
