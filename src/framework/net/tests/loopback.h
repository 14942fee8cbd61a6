// A server and a client on the same event loop, for tests.
#ifndef CAROBMAST_FRAMEWORK_NET_TESTS_LOOPBACK_H_
#define CAROBMAST_FRAMEWORK_NET_TESTS_LOOPBACK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <utility>

#include "framework/net/http_client.h"
#include "framework/net/http_server.h"
#include "framework/testing/run_to_end.h"

namespace carobmast::net {

class Loopback {
 public:
  Ref<HttpServer> Serve(ServerHandler handler) {
    return MakeRef<HttpServer>(
        context.get_executor(),
        HttpServerOptions{.listen = {.ip = "127.0.0.1", .port = 0},
                          .handler = std::move(handler)});
  }

  void Run(const std::function<boost::asio::awaitable<void>()>& body) {
    testing::RunToEnd(context, body);
  }

  boost::asio::io_context context;
  Ref<HttpClient> client =
      MakeRef<HttpClient>(context.get_executor(), HttpClientOptions{});
};

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_TESTS_LOOPBACK_H_
