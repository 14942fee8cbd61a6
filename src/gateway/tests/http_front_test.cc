// Tests HttpFront over real loopback connections, with scripted instances and a
// caller that sends raw bytes.
#include "gateway/http_front.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

namespace carobmast::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kBodyBytes = 300'000;
constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

// How a FakeInstance responds to requests.
struct Script {
  // Answers to successive requests; the last is repeated.
  std::vector<std::string> answers;
  // Closes the connection after each answer.
  bool close_after = false;
  // Delay before each answer.
  Duration delay = Duration::zero();
};

// An instance that takes any bytes ending in `request_end` for a request.
class FakeInstance {
 public:
  FakeInstance(asio::io_context& context, Script script)
      : script_(std::move(script)),
        acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  void Close() { acceptor_.close(); }

  // The bytes of each request, up to and including `request_end`.
  std::vector<std::string> requests;
  std::string request_end = "\r\n\r\n";

 private:
  asio::awaitable<void> Accept() {
    error_code error;
    while (!error) {
      tcp::socket socket = co_await acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    error_code error;
    std::string buffer;
    while (true) {
      const std::size_t bytes_read = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(buffer), request_end,
          asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      requests.push_back(buffer.substr(0, bytes_read));
      buffer.erase(0, bytes_read);
      asio::steady_timer timer(socket.get_executor(), script_.delay);
      co_await timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      const std::string answer =
          script_.answers[std::min(next_++, script_.answers.size() - 1)];
      co_await asio::async_write(
          socket, asio::buffer(answer),
          asio::redirect_error(asio::use_awaitable, error));
      if (script_.close_after) co_return;
    }
  }

  Script script_;
  tcp::acceptor acceptor_;
  std::size_t next_ = 0;
};

}  // namespace

class HttpFrontTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpFrontTest);
  CPPUNIT_TEST(ForwardsRequestAndAnswer);
  CPPUNIT_TEST(PipelinedRequestsReuseInstanceConnection);
  CPPUNIT_TEST(ForwardsChunkedBodies);
  CPPUNIT_TEST(StreamsBodyLongerThanRetryBuffer);
  CPPUNIT_TEST(LongAnswerIsNotForwardedInTinyPieces);
  CPPUNIT_TEST(AnswerBeforeEndOfBodyClosesConnection);
  CPPUNIT_TEST(ConcurrentCallersEachGetOneAnswer);
  CPPUNIT_TEST(RefusesRequestSmuggling);
  CPPUNIT_TEST(ReportsNotRunWhenConnectFails);
  CPPUNIT_TEST(ReportsUnknownWhenDeadlinePasses);
  CPPUNIT_TEST(TruncatedAnswerClosesCallerConnection);
  CPPUNIT_TEST(SendsNonIdempotentRequestOnce);
  CPPUNIT_TEST(RetriesIdempotentRequest);
  CPPUNIT_TEST(RefusesAnswerWithoutLength);
  CPPUNIT_TEST(StopAnswersRequestInFlight);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ForwardsRequestAndAnswer() {
    Serve({.answers = {kOk}});
    const std::string answer =
        SendAndRead("GET /portal/x HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(Contains(answer, "HTTP/1.1 200 OK"));
    CPPUNIT_ASSERT(Contains(answer, "carobmast-ran: yes"));
    CPPUNIT_ASSERT(Contains(answer, "\r\n\r\nhello"));
    CPPUNIT_ASSERT(
        Contains(instance_->requests.at(0), "GET /portal/x HTTP/1.1"));
  }

  void PipelinedRequestsReuseInstanceConnection() {
    Serve({.answers = {kOk}});
    const std::string request = "GET /portal HTTP/1.1\r\nHost: a\r\n\r\n";
    // Both are sent before the first answer.
    const std::string answer = SendAndRead(request + request);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Count(answer, "hello"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, front_->core().connections().open());
  }

  void ForwardsChunkedBodies() {
    Serve({.answers = {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"}});
    instance_->request_end = "0\r\n\r\n";
    const std::string answer = SendAndRead(
        "POST /portal HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
        "\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(
        Contains(instance_->requests.at(0), "\r\n\r\n4\r\nwxyz\r\n0"));
    CPPUNIT_ASSERT(Contains(answer, "abc"));
    CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
  }

  void StreamsBodyLongerThanRetryBuffer() {
    Serve({.answers = {kOk}});
    instance_->request_end = "END!";
    // Much longer than CallerPortOptions::max_retry_body_bytes.
    std::string body;
    while (body.size() < kBodyBytes) body += std::to_string(body.size()) + " ";
    body += "END!";
    const std::string answer =
        SendAndRead("POST /portal HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
    CPPUNIT_ASSERT(Contains(answer, "hello"));
    CPPUNIT_ASSERT(instance_->requests.at(0).ends_with("\r\n\r\n" + body));
  }

  void LongAnswerIsNotForwardedInTinyPieces() {
    Serve({.answers = {"HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(kBodyBytes) + "\r\n\r\n" +
                       std::string(kBodyBytes, 'x')}});
    handlers_run_ = 0;
    const std::string answer =
        SendAndRead("GET /portal HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(answer.ends_with(std::string(kBodyBytes, 'x')));
    // Each piece costs handlers of the event loop at the instance, the gateway
    // and the caller; on average a handler must carry more than 1 KiB.
    CPPUNIT_ASSERT_LESS(kBodyBytes / 1024, handlers_run_);
  }

  void AnswerBeforeEndOfBodyClosesConnection() {
    Serve({.answers = {kOk}});
    // The rest of the body is never sent, so the gateway can't tell where the
    // next request would begin and has to close the connection.
    const std::string answer = SendAndRead(
        "POST /portal HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000"
        "\r\n\r\n" +
        std::string(100'000, 'x'));
    CPPUNIT_ASSERT(Contains(answer, "hello"));
    CPPUNIT_ASSERT(Contains(answer, "Connection: close"));
    CPPUNIT_ASSERT(closed_by_gateway_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, front_->core().connections().open());
  }

  void ConcurrentCallersEachGetOneAnswer() {
    Serve({.answers = {kOk}, .delay = std::chrono::milliseconds(5)});
    constexpr int kCallers = 30;
    int ended = 0;
    std::vector<std::string> answers(kCallers);
    for (std::string& answer : answers) {
      asio::co_spawn(
          context_,
          SendAndCollect("GET /portal HTTP/1.1\r\nHost: a\r\n\r\n", answer),
          [&ended](const std::exception_ptr&) { ++ended; });
    }
    while (ended < kCallers) context_.run_one();
    for (const std::string& answer : answers) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(answer, "hello"));
    }
    // The instance has 8 slots and may have one more request waiting.
    CPPUNIT_ASSERT(front_->core().connections().open() <= 9);
  }

  void RefusesRequestSmuggling() {
    Serve({.answers = {kOk}});
    const std::string head = "POST /portal HTTP/1.1\r\nHost: a\r\n";
    const std::vector<std::string> broken = {
        "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "Content-Length: -1\r\n\r\n",
        "Host: b\r\nContent-Length: 0\r\n\r\n",
        "X: a\rInjected: b\r\nContent-Length: 0\r\n\r\n",
        "X : a\r\nContent-Length: 0\r\n\r\n"};
    for (const std::string& rest : broken) {
      const std::string answer = SendAndRead(head + rest);
      CPPUNIT_ASSERT_MESSAGE(rest, answer.starts_with("HTTP/1.1 400 "));
      CPPUNIT_ASSERT_MESSAGE(rest, Contains(answer, "carobmast-ran: no"));
      CPPUNIT_ASSERT_MESSAGE(rest, Contains(answer, "Connection: close"));
      CPPUNIT_ASSERT_MESSAGE(rest, closed_by_gateway_);
    }
    CPPUNIT_ASSERT(instance_->requests.empty());
  }

  void ReportsNotRunWhenConnectFails() {
    Serve({.answers = {kOk}});
    instance_->Close();
    const std::string answer =
        SendAndRead("POST /portal HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(Contains(answer, "carobmast-ran: no"));
    CPPUNIT_ASSERT(Contains(answer, "carobmast-reason: instance-failed"));
  }

  void ReportsUnknownWhenDeadlinePasses() {
    Serve({.answers = {kOk}, .delay = std::chrono::seconds(5)});
    const std::string answer = SendAndRead(
        "POST /portal HTTP/1.1\r\nHost: a\r\ncarobmast-timeout: 100ms\r\n"
        "\r\n");
    CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 504 "));
    CPPUNIT_ASSERT(Contains(answer, "carobmast-ran: unknown"));
    // The connection must not be reused: the late answer may still arrive on
    // it.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, front_->core().connections().open());
  }

  void TruncatedAnswerClosesCallerConnection() {
    Serve({.answers = {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhel"},
           .close_after = true});
    const std::string answer =
        SendAndRead("POST /portal HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(closed_by_gateway_);
    CPPUNIT_ASSERT(Contains(answer, "Content-Length: 50"));
    CPPUNIT_ASSERT(answer.ends_with("\r\n\r\nhel"));
  }

  void SendsNonIdempotentRequestOnce() {
    Serve({.answers = {""}, .close_after = true});
    const std::string answer =
        SendAndRead("POST /portal HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(Contains(answer, "carobmast-ran: unknown"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, instance_->requests.size());
  }

  void RetriesIdempotentRequest() {
    Serve({.answers = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", kOk}});
    const std::string answer =
        SendAndRead("GET /portal HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(Contains(answer, "hello"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, instance_->requests.size());
  }

  void RefusesAnswerWithoutLength() {
    Serve({.answers = {"HTTP/1.1 200 OK\r\n\r\nhello"}, .close_after = true});
    const std::string answer =
        SendAndRead("POST /portal HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(Contains(answer, "carobmast-ran: unknown"));
  }

  void StopAnswersRequestInFlight() {
    Serve({.answers = {kOk}, .delay = std::chrono::milliseconds(50)});
    std::string answer;
    asio::co_spawn(
        context_,
        SendAndCollect("GET /portal HTTP/1.1\r\nHost: a\r\n\r\n", answer),
        asio::detached);
    while (instance_->requests.empty()) context_.run_one();
    asio::co_spawn(context_, Stop(), asio::detached);
    while (!stopped_) context_.run_one();
    CPPUNIT_ASSERT(Contains(answer, "hello"));
    CPPUNIT_ASSERT(Contains(answer, "Connection: close"));
  }

 private:
  static bool Contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }

  static std::size_t Count(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    std::size_t at = text.find(part);
    while (at != std::string::npos) {
      ++count;
      at = text.find(part, at + 1);
    }
    return count;
  }

  void Serve(Script script) {
    instance_ = std::make_unique<FakeInstance>(context_, std::move(script));
    HttpFrontOptions options{.callers = {.listen = {.ip = "127.0.0.1"}},
                             .core = {.gateway = "gw-1", .zone = "zg-a"}};
    front_ = std::make_unique<HttpFront>(context_.get_executor(),
                                         std::move(options));
    front_->core().SetServices({{.name = "portal"}}, MonotonicClock::now());
    front_->core().SetInstances({{.service = "portal",
                                  .name = "portal-0/1",
                                  .address = instance_->address(),
                                  .zone = "zg-a"}},
                                MonotonicClock::now());
    front_->Start();
  }

  asio::awaitable<void> Stop() {
    co_await front_->Stop(std::chrono::seconds(5));
    stopped_ = true;
  }

  // Sends `bytes` and collects the answer until the connection ends or has been
  // silent for 400 ms.
  asio::awaitable<void> SendAndCollect(std::string bytes, std::string& answer) {
    boost::beast::tcp_stream stream(context_);
    const net::Address address = front_->callers().address();
    co_await stream.async_connect(
        tcp::endpoint(asio::ip::make_address(address.ip), address.port),
        asio::use_awaitable);
    co_await asio::async_write(stream, asio::buffer(bytes),
                               asio::use_awaitable);
    error_code error;
    std::array<char, 4096> piece;
    while (!error) {
      stream.expires_after(std::chrono::milliseconds(400));
      const std::size_t bytes_read = co_await stream.async_read_some(
          asio::buffer(piece),
          asio::redirect_error(asio::use_awaitable, error));
      answer.append(piece.data(), bytes_read);
    }
    closed_by_gateway_ = error != boost::beast::error::timeout;
  }

  std::string SendAndRead(const std::string& bytes) {
    std::string answer;
    bool ended = false;
    asio::co_spawn(context_, SendAndCollect(bytes, answer),
                   [&ended](const std::exception_ptr&) { ended = true; });
    while (!ended) handlers_run_ += context_.run_one();
    return answer;
  }

  asio::io_context context_;
  std::unique_ptr<FakeInstance> instance_;
  std::unique_ptr<HttpFront> front_;
  // Handlers of the event loop that ran during SendAndRead.
  std::size_t handlers_run_ = 0;
  // How the last SendAndCollect ended.
  bool closed_by_gateway_ = false;
  bool stopped_ = false;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(HttpFrontTest, "http_front_test");

}  // namespace carobmast::gateway
