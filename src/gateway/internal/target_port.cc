#include "gateway/target_port.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>

#include "framework/net/http_client.h"
#include "gateway/http_rules.h"

namespace carobmast::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using requests::AnswerEnd;
using requests::AnswerHandling;

namespace {

constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;
constexpr char kLastChunk[] = "0\r\n\r\n";
constexpr int kMinFinalStatus = 200;

using Piece = std::array<char, kPieceBytes>;

// Encodes a piece of a body as a chunk if `chunked`, else returns it unchanged.
std::string Frame(std::string_view piece, bool chunked) {
  if (!chunked) return std::string(piece);
  std::array<char, 20> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  std::string out(size.data(), static_cast<std::size_t>(length));
  return out.append(piece).append("\r\n");
}

asio::ip::tcp::endpoint ToEndpoint(const std::string& text) {
  const net::Address address = net::ParseAddress(text);
  return {asio::ip::make_address(address.ip), address.port};
}

// Whether an idle connection can be reused. Data, an end of file or an error
// means that the instance has given up the connection.
bool IsIdleAndOpen(asio::ip::tcp::socket& socket) {
  error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error == asio::error::would_block;
}

// Writes all of `text`. Returns false when the connection failed.
asio::awaitable<bool> Write(boost::beast::tcp_stream& stream,
                            const std::string& text) {
  error_code error;
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

}  // namespace

TargetPort::TargetPort(asio::any_io_executor executor,
                       TargetPortOptions options)
    : executor_(std::move(executor)), options_(std::move(options)) {}

void TargetPort::Send(const requests::SendOrder& order,
                      const Ref<Exchange>& exchange) {
  Ref<Connection>& connection = connections_[order.connection];
  if (connection == nullptr) connection = MakeRef<Connection>(executor_);
  const Ref<Transfer> transfer = MakeRef<Transfer>();
  transfer->order = order;
  transfer->exchange = exchange;
  transfer->connection = connection;
  // Posted because the core must not be called back before it returns.
  asio::post(executor_, [this, transfer] {
    asio::co_spawn(executor_, RunAttempt(transfer), asio::detached);
  });
}

void TargetPort::Close(requests::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Ref<Connection> connection = found->second;
  connections_.erase(found);
  connection->stream.close();
}

asio::awaitable<void> TargetPort::RunAttempt(Ref<Transfer> transfer) {
  const requests::AttemptId attempt = transfer->order.attempt;
  bool answered = co_await Connect(transfer);
  answered = answered && co_await SendRequest(transfer);
  answered = answered && co_await ReadAnswerHead(transfer);
  if (!answered) {
    core_->OnAttemptFailed(attempt, MonotonicClock::now());
  } else {
    const ResponseHead& head = transfer->parser->get();
    transfer->status = static_cast<int>(head.result_int());
    const AnswerHandling verdict =
        core_->OnAnswerHead(attempt,
                            {.status = transfer->status,
                             .refused = head[kRanField] == "no",
                             .leaving = head[kLeavingField] == "yes"},
                            MonotonicClock::now());
    if (verdict != AnswerHandling::kDrop) {
      const AnswerEnd end = verdict == AnswerHandling::kForward
                                ? co_await ForwardAnswer(transfer)
                                : co_await DrainAnswer(transfer);
      core_->OnAnswerEnd(attempt, end, MonotonicClock::now());
      if (verdict == AnswerHandling::kForward) {
        transfer->exchange->done = true;
        transfer->exchange->Wake();
      }
    }
  }
  if (options_.trace.end_attempt) {
    options_.trace.end_attempt(transfer->order, transfer->status);
  }
}

asio::awaitable<bool> TargetPort::Connect(Ref<Transfer> transfer) {
  boost::beast::tcp_stream& stream = transfer->connection->stream;
  if (!transfer->order.new_connection) {
    if (IsIdleAndOpen(stream.socket())) co_return true;
    stream.close();
    transfer->connection->buffer.clear();
  }
  error_code error;
  stream.expires_at(std::min(transfer->order.deadline,
                             MonotonicClock::now() + options_.connect_timeout));
  co_await stream.async_connect(
      ToEndpoint(transfer->order.address),
      asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return false;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  core_->OnConnected(transfer->order.attempt);
  co_return true;
}

asio::awaitable<bool> TargetPort::SendRequest(Ref<Transfer> transfer) {
  Exchange& exchange = *transfer->exchange;
  const RequestHead& head = exchange.parser.get();
  const bool chunked = exchange.parser.chunked();
  std::string text =
      FormatRequestHead(head, transfer->order.deadline - MonotonicClock::now(),
                        options_.trace.begin_attempt
                            ? options_.trace.begin_attempt(transfer->order)
                            : "");
  if (!exchange.body_start.empty()) text += Frame(exchange.body_start, chunked);
  const bool body_complete = exchange.parser.is_done();
  if (body_complete && chunked) text += kLastChunk;
  const MonotonicTime now = MonotonicClock::now();
  if (!core_->OnSent(transfer->order.attempt, now)) co_return false;
  transfer->connection->stream.expires_after(options_.idle_timeout);
  if (!co_await Write(transfer->connection->stream, text)) co_return false;
  if (!body_complete && !exchange.streaming_body) {
    exchange.streaming_body = true;
    asio::co_spawn(executor_, StreamBody(transfer), asio::detached);
  }
  co_return true;
}

asio::awaitable<void> TargetPort::StreamBody(Ref<Transfer> transfer) {
  Exchange& exchange = *transfer->exchange;
  CallerConnection& caller = *exchange.caller;
  Piece piece;
  error_code error;
  bool sent = true;
  while (sent && !exchange.done && !exchange.parser.is_done()) {
    caller.stream.expires_after(options_.idle_timeout);
    const std::size_t bytes_read =
        co_await ReadPiece(caller.stream, caller.buffer, exchange.parser,
                           piece.data(), piece.size(), error);
    if (error || exchange.done) break;
    std::string text;
    if (bytes_read > 0) {
      text = Frame({piece.data(), bytes_read}, exchange.parser.chunked());
    }
    if (exchange.parser.is_done() && exchange.parser.chunked()) {
      text += kLastChunk;
    }
    transfer->connection->stream.expires_after(options_.idle_timeout);
    sent = co_await Write(transfer->connection->stream, text);
  }
  exchange.streaming_body = false;
  if (!exchange.parser.is_done()) exchange.close = true;
  if (error && !exchange.done) {
    core_->OnCallerGone(exchange.id, MonotonicClock::now());
    exchange.done = true;
  }
  exchange.Wake();
}

asio::awaitable<bool> TargetPort::ReadAnswerHead(Ref<Transfer> transfer) {
  boost::beast::tcp_stream& stream = transfer->connection->stream;
  error_code error;
  int status = 0;
  while (status < kMinFinalStatus) {
    transfer->parser = std::make_unique<ResponseParser>();
    transfer->parser->header_limit(options_.max_head_bytes);
    transfer->parser->body_limit(boost::none);
    transfer->parser->skip(transfer->exchange->parser.get().method() ==
                           http::verb::head);
    // The core ends the attempt at its deadline; this is only a fallback.
    stream.expires_at(transfer->order.deadline + options_.connect_timeout);
    co_await http::async_read_header(
        stream, transfer->connection->buffer, *transfer->parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return false;
    status = static_cast<int>(transfer->parser->get().result_int());
  }
  // An answer that is delimited by the end of the connection is refused: its
  // regular end can't be told from a failure of the connection.
  co_return !transfer->parser->need_eof() || transfer->parser->is_done();
}

AnswerEnd TargetPort::AnswerEndOf(const Transfer& transfer) const {
  if (!transfer.parser->is_done()) return AnswerEnd::kCut;
  const bool reusable = transfer.parser->keep_alive() &&
                        !transfer.exchange->streaming_body &&
                        transfer.exchange->parser.is_done() &&
                        transfer.connection->buffer.size() == 0;
  return reusable ? AnswerEnd::kWhole : AnswerEnd::kWholeAndClose;
}

asio::awaitable<AnswerEnd> TargetPort::ForwardAnswer(Ref<Transfer> transfer) {
  Exchange& exchange = *transfer->exchange;
  boost::beast::tcp_stream& caller = exchange.caller->stream;
  boost::beast::tcp_stream& target = transfer->connection->stream;
  const bool chunked =
      transfer->parser->chunked() && !transfer->parser->is_done();
  if (!exchange.parser.keep_alive() || options_.stopping() ||
      !exchange.parser.is_done()) {
    exchange.close = true;
  }
  std::string text =
      FormatResponseHead(transfer->parser->get(), exchange.close);
  Piece piece;
  error_code error;
  do {
    if (!transfer->parser->is_done()) {
      target.expires_after(options_.idle_timeout);
      const std::size_t bytes_read = co_await ReadPiece(
          target, transfer->connection->buffer, *transfer->parser, piece.data(),
          piece.size(), error);
      if (bytes_read > 0) text += Frame({piece.data(), bytes_read}, chunked);
      if (error) break;
      if (transfer->parser->is_done() && chunked) text += kLastChunk;
    }
    caller.expires_after(options_.idle_timeout);
    if (!co_await Write(caller, text)) {
      core_->OnCallerGone(exchange.id, MonotonicClock::now());
      co_return AnswerEnd::kCut;
    }
    text.clear();
  } while (!transfer->parser->is_done());
  co_return error ? AnswerEnd::kCut : AnswerEndOf(*transfer);
}

asio::awaitable<AnswerEnd> TargetPort::DrainAnswer(Ref<Transfer> transfer) {
  Piece piece;
  error_code error;
  std::size_t drained = 0;
  while (!transfer->parser->is_done()) {
    drained += co_await ReadPiece(
        transfer->connection->stream, transfer->connection->buffer,
        *transfer->parser, piece.data(), piece.size(), error);
    if (error || drained > options_.max_drain_bytes) co_return AnswerEnd::kCut;
  }
  co_return AnswerEndOf(*transfer);
}

}  // namespace carobmast::gateway
