#include "gateway/caller_port.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "framework/net/listener.h"
#include "gateway/http_rules.h"
#include "gateway/target_port.h"

namespace carobmast::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
// Interval at which Stop checks whether all connections have ended.
constexpr Duration kStopPollInterval = std::chrono::milliseconds(10);
// Delay after a failed accept, e.g. when no file descriptor is free.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

asio::awaitable<void> Sleep(asio::any_io_executor executor, Duration time) {
  asio::steady_timer timer(executor, time);
  error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<bool> Write(boost::beast::tcp_stream& stream,
                            const std::string& text) {
  error_code error;
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

}  // namespace

CallerPort::CallerPort(asio::any_io_executor executor,
                       CallerPortOptions options)
    : executor_(std::move(executor)),
      options_(std::move(options)),
      acceptor_(net::OpenListener(executor_, options_.listen)) {}

void CallerPort::Start() {
  asio::co_spawn(executor_, AcceptConnections(), asio::detached);
}

net::Address CallerPort::address() const { return net::AddressOf(acceptor_); }

asio::awaitable<void> CallerPort::AcceptConnections() {
  while (acceptor_.is_open()) {
    error_code error;
    tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      co_await Sleep(executor_, kAcceptRetryDelay);
      continue;
    }
    AddConnection(std::move(socket));
  }
}

void CallerPort::AddConnection(tcp::socket socket) {
  ++counters_.connections;
  if (connections_.size() >= options_.max_connections) {
    ++counters_.refused_connections;
    return;
  }
  error_code error;
  socket.set_option(tcp::no_delay(true), error);
  const Ref<CallerConnection> caller =
      MakeRef<CallerConnection>(std::move(socket));
  connections_.insert(caller);
  asio::co_spawn(executor_, ServeConnection(caller), asio::detached);
}

asio::awaitable<void> CallerPort::ServeConnection(
    Ref<CallerConnection> caller) {
  bool open = true;
  while (open) {
    caller->idle = true;
    open = co_await ServeRequest(caller);
  }
  error_code error;
  caller->stream.socket().shutdown(tcp::socket::shutdown_send, error);
  caller->stream.close();
  connections_.erase(caller);
}

asio::awaitable<bool> CallerPort::ServeRequest(Ref<CallerConnection> caller) {
  const Ref<Exchange> exchange = MakeRef<Exchange>(caller);
  exchange->parser.header_limit(options_.max_head_bytes);
  exchange->parser.body_limit(boost::none);
  error_code error;
  caller->stream.expires_after(options_.idle_timeout);
  co_await http::async_read_header(
      caller->stream, caller->buffer, exchange->parser,
      asio::redirect_error(asio::use_awaitable, error));
  caller->idle = false;
  if (error) {
    const bool malformed =
        error.category() ==
        http::make_error_code(http::error::bad_method).category();
    if (malformed && error != http::error::end_of_stream &&
        error != http::error::partial_message) {
      co_await RejectMalformed(exchange, error.message());
    }
    co_return false;
  }
  const std::optional<std::string> fault =
      FindProtocolError(exchange->parser.get());
  if (fault.has_value()) {
    co_await RejectMalformed(exchange, *fault);
    co_return false;
  }
  if (!co_await ReadBodyStart(exchange)) co_return false;
  PassToCore(exchange);
  co_await WaitForAnswer(exchange);
  if (options_.trace.end_request) options_.trace.end_request(exchange->id);
  exchanges_.erase(exchange->id);
  co_return !exchange->close;
}

asio::awaitable<bool> CallerPort::ReadBodyStart(Ref<Exchange> exchange) {
  CallerConnection& caller = *exchange->caller;
  RequestParser& parser = exchange->parser;
  caller.stream.expires_after(options_.idle_timeout);
  if (!parser.is_done() &&
      parser.get()[http::field::expect] == "100-continue" &&
      !co_await Write(caller.stream, kContinue)) {
    co_return false;
  }
  std::array<char, kPieceBytes> piece;
  error_code error;
  while (!parser.is_done() &&
         exchange->body_start.size() < options_.max_retry_body_bytes) {
    const std::size_t bytes_read =
        co_await ReadPiece(caller.stream, caller.buffer, parser, piece.data(),
                           piece.size(), error);
    exchange->body_start.append(piece.data(), bytes_read);
    if (!error) continue;
    if (error.category() ==
        http::make_error_code(http::error::bad_chunk).category()) {
      co_await RejectMalformed(exchange, error.message());
    }
    co_return false;
  }
  co_return true;
}

