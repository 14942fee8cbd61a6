#include "framework/link/internal/connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

#include "framework/base/error.h"

namespace carobmast::link {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxHeaderBytes = 4096;
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::size_t kWriteBytes = std::size_t{64} * 1024;
constexpr std::uint32_t kStreamWindowBytes = 1024 * 1024;
constexpr std::int32_t kConnectionWindowBytes = 4 * 1024 * 1024;
// Limit of the incompletely received messages of one connection, as a multiple
// of max_message_bytes.
constexpr std::size_t kMaxBufferedMessages = 4;

std::string_view Text(const std::uint8_t* data, std::size_t length) {
  return {reinterpret_cast<const char*>(data), length};
}

nghttp2_nv ToNv(const std::pair<std::string, std::string>& header) {
  // The casts are safe because nghttp2 copies both strings without changing
  // them.
  nghttp2_nv nv{};
  nv.name =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.first.data()));
  nv.value =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.second.data()));
  nv.namelen = header.first.size();
  nv.valuelen = header.second.size();
  nv.flags = NGHTTP2_NV_FLAG_NONE;
  return nv;
}

std::vector<nghttp2_nv> ToNvList(const HeaderList& headers) {
  std::vector<nghttp2_nv> list;
  list.reserve(headers.size());
  for (const std::pair<std::string, std::string>& header : headers) {
    list.push_back(ToNv(header));
  }
  return list;
}

Connection* Self(void* user_data) {
  return static_cast<Connection*>(user_data);
}

}  // namespace

Connection::Connection(asio::ip::tcp::socket socket, ConnectionOptions options)
    : socket_(std::move(socket)),
      idle_timer_(socket_.get_executor()),
      alive_timer_(socket_.get_executor()),
      options_(std::move(options)),
      last_received_(MonotonicClock::now()) {
  error_code error;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  socket_.set_option(asio::socket_base::keep_alive(true), error);
  MakeSession();
  SubmitSettings();
}

Connection::~Connection() { nghttp2_session_del(session_); }

void Connection::MakeSession() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          &OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
  nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks,
                                                               &OnInvalidFrame);
  nghttp2_session_callbacks_set_before_frame_send_callback(callbacks,
                                                           &OnSendingFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
  const int result =
      options_.role == Role::kServer
          ? nghttp2_session_server_new(&session_, callbacks, this)
          : nghttp2_session_client_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  if (result != 0) {
    throw Error("link session", options_.peer, nghttp2_strerror(result));
  }
}

void Connection::SubmitSettings() {
  const std::array<nghttp2_settings_entry, 4> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options_.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  // ENABLE_PUSH, the last entry, is sent by clients only.
  const std::size_t count = options_.role == Role::kServer ? 3 : 4;
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), count);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

void Connection::Start(ConnectionHooks hooks) {
  hooks_ = std::move(hooks);
  const Ref<Connection> self(this);
  asio::co_spawn(socket_.get_executor(), Read(self), asio::detached);
  ScheduleWrite();
  ArmIdleTimer();
}

std::int32_t Connection::SendRequest(const HeaderList& headers,
                                     std::string body) {
  const std::vector<nghttp2_nv> list = ToNvList(headers);
  nghttp2_data_provider provider{};
  provider.read_callback = &ReadBody;
  const std::int32_t stream = nghttp2_submit_request(
      session_, nullptr, list.data(), list.size(), &provider, nullptr);
  if (stream < 0) return stream;
  streams_[stream].outgoing = std::move(body);
  ScheduleWrite();
  return stream;
}

void Connection::SendAnswer(std::int32_t stream, const HeaderList& headers,
                            std::string body) {
  Stream* found = FindStream(stream);
  if (found == nullptr || closed_) return;
  found->outgoing = std::move(body);
  const std::vector<nghttp2_nv> list = ToNvList(headers);
  nghttp2_data_provider provider{};
  provider.read_callback = &ReadBody;
  nghttp2_submit_response(session_, stream, list.data(), list.size(),
                          &provider);
  ScheduleWrite();
}

void Connection::Reset(std::int32_t stream, std::uint32_t error) {
  if (closed_) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error);
  ScheduleWrite();
}

bool Connection::HeadersSent(std::int32_t stream) const {
  const std::map<std::int32_t, Stream>::const_iterator found =
      streams_.find(stream);
  return found != streams_.end() && found->second.headers_sent;
}

void Connection::Drain() {
  if (closed_ || draining_) return;
  draining_ = true;
  last_stream_ = nghttp2_session_get_last_proc_stream_id(session_);
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last_stream_,
                        NGHTTP2_NO_ERROR, nullptr, 0);
  ScheduleWrite();
}

void Connection::Terminate(std::uint32_t error, const std::string& reason) {
  if (failure_.empty()) failure_ = reason;
  nghttp2_session_terminate_session(session_, error);
}

