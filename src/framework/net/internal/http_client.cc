#include "framework/net/http_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <map>
#include <optional>

#include "framework/net/internal/message_reader.h"

namespace carobmast::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

asio::ip::tcp::endpoint ToEndpoint(const Address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

http::request<http::string_body> MakeRequest(const Address& address,
                                             HttpCall&& call) {
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(call.method);
  request.target(call.target);
  request.set(http::field::host, address.ToString());
  for (const std::pair<std::string, std::string>& header : call.headers) {
    request.set(header.first, header.second);
  }
  request.body() = std::move(call.body);
  request.prepare_payload();
  return request;
}

HttpAnswer Failure(CallOutcome outcome, const char* step,
                   const Address& address, const error_code& error) {
  return {.outcome = outcome,
          .error = std::string(step) + " with " + address.ToString() + ": " +
                   error.message()};
}

}  // namespace

struct HttpClient::Impl : RefCounted<HttpClient::Impl> {
  struct Connection : RefCounted<Connection> {
    explicit Connection(const asio::any_io_executor& executor)
        : stream(executor) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
  };

  // Returns an idle connection that the peer has not closed, or null.
  Ref<Connection> TakeIdle(const Address& address) {
    std::list<Ref<Connection>>& idle_connections = idle[address];
    while (!idle_connections.empty()) {
      Ref<Connection> connection = idle_connections.back();
      idle_connections.pop_back();
      if (IsReusable(*connection)) return connection;
    }
    return nullptr;
  }

  // Returns false if data or the end of the stream has arrived on an idle
  // connection, because the peer then no longer uses it.
  static bool IsReusable(Connection& connection) {
    asio::ip::tcp::socket& socket = connection.stream.socket();
    error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                   error);
    return error == asio::error::would_block;
  }

  void ReturnToPool(const Address& address, Ref<Connection> connection) {
    std::list<Ref<Connection>>& idle_connections = idle[address];
    if (idle_connections.size() >= options.max_idle_connections) return;
    connection->stream.expires_never();
    idle_connections.push_back(std::move(connection));
  }

  asio::any_io_executor executor;
  HttpClientOptions options;
  std::map<Address, std::list<Ref<Connection>>> idle;
};

HttpClient::HttpClient(asio::any_io_executor executor,
                       HttpClientOptions options)
    : impl_(MakeRef<Impl>()) {
  impl_->executor = std::move(executor);
  impl_->options = options;
}

HttpClient::~HttpClient() = default;

void HttpClient::Close() { impl_->idle.clear(); }

asio::awaitable<HttpAnswer> HttpClient::Call(Address address, HttpCall call) {
  const Ref<Impl> impl = impl_;
  const MonotonicTime deadline = MonotonicClock::now() + call.timeout;
  error_code error;
  Ref<Impl::Connection> connection = impl->TakeIdle(address);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = MakeRef<Impl::Connection>(impl->executor);
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(
        ToEndpoint(address), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return Failure(CallOutcome::kNotSent, "connect", address, error);
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                           error);
  }
  connection->stream.expires_at(deadline);
  const http::request<http::string_body> request =
      MakeRequest(address, std::move(call));
  const std::size_t written = co_await http::async_write(
      connection->stream, request,
      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return Failure(
        written == 0 ? CallOutcome::kNotSent : CallOutcome::kUnknown, "send",
        address, error);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(impl->options.max_answer_bytes);
  co_await ReadMessage(connection->stream, connection->buffer, parser, deadline,
                       error);
  if (error) {
    // The other idle connections to this peer may be dead as well, and each of
    // them would cost one call its whole timeout.
    if (reused) impl->idle.erase(address);
    co_return Failure(CallOutcome::kUnknown, "receive", address, error);
  }
  http::response<http::string_body> response = parser.release();
  if (response.keep_alive()) {
    impl->ReturnToPool(address, std::move(connection));
  }
  co_return HttpAnswer{.outcome = CallOutcome::kAnswered,
                       .status = static_cast<int>(response.result_int()),
                       .body = std::move(response.body())};
}

}  // namespace carobmast::net
