// One HTTP/2 connection over TCP as client or server: the socket, the nghttp2
// session and the limits on what the peer may send.
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

// A received request or answer.
struct Message {
  // The pseudo-headers :method (verb), :path and :status and the header
  // carobmast-version; empty when absent.
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
  // A connection is drained after this long without received bytes and open
  // streams. Zero disables the limit.
  Duration idle_timeout = Duration::zero();
};

// Callbacks to the owner of a connection. The owner must outlive the connection
// or call Detach().
struct ConnectionHooks {
  // A whole message was received on `stream`.
  std::function<void(std::int32_t stream, Message message)> on_message;
  // `stream` was closed. `error` is an HTTP/2 error code, 0 for none.
  std::function<void(std::int32_t stream, std::uint32_t error)> on_stream_end;
  // The peer accepts no further streams (GOAWAY was received).
  std::function<void()> on_goaway;
  // The connection was closed; `reason` is empty after an orderly end. Called
  // once.
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

  // Starts reading and writing. Must be called once.
  void Start(ConnectionHooks hooks);

  // Submits a request. Returns the id of its stream, or a negative nghttp2
  // error code.
  std::int32_t SendRequest(const HeaderList& headers, std::string body);
  // Submits the answer to the request on `stream`. Does nothing if the stream
  // has been closed.
  void SendAnswer(std::int32_t stream, const HeaderList& headers,
                  std::string body);
  // Resets one stream with an HTTP/2 error code.
  void Reset(std::int32_t stream, std::uint32_t error);
  // Whether the HEADERS frame of the local message on `stream` has been passed
  // on for sending, so that the peer may have received it. False for a closed
  // stream.
  bool HeadersSent(std::int32_t stream) const;

  // Announces that no further streams are accepted (GOAWAY). The connection
  // closes when the open streams have ended.
  void Drain();
  // Closes at once. `reason` is passed to on_closed unless an earlier failure
  // was recorded.
  void Close(const std::string& reason);
  // Sends a ping and closes the connection unless any bytes, e.g. the answer to
  // the ping, are received within `limit`.
  void CheckAlive(Duration limit);
  // Removes all callbacks, for an owner that is destroyed first.
  void Detach();

  bool closed() const { return closed_; }
  // The time when bytes were last received.
  MonotonicTime last_received() const { return last_received_; }
  // The number of server handlers that run for this connection.
  std::uint32_t running_handlers() const { return running_handlers_; }
  void HandlerStarted() { ++running_handlers_; }
  void HandlerEnded() { --running_handlers_; }

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
  // Ends the session with a GOAWAY frame that carries `error`.
  void Terminate(std::uint32_t error, const std::string& reason);
  Stream* FindStream(std::int32_t stream);
  // Whether nghttp2 has nothing left to read or write.
  bool IsFinished() const;
  // Returns the next bytes to send, or an empty string.
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
  // Total bytes of incompletely received messages.
  std::size_t buffered_bytes_ = 0;
  MonotonicTime last_received_;
  // The first failure of the session; takes precedence over Close()'s reason.
  std::string failure_;
  std::uint32_t running_handlers_ = 0;
  // While draining: the last stream that is still processed.
  std::int32_t last_stream_ = 0;
  bool draining_ = false;
  bool write_scheduled_ = false;
  bool writing_ = false;
  bool checking_alive_ = false;
  bool closed_ = false;
};

}  // namespace carobmast::link

#endif  // CAROBMAST_FRAMEWORK_LINK_INTERNAL_CONNECTION_H_