void Connection::Close(const std::string& reason) {
  if (closed_) return;
  const Ref<Connection> self(this);
  closed_ = true;
  unlink();
  error_code error;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, error);
  socket_.close(error);
  idle_timer_.cancel();
  alive_timer_.cancel();
  const std::function<void(const std::string&)> on_closed = hooks_.on_closed;
  if (on_closed) on_closed(failure_.empty() ? reason : failure_);
  Detach();
}

void Connection::Detach() { hooks_ = ConnectionHooks{}; }

Connection::Stream* Connection::FindStream(std::int32_t stream) {
  const std::map<std::int32_t, Stream>::iterator found = streams_.find(stream);
  return found == streams_.end() ? nullptr : &found->second;
}

bool Connection::IsFinished() const {
  return nghttp2_session_want_read(session_) == 0 &&
         nghttp2_session_want_write(session_) == 0;
}

void Connection::ArmIdleTimer() {
  if (options_.idle_timeout == Duration::zero() || closed_) return;
  idle_timer_.expires_at(last_received_ + options_.idle_timeout);
  const Ref<Connection> self(this);
  idle_timer_.async_wait([self](error_code error) {
    if (error || self->closed_) return;
    const bool idle = MonotonicClock::now() - self->last_received_ >=
                      self->options_.idle_timeout;
    if (idle && self->streams_.empty()) {
      self->Drain();
      return;
    }
    if (idle) self->last_received_ = MonotonicClock::now();
    self->ArmIdleTimer();
  });
}

void Connection::CheckAlive(Duration limit) {
  if (closed_ || checking_alive_) return;
  checking_alive_ = true;
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  ScheduleWrite();
  const MonotonicTime ping_sent_at = MonotonicClock::now();
  alive_timer_.expires_at(ping_sent_at + limit);
  const Ref<Connection> self(this);
  alive_timer_.async_wait([self, ping_sent_at](error_code error) {
    self->checking_alive_ = false;
    if (error || self->last_received_ >= ping_sent_at) return;
    self->Close("the peer is silent");
  });
}

void Connection::ScheduleWrite() {
  if (write_scheduled_ || writing_ || closed_) return;
  write_scheduled_ = true;
  const Ref<Connection> self(this);
  asio::post(socket_.get_executor(), [self] {
    self->write_scheduled_ = false;
    if (self->writing_ || self->closed_) return;
    self->writing_ = true;
    asio::co_spawn(self->socket_.get_executor(), Write(self), asio::detached);
  });
}

std::string Connection::NextOutput() {
  std::string output;
  while (output.size() < kWriteBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t length = nghttp2_session_mem_send(session_, &data);
    if (length <= 0) break;
    output.append(Text(data, static_cast<std::size_t>(length)));
  }
  return output;
}

asio::awaitable<void> Connection::Write(Ref<Connection> self) {
  std::string reason;
  while (!self->closed_) {
    const std::string output = self->NextOutput();
    if (output.empty()) break;
    error_code error;
    co_await asio::async_write(
        self->socket_, asio::buffer(output),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      reason = "send: " + error.message();
      break;
    }
  }
  self->writing_ = false;
  if (!reason.empty() || self->IsFinished()) self->Close(reason);
}

asio::awaitable<void> Connection::Read(Ref<Connection> self) {
  std::array<std::uint8_t, kReadBytes> buffer{};
  while (!self->closed_) {
    error_code error;
    const std::size_t length = co_await self->socket_.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (self->closed_) co_return;
    if (error) {
      const bool orderly = error == asio::error::eof && self->streams_.empty();
      self->Close(orderly ? "" : "receive: " + error.message());
      co_return;
    }
    self->last_received_ = MonotonicClock::now();
    const ssize_t result =
        nghttp2_session_mem_recv(self->session_, buffer.data(), length);
    if (result < 0) {
      self->Close(std::string("malformed bytes: ") +
                  nghttp2_strerror(static_cast<int>(result)));
      co_return;
    }
    self->ScheduleWrite();
  }
}

int Connection::OnBeginHeaders(nghttp2_session* /*session*/,
                               const nghttp2_frame* frame, void* user_data) {
  Connection* self = Self(user_data);
  Stream& stream = self->streams_[frame->hd.stream_id];
  stream.header_bytes = 0;
  return 0;
}

int Connection::OnHeader(nghttp2_session* /*session*/,
                         const nghttp2_frame* frame, const std::uint8_t* name,
                         std::size_t name_length, const std::uint8_t* value,
                         std::size_t value_length, std::uint8_t /*flags*/,
                         void* user_data) {
  Connection* self = Self(user_data);
  Stream* stream = self->FindStream(frame->hd.stream_id);
  if (stream == nullptr) return 0;
  stream->header_bytes += name_length + value_length;
  if (stream->header_bytes > kMaxHeaderBytes) {
    self->Terminate(
        NGHTTP2_ENHANCE_YOUR_CALM,
        "a header block is over " + std::to_string(kMaxHeaderBytes) + " bytes");
    return 0;
  }
  const std::string_view key = Text(name, name_length);
  const std::string_view text = Text(value, value_length);
  if (key == ":method") stream->received.verb = text;
  if (key == ":path") stream->received.path = text;
  if (key == ":status") stream->received.status = text;
  if (key == "carobmast-version") stream->received.version = text;
  return 0;
}

