// Runs one coroutine of a test on the test's own event loop.
#ifndef CAROBMAST_FRAMEWORK_TESTING_RUN_TO_END_H_
#define CAROBMAST_FRAMEWORK_TESTING_RUN_TO_END_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <utility>

namespace carobmast::testing {

// Runs `body` to its end; rethrows what it throws.
inline void RunToEnd(
    boost::asio::io_context& context,
    const std::function<boost::asio::awaitable<void>()>& body) {
  std::exception_ptr failure;
  bool done = false;
  boost::asio::co_spawn(context, body(), [&](std::exception_ptr error) {
    failure = std::move(error);
    done = true;
  });
  while (!done) context.run_one();
  context.poll();
  if (failure) std::rethrow_exception(failure);
}

}  // namespace carobmast::testing

#endif  // CAROBMAST_FRAMEWORK_TESTING_RUN_TO_END_H_
