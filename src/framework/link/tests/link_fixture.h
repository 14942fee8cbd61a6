// Fixture of the link tests: an event loop with servers and clients.
#ifndef CAROBMAST_FRAMEWORK_LINK_TESTS_LINK_FIXTURE_H_
#define CAROBMAST_FRAMEWORK_LINK_TESTS_LINK_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "framework/link/link.h"
#include "framework/testing/run_to_end.h"

namespace carobmast::link {

class LinkFixture : public CppUnit::TestFixture {
 protected:
  using Task = boost::asio::awaitable<void>;

  static Task Pause(Duration duration) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  // Starts a server with the methods "echo", "slow" (echoes after 100 ms),
  // "hang" (takes an hour) and "fail" (throws Error).
  Ref<LinkServer> Serve(LinkServerOptions options = {}) {
    options.listen.ip = "127.0.0.1";
    options.handlers = {
        {"echo", [this](std::string text) { return Echo(std::move(text)); }},
        {"slow", [this](std::string text) { return Slow(std::move(text)); }},
        {"hang", [](std::string) { return Hang(); }},
        {"fail", [](std::string) { return Fail(); }}};
    options.on_link_error = [this](const Error& error) {
      link_errors_.emplace_back(error.what());
    };
    return MakeRef<LinkServer>(context_.get_executor(), std::move(options));
  }

  Ref<LinkClient> Connect(const Ref<LinkServer>& server,
                          LinkClientOptions options = {}) {
    options.peer = server->address();
    return MakeRef<LinkClient>(context_.get_executor(), std::move(options));
  }

  void Run(const std::function<Task()>& body) {
    testing::RunToEnd(context_, body);
  }

  // Makes a call and returns the text of its CallError, or "" when the call
  // succeeded.
  static boost::asio::awaitable<std::string> FailureOf(
      Ref<LinkClient> client, std::string method, std::string request = "",
      Duration timeout = kTimeout) {
    try {
      co_await client->Call(std::move(method), std::move(request), timeout);
    } catch (const CallError& error) {
      co_return error.what();
    }
    co_return "";
  }

  static constexpr Duration kTimeout = std::chrono::seconds(20);

  boost::asio::io_context context_;
  std::vector<std::string> link_errors_;
  int calls_run_ = 0;
  int calls_running_ = 0;
  int max_running_ = 0;

 private:
  boost::asio::awaitable<std::string> Echo(std::string text) {
    ++calls_run_;
    co_return text;
  }
  boost::asio::awaitable<std::string> Slow(std::string text) {
    ++calls_run_;
    max_running_ = std::max(max_running_, ++calls_running_);
    co_await Pause(std::chrono::milliseconds(100));
    --calls_running_;
    co_return text;
  }
  static boost::asio::awaitable<std::string> Hang() {
    co_await Pause(std::chrono::hours(1));
    co_return "";
  }
  static boost::asio::awaitable<std::string> Fail() {
    throw Error("check", "local", "no such set");
    co_return "";
  }
};

}  // namespace carobmast::link

#endif  // CAROBMAST_FRAMEWORK_LINK_TESTS_LINK_FIXTURE_H_
