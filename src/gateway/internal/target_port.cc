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
constexpr int kFirstFinalStatus = 200;

using Piece = std::array<char, kPieceBytes>;

// A piece of a body as it goes onto a connection.
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

// Bytes or an end that arrive on an idle connection mean that the instance gave
// it up.
bool IsQuiet(asio::ip::tcp::socket& socket) {
  error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error == asio::error::would_block;
}

// Writes all of `text`; false when the connection failed.
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
  const Ref<Job> job = MakeRef<Job>();
  job->order = order;
  job->exchange = exchange;
  job->connection = connection;
  // Not before the core has returned.
  asio::post(executor_, [this, job] {
    asio::co_spawn(executor_, Run(job), asio::detached);
  });
}

void TargetPort::Close(requests::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Ref<Connection> connection = found->second;
  connections_.erase(found);
  connection->stream.close();
}

asio::awaitable<void> TargetPort::Run(Ref<Job> job) {
  const requests::AttemptId attempt = job->order.attempt;
  bool answered = co_await Connect(job);
  answered = answered && co_await SendRequest(job);
  answered = answered && co_await ReadHead(job);
  if (!answered) {
    core_->OnAttemptFailed(attempt, MonotonicClock::now());
  } else {
    const ResponseHead& head = job->parser->get();
    job->status = static_cast<int>(head.result_int());
    const AnswerHandling verdict =
        core_->OnAnswerHead(attempt,
                            {.status = job->status,
                             .refused = head[kRanField] == "no",
                             .leaving = head[kLeavingField] == "yes"},
                            MonotonicClock::now());
    if (verdict != AnswerHandling::kDrop) {
      const AnswerEnd end = verdict == AnswerHandling::kForward
                                ? co_await Pass(job)
                                : co_await Drain(job);
      core_->OnAnswerEnd(attempt, end, MonotonicClock::now());
      if (verdict == AnswerHandling::kForward) {
        job->exchange->done = true;
        job->exchange->Wake();
      }
    }
  }
  if (options_.trace.end_attempt) {
    options_.trace.end_attempt(job->order, job->status);
  }
}

