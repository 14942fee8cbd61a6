// An event loop that is always busy.
#ifndef CAROBMAST_FRAMEWORK_NET_TESTS_BUSY_LOOP_H_
#define CAROBMAST_FRAMEWORK_NET_TESTS_BUSY_LOOP_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <memory>
#include <thread>

namespace carobmast::net {

// Keeps the event loop busy by posting itself again and again; each turn of the
// loop takes a millisecond.
class BusyLoop {
 public:
  explicit BusyLoop(boost::asio::any_io_executor executor)
      : executor_(std::move(executor)) {
    Post();
  }
  ~BusyLoop() { *stopped_ = true; }
  BusyLoop(const BusyLoop&) = delete;
  BusyLoop& operator=(const BusyLoop&) = delete;
  std::size_t turns() const { return turns_; }

 private:
  void Post() {
    boost::asio::post(executor_, [this, stopped = stopped_] {
      if (*stopped) return;
      ++turns_;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      Post();
    });
  }

  boost::asio::any_io_executor executor_;
  std::shared_ptr<bool> stopped_ = std::make_shared<bool>(false);
  std::size_t turns_ = 0;
};

}  // namespace carobmast::net

#endif  // CAROBMAST_FRAMEWORK_NET_TESTS_BUSY_LOOP_H_
