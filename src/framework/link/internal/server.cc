#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

#include "framework/base/error.h"
#include "framework/link/internal/connection.h"
#include "framework/link/link.h"
#include "framework/net/listener.h"

namespace carobmast::link {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Pause after a failed accept, e.g. when file descriptors have run out.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

HeaderList AnswerHeaders(const char* status) { return {{":status", status}}; }

// Whether a server of version `server_version` accepts calls of version `text`:
// its own and the one before it.
bool AcceptsVersion(std::uint32_t server_version, const std::string& text) {
  std::uint32_t version = 0;
  const char* last = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), last, version);
  if (parsed.ec != std::errc() || parsed.ptr != last) return false;
  return version == server_version ||
         version + std::uint64_t{1} == server_version;
}

std::string RemoteAddress(const asio::ip::tcp::socket& socket) {
  error_code error;
  const asio::ip::tcp::endpoint endpoint = socket.remote_endpoint(error);
  if (error) return "unknown";
  return net::Address{.ip = endpoint.address().to_string(),
                      .port = endpoint.port()}
      .ToString();
}

}  // namespace

struct LinkServer::Impl : RefCounted<LinkServer::Impl> {
  using Links =
      boost::intrusive::list<Connection,
                             boost::intrusive::constant_time_size<false>>;

  Impl(const asio::any_io_executor& executor, LinkServerOptions server_options)
      : options(std::move(server_options)),
        acceptor(net::OpenListener(executor, options.listen)),
        drain_timer(executor) {}

  static asio::awaitable<void> Accept(Ref<Impl> self) {
    while (!self->stopping) {
      error_code error;
      asio::ip::tcp::socket socket = co_await self->acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
      if (error) {
        asio::steady_timer pause(self->acceptor.get_executor(), kAcceptPause);
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
        continue;
      }
      self->AddLink(std::move(socket));
    }
  }

  void AddLink(asio::ip::tcp::socket socket) {
    if (links.size() >= options.max_links) return;
    const std::string peer = RemoteAddress(socket);
    const Ref<Connection> link = MakeRef<Connection>(
        std::move(socket),
        ConnectionOptions{.role = Role::kServer,
                          .peer = peer,
                          .max_message_bytes = options.max_message_bytes,
                          .max_streams = options.max_calls_per_link,
                          .idle_timeout = options.idle_timeout});
    Connection* raw = link.get();
    links.push_back(*link);
    link->Start({.on_message =
                     [this, raw](std::int32_t stream, Message message) {
                       StartCall(Ref<Connection>(raw), stream,
                                 std::move(message));
                     },
                 .on_closed =
                     [this, peer](const std::string& reason) {
                       LinkClosed(peer, reason);
                     }});
    if (stopping) link->Drain();
  }

  void LinkClosed(const std::string& peer, const std::string& reason) {
    if (!reason.empty() && options.on_link_error) {
      options.on_link_error(Error("link receive", peer, reason));
    }
    if (stopping) drain_timer.cancel();
  }

  void StartCall(const Ref<Connection>& link, std::int32_t stream,
                 Message message) {
    // Handlers keep running after the peer has reset their streams, so the
    // limit on concurrent streams does not limit them.
    if (link->running_handlers() >= options.max_calls_per_link) {
      link->Reset(stream, NGHTTP2_REFUSED_STREAM);
      return;
    }
    if (!AcceptsVersion(options.version, message.version)) {
      link->SendAnswer(stream, AnswerHeaders("505"),
                       "version '" + message.version +
                           "' is not accepted by version " +
                           std::to_string(options.version));
      return;
    }
    const std::string method =
        message.path.empty() ? "" : message.path.substr(1);
    const std::map<std::string, CallHandler>::const_iterator handler =
        options.handlers.find(method);
    if (message.verb != "POST" || handler == options.handlers.end()) {
      link->SendAnswer(stream, AnswerHeaders("404"),
                       "there is no method " + method);
      return;
    }
    link->HandlerStarted();
    asio::co_spawn(acceptor.get_executor(),
                   RunCall(Ref<Impl>(this), link, stream, &handler->second,
                           std::move(message.body)),
                   asio::detached);
  }

  // `handler` points into the options, which `self` keeps alive.
  static asio::awaitable<void> RunCall(Ref<Impl> self, Ref<Connection> link,
                                       std::int32_t stream,
                                       const CallHandler* handler,
                                       std::string request) {
    const char* status = "200";
    std::string answer;
    try {
      answer = co_await (*handler)(std::move(request));
    } catch (const std::exception& error) {
      status = "500";
      answer = error.what();
    }
    if (answer.size() > self->options.max_message_bytes) {
      status = "500";
      answer = "the answer is over " +
               std::to_string(self->options.max_message_bytes) + " bytes";
    }
    link->HandlerEnded();
    link->SendAnswer(stream, AnswerHeaders(status), std::move(answer));
  }

  // Calls `action` for each link, which may close the link.
  void ForEachLink(const std::function<void(Connection&)>& action) {
    std::vector<Ref<Connection>> all;
    for (Connection& link : links) all.emplace_back(&link);
    for (const Ref<Connection>& link : all) action(*link);
  }

  LinkServerOptions options;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer drain_timer;
  Links links;
  bool stopping = false;
};

LinkServer::LinkServer(asio::any_io_executor executor,
                       LinkServerOptions options)
    : impl_(MakeRef<Impl>(executor, std::move(options))) {
  asio::co_spawn(executor, Impl::Accept(impl_), asio::detached);
}

LinkServer::~LinkServer() {
  impl_->stopping = true;
  error_code error;
  impl_->acceptor.close(error);
  impl_->ForEachLink([](Connection& link) {
    link.Detach();
    link.Close("");
  });
}

net::Address LinkServer::address() const {
  return net::AddressOf(impl_->acceptor);
}

std::size_t LinkServer::links() const { return impl_->links.size(); }

asio::awaitable<void> LinkServer::Stop(Duration grace) {
  const Ref<Impl> impl = impl_;
  impl->stopping = true;
  error_code error;
  for (asio::ip::tcp::socket& socket : net::CloseListener(impl->acceptor)) {
    impl->AddLink(std::move(socket));
  }
  impl->ForEachLink([](Connection& link) { link.Drain(); });
  const MonotonicTime deadline = MonotonicClock::now() + grace;
  while (!impl->links.empty() && MonotonicClock::now() < deadline) {
    impl->drain_timer.expires_at(deadline);
    co_await impl->drain_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  impl->ForEachLink([](Connection& link) { link.Close("stopped"); });
}

}  // namespace carobmast::link
