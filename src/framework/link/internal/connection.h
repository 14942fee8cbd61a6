// One HTTP/2 connection over TCP in either role: the socket, the nghttp2
// session and the limits on everything that the peer may send.
#ifndef CAROBMAST_FRAMEWORK_LINK_INTERNAL_CONNECTION_H_
#define CAROBMAST_FRAMEWORK_LINK_INTERNAL_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "framework/base/intrusive.h"
#include "framework/base/time.h"

namespace carobmast::link {

// A request or an answer as it came in.
struct Message {
  // Pseudo headers and the product's own; absent ones stay empty.
  std::string verb;
  std::string path;
  std::string status;
  std::string version;
  std::string body;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

enum class Role { kClient, kServer };

struct ConnectionOptions {
  Role role = Role::kClient;
  // The peer's address, for errors.
  std::string peer;
  std::size_t max_message_bytes = 0;
  std::uint32_t max_streams = 0;
  // A connection without received bytes for this long announces its end.
  // Zero for no limit.
  Duration idle_timeout = Duration::zero();
};

// What the owner of a connection is told. It outlives the connection or calls
// Detach.
struct ConnectionHooks {
  // A whole message has arrived on `stream`.
  std::function<void(std::int32_t stream, Message message)> on_message;
  // `stream` ended. `error` is an HTTP/2 error code, 0 for none.
  std::function<void(std::int32_t stream, std::uint32_t error)> on_stream_end;
  // The peer takes no further streams.
  std::function<void()> on_goaway;
  // The connection is closed; empty `reason` for an orderly end. Called once.
  std::function<void(const std::string& reason)> on_closed;
};

class Connection
    : public RefCounted<Connection>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  Connection(boost::asio::ip::tcp::socket socket, ConnectionOptions options);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Begins to read and write. Called once.
  void Start(ConnectionHooks hooks);

  // Sends a request; returns its stream, or a negative nghttp2 error.
  std::int32_t SendRequest(const HeaderList& headers, std::string body);
  // Answers a request, unless its stream has ended meanwhile.
  void SendAnswer(std::int32_t stream, const HeaderList& headers,
                  std::string body);
  // Ends one stream with an HTTP/2 error code.
  void Reset(std::int32_t stream, std::uint32_t error);
  // Whether the head of a message has been handed to the network.
  bool HeadersSent(std::int32_t stream) const;

  // Announces that no further streams are taken; the connection closes when
  // those in flight have ended.
  void Drain();
  // Closes at once. `reason` goes to on_closed.
  void Close(const std::string& reason);
  // Closes unless the peer sends anything, e.g. a ping's answer, within
  // `limit`.
  void CheckAlive(Duration limit);
  // Forgets all hooks, for an owner that goes away.
  void Detach();

  bool closed() const { return closed_; }
  // When bytes were last received.
  MonotonicTime last_received() const { return last_received_; }
  // The server's handlers that run for this connection.
  std::uint32_t running_handlers() const { return running_handlers_; }
  void HandlerBegins() { ++running_handlers_; }
  void HandlerEnds() { --running_handlers_; }

 private:
  struct Stream {
    Message received;
    std::size_t header_bytes = 0;
    std::string outgoing;
    std::size_t outgoing_offset = 0;
    bool headers_sent = false;
  };

  void MakeSession();
  void SubmitSettings();
  void ScheduleWrite();
  void ArmIdleTimer();
  // Ends the session with an error that the peer is told by GOAWAY.
  void Terminate(std::uint32_t error, const std::string& reason);
  Stream* FindStream(std::int32_t stream);
  bool IsFinished() const;
  std::string NextOutput();

  static boost::asio::awaitable<void> Read(Ref<Connection> self);
  static boost::asio::awaitable<void> Write(Ref<Connection> self);

  static int OnBeginHeaders(nghttp2_session* session,
                            const nghttp2_frame* frame, void* user_data);
  static int OnHeader(nghttp2_session* session, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_length,
                      const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t flags, void* user_data);
  static int OnData(nghttp2_session* session, std::uint8_t flags,
                    std::int32_t stream, const std::uint8_t* data,
                    std::size_t length, void* user_data);
  static int OnFrame(nghttp2_session* session, const nghttp2_frame* frame,
                     void* user_data);
  static int OnInvalidFrame(nghttp2_session* session,
                            const nghttp2_frame* frame, int error,
                            void* user_data);
  static int OnSendingFrame(nghttp2_session* session,
                            const nghttp2_frame* frame, void* user_data);
  static int OnStreamClose(nghttp2_session* session, std::int32_t stream,
                           std::uint32_t error, void* user_data);
  static ssize_t ReadBody(nghttp2_session* session, std::int32_t stream,
                          std::uint8_t* buffer, std::size_t length,
                          std::uint32_t* flags, nghttp2_data_source* source,
                          void* user_data);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer idle_timer_;
  boost::asio::steady_timer alive_timer_;
  ConnectionOptions options_;
  ConnectionHooks hooks_;
  nghttp2_session* session_ = nullptr;
  std::map<std::int32_t, Stream> streams_;
  // Bytes of messages that are not yet whole.
  std::size_t buffered_bytes_ = 0;
  MonotonicTime last_received_;
  std::string failure_;
  std::uint32_t running_handlers_ = 0;
  // While draining: the last stream that is still answered.
  std::int32_t last_stream_ = 0;
  bool draining_ = false;
  bool write_scheduled_ = false;
  bool writing_ = false;
  bool checking_alive_ = false;
  bool closed_ = false;
};

}  // namespace carobmast::link

#endif  // CAROBMAST_FRAMEWORK_LINK_INTERNAL_CONNECTION_H_
