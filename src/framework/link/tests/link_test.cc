#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>

#include "framework/link/tests/link_fixture.h"

namespace carobmast::link {

namespace asio = boost::asio;

// Calls between one client and one server, and the limits and failures of their
// links.
class LinkTest : public LinkFixture {
  CPPUNIT_TEST_SUITE(LinkTest);
  CPPUNIT_TEST(CallsOverlapOnOneLink);
  CPPUNIT_TEST(LargeMessagesPass);
  CPPUNIT_TEST(ErrorsNameMethodAndPeer);
  CPPUNIT_TEST(OversizedRequestIsNotSent);
  CPPUNIT_TEST(OversizedMessageClosesTheLinkAndTheNextCallConnects);
  CPPUNIT_TEST(ServerAcceptsItsVersionAndTheOneBefore);
  CPPUNIT_TEST(TimeoutEndsOnlyItsCall);
  CPPUNIT_TEST(StopLetsCallsInFlightEnd);
  CPPUNIT_TEST(StopEndsCallsAfterTheGrace);
  CPPUNIT_TEST(CallsAfterStopAreNotSentAndNotRun);
  CPPUNIT_TEST(StopResetsLinksThatNobodyAccepted);
  CPPUNIT_TEST(DeadPeerFailsItsCallsAndIsReconnected);
  CPPUNIT_TEST(SilentPeerIsDisconnected);
  CPPUNIT_TEST(UnreachablePeerIsNotRetriedWithoutBackoff);
  CPPUNIT_TEST(RefusesCallsOverTheHandlerLimit);
  CPPUNIT_TEST(IdleLinksAreClosed);
  CPPUNIT_TEST(ClientMayBeDestroyedDuringACall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallsOverlapOnOneLink() {
    const Ref<LinkServer> server = Serve();
    const Ref<LinkClient> client = Connect(server);
    std::vector<std::string> answers(20);
    int answered = 0;
    for (std::size_t i = 0; i < answers.size(); ++i) {
      asio::co_spawn(context_, CallInto(client, std::to_string(i), answers[i]),
                     [&](std::exception_ptr) { ++answered; });
    }
    while (answered < 20) context_.run_one();
    for (std::size_t i = 0; i < answers.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(std::to_string(i), answers[i]);
    }
    CPPUNIT_ASSERT_EQUAL(20, max_running_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server->links());
  }

  // Guards against a reset of a link that waits in the listener's queue: the
  // client could not tell whether its calls ran.
  void StopResetsLinksThatNobodyAccepted() {
    const Ref<LinkServer> server = Serve();
    std::vector<asio::ip::tcp::socket> clients;
    for (int i = 0; i < 5; ++i) {
      asio::ip::tcp::socket& client = clients.emplace_back(context_);
      client.connect({asio::ip::make_address(server->address().ip),
                      server->address().port});
    }
    Run([&]() -> Task { co_await server->Stop(kTimeout / 10); });
    for (asio::ip::tcp::socket& client : clients) {
      std::string frames;
      boost::system::error_code error;
      asio::read(client, asio::dynamic_buffer(frames), error);
      CPPUNIT_ASSERT_EQUAL(std::string("End of file"), error.message());
      CPPUNIT_ASSERT(!frames.empty());
    }
  }

  void LargeMessagesPass() {
    const Ref<LinkServer> server = Serve();
    const Ref<LinkClient> client = Connect(server);
    Run([&]() -> Task {
      const std::string text(std::size_t{16} * 1024 * 1024, 'x');
      const std::string answer = co_await client->Call("echo", text, kTimeout);
      CPPUNIT_ASSERT(answer == text);
    });
  }

  void ErrorsNameMethodAndPeer() {
    const Ref<LinkServer> server = Serve();
    const Ref<LinkClient> client = Connect(server);
    const std::string peer = server->address().ToString();
    Run([&]() -> Task {
      CPPUNIT_ASSERT_EQUAL("link call fail with " + peer +
                               ": answered 500: check with local: no such set",
                           co_await FailureOf(client, "fail"));
      CPPUNIT_ASSERT_EQUAL("link call none with " + peer +
                               ": answered 404: there is no method none",
                           co_await FailureOf(client, "none"));
    });
  }

  void OversizedRequestIsNotSent() {
    const Ref<LinkServer> server = Serve({.max_message_bytes = 1000});
    const Ref<LinkClient> client = Connect(server, {.max_message_bytes = 100});
    Run([&]() -> Task {
      const std::string failure =
          co_await FailureOf(client, "echo", std::string(101, 'x'));
      CPPUNIT_ASSERT(
          failure.ends_with("not sent: the request is over 100 bytes"));
    });
  }

  void OversizedMessageClosesTheLinkAndTheNextCallConnects() {
    const Ref<LinkServer> server = Serve({.max_message_bytes = 1000});
    const Ref<LinkClient> big = Connect(server);
    const Ref<LinkClient> other = Connect(server);
    Run([&]() -> Task {
      co_await other->Call("echo", "a", kTimeout);
      const std::string failure =
          co_await FailureOf(big, "echo", std::string(1001, 'x'));
      CPPUNIT_ASSERT_MESSAGE(
          failure, failure.find("closed by the peer") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(0, calls_run_ - 1);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, link_errors_.size());
      CPPUNIT_ASSERT(link_errors_[0].starts_with("link receive with 127.0.0."));
      CPPUNIT_ASSERT(link_errors_[0].ends_with("a message is over 1000 bytes"));
      co_await other->Call("echo", "b", kTimeout);
      co_await Pause(std::chrono::milliseconds(60));
      co_await big->Call("echo", "c", kTimeout);
    });
  }

  void ServerAcceptsItsVersionAndTheOneBefore() {
    const Ref<LinkServer> server = Serve({.version = 7});
    Run([&]() -> Task {
      for (const std::uint32_t version : {6U, 7U}) {
        const Ref<LinkClient> client = Connect(server, {.version = version});
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             co_await client->Call("echo", "a", kTimeout));
      }
      for (const std::uint32_t version : {5U, 8U}) {
        const Ref<LinkClient> client = Connect(server, {.version = version});
        const std::string failure = co_await FailureOf(client, "echo");
        CPPUNIT_ASSERT(failure.ends_with("answered 505: version '" +
                                         std::to_string(version) +
                                         "' is not accepted by version 7"));
      }
    });
  }

