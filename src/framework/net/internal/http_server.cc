#include "framework/net/http_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <sstream>

#include "framework/base/error.h"
#include "framework/net/internal/message_reader.h"
#include "framework/net/listener.h"

namespace carobmast::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
        HexDigit(text[i + 2]) >= 0) {
      decoded.push_back(static_cast<char>(HexDigit(text[i + 1]) * 16 +
                                          HexDigit(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

ServerRequest ToServerRequest(http::request<http::string_body>&& message) {
  ServerRequest request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) request.query = target.substr(mark + 1);
  for (const http::fields::value_type& field : message) {
    request.headers.emplace_back(field.name_string(), field.value());
  }
  request.body = std::move(message.body());
  return request;
}

http::response<http::string_body> ToMessage(ServerAnswer&& answer,
                                            bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(answer.status));
  message.set(http::field::content_type, answer.content_type);
  for (const std::pair<std::string, std::string>& header : answer.headers) {
    message.set(header.first, header.second);
  }
  message.body() = std::move(answer.body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  return message;
}

asio::awaitable<ServerAnswer> RunHandler(const ServerHandler& handler,
                                         ServerRequest request) {
  ServerAnswer answer;
  try {
    answer = co_await handler(std::move(request));
  } catch (const Error& error) {
    answer.status = 400;
    answer.content_type = "text/plain";
    answer.body = std::string(error.what()) + "\n";
  } catch (const std::exception& error) {
    answer.status = 500;
    answer.content_type = "text/plain";
    answer.body = std::string(error.what()) + "\n";
  }
  co_return answer;
}

}  // namespace

std::string ServerRequest::QueryOr(const std::string& key,
                                   std::string fallback) const {
  std::istringstream pairs(query);
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != key) continue;
    if (equals == std::string::npos) return "";
    return DecodePercent(pair.substr(equals + 1));
  }
  return fallback;
}

std::string ServerRequest::Header(const std::string& name) const {
  for (const std::pair<std::string, std::string>& header : headers) {
    if (beast::iequals(header.first, name)) return header.second;
  }
  return "";
}

struct HttpServer::Impl : RefCounted<HttpServer::Impl> {
  struct Session
      : boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    explicit Session(asio::ip::tcp::socket socket)
        : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    bool busy = false;
  };

  Impl(const asio::any_io_executor& executor, HttpServerOptions server_options)
      : options(std::move(server_options)),
        acceptor(OpenListener(executor, options.listen)),
        drain_timer(executor) {}

  static asio::awaitable<void> Accept(Ref<Impl> self) {
    while (!self->stopping) {
      error_code error;
      asio::ip::tcp::socket socket = co_await self->acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
      if (error) {
        // E.g. out of file descriptors: wait until some have been closed.
        asio::steady_timer pause(self->acceptor.get_executor(),
                                 std::chrono::milliseconds(50));
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
        continue;
      }
      self->AddSession(std::move(socket));
    }
  }

  void AddSession(asio::ip::tcp::socket socket) {
    if (sessions.size() >= options.max_connections) return;
    asio::co_spawn(acceptor.get_executor(),
                   Serve(Ref<Impl>(this), std::move(socket)), asio::detached);
  }

  static asio::awaitable<void> Serve(Ref<Impl> self,
                                     asio::ip::tcp::socket socket) {
    error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    Session session(std::move(socket));
    self->sessions.push_back(session);
    beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive) {
      session.stream.expires_after(self->options.idle_timeout);
      http::request_parser<http::string_body> parser;
      parser.header_limit(
          static_cast<std::uint32_t>(self->options.max_header_bytes));
      parser.body_limit(self->options.max_body_bytes);
      co_await ReadMessage(session.stream, buffer, parser,
                           MonotonicClock::now() + self->options.idle_timeout,
                           error);
      if (error) break;
      session.busy = true;
      session.stream.expires_never();
      keep_alive = co_await Answer(self, session, parser.release());
      session.busy = false;
    }
    session.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                     error);
    session.unlink();
    if (self->stopping) self->drain_timer.cancel();
  }

  // Handles one request and sends the response. Returns whether the connection
  // can be used for another request.
  static asio::awaitable<bool> Answer(
      Ref<Impl> self, Session& session,
      http::request<http::string_body> message) {
    const bool client_keeps_alive = message.keep_alive();
    ServerAnswer answer = co_await RunHandler(
        self->options.handler, ToServerRequest(std::move(message)));
    const std::int64_t cut_after = answer.cut_after_bytes;
    const bool keep_alive =
        client_keeps_alive && !self->draining && cut_after < 0;
    const http::response<http::string_body> response =
        ToMessage(std::move(answer), keep_alive);
    error_code error;
    session.stream.expires_after(self->options.idle_timeout);
    if (cut_after >= 0) {
      std::ostringstream whole;
      whole << response;
      const std::string part =
          whole.str().substr(0, static_cast<std::size_t>(cut_after));
      co_await asio::async_write(
          session.stream, asio::buffer(part),
          asio::redirect_error(asio::use_awaitable, error));
      co_return false;
    }
    co_await http::async_write(
        session.stream, response,
        asio::redirect_error(asio::use_awaitable, error));
    co_return keep_alive && !error;
  }

  void CloseSessions(bool include_busy) {
    for (Session& session : sessions) {
      if (session.busy && !include_busy) continue;
      error_code error;
      session.stream.socket().close(error);
    }
  }

  HttpServerOptions options;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer drain_timer;
  boost::intrusive::list<Session, boost::intrusive::constant_time_size<false>>
      sessions;
  // Every answer ends its connection.
  bool draining = false;
  bool stopping = false;
};

HttpServer::HttpServer(asio::any_io_executor executor,
                       HttpServerOptions options)
    : impl_(MakeRef<Impl>(executor, std::move(options))) {
  asio::co_spawn(executor, Impl::Accept(impl_), asio::detached);
}

HttpServer::~HttpServer() {
  impl_->stopping = true;
  error_code error;
  impl_->acceptor.close(error);
  impl_->CloseSessions(true);
}

Address HttpServer::address() const { return AddressOf(impl_->acceptor); }

std::size_t HttpServer::connections() const { return impl_->sessions.size(); }

void HttpServer::Drain() { impl_->draining = true; }

asio::awaitable<void> HttpServer::Stop(Duration grace) {
  const Ref<Impl> impl = impl_;
  Drain();
  impl->stopping = true;
  for (asio::ip::tcp::socket& socket : CloseListener(impl->acceptor)) {
    impl->AddSession(std::move(socket));
  }
  const MonotonicTime deadline = MonotonicClock::now() + grace;
  const MonotonicTime close_idle_at = std::min(
      deadline, MonotonicClock::now() + impl->options.idle_close_delay);
  // Sessions just added are in the list only after the next turn of the event
  // loop.
  error_code error;
  impl->drain_timer.expires_after(Duration::zero());
  co_await impl->drain_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  while (!impl->sessions.empty() && MonotonicClock::now() < deadline) {
    const bool close_idle = MonotonicClock::now() >= close_idle_at;
    if (close_idle) impl->CloseSessions(false);
    impl->drain_timer.expires_at(close_idle ? deadline : close_idle_at);
    co_await impl->drain_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  impl->CloseSessions(true);
}

}  // namespace carobmast::net
