#include "standin/worker_host.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "contracts/service_codec.h"
#include "framework/base/error.h"

namespace carobmast::standin {

namespace asio = boost::asio;
using contracts::CommandAnswer;
using contracts::CommandOutcome;
using contracts::WorkerCommand;
using net::ServerAnswer;
using net::ServerRequest;

namespace {

constexpr Duration kPausePollInterval = std::chrono::milliseconds(10);
// How long a stopped target lets requests in flight finish.
constexpr Duration kTargetStopGrace = std::chrono::seconds(10);
constexpr std::size_t kMaxCommandBytes = std::size_t{1024} * 1024;

asio::awaitable<void> StopTarget(Ref<Target> target, Duration grace) {
  co_await target->Stop(grace);
}

// Parses the command of "POST /workers/NAME/VERB". Throws Error (step "worker
// command") for any other method or path.
WorkerCommand ParseCommand(const ServerRequest& request) {
  constexpr char kPrefix[] = "/workers/";
  const std::size_t name_start = sizeof(kPrefix) - 1;
  const std::size_t slash = request.path.find('/', name_start);
  if (request.method != "POST" || request.path.rfind(kPrefix, 0) != 0 ||
      slash == std::string::npos) {
    throw Error("worker command", "caller", "expected POST /workers/NAME/VERB");
  }
  WorkerCommand command{
      .verb = contracts::ParseVerb(request.path.substr(slash + 1), "caller"),
      .worker = request.path.substr(name_start, slash - name_start)};
  return contracts::DecodeCommand(request.body, std::move(command), "caller");
}

int HttpStatus(CommandOutcome outcome) {
  switch (outcome) {
    case CommandOutcome::kDone:
      return 200;
    case CommandOutcome::kStale:
      return 409;
    case CommandOutcome::kNoRoom:
      return 507;
    case CommandOutcome::kRefused:
      return 422;
    case CommandOutcome::kNotSent:
    case CommandOutcome::kUnknown:
      break;
  }
  return 503;
}

ServerAnswer ToHttpAnswer(const CommandAnswer& answer) {
  if (answer.outcome == CommandOutcome::kUnknown) return {.cut_after_bytes = 0};
  return {.status = HttpStatus(answer.outcome),
          .body = contracts::EncodeReport(answer.report, answer.error)};
}

}  // namespace

WorkerHost::WorkerHost(asio::any_io_executor executor,
                       const StandInSettings& settings, contracts::Vm vm,
                       Ref<RequestCounter> request_counter, std::uint64_t seed)
    : executor_(std::move(executor)),
      vm_(std::move(vm)),
      address_({.ip = settings.listen.ip}),
      target_mean_run_(settings.target_mean_run),
      request_counter_(std::move(request_counter)),
      seed_(seed),
      worker_(MakeOptions(settings)) {
  Listen();
  address_ = server_->address();
  vm_.address = address_.ToString();
}

WorkerHost::~WorkerHost() = default;

FakeWorkerOptions WorkerHost::MakeOptions(const StandInSettings& settings) {
  return {
      .name = vm_.name,
      .capacity = settings.capacity,
      .default_run = settings.default_run,
      .checkpoint_interval = settings.checkpoint_interval,
      .usage_lag = settings.usage_lag,
      .open_endpoint =
          [this](const WorkerCommand& command) {
            return OpenEndpoint(command);
          },
      .close_endpoint = [this](const contracts::AttemptId& id,
                               bool graceful) { CloseEndpoint(id, graceful); },
      .measure_latency =
          [this](const contracts::AttemptId& id) {
            return targets_.at(id)->LatencyP99();
          }};
}

void WorkerHost::Listen() {
  server_ = MakeRef<net::HttpServer>(
      executor_, net::HttpServerOptions{.listen = address_,
                                        .handler =
                                            [this](ServerRequest request) {
                                              return Serve(
                                                  Ref<WorkerHost>(this),
                                                  std::move(request));
                                            },
                                        .max_body_bytes = kMaxCommandBytes});
}

asio::awaitable<ServerAnswer> WorkerHost::Serve(Ref<WorkerHost> self,
                                                ServerRequest request) {
  const WorkerCommand command = ParseCommand(request);
  if (command.worker != self->vm_.name) {
    throw Error("worker command", "caller", "this is " + self->vm_.name);
  }
  co_await self->WaitWhilePaused();
  co_return ToHttpAnswer(self->worker_.Handle(command, MonotonicClock::now()));
}

asio::awaitable<void> WorkerHost::WaitWhilePaused() {
  asio::steady_timer timer(executor_);
  while (worker_.faults().paused) {
    timer.expires_after(kPausePollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void WorkerHost::Tick(MonotonicTime now) { worker_.Advance(now); }

void WorkerHost::PowerOff(MonotonicTime now) {
  server_ = nullptr;
  worker_.Reboot(now);
}

void WorkerHost::PowerOn() {
  vm_.state = contracts::VmState::kLive;
  if (server_ == nullptr) Listen();
}

void WorkerHost::ChangeTargets(
    const std::string& prefix,
    const std::function<void(TargetFaults&)>& change) {
  for (const std::pair<const contracts::AttemptId, Ref<Target>>& entry :
       targets_) {
    if (entry.first.task.rfind(prefix, 0) == 0) change(entry.second->faults());
  }
}

std::string WorkerHost::OpenEndpoint(const WorkerCommand& command) {
  const Ref<Target> target = MakeRef<Target>(
      executor_, TargetOptions{.instance = command.id.task + "/" +
                                           std::to_string(command.id.attempt),
                               .listen = {.ip = address_.ip},
                               .slots = command.slots,
                               .connections = command.connections,
                               .mean_run = target_mean_run_,
                               .seed = seed_++,
                               .request_counter = request_counter_});
  targets_[command.id] = target;
  return target->address().ToString();
}

void WorkerHost::CloseEndpoint(const contracts::AttemptId& id, bool graceful) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) return;
  asio::co_spawn(
      executor_,
      StopTarget(found->second, graceful ? kTargetStopGrace : Duration::zero()),
      asio::detached);
  targets_.erase(found);
}

}  // namespace carobmast::standin