asio::awaitable<bool> TargetPort::Connect(Ref<Job> job) {
  boost::beast::tcp_stream& stream = job->connection->stream;
  if (!job->order.new_connection) {
    if (IsQuiet(stream.socket())) co_return true;
    stream.close();
    job->connection->buffer.clear();
  }
  error_code error;
  stream.expires_at(std::min(job->order.deadline,
                             MonotonicClock::now() + options_.connect_timeout));
  co_await stream.async_connect(
      ToEndpoint(job->order.address),
      asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return false;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  core_->OnConnected(job->order.attempt);
  co_return true;
}

asio::awaitable<bool> TargetPort::SendRequest(Ref<Job> job) {
  Exchange& exchange = *job->exchange;
  const RequestHead& head = exchange.parser.get();
  const bool chunked = exchange.parser.chunked();
  std::string text = FormatRequestHead(
      head, job->order.deadline - MonotonicClock::now(),
      options_.trace.begin_attempt ? options_.trace.begin_attempt(job->order)
                                   : "");
  if (!exchange.prefix.empty()) text += Frame(exchange.prefix, chunked);
  const bool whole = exchange.parser.is_done();
  if (whole && chunked) text += kLastChunk;
  const MonotonicTime now = MonotonicClock::now();
  if (!core_->OnSent(job->order.attempt, now)) co_return false;
  job->connection->stream.expires_after(options_.idle_timeout);
  if (!co_await Write(job->connection->stream, text)) co_return false;
  if (!whole && !exchange.pumping) {
    exchange.pumping = true;
    asio::co_spawn(executor_, Pump(job), asio::detached);
  }
  co_return true;
}

// Passes the rest of the caller's body on while the instance already may
// answer.
asio::awaitable<void> TargetPort::Pump(Ref<Job> job) {
  Exchange& exchange = *job->exchange;
  CallerConnection& caller = *exchange.caller;
  Piece piece;
  error_code error;
  bool sent = true;
  while (sent && !exchange.done && !exchange.parser.is_done()) {
    caller.stream.expires_after(options_.idle_timeout);
    const std::size_t got =
        co_await ReadPiece(caller.stream, caller.buffer, exchange.parser,
                           piece.data(), piece.size(), error);
    if (error || exchange.done) break;
    std::string text;
    if (got > 0) {
      text = Frame({piece.data(), got}, exchange.parser.chunked());
    }
    if (exchange.parser.is_done() && exchange.parser.chunked()) {
      text += kLastChunk;
    }
    job->connection->stream.expires_after(options_.idle_timeout);
    sent = co_await Write(job->connection->stream, text);
  }
  exchange.pumping = false;
  if (!exchange.parser.is_done()) exchange.close = true;
  if (error && !exchange.done) {
    core_->OnCallerGone(exchange.id, MonotonicClock::now());
    exchange.done = true;
  }
  exchange.Wake();
}

asio::awaitable<bool> TargetPort::ReadHead(Ref<Job> job) {
  boost::beast::tcp_stream& stream = job->connection->stream;
  error_code error;
  int status = 0;
  while (status < kFirstFinalStatus) {
    job->parser = std::make_unique<ResponseParser>();
    job->parser->header_limit(options_.max_head_bytes);
    job->parser->body_limit(boost::none);
    job->parser->skip(job->exchange->parser.get().method() == http::verb::head);
    // The core ends the attempt at its deadline.
    stream.expires_at(job->order.deadline + options_.connect_timeout);
    co_await http::async_read_header(
        stream, job->connection->buffer, *job->parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return false;
    status = static_cast<int>(job->parser->get().result_int());
  }
  // Without a length the end of such an answer can't be told from a cut.
  co_return !job->parser->need_eof() || job->parser->is_done();
}

AnswerEnd TargetPort::EndOf(const Job& job) const {
  if (!job.parser->is_done()) return AnswerEnd::kCut;
  const bool reusable = job.parser->keep_alive() && !job.exchange->pumping &&
                        job.exchange->parser.is_done() &&
                        job.connection->buffer.size() == 0;
  return reusable ? AnswerEnd::kWhole : AnswerEnd::kWholeAndClose;
}

asio::awaitable<AnswerEnd> TargetPort::Pass(Ref<Job> job) {
  Exchange& exchange = *job->exchange;
  boost::beast::tcp_stream& caller = exchange.caller->stream;
  boost::beast::tcp_stream& target = job->connection->stream;
  const bool chunked = job->parser->chunked() && !job->parser->is_done();
  if (!exchange.parser.keep_alive() || options_.stopping() ||
      !exchange.parser.is_done()) {
    exchange.close = true;
  }
  std::string text = FormatResponseHead(job->parser->get(), exchange.close);
  Piece piece;
  error_code error;
  do {
    if (!job->parser->is_done()) {
      target.expires_after(options_.idle_timeout);
      const std::size_t got =
          co_await ReadPiece(target, job->connection->buffer, *job->parser,
                             piece.data(), piece.size(), error);
      if (got > 0) text += Frame({piece.data(), got}, chunked);
      if (error) break;
      if (job->parser->is_done() && chunked) text += kLastChunk;
    }
    caller.expires_after(options_.idle_timeout);
    if (!co_await Write(caller, text)) {
      core_->OnCallerGone(exchange.id, MonotonicClock::now());
      co_return AnswerEnd::kCut;
    }
    text.clear();
  } while (!job->parser->is_done());
  co_return error ? AnswerEnd::kCut : EndOf(*job);
}

asio::awaitable<AnswerEnd> TargetPort::Drain(Ref<Job> job) {
  Piece piece;
  error_code error;
  std::size_t drained = 0;
  while (!job->parser->is_done()) {
    drained +=
        co_await ReadPiece(job->connection->stream, job->connection->buffer,
                           *job->parser, piece.data(), piece.size(), error);
    if (error || drained > options_.max_drain_bytes) co_return AnswerEnd::kCut;
  }
  co_return EndOf(*job);
}

}  // namespace carobmast::gateway
