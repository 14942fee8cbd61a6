// Keeps up with a keyed stream: the newest record of each key first, then each
// new record as it comes.
#ifndef CAROBMAST_NODE_STREAM_FOLLOWER_H_
#define CAROBMAST_NODE_STREAM_FOLLOWER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "contracts/keyed_log.h"

namespace carobmast::node {

struct StreamFollowerOptions {
  contracts::StreamId stream;
  // How long one read waits for a record. Bounds how late a connection that has
  // gone silent is noticed.
  Duration read_wait = std::chrono::seconds(1);
  // Least time between two reads.
  Duration read_interval = std::chrono::milliseconds(20);
  Duration timeout = std::chrono::milliseconds(600);
  // Pause after a failed call.
  Duration retry_delay = std::chrono::milliseconds(200);
};

// How far a stream is known.
struct StreamPosition {
  // Offset of the next record to read, and the stream's end as last told.
  std::uint64_t next = 0;
  std::uint64_t end = 0;
  // All that was stored before this time has been read; the clock's zero when
  // the stream was never read to its end.
  MonotonicTime current_at;
  std::uint64_t reads = 0;
  // The longest time of one call.
  Duration slowest_read{0};

  Duration Age(MonotonicTime now) const { return now - current_at; }
};

struct StreamFollowerHooks {
  // All newest records are about to come; keys that don't are gone.
  std::function<void()> on_restart;
  std::function<void(const contracts::KeyedRecord&)> on_record;
  // Everything up to `end` has come.
  std::function<void(std::uint64_t end)> on_caught_up;
  // After each call: whether the service answered, and what it said if not.
  std::function<void(bool reached, const std::string& error)> on_call;
};

class StreamFollower : public RefCounted<StreamFollower> {
 public:
  StreamFollower(boost::asio::any_io_executor executor,
                 Ref<contracts::KeyedLog> log, StreamFollowerOptions options,
                 StreamFollowerHooks hooks);
  void Start();
  // No hook runs afterwards.
  void Stop();
  const StreamPosition& position() const { return position_; }
  // Forgets the longest call so far.
  void ResetSlowestRead() { position_.slowest_read = Duration::zero(); }

 private:
  boost::asio::awaitable<void> Run(Ref<StreamFollower> self);
  boost::asio::awaitable<bool> ReadNewest();
  boost::asio::awaitable<bool> ReadNewRecords();
  boost::asio::awaitable<void> Sleep(Duration pause);
  void RecordReadTime(MonotonicTime sent_at);

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  Ref<contracts::KeyedLog> log_;
  StreamFollowerOptions options_;
  StreamFollowerHooks hooks_;
  StreamPosition position_;
  bool stopped_ = false;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_STREAM_FOLLOWER_H_
