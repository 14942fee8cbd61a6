// Sends requests to instances and passes their answers to the callers, with
// backpressure: no body is held whole.
#ifndef CAROBMAST_GATEWAY_TARGET_PORT_H_
#define CAROBMAST_GATEWAY_TARGET_PORT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "gateway/exchange.h"
#include "gateway/trace_hooks.h"
#include "requests/request_core.h"

namespace carobmast::gateway {

struct TargetPortOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  // Between two pieces of a body.
  Duration idle_timeout = std::chrono::seconds(30);
  std::uint32_t max_head_bytes = 32 * 1024;
  // Largest answer that is read only to keep its connection.
  std::size_t max_drain_bytes = 64 * 1024;
  // Whether the process is stopping, so that callers' connections are closed.
  std::function<bool()> stopping;
  TraceHooks trace;
};

class TargetPort {
 public:
  TargetPort(boost::asio::any_io_executor executor, TargetPortOptions options);

  // Set once, before anything is sent.
  void SetCore(requests::RequestCore* core) { core_ = core; }

  // Carries out a send order of the core.
  void Send(const requests::SendOrder& order, const Ref<Exchange>& exchange);
  void Close(requests::ConnectionId id);

 private:
  struct Connection : RefCounted<Connection> {
    explicit Connection(const boost::asio::any_io_executor& executor)
        : stream(executor) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
  };
  // What one attempt's coroutine works on.
  struct Transfer : RefCounted<Transfer> {
    requests::SendOrder order;
    Ref<Exchange> exchange;
    Ref<Connection> connection;
    // Made anew for each head that is read.
    std::unique_ptr<ResponseParser> parser;
    int status = 0;
  };

  boost::asio::awaitable<void> RunAttempt(Ref<Transfer> transfer);
  boost::asio::awaitable<bool> Connect(Ref<Transfer> transfer);
  boost::asio::awaitable<bool> SendRequest(Ref<Transfer> transfer);
  boost::asio::awaitable<bool> ReadAnswerHead(Ref<Transfer> transfer);
  boost::asio::awaitable<requests::AnswerEnd> ForwardAnswer(
      Ref<Transfer> transfer);
  boost::asio::awaitable<requests::AnswerEnd> DrainAnswer(
      Ref<Transfer> transfer);
  boost::asio::awaitable<void> StreamBody(Ref<Transfer> transfer);
  requests::AnswerEnd AnswerEndOf(const Transfer& transfer) const;

  boost::asio::any_io_executor executor_;
  TargetPortOptions options_;
  requests::RequestCore* core_ = nullptr;
  std::unordered_map<requests::ConnectionId, Ref<Connection>> connections_;
};

// Reads the next piece of a body into `data`, at most `size` bytes. Sets
// `error` when the message ends early or breaks the protocol; returns 0 when it
// is whole.
template <typename Parser>
boost::asio::awaitable<std::size_t> ReadPiece(boost::beast::tcp_stream& stream,
                                              boost::beast::flat_buffer& buffer,
                                              Parser& parser, char* data,
                                              std::size_t size,
                                              boost::system::error_code& error);

}  // namespace carobmast::gateway

#include "gateway/internal/read_piece.h"

#endif  // CAROBMAST_GATEWAY_TARGET_PORT_H_