  void TimeoutEndsOnlyItsCall() {
    const Ref<LinkServer> server = Serve();
    const Ref<LinkClient> client = Connect(server);
    Run([&]() -> Task {
      co_await client->Call("echo", "a", kTimeout);
      std::string slow;
      asio::co_spawn(context_, CallInto(client, "b", slow), asio::detached);
      const std::string failure =
          co_await FailureOf(client, "hang", "", std::chrono::milliseconds(30));
      CPPUNIT_ASSERT(failure.ends_with(": timed out"));
    });
    CPPUNIT_ASSERT(link_errors_.empty());
  }

  void StopLetsCallsInFlightEnd() {
    const Ref<LinkServer> server = Serve();
    const Ref<LinkClient> client = Connect(server);
    std::string answer;
    asio::co_spawn(context_, CallInto(client, "a", answer), asio::detached);
    Run([&]() -> Task {
      while (calls_running_ == 0) co_await Pause(std::chrono::milliseconds(1));
      co_await server->Stop(kTimeout);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server->links());
    });
    CPPUNIT_ASSERT_EQUAL(std::string("a"), answer);
  }

  void StopEndsCallsAfterTheGrace() {
    const Ref<LinkServer> server = Serve();
    const Ref<LinkClient> client = Connect(server);
    std::string failure;
    asio::co_spawn(context_, FailInto(client, "hang", failure), asio::detached);
    Run([&]() -> Task {
      while (server->links() == 0) co_await Pause(std::chrono::milliseconds(1));
      co_await server->Stop(std::chrono::milliseconds(20));
      co_await Pause(std::chrono::milliseconds(20));
    });
    CPPUNIT_ASSERT(!failure.empty());
  }

  void CallsAfterStopAreNotSentAndNotRun() {
    const Ref<LinkServer> server = Serve();
    const Ref<LinkClient> client = Connect(server);
    Run([&]() -> Task {
      co_await client->Call("echo", "a", kTimeout);
      std::string slow;
      asio::co_spawn(context_, CallInto(client, "b", slow), asio::detached);
      while (calls_running_ == 0) co_await Pause(std::chrono::milliseconds(1));
      const int run = calls_run_;
      asio::co_spawn(context_, server->Stop(kTimeout), asio::detached);
      // The first call is sent before the client has received the GOAWAY frame.
      const std::string first = co_await FailureOf(client, "echo");
      const std::string second = co_await FailureOf(client, "echo");
      for (const std::string& failure : {first, second}) {
        CPPUNIT_ASSERT_MESSAGE(
            failure, failure.find(": not sent: ") != std::string::npos);
      }
      CPPUNIT_ASSERT_EQUAL(run, calls_run_);
      co_await Pause(std::chrono::milliseconds(200));
      CPPUNIT_ASSERT_EQUAL(std::string("b"), slow);
    });
  }

