#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string_view>

#include "framework/base/error.h"
#include "loopback.h"

namespace carobmast::net {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kShortDelay{20};
constexpr int kQueuedClients = 5;

// Answers requests after kShortDelay. Silence() ends the answers on the
// connections accepted so far; later connections are answered.
class SilencedPeer {
 public:
  explicit SilencedPeer(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(context, Accept(), asio::detached);
  }
  Address address() const {
    return {.ip = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
  }
  std::size_t accepted() const { return accepted_; }
  void Silence() { silenced_ = accepted_; }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      asio::ip::tcp::socket socket =
          co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(acceptor_.get_executor(),
                     Answer(std::move(socket), ++accepted_), asio::detached);
    }
  }

  asio::awaitable<void> Answer(asio::ip::tcp::socket socket,
                               std::size_t number) {
    while (true) {
      std::string request;
      co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                      "\r\n\r\n", asio::use_awaitable);
      if (number <= silenced_) continue;
      // The delay makes calls that start together open a connection each.
      asio::steady_timer timer(acceptor_.get_executor(), kShortDelay);
      co_await timer.async_wait(asio::use_awaitable);
      co_await asio::async_write(
          socket,
          asio::buffer(
              std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
          asio::use_awaitable);
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  std::size_t accepted_ = 0;
  std::size_t silenced_ = 0;
};

}  // namespace

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(ParsesAddresses);
  CPPUNIT_TEST(AnswersAndReusesConnections);
  CPPUNIT_TEST(DistinguishesNotSentFromUnknown);
  CPPUNIT_TEST(StopLetsRequestsInFlightEnd);
  CPPUNIT_TEST(StopResetsConnectionsThatNobodyAccepted);
  CPPUNIT_TEST(DrainingServerKeepsConnectionsOpen);
  CPPUNIT_TEST(HandlerErrorsBecomeStatus400);
  CPPUNIT_TEST(SilentIdleConnectionsFailOneCallOnly);
  CPPUNIT_TEST(CallReachesAnotherProcessThanExpected);
  CPPUNIT_TEST(PeerChangesBehindAConnection);
  CPPUNIT_TEST(AnswerWithoutANameMakesThePeerUnknown);
  CPPUNIT_TEST(ConnectionsOfFormerProcessesFillThePool);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesAddresses() {
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{80}, ParseAddress("127.0.0.1:80").port);
    for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:70000"}) {
      CPPUNIT_ASSERT_THROW_MESSAGE(text, ParseAddress(text), Error);
    }
  }

  void AnswersAndReusesConnections() {
    Ref<HttpServer> server = loopback_.Serve(
        [](ServerRequest request) { return Echo(std::move(request)); });
    loopback_.Run([&]() -> asio::awaitable<void> {
      for (int i = 0; i < 3; ++i) {
        const HttpAnswer answer = co_await loopback_.client->Call(
            server->address(),
            {.method = "POST", .target = "/a?x=1%202", .body = "hello"});
        CPPUNIT_ASSERT(answer.outcome == CallOutcome::kAnswered);
        CPPUNIT_ASSERT_EQUAL(std::string("POST /a 1 2 hello"), answer.body);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server->connections());
    });
  }

  void DistinguishesNotSentFromUnknown() {
    Ref<HttpServer> server =
        loopback_.Serve([](ServerRequest) { return Cut(); });
    const Address address = server->address();
    loopback_.Run([&]() -> asio::awaitable<void> {
      HttpAnswer answer = co_await loopback_.client->Call(address, {});
      CPPUNIT_ASSERT(answer.outcome == CallOutcome::kUnknown);
      co_await server->Stop(Duration::zero());
      answer = co_await loopback_.client->Call(address, {});
      CPPUNIT_ASSERT(answer.outcome == CallOutcome::kNotSent);
    });
  }

  void StopLetsRequestsInFlightEnd() {
    Ref<HttpServer> server =
        loopback_.Serve([](ServerRequest) { return Slow(); });
    bool answered = false;
    asio::co_spawn(
        loopback_.context,
        [&]() -> asio::awaitable<void> {
          const HttpAnswer answer =
              co_await loopback_.client->Call(server->address(), {});
          CPPUNIT_ASSERT_EQUAL(200, answer.status);
          answered = true;
        },
        asio::detached);
    loopback_.Run([&]() -> asio::awaitable<void> {
      co_await Pause(std::chrono::milliseconds(20));
      co_await server->Stop(std::chrono::seconds(5));
    });
    CPPUNIT_ASSERT(answered);
  }

  // Guards against closing the listener while completed connections with
  // requests wait in its queue: the kernel resets them.
  void StopResetsConnectionsThatNobodyAccepted() {
    Ref<HttpServer> server =
        loopback_.Serve([](ServerRequest) { return Slow(); });
    std::vector<asio::ip::tcp::socket> clients;
    clients.reserve(kQueuedClients);
    for (int i = 0; i < kQueuedClients; ++i) {
      clients.push_back(ConnectAndSend(server->address()));
    }
    loopback_.Run([&]() -> asio::awaitable<void> {
      co_await server->Stop(std::chrono::seconds(5));
    });
    for (asio::ip::tcp::socket& client : clients) {
      std::string answer;
      boost::system::error_code error;
      asio::read(client, asio::dynamic_buffer(answer), error);
      CPPUNIT_ASSERT_EQUAL(std::string("End of file"), error.message());
      CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
    }
  }

  // Guards against clients that still use their open connections when the
  // server stops.
  void DrainingServerKeepsConnectionsOpen() {
    Ref<HttpServer> server =
        loopback_.Serve([](ServerRequest) { return Slow(); });
    asio::ip::tcp::socket client = ConnectAndSend(server->address());
    server->Drain();
    loopback_.Run([&]() -> asio::awaitable<void> {
      std::string answer;
      boost::system::error_code error;
      co_await asio::async_read(
          client, asio::dynamic_buffer(answer),
          asio::redirect_error(asio::use_awaitable, error));
      CPPUNIT_ASSERT_EQUAL(std::string("End of file"), error.message());
      CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server->connections());
  }

  void HandlerErrorsBecomeStatus400() {
    Ref<HttpServer> server =
        loopback_.Serve([](ServerRequest) { return Fail(); });
    loopback_.Run([&]() -> asio::awaitable<void> {
      const HttpAnswer answer =
          co_await loopback_.client->Call(server->address(), {});
      CPPUNIT_ASSERT_EQUAL(400, answer.status);
      CPPUNIT_ASSERT_EQUAL(std::string("check with local: no\n"), answer.body);
    });
  }

  // Guards against one timed-out call for each idle connection: a peer that was
  // cut off never closes its idle connections, but new connections reach it.
  void SilentIdleConnectionsFailOneCallOnly() {
    constexpr std::size_t kConnections = 3;
    SilencedPeer peer(loopback_.context);
    loopback_.Run([&]() -> asio::awaitable<void> {
      std::size_t answered = 0;
      for (std::size_t i = 0; i < kConnections; ++i) {
        asio::co_spawn(
            loopback_.context,
            [&]() -> asio::awaitable<void> {
              const HttpAnswer answer =
                  co_await loopback_.client->Call(peer.address(), {});
              CPPUNIT_ASSERT_EQUAL(200, answer.status);
              ++answered;
            },
            asio::detached);
      }
      while (answered < kConnections) co_await Pause(kShortDelay);
      CPPUNIT_ASSERT_EQUAL(kConnections, peer.accepted());
      peer.Silence();
      HttpAnswer answer = co_await loopback_.client->Call(
          peer.address(), {.timeout = kShortDelay});
      CPPUNIT_ASSERT(answer.outcome == CallOutcome::kUnknown);
      answer = co_await loopback_.client->Call(peer.address(), {});
      CPPUNIT_ASSERT(answer.outcome == CallOutcome::kAnswered);
      CPPUNIT_ASSERT_EQUAL(kConnections + 1, peer.accepted());
    });
  }

  // Guards against a call that is carried out by the successor of the process
  // that it was meant for, at the same address.
  void CallReachesAnotherProcessThanExpected() {
    std::string name = "first";
    std::vector<std::string> received;
    Ref<HttpServer> server = ServeNamed(name, received);
    loopback_.Run([&]() -> asio::awaitable<void> {
      CPPUNIT_ASSERT((co_await CallPeer(*server, "first")).outcome ==
                     CallOutcome::kAnswered);
      // Later calls over the same connection need no question.
      CPPUNIT_ASSERT((co_await CallPeer(*server, "first")).outcome ==
                     CallOutcome::kAnswered);
      loopback_.client->Close();
      name = "second";
      CPPUNIT_ASSERT((co_await CallPeer(*server, "first")).outcome ==
                     CallOutcome::kNotSent);
      CPPUNIT_ASSERT((co_await CallPeer(*server, "second")).outcome ==
                     CallOutcome::kAnswered);
    });
    const std::vector<std::string> expected = {"/question", "/order", "/order",
                                               "/question", "/order"};
    CPPUNIT_ASSERT(expected == received);
  }

  // Guards against further calls for a former process over a connection that is
  // known to lead to its successor, as behind a proxy.
  void PeerChangesBehindAConnection() {
    std::string name = "first";
    std::vector<std::string> received;
    Ref<HttpServer> server = ServeNamed(name, received);
    loopback_.Run([&]() -> asio::awaitable<void> {
      co_await CallPeer(*server, "first");
      name = "second";
      // Only the answer shows the change.
      const HttpAnswer answer = co_await CallPeer(*server, "first");
      CPPUNIT_ASSERT_EQUAL(std::string("second"), answer.body);
      received.clear();
      CPPUNIT_ASSERT((co_await CallPeer(*server, "first")).outcome ==
                     CallOutcome::kNotSent);
      CPPUNIT_ASSERT(received == std::vector<std::string>{"/question"});
      received.clear();
      co_await CallPeer(*server, "second");
      CPPUNIT_ASSERT(received == std::vector<std::string>{"/order"});
    });
  }

  // Guards against a question before each call once an answer had no name.
  void AnswerWithoutANameMakesThePeerUnknown() {
    std::string name = "first";
    std::vector<std::string> received;
    Ref<HttpServer> server = ServeNamed(name, received);
    loopback_.Run([&]() -> asio::awaitable<void> {
      co_await CallPeer(*server, "first");
      name.clear();
      co_await CallPeer(*server, "first");
      received.clear();
      co_await CallPeer(*server, "first");
    });
    CPPUNIT_ASSERT(received == std::vector<std::string>{"/order"});
  }

  // Guards against a new connection for each call once a process has restarted
  // while many connections were idle.
  void ConnectionsOfFormerProcessesFillThePool() {
    std::string name = "first";
    std::vector<std::string> received;
    Ref<HttpServer> server = ServeNamed(name, received);
    loopback_.Run([&]() -> asio::awaitable<void> {
      for (int i = 0; i < 20; ++i) {
        name = std::to_string(i);
        co_await CallPeer(*server, name);
      }
      received.clear();
      co_await CallPeer(*server, name);
    });
    CPPUNIT_ASSERT(received == std::vector<std::string>{"/order"});
  }

 private:
  // A connection with a request on it. The event loop is not run meanwhile.
  asio::ip::tcp::socket ConnectAndSend(const Address& server) {
    asio::ip::tcp::socket client(loopback_.context);
    client.connect({asio::ip::make_address(server.ip), server.port});
    asio::write(
        client,
        asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: test\r\n\r\n")));
    return client;
  }

  static asio::awaitable<void> Pause(Duration duration) {
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
  }
  static asio::awaitable<ServerAnswer> AnswerText(std::string text) {
    co_return ServerAnswer{.body = std::move(text)};
  }

  // Answers with the name, and records the paths.
  Ref<HttpServer> ServeNamed(const std::string& name,
                             std::vector<std::string>& received) {
    return loopback_.Serve([&name, &received](ServerRequest request) {
      received.push_back(request.path);
      return AnswerText(name);
    });
  }

  asio::awaitable<HttpAnswer> CallPeer(HttpServer& server, std::string name) {
    return loopback_.client->CallPeer(
        server.address(), {.target = "/order"},
        {.expected = std::move(name),
         .make_question = [] { return HttpCall{.target = "/question"}; },
         .read_name = [](const HttpAnswer& answer) { return answer.body; }});
  }

  static asio::awaitable<ServerAnswer> Echo(ServerRequest request) {
    co_return ServerAnswer{.body = request.method + " " + request.path + " " +
                                   request.QueryOr("x", "") + " " +
                                   request.body};
  }
  static asio::awaitable<ServerAnswer> Cut() {
    co_return ServerAnswer{.body = "a long answer", .cut_after_bytes = 20};
  }
  static asio::awaitable<ServerAnswer> Slow() {
    co_await Pause(std::chrono::milliseconds(100));
    co_return ServerAnswer{.body = "late"};
  }
  static asio::awaitable<ServerAnswer> Fail() {
    throw Error("check", "local", "no");
    co_return ServerAnswer{};
  }

  Loopback loopback_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(HttpTest, "http_test");

}  // namespace carobmast::net
