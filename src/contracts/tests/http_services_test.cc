#include "contracts/http_services.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>
#include <stdexcept>
#include <utility>

#include "contracts/service_codec.h"
#include "framework/base/error.h"
#include "framework/net/http_server.h"

namespace carobmast::contracts {

namespace asio = boost::asio;

// Tests the clients against a server that returns one prepared answer.
//
// Guards against outcomes that claim "no effect" for a request that may have
// taken effect, for example because the answer was cut off or can't be decoded:
// the caller would repeat it.
class HttpServicesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServicesTest);
  CPPUNIT_TEST(AppendIsNotSentOnlyWhenProven);
  CPPUNIT_TEST(CommandIsRefusedOrNotSentOnlyWhenProven);
  CPPUNIT_TEST(ReadsThrowOnRefusalAndOnMalformedAnswers);
  CPPUNIT_TEST(RefusedConnectionIsNotSent);
  CPPUNIT_TEST(MalformedNamesAreNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AppendIsNotSentOnlyWhenProven() {
    const std::string offsets = EncodeOffsets({5});
    CheckAppend({.body = offsets}, AppendOutcome::kAppended);
    CheckAppend({.body = EncodeOffsets({5, 6})}, AppendOutcome::kUnknown);
    CheckAppend({.body = "{}"}, AppendOutcome::kUnknown);
    CheckAppend({.body = offsets, .cut_after_bytes = 0},
                AppendOutcome::kUnknown);
    CheckAppend({.body = offsets, .cut_after_bytes = 60},
                AppendOutcome::kUnknown);
    CheckAppend({.status = 503, .body = EncodeRefusal("out")},
                AppendOutcome::kNotSent);
    CheckAppend({.status = 503, .body = "busy"}, AppendOutcome::kUnknown);
    CheckAppend({.status = 500, .body = EncodeRefusal("?")},
                AppendOutcome::kUnknown);
    CheckAppend({.status = 400, .body = "no"}, AppendOutcome::kNotSent);
  }

  void CommandIsRefusedOrNotSentOnlyWhenProven() {
    const std::string report =
        EncodeReport({.worker = "w-1", .token = 12}, "refused");
    CheckCommand({.body = report}, CommandOutcome::kDone, 12);
    CheckCommand({.status = 409, .body = report}, CommandOutcome::kStale, 12);
    CheckCommand({.status = 507, .body = report}, CommandOutcome::kNoRoom, 12);
    CheckCommand({.status = 422, .body = report}, CommandOutcome::kRefused, 12);
    CheckCommand({.status = 404, .body = "?"}, CommandOutcome::kRefused, 0);
    CheckCommand({.status = 503, .body = EncodeRefusal("out")},
                 CommandOutcome::kNotSent, 0);
    CheckCommand({.status = 503, .body = "busy"}, CommandOutcome::kUnknown, 0);
    CheckCommand({.status = 502, .body = "?"}, CommandOutcome::kUnknown, 0);
    CheckCommand({.body = report, .cut_after_bytes = 0},
                 CommandOutcome::kUnknown, 0);
    CheckCommand({.body = EncodeReport({.worker = "w-2"}, "")},
                 CommandOutcome::kUnknown, 0);
  }

  void ReadsThrowOnRefusalAndOnMalformedAnswers() {
    for (const net::ServerAnswer& answer :
         {net::ServerAnswer{.status = 503, .body = EncodeRefusal("out")},
          net::ServerAnswer{.body = "{\"records\":3}"}}) {
      answer_ = answer;
      CPPUNIT_ASSERT_THROW(Run(log_.read({.stream = "s"})), Error);
      CPPUNIT_ASSERT_THROW(Run(vms_.list(kTimeout)), Error);
    }
    answer_ = {.body = EncodeReadAnswer(
                   {.records = {{.offset = 3, .id = "a", .data = "b"}},
                    .first_kept = 2,
                    .next = 4})};
    const ReadAnswer read =
        Run(log_.read({.stream = "s", .wait = std::chrono::milliseconds(7)}));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), read.records.at(0).data);
    CPPUNIT_ASSERT_EQUAL(std::string("from=1&max=1000&wait_ms=7"), query_);
  }

  void RefusedConnectionIsNotSent() {
    server_ = nullptr;
    context_.poll();
    CPPUNIT_ASSERT(Run(log_.append(MakeAppend())).outcome ==
                   AppendOutcome::kNotSent);
    CPPUNIT_ASSERT(Run(workers_.command(MakeCommand())).outcome ==
                   CommandOutcome::kNotSent);
    CPPUNIT_ASSERT_THROW(Run(vms_.list(kTimeout)), Error);
  }

  void MalformedNamesAreNotSent() {
    AppendRequest append = MakeAppend();
    append.stream = "a?b";
    CPPUNIT_ASSERT(Run(log_.append(append)).outcome == AppendOutcome::kNotSent);
    WorkerCommand command = MakeCommand();
    command.worker = "../x";
    CPPUNIT_ASSERT(Run(workers_.command(command)).outcome ==
                   CommandOutcome::kNotSent);
    command = MakeCommand();
    command.address = "nowhere";
    CPPUNIT_ASSERT(Run(workers_.command(command)).outcome ==
                   CommandOutcome::kNotSent);
  }

 private:
  static constexpr Duration kTimeout = std::chrono::seconds(5);

  asio::awaitable<net::ServerAnswer> Answer(net::ServerRequest request) {
    query_ = request.query;
    co_return answer_;
  }

  AppendRequest MakeAppend() {
    return {.stream = "s", .records = {{.id = "i", .data = "d"}}};
  }

  WorkerCommand MakeCommand() {
    return {.worker = "w-1", .address = address_.ToString(), .token = 3};
  }

  void CheckAppend(net::ServerAnswer answer, AppendOutcome expected) {
    answer_ = std::move(answer);
    const AppendAnswer got = Run(log_.append(MakeAppend()));
    CPPUNIT_ASSERT_MESSAGE(got.error, got.outcome == expected);
    CPPUNIT_ASSERT_EQUAL(expected == AppendOutcome::kAppended,
                         got.error.empty());
  }

  void CheckCommand(net::ServerAnswer answer, CommandOutcome expected,
                    FencingToken token) {
    answer_ = std::move(answer);
    const CommandAnswer got = Run(workers_.command(MakeCommand()));
    CPPUNIT_ASSERT_MESSAGE(got.error, got.outcome == expected);
    CPPUNIT_ASSERT_EQUAL(token, got.report.token);
  }

  template <typename T>
  T Run(asio::awaitable<T> work) {
    std::exception_ptr failure;
    std::optional<T> result;
    asio::co_spawn(context_, std::move(work),
                   [&](std::exception_ptr error, T value) {
                     failure = std::move(error);
                     result = std::move(value);
                     context_.stop();
                   });
    context_.restart();
    context_.run();
    if (failure) std::rethrow_exception(failure);
    if (!result.has_value()) throw std::logic_error("no result");
    return std::move(*result);
  }

  asio::io_context context_;
  net::ServerAnswer answer_;
  std::string query_;
  Ref<net::HttpServer> server_ = MakeRef<net::HttpServer>(
      context_.get_executor(),
      net::HttpServerOptions{.listen = {.ip = "127.0.0.1"},
                             .handler = [this](net::ServerRequest request) {
                               return Answer(std::move(request));
                             }});
  net::Address address_ = server_->address();
  Ref<net::HttpClient> client_ = MakeRef<net::HttpClient>(
      context_.get_executor(), net::HttpClientOptions{});
  LogService log_ = MakeHttpLogService(client_, address_);
  VmListService vms_ = MakeHttpVmListService(client_, address_);
  WorkerService workers_ = MakeHttpWorkerService(client_);
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(HttpServicesTest, "http_services_test");

}  // namespace carobmast::contracts
