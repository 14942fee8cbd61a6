#include "framework/net/http_client.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <map>

#include "framework/net/internal/message_reader.h"

namespace carobmast::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr int kStatusOk = 200;

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
    // The process that answered last; empty while it is not known.
    std::string peer_name;
  };

  // Returns an idle connection to the peer, or else to one that is not known,
  // that was not closed there; null if there is none. Any peer will do when the
  // name is empty.
  Ref<Connection> TakeIdle(const Address& address,
                           const std::string& peer_name) {
    std::list<Ref<Connection>>& idle_connections = idle[address];
    const auto take_last = [&idle_connections](const auto& is_suitable) {
      auto each = idle_connections.end();
      while (each != idle_connections.begin()) {
        --each;
        if (!is_suitable((*each)->peer_name)) continue;
        Ref<Connection> connection = *each;
        each = idle_connections.erase(each);
        if (IsReusable(*connection)) return connection;
      }
      return Ref<Connection>();
    };
    Ref<Connection> connection =
        take_last([&peer_name](const std::string& name) {
          return peer_name.empty() || name == peer_name;
        });
    if (connection != nullptr) return connection;
    return take_last([](const std::string& name) { return name.empty(); });
  }

  // Connects within `deadline`.
  asio::awaitable<Ref<Connection>> Connect(const Address& address,
                                           MonotonicTime deadline,
                                           error_code& error) {
    Ref<Connection> connection = MakeRef<Connection>(executor);
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(
        ToEndpoint(address), asio::redirect_error(asio::use_awaitable, error));
    error_code option_error;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                           option_error);
    co_return connection;
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
    if (idle_connections.size() >= options.max_idle_connections) {
      idle_connections.pop_front();
    }
    connection->stream.expires_never();
    idle_connections.push_back(std::move(connection));
  }

  // Sends one request over the connection. Sets `reusable` to whether the
  // connection can be used for another one.
  asio::awaitable<HttpAnswer> Exchange(const Ref<Connection>& connection,
                                       const Address& address, HttpCall&& call,
                                       MonotonicTime deadline, bool reused,
                                       bool& reusable) {
    reusable = false;
    connection->stream.expires_at(deadline);
    const http::request<http::string_body> request =
        MakeRequest(address, std::move(call));
    error_code error;
    const std::size_t written = co_await http::async_write(
        connection->stream, request,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return Failure(
          written == 0 ? CallOutcome::kNotSent : CallOutcome::kUnknown, "send",
          address, error);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(options.max_answer_bytes);
    co_await ReadMessage(connection->stream, connection->buffer, parser,
                         deadline, error);
    if (error) {
      // The other idle connections to this peer may be dead as well, and each
      // of them would cost one call its whole timeout.
      if (reused) idle.erase(address);
      co_return Failure(CallOutcome::kUnknown, "receive", address, error);
    }
    http::response<http::string_body> response = parser.release();
    reusable = response.keep_alive();
    co_return HttpAnswer{.outcome = CallOutcome::kAnswered,
                         .status = static_cast<int>(response.result_int()),
                         .body = std::move(response.body())};
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
  return CallPeer(std::move(address), std::move(call), {});
}

asio::awaitable<HttpAnswer> HttpClient::CallPeer(Address address, HttpCall call,
                                                 PeerCheck check) {
  const Ref<Impl> impl = impl_;
  const MonotonicTime deadline = MonotonicClock::now() + call.timeout;
  Ref<Impl::Connection> connection = impl->TakeIdle(address, check.expected);
  const bool reused = connection != nullptr;
  if (!reused) {
    error_code error;
    connection = co_await impl->Connect(address, deadline, error);
    if (error) {
      co_return Failure(CallOutcome::kNotSent, "connect", address, error);
    }
  }
  bool reusable = true;
  if (connection->peer_name != check.expected && !check.expected.empty()) {
    const HttpAnswer named = co_await impl->Exchange(
        connection, address, check.make_question(), deadline, reused, reusable);
    connection->peer_name = check.read_name(named);
    if (connection->peer_name != check.expected) {
      if (reusable) impl->ReturnToPool(address, std::move(connection));
      if (named.outcome != CallOutcome::kAnswered) {
        co_return HttpAnswer{.error = "identify: " + named.error};
      }
      if (named.status != kStatusOk) co_return named;
      co_return HttpAnswer{.error = "identify with " + address.ToString() +
                                    ": not the expected process"};
    }
  }
  const HttpAnswer answer = co_await impl->Exchange(
      connection, address, std::move(call), deadline, reused, reusable);
  if (check.read_name) {
    // Something on the way may have led the connection to another process.
    std::string name = check.read_name(answer);
    if (!name.empty()) connection->peer_name = std::move(name);
  }
  if (reusable) impl->ReturnToPool(address, std::move(connection));
  co_return answer;
}

}  // namespace carobmast::net
