// The HTTP/1.1 client of instances: sends requests to them and forwards their
// answers to the callers. Bodies are streamed with backpressure, not held in
// memory; only the start of a request's body is kept, for retries.
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
  // Limit for sending a request's head, and for each read or write of a piece
  // of a body.
  Duration idle_timeout = std::chrono::seconds(30);
  std::uint32_t max_head_bytes = 32 * 1024;
  // An unwanted answer with a longer body is not read to its end; its
  // connection is closed instead.
  std::size_t max_drain_bytes = 64 * 1024;
  // Returns whether the process is stopping; then callers' connections are
  // closed after the answer.
  std::function<bool()> stopping;
  TraceHooks trace;
};

class TargetPort {
 public:
  TargetPort(boost::asio::any_io_executor executor, TargetPortOptions options);

  // Call it once, before the first Send. `core` must outlive this object.
  void SetCore(requests::RequestCore* core) { core_ = core; }

  // Starts an attempt that the core ordered. `exchange` is that of the request.
  // The outcome is reported to the core later, never from within this call.
  void Send(const requests::SendOrder& order, const Ref<Exchange>& exchange);
  // Closes a connection to an instance; an attempt on it fails.
  void Close(requests::ConnectionId id);

 private:
  struct Connection : RefCounted<Connection> {
    explicit Connection(const boost::asio::any_io_executor& executor)
        : stream(executor) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
  };
  // The state of one attempt: sending the request and receiving the answer.
  struct Transfer : RefCounted<Transfer> {
    requests::SendOrder order;
    Ref<Exchange> exchange;
    Ref<Connection> connection;
    // Replaced for each head: an interim (1xx) answer precedes the final one.
    std::unique_ptr<ResponseParser> parser;
    // 0 until the answer's head has arrived.
    int status = 0;
  };

  boost::asio::awaitable<void> RunAttempt(Ref<Transfer> transfer);
  // These return false when the attempt failed or has been ended by the core.
  boost::asio::awaitable<bool> Connect(Ref<Transfer> transfer);
  boost::asio::awaitable<bool> SendRequest(Ref<Transfer> transfer);
  boost::asio::awaitable<bool> ReadAnswerHead(Ref<Transfer> transfer);
  // Sends the answer to the caller.
  boost::asio::awaitable<requests::AnswerEnd> ForwardAnswer(
      Ref<Transfer> transfer);
  // Reads and discards an answer, so that its connection can be reused.
  boost::asio::awaitable<requests::AnswerEnd> DrainAnswer(
      Ref<Transfer> transfer);
  // Sends the rest of the caller's body. Runs concurrently with the reading of
  // the answer, which may arrive before the body's end.
  boost::asio::awaitable<void> StreamBody(Ref<Transfer> transfer);
  requests::AnswerEnd AnswerEndOf(const Transfer& transfer) const;

  boost::asio::any_io_executor executor_;
  TargetPortOptions options_;
  requests::RequestCore* core_ = nullptr;
  std::unordered_map<requests::ConnectionId, Ref<Connection>> connections_;
};

// Reads the next piece of a body into `data` and returns its length, at most
// `size` bytes, or 0 when the message is complete. Sets `error` when the
// message ends early or violates the protocol; it may then also have read some
// bytes. `error` must be clear on entry.
template <typename Parser>
boost::asio::awaitable<std::size_t> ReadPiece(boost::beast::tcp_stream& stream,
                                              boost::beast::flat_buffer& buffer,
                                              Parser& parser, char* data,
                                              std::size_t size,
                                              boost::system::error_code& error);

}  // namespace carobmast::gateway

#include "gateway/internal/read_piece.h"

#endif  // CAROBMAST_GATEWAY_TARGET_PORT_H_
