// Runs a coroutine to completion on the event loop of a test.
#ifndef CAROBMAST_FRAMEWORK_TESTING_RUN_TO_END_H_
#define CAROBMAST_FRAMEWORK_TESTING_RUN_TO_END_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <utility>

namespace carobmast::testing {

// Runs `context` until `body` has completed, then runs the handlers that are
// ready. Rethrows what `body` throws.
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