void CallerPort::PassToCore(const Ref<Exchange>& exchange) {
  const RequestHead& head = exchange->parser.get();
  exchange->id = next_request_++;
  exchanges_[exchange->id] = exchange;
  const boost::core::string_view traceparent = head["traceparent"];
  if (options_.trace.begin_request) {
    options_.trace.begin_request(
        exchange->id, std::string(traceparent.data(), traceparent.size()));
  }
  const boost::core::string_view key = head[kKeyField];
  core_->OnRequest({.id = exchange->id,
                    .service = ServiceOf(head,
                                         [this](const std::string& name) {
                                           return core_->HasService(name);
                                         }),
                    .operation = OperationOf(head),
                    .idempotent = IsIdempotent(head),
                    .replayable = exchange->parser.is_done(),
                    .key = std::string(key.data(), key.size()),
                    .timeout = TimeoutOf(head)},
                   MonotonicClock::now());
}

asio::awaitable<void> CallerPort::WaitForAnswer(Ref<Exchange> exchange) {
  while (!exchange->done || exchange->streaming_body) {
    error_code error;
    if (exchange->done && exchange->streaming_body) {
      // The answer is complete before the request body: stop reading the body.
      exchange->caller->stream.cancel();
    }
    co_await exchange->changed.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  const std::optional<requests::Refusal> refusal = exchange->refusal;
  if (!refusal.has_value()) co_return;
  if (!exchange->parser.is_done() || !exchange->parser.keep_alive() ||
      stopping_) {
    exchange->close = true;
  }
  exchange->caller->stream.expires_after(options_.idle_timeout);
  const bool sent = co_await Write(
      exchange->caller->stream, FormatRefusal(*refusal, "", exchange->close));
  if (!sent) exchange->close = true;
}

asio::awaitable<void> CallerPort::RejectMalformed(Ref<Exchange> exchange,
                                                  std::string detail) {
  ++counters_.malformed;
  exchange->caller->stream.expires_after(options_.idle_timeout);
  co_await Write(
      exchange->caller->stream,
      FormatRefusal({.reason = requests::Reason::kMalformed}, detail, true));
}

void CallerPort::Refuse(requests::RequestId id,
                        const requests::Refusal& refusal) {
  const Ref<Exchange> exchange = Find(id);
  if (exchange == nullptr) return;
  exchange->refusal = refusal;
  exchange->done = true;
  exchange->Wake();
}

void CallerPort::AbortAnswer(requests::RequestId id) {
  const Ref<Exchange> exchange = Find(id);
  if (exchange == nullptr) return;
  exchange->close = true;
  exchange->done = true;
  exchange->Wake();
}

Ref<Exchange> CallerPort::Find(requests::RequestId id) const {
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : found->second;
}

void CallerPort::CloseIdleConnections() {
  for (const Ref<CallerConnection>& caller : connections_) {
    if (caller->idle) caller->stream.cancel();
  }
}

asio::awaitable<void> CallerPort::Stop(Duration grace) {
  const MonotonicTime end = MonotonicClock::now() + grace;
  stopping_ = true;
  for (tcp::socket& socket : net::CloseListener(acceptor_)) {
    AddConnection(std::move(socket));
  }
  const MonotonicTime close_idle_at =
      std::min(end, MonotonicClock::now() + options_.idle_close_delay);
  // The first pause lets a connection be added whose accept has just completed.
  do {
    if (MonotonicClock::now() >= close_idle_at) CloseIdleConnections();
    co_await Sleep(executor_, kStopPollInterval);
  } while (!connections_.empty() && MonotonicClock::now() < end);
}

}  // namespace carobmast::gateway
