// Follows a keyed stream: delivers the newest record of each key first, then
// every new record.
#ifndef CAROBMAST_NODE_STREAM_FOLLOWER_H_
#define CAROBMAST_NODE_STREAM_FOLLOWER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "contracts/keyed_log.h"

namespace carobmast::node {

struct StreamFollowerOptions {
  contracts::StreamId stream;
  // How long one read waits for a record. Bounds the time until a dead
  // connection is detected.
  Duration read_wait = std::chrono::seconds(1);
  // Pause after a read that succeeded.
  Duration read_interval = std::chrono::milliseconds(20);
  // Of a call, on top of `read_wait` for all reads of new records.
  Duration timeout = std::chrono::milliseconds(600);
  // Pause after a failed call.
  Duration retry_delay = std::chrono::milliseconds(200);
};

// When the next read of new records is sent, and how long it waits for one.
struct NextRead {
  Duration pause{0};
  Duration wait{0};
};

// After a failed read the next one does not wait: until it is answered, the
// view gets older and the store counts as unreachable, although it may be back.
NextRead PlanNextRead(const StreamFollowerOptions& options,
                      bool last_read_failed);

// How far a stream has been read.
struct StreamPosition {
  // Offset of the next record to read, and the end of the stream as last
  // reported by the store.
  std::uint64_t next = 0;
  std::uint64_t end = 0;
  // Everything stored before this time has been read. Zero when the stream was
  // never read to its end.
  MonotonicTime current_at;
  std::uint64_t reads = 0;
  // The longest duration of a call since the last reset.
  Duration slowest_read{0};

  Duration Age(MonotonicTime now) const { return now - current_at; }
};

struct StreamFollowerHooks {
  // The newest records of all keys follow. Keys without a record among them no
  // longer exist.
  std::function<void()> on_restart;
  std::function<void(const contracts::KeyedRecord&)> on_record;
  // All records up to `end` have been delivered.
  std::function<void(std::uint64_t end)> on_caught_up;
  // Called after each call to the store; `error` says why it failed.
  std::function<void(bool reached, const std::string& error)> on_call;
};

class StreamFollower : public RefCounted<StreamFollower> {
 public:
  StreamFollower(boost::asio::any_io_executor executor,
                 Ref<contracts::KeyedLog> log, StreamFollowerOptions options,
                 StreamFollowerHooks hooks);
  void Start();
  // No hook is called afterwards.
  void Stop();
  const StreamPosition& position() const { return position_; }
  void ResetSlowestRead() { position_.slowest_read = Duration::zero(); }

 private:
  boost::asio::awaitable<void> Run(Ref<StreamFollower> self);
  // Reads the newest record of each key; false when a call failed.
  boost::asio::awaitable<bool> ReadNewest();
  // False when the next offset is no longer stored and ReadNewest is needed.
  boost::asio::awaitable<bool> ReadNewRecords();
  boost::asio::awaitable<void> Sleep(Duration pause);
  void RecordReadTime(MonotonicTime sent_at);

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  Ref<contracts::KeyedLog> log_;
  StreamFollowerOptions options_;
  StreamFollowerHooks hooks_;
  StreamPosition position_;
  bool last_read_failed_ = false;
  bool stopped_ = false;
};

}  // namespace carobmast::node

#endif  // CAROBMAST_NODE_STREAM_FOLLOWER_H_