int Connection::OnData(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                       std::int32_t stream, const std::uint8_t* data,
                       std::size_t length, void* user_data) {
  Connection* self = Self(user_data);
  Stream* found = self->FindStream(stream);
  if (found == nullptr) return 0;
  const std::size_t limit = self->options_.max_message_bytes;
  if (found->received.body.size() + length > limit) {
    self->Terminate(NGHTTP2_ENHANCE_YOUR_CALM,
                    "a message is over " + std::to_string(limit) + " bytes");
    return 0;
  }
  if (self->buffered_bytes_ + length > limit * kMaxBufferedMessages) {
    self->Reset(stream, self->options_.role == Role::kServer
                            ? NGHTTP2_REFUSED_STREAM
                            : NGHTTP2_CANCEL);
    return 0;
  }
  self->buffered_bytes_ += length;
  found->received.body.append(Text(data, length));
  return 0;
}

int Connection::OnFrame(nghttp2_session* /*session*/,
                        const nghttp2_frame* frame, void* user_data) {
  Connection* self = Self(user_data);
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    const std::uint32_t error = frame->goaway.error_code;
    if (error != NGHTTP2_NO_ERROR && self->failure_.empty()) {
      self->failure_ =
          std::string("closed by the peer: ") + nghttp2_http2_strerror(error);
    }
    if (self->hooks_.on_goaway) self->hooks_.on_goaway();
    return 0;
  }
  const bool carries_message =
      frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  if (!carries_message || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
    return 0;
  }
  Stream* stream = self->FindStream(frame->hd.stream_id);
  if (stream == nullptr || !self->hooks_.on_message) return 0;
  if (self->draining_ && self->options_.role == Role::kServer &&
      frame->hd.stream_id > self->last_stream_) {
    // The GOAWAY frame has told the peer that this stream is not processed.
    self->Reset(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    return 0;
  }
  self->buffered_bytes_ -= stream->received.body.size();
  Message message = std::move(stream->received);
  stream->received = Message{};
  self->hooks_.on_message(frame->hd.stream_id, std::move(message));
  return 0;
}

int Connection::OnInvalidFrame(nghttp2_session* /*session*/,
                               const nghttp2_frame* /*frame*/, int error,
                               void* user_data) {
  Connection* self = Self(user_data);
  self->Terminate(NGHTTP2_PROTOCOL_ERROR,
                  std::string("malformed frame: ") + nghttp2_strerror(error));
  return 0;
}

int Connection::OnSendingFrame(nghttp2_session* /*session*/,
                               const nghttp2_frame* frame, void* user_data) {
  Connection* self = Self(user_data);
  if (frame->hd.type == NGHTTP2_GOAWAY && self->failure_.empty() &&
      frame->goaway.error_code != NGHTTP2_NO_ERROR) {
    // nghttp2 rejected a frame of the peer and gives the reason in the GOAWAY
    // frame.
    self->failure_ =
        "malformed frame: " + std::string(Text(frame->goaway.opaque_data,
                                               frame->goaway.opaque_data_len));
  }
  if (frame->hd.type != NGHTTP2_HEADERS) return 0;
  Stream* stream = self->FindStream(frame->hd.stream_id);
  if (stream != nullptr) stream->headers_sent = true;
  return 0;
}

int Connection::OnStreamClose(nghttp2_session* /*session*/, std::int32_t stream,
                              std::uint32_t error, void* user_data) {
  Connection* self = Self(user_data);
  Stream* found = self->FindStream(stream);
  if (found == nullptr) return 0;
  self->buffered_bytes_ -= found->received.body.size();
  if (self->hooks_.on_stream_end) {
    self->hooks_.on_stream_end(stream, error);
  }
  self->streams_.erase(stream);
  return 0;
}

ssize_t Connection::ReadBody(nghttp2_session* /*session*/, std::int32_t stream,
                             std::uint8_t* buffer, std::size_t length,
                             std::uint32_t* flags,
                             nghttp2_data_source* /*source*/, void* user_data) {
  Stream* found = Self(user_data)->FindStream(stream);
  if (found == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t left = found->outgoing.size() - found->outgoing_offset;
  const std::size_t part = std::min(left, length);
  std::memcpy(buffer, found->outgoing.data() + found->outgoing_offset, part);
  found->outgoing_offset += part;
  if (found->outgoing_offset == found->outgoing.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(part);
}

}  // namespace carobmast::link