  void DeadPeerFailsItsCallsAndIsReconnected() {
    Ref<LinkServer> server = Serve();
    const net::Address address = server->address();
    const Ref<LinkClient> client = Connect(server);
    std::string failure;
    asio::co_spawn(context_, FailInto(client, "hang", failure), asio::detached);
    Run([&]() -> Task {
      while (server->links() == 0) co_await Pause(std::chrono::milliseconds(1));
      co_await client->Call("echo", "a", kTimeout);
      server = nullptr;
      co_await Pause(std::chrono::milliseconds(60));
      CPPUNIT_ASSERT(!failure.empty());
      CPPUNIT_ASSERT(failure.find("not sent") == std::string::npos);
      server = Serve({.listen = address});
      CPPUNIT_ASSERT_EQUAL(std::string("b"),
                           co_await client->Call("echo", "b", kTimeout));
    });
  }

  void SilentPeerIsDisconnected() {
    asio::ip::tcp::acceptor acceptor(context_,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    const Ref<LinkClient> client = MakeRef<LinkClient>(
        context_.get_executor(),
        LinkClientOptions{
            .peer = {"127.0.0.1", acceptor.local_endpoint().port()},
            .connect_timeout = std::chrono::milliseconds(20)});
    std::string failure;
    Run([&]() -> Task {
      asio::co_spawn(context_, FailInto(client, "echo", failure),
                     asio::detached);
      const asio::ip::tcp::socket first =
          co_await acceptor.async_accept(asio::use_awaitable);
      // Times out before the first call does, so that the link is checked.
      CPPUNIT_ASSERT(!(co_await FailureOf(client, "echo", "",
                                          std::chrono::milliseconds(20)))
                          .empty());
      while (failure.empty()) co_await Pause(std::chrono::milliseconds(1));
      CPPUNIT_ASSERT(failure.ends_with("the peer is silent"));
      co_await Pause(std::chrono::milliseconds(60));
      asio::co_spawn(context_, FailInto(client, "echo", failure),
                     asio::detached);
      co_await acceptor.async_accept(asio::use_awaitable);
    });
  }

  void UnreachablePeerIsNotRetriedWithoutBackoff() {
    Ref<LinkServer> server = Serve();
    const Ref<LinkClient> client = Connect(server);
    server = nullptr;
    Run([&]() -> Task {
      const std::string first = co_await FailureOf(client, "echo");
      CPPUNIT_ASSERT(first.find("not sent: connect: ") != std::string::npos);
      const std::string second = co_await FailureOf(client, "echo");
      CPPUNIT_ASSERT(second.find("not sent: the peer was not reachable") !=
                     std::string::npos);
    });
  }

  void RefusesCallsOverTheHandlerLimit() {
    // Handlers keep running after their streams were reset, and still count.
    const Ref<LinkServer> server = Serve({.max_calls_per_link = 2});
    const Ref<LinkClient> client = Connect(server);
    Run([&]() -> Task {
      for (int i = 0; i < 2; ++i) {
        co_await FailureOf(client, "hang", "", std::chrono::milliseconds(30));
      }
      const std::string failure = co_await FailureOf(client, "echo");
      CPPUNIT_ASSERT(failure.find("not sent") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(0, calls_run_);
    });
  }

  void IdleLinksAreClosed() {
    const Ref<LinkServer> server =
        Serve({.idle_timeout = std::chrono::milliseconds(20)});
    const Ref<LinkClient> client = Connect(server);
    Run([&]() -> Task {
      co_await client->Call("echo", "a", kTimeout);
      while (server->links() > 0) co_await Pause(std::chrono::milliseconds(1));
      co_await client->Call("echo", "b", kTimeout);
    });
    CPPUNIT_ASSERT(link_errors_.empty());
  }

  void ClientMayBeDestroyedDuringACall() {
    const Ref<LinkServer> server = Serve();
    Ref<LinkClient> client = Connect(server);
    std::string failure;
    asio::co_spawn(context_, FailInto(client, "hang", failure), asio::detached);
    Run([&]() -> Task {
      while (server->links() == 0) co_await Pause(std::chrono::milliseconds(1));
      client->Close();
      client = nullptr;
      co_await Pause(std::chrono::milliseconds(20));
    });
    CPPUNIT_ASSERT(!failure.empty());
  }

 private:
  static Task CallInto(Ref<LinkClient> client, std::string text,
                       std::string& answer) {
    answer = co_await client->Call("slow", std::move(text), kTimeout);
  }
  static Task FailInto(Ref<LinkClient> client, std::string method,
                       std::string& failure) {
    failure = co_await FailureOf(std::move(client), std::move(method));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LinkTest, "link_test");

}  // namespace carobmast::link
