#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>
#include <vector>

#include "framework/link/internal/connection.h"
#include "framework/link/link.h"

namespace carobmast::link {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Limit of the waiting and in-flight calls of one client.
constexpr std::size_t kMaxCalls = 1000;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

// The state of one call until it has ended.
struct PendingCall : RefCounted<PendingCall> {
  PendingCall(const asio::any_io_executor& executor, MonotonicTime deadline)
      : signal(executor, deadline) {}

  void Finish() {
    done = true;
    signal.cancel();
  }
  void Fail(std::string reason, bool was_not_sent) {
    failure = std::move(reason);
    not_sent = was_not_sent;
    Finish();
  }

  std::string method;
  std::string request;
  // Expires at the deadline; cancelled when the call is done.
  asio::steady_timer signal;
  Ref<Connection> link;
  std::int32_t stream = 0;
  MonotonicTime sent_at;
  Message answer;
  std::string failure;
  bool not_sent = false;
  bool done = false;
};

}  // namespace

CallError::CallError(const std::string& method, std::string peer,
                     const std::string& reason, bool not_sent)
    : Error("link call " + method, std::move(peer),
            not_sent ? "not sent: " + reason : reason),
      not_sent_(not_sent) {}

struct LinkClient::Impl : RefCounted<LinkClient::Impl> {
  explicit Impl(asio::any_io_executor client_executor,
                LinkClientOptions client_options)
      : executor(std::move(client_executor)),
        options(std::move(client_options)),
        peer(options.peer.ToString()) {}

  // Sends the call now, or once the link is connected.
  void Begin(const Ref<PendingCall>& call) {
    if (call->request.size() > options.max_message_bytes) {
      call->Fail("the request is over " +
                     std::to_string(options.max_message_bytes) + " bytes",
                 true);
    } else if (closing) {
      call->Fail("the link is closed", true);
    } else if (waiting.size() + in_flight.size() >= kMaxCalls) {
      call->Fail("too many calls are in flight", true);
    } else if (link != nullptr) {
      Submit(call);
    } else if (!connecting && MonotonicClock::now() < connect_not_before) {
      call->Fail("the peer was not reachable: " + last_failure, true);
    } else {
      waiting.push_back(call);
      if (!connecting) {
        connecting = true;
        asio::co_spawn(executor, Connect(Ref<Impl>(this)), asio::detached);
      }
    }
  }

  void Submit(const Ref<PendingCall>& call) {
    const HeaderList headers = {
        {":method", "POST"},
        {":scheme", "http"},
        {":authority", peer},
        {":path", "/" + call->method},
        {"carobmast-version", std::to_string(options.version)}};
    const std::int32_t stream =
        link->SendRequest(headers, std::move(call->request));
    if (stream < 0) {
      call->Fail(nghttp2_strerror(stream), true);
      return;
    }
    call->link = link;
    call->stream = stream;
    call->sent_at = MonotonicClock::now();
    in_flight.push_back(call);
  }

  static asio::awaitable<void> Connect(Ref<Impl> self) {
    asio::ip::tcp::socket socket(self->executor);
    error_code error;
    const asio::ip::address ip =
        asio::ip::make_address(self->options.peer.ip, error);
    if (!error) {
      // The timer's handler may run after this coroutine has ended, so it uses
      // the socket through a guard that is cleared below.
      const Ref<SocketGuard> guard = MakeRef<SocketGuard>(&socket);
      asio::steady_timer timer(self->executor, self->options.connect_timeout);
      timer.async_wait([guard](error_code wait_error) {
        if (!wait_error) guard->Close();
      });
      co_await socket.async_connect(
          {ip, self->options.peer.port},
          asio::redirect_error(asio::use_awaitable, error));
      guard->socket = nullptr;
    }
    self->connecting = false;
    if (self->closing) {
      self->FailWaiting("the link is closed");
    } else if (error) {
      self->RecordFailure("connect: " + error.message());
      self->FailWaiting(self->last_failure);
    } else {
      self->UseSocket(std::move(socket));
    }
  }

  void UseSocket(asio::ip::tcp::socket socket) {
    link = MakeRef<Connection>(
        std::move(socket),
        ConnectionOptions{.role = Role::kClient,
                          .peer = peer,
                          .max_message_bytes = options.max_message_bytes,
                          .max_streams = kMaxCalls});
    Connection* raw = link.get();
    links.push_back(*link);
    link->Start({.on_message =
                     [this, raw](std::int32_t stream, Message message) {
                       Answered(raw, stream, std::move(message));
                     },
                 .on_stream_end =
                     [this, raw](std::int32_t stream, std::uint32_t error) {
                       StreamEnded(raw, stream, error);
                     },
                 .on_goaway = [this, raw] { Abandon(raw); },
                 .on_closed =
                     [this, raw](const std::string& reason) {
                       LinkClosed(raw, reason);
                     }});
    std::list<Ref<PendingCall>> calls;
    calls.swap(waiting);
    for (const Ref<PendingCall>& call : calls) Submit(call);
  }

  Ref<PendingCall> TakeInFlight(const Connection* from, std::int32_t stream) {
    for (std::list<Ref<PendingCall>>::iterator call = in_flight.begin();
         call != in_flight.end(); ++call) {
      if ((*call)->link.get() != from || (*call)->stream != stream) continue;
      Ref<PendingCall> taken = *call;
      in_flight.erase(call);
      return taken;
    }
    return nullptr;
  }

  void Answered(Connection* from, std::int32_t stream, Message message) {
    const Ref<PendingCall> call = TakeInFlight(from, stream);
    if (call == nullptr) return;
    backoff = kFirstBackoff;
    call->answer = std::move(message);
    call->Finish();
  }

  void StreamEnded(Connection* from, std::int32_t stream, std::uint32_t error) {
    const Ref<PendingCall> call = TakeInFlight(from, stream);
    if (call == nullptr) return;
    const bool not_sent =
        error == NGHTTP2_REFUSED_STREAM || !from->HeadersSent(stream);
    call->Fail(
        std::string("the stream ended: ") + nghttp2_http2_strerror(error),
        not_sent);
  }

  // Stops using the link `from` for new calls; the next call connects again.
  void Abandon(const Connection* from) {
    if (link.get() == from) link = nullptr;
  }

  void LinkClosed(Connection* from, const std::string& reason) {
    Abandon(from);
    const std::string text = reason.empty() ? "closed by the peer" : reason;
    if (!reason.empty()) RecordFailure(text);
    std::list<Ref<PendingCall>> failed;
    for (const Ref<PendingCall>& call : in_flight) {
      if (call->link.get() == from) failed.push_back(call);
    }
    in_flight.remove_if([from](const Ref<PendingCall>& call) {
      return call->link.get() == from;
    });
    for (const Ref<PendingCall>& call : failed) {
      call->Fail(text, !from->HeadersSent(call->stream));
    }
  }

  void RecordFailure(const std::string& reason) {
    last_failure = reason;
    connect_not_before = MonotonicClock::now() + backoff;
    backoff = std::min(backoff * 2, kMaxBackoff);
  }

  void FailWaiting(const std::string& reason) {
    std::list<Ref<PendingCall>> calls;
    calls.swap(waiting);
    for (const Ref<PendingCall>& call : calls) call->Fail(reason, true);
  }

  void TimedOut(const Ref<PendingCall>& call) {
    if (call->stream == 0) {
      waiting.remove(call);
      call->Fail("timed out while connecting", true);
      return;
    }
    const bool not_sent = !call->link->HeadersSent(call->stream);
    const bool is_silent = call->link->last_received() <= call->sent_at;
    TakeInFlight(call->link.get(), call->stream);
    call->link->Reset(call->stream, NGHTTP2_CANCEL);
    call->Fail("timed out", not_sent);
    if (is_silent) call->link->CheckAlive(options.connect_timeout);
  }

  // Closes a socket while it is still connecting; `socket` is null once
  // connecting has ended.
  struct SocketGuard : RefCounted<SocketGuard> {
    explicit SocketGuard(asio::ip::tcp::socket* guarded) : socket(guarded) {}
    void Close() const {
      if (socket == nullptr) return;
      error_code error;
      socket->close(error);
    }
    asio::ip::tcp::socket* socket;
  };

  asio::any_io_executor executor;
  LinkClientOptions options;
  std::string peer;
  // The link that new calls use, or null.
  Ref<Connection> link;
  // All open links, including those that only finish their calls in flight.
  boost::intrusive::list<Connection,
                         boost::intrusive::constant_time_size<false>>
      links;
  std::list<Ref<PendingCall>> waiting;
  std::list<Ref<PendingCall>> in_flight;
  MonotonicTime connect_not_before;
  Duration backoff = kFirstBackoff;
  std::string last_failure;
  bool connecting = false;
  bool closing = false;
};

LinkClient::LinkClient(asio::any_io_executor executor,
                       LinkClientOptions options)
    : impl_(MakeRef<Impl>(std::move(executor), std::move(options))) {}

LinkClient::~LinkClient() {
  impl_->closing = true;
  Close();
}

void LinkClient::Close() {
  std::vector<Ref<Connection>> all;
  for (Connection& link : impl_->links) all.emplace_back(&link);
  for (const Ref<Connection>& link : all) link->Close("closed by its owner");
  impl_->connect_not_before = MonotonicTime();
}

asio::awaitable<std::string> LinkClient::Call(std::string method,
                                              std::string request,
                                              Duration timeout) {
  const Ref<Impl> impl = impl_;
  const Ref<PendingCall> call =
      MakeRef<PendingCall>(impl->executor, MonotonicClock::now() + timeout);
  call->method = std::move(method);
  call->request = std::move(request);
  impl->Begin(call);
  if (!call->done) {
    error_code error;
    co_await call->signal.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (!call->done) impl->TimedOut(call);
  }
  if (!call->failure.empty()) {
    throw CallError(call->method, impl->peer, call->failure, call->not_sent);
  }
  if (call->answer.status != "200") {
    throw CallError(
        call->method, impl->peer,
        "answered " + call->answer.status + ": " + call->answer.body, false);
  }
  co_return std::move(call->answer.body);
}

}  // namespace carobmast::link
