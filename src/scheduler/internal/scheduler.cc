#include "scheduler/scheduler.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <exception>
#include <utility>

#include "framework/base/digest.h"
#include "framework/base/error.h"
#include "requests/generated/endpoints.pb.h"
#include "scheduler/status_json.h"

namespace carobmast::scheduler {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr char kEndpointsCall[] = "endpoints.list";
constexpr std::chrono::milliseconds kTickInterval{100};
// How long the log service holds a read open while there are no new records.
constexpr std::chrono::milliseconds kLogReadWait{500};
constexpr std::chrono::seconds kLogReadTimeout{3};
constexpr std::chrono::milliseconds kLogRetryDelay{200};
constexpr std::chrono::seconds kAppendTimeout{3};
constexpr std::chrono::seconds kVmListPause{1};
constexpr std::chrono::seconds kVmListTimeout{2};
// Pause after each successful read of the log: limits the rate of reads while
// records arrive faster than kLogReadWait.
constexpr std::chrono::milliseconds kLogReadPause{20};
// Upper limit of the query parameter `max` of GET /status.
constexpr std::size_t kMaxStatusItems = 10000;
// Length in hexadecimal digits of the random suffix that distinguishes the
// starts of a scheduler of the same name.
constexpr std::size_t kIncarnationDigits = 12;
// Length in hexadecimal digits of the digest prefix that is parsed as a
// version; at most 16 fit in 64 bits.
constexpr std::size_t kVersionDigits = 15;
constexpr int kHexBase = 16;

// Completion handler of the coroutines. An exception that a coroutine doesn't
// handle is a bug: rethrowing it from the event loop ends the process.
void RethrowUnhandled(std::exception_ptr error) {
  if (error) std::rethrow_exception(std::move(error));
}

// Returns a version derived from the SHA-256 digest of `content`. Never 0,
// which means "no version known" in an EndpointsRequest.
std::uint64_t VersionFromDigest(const std::string& content) {
  const std::string digest = Sha256Hex(content).substr(0, kVersionDigits);
  std::uint64_t version = 0;
  std::from_chars(digest.data(), digest.data() + digest.size(), version,
                  kHexBase);
  return std::max<std::uint64_t>(version, 1);
}

requests::proto::EndpointsAnswer ToProto(const work::Endpoints& endpoints) {
  requests::proto::EndpointsAnswer answer;
  for (const work::CellHead& cell : endpoints.cells) {
    requests::proto::CellHead& head = *answer.add_cells();
    head.set_cell(cell.cell);
    head.set_token(cell.token);
  }
  for (const work::InstanceEndpoint& instance : endpoints.instances) {
    requests::proto::Endpoint& proto_endpoint = *answer.add_endpoints();
    proto_endpoint.set_service(instance.service);
    proto_endpoint.set_instance(instance.task + "/" +
                                std::to_string(instance.attempt));
    proto_endpoint.set_address(instance.endpoint);
    proto_endpoint.set_zone(instance.zone);
    proto_endpoint.set_slots(instance.slots);
    proto_endpoint.set_connections(instance.connections);
    proto_endpoint.set_leaving(instance.leaving);
    proto_endpoint.set_cell(instance.cell);
    proto_endpoint.set_token(instance.token);
  }
  answer.set_version(VersionFromDigest(answer.SerializeAsString()));
  return answer;
}

}  // namespace

SchedulerSettings ReadSchedulerSettings(settings::SettingsReader& reader) {
  SchedulerSettings settings;
  if (!reader.Has("work")) return settings;
  settings::SettingsReader work = reader.Map("work");
  const std::string fencing = work.StringOr("fencing", "tokens");
  if (fencing == "leases") {
    settings.fencing = work::FencingMode::kLeases;
  } else if (fencing != "tokens") {
    work.Fail("fencing", "expected 'tokens' or 'leases'");
  }
  settings.lease = work.DurationOr("lease", settings.lease);
  settings.renew_every = work.DurationOr("renew_every", settings.renew_every);
  settings.suspect_after =
      work.DurationOr("suspect_after", settings.suspect_after);
  settings.gone_after = work.DurationOr("gone_after", settings.gone_after);
  settings.snapshot_every =
      work.DurationOr("snapshot_every", settings.snapshot_every);
  if (settings.renew_every * 3 > settings.lease) {
    work.Fail("renew_every", "expected at most a third of the lease");
  }
  if (settings.suspect_after * 2 > settings.lease) {
    work.Fail("suspect_after", "expected at most half of the lease");
  }
  work.Finish();
  return settings;
}

Scheduler::Scheduler(daemon::Daemon& daemon, const SchedulerSettings& settings,
                     SchedulerServices services)
    : daemon_(daemon),
      services_(std::move(services)),
      core_(MakeOptions(settings), MakeHooks()),
      log_service_state_(telemetry::Log("scheduler"), "log service"),
      vm_list_state_(telemetry::Log("scheduler"), "vm list"),
      served_cells_state_(telemetry::Log("scheduler"), "cells served") {
  daemon.AddRoute(
      "GET /status",
      [this](net::ServerRequest request) -> asio::awaitable<net::ServerAnswer> {
        co_return HandleStatusRequest(request);
      });
  daemon.AddCall(kEndpointsCall,
                 [this](std::string request) -> asio::awaitable<std::string> {
                   co_return HandleEndpointsCall(request);
                 });
  daemon.AddReadiness("configuration", [this] { return has_config_; });
  daemon.AddReadiness("work log", [this] { return work_state_ready_; });
  daemon.AddMetricsUpdate([this] { UpdateMetrics(); });
  daemon.AddStopHandler([this](Duration grace) { return Stop(grace); });
}

work::SchedulerOptions Scheduler::MakeOptions(
    const SchedulerSettings& settings) const {
  const std::string incarnation = RandomId().substr(0, kIncarnationDigits);
  return {.name = daemon_.settings().name + "/" + incarnation,
          .zone = daemon_.settings().zone,
          .fencing = settings.fencing,
          .lease = settings.lease,
          .renew_every = settings.renew_every,
          .suspect_after = settings.suspect_after,
          .gone_after = settings.gone_after,
          .snapshot_every = settings.snapshot_every};
}

work::SchedulerHooks Scheduler::MakeHooks() {
  return {
      .append =
          [this](std::uint64_t id, std::vector<contracts::NewRecord> records) {
            asio::co_spawn(daemon_.executor(),
                           AppendRecords(id, std::move(records)),
                           RethrowUnhandled);
          },
      .command =
          [this](std::uint64_t id, contracts::WorkerCommand command) {
            asio::co_spawn(daemon_.executor(),
                           SendCommand(id, std::move(command)),
                           RethrowUnhandled);
          },
      .cell_chart = daemon::ReadChart(daemon_.settings(), "cell"),
      .task_chart = daemon::ReadChart(daemon_.settings(), "task")};
}

void Scheduler::SetObjects(const config::Objects& objects) {
  has_config_ = true;
  drained_vms_.clear();
  for (const auto& entry : objects.drained_vms) {
    drained_vms_.insert(entry.first);
  }
  core_.OnConfig(MonotonicClock::now(), objects);
}

void Scheduler::SetConfigStatus(std::function<json::object()> status) {
  config_status_ = std::move(status);
}

void Scheduler::Start() {
  running_ = true;
  asio::co_spawn(daemon_.executor(), TickLoop(), RethrowUnhandled);
  asio::co_spawn(daemon_.executor(), LogLoop(), RethrowUnhandled);
  asio::co_spawn(daemon_.executor(), VmListLoop(), RethrowUnhandled);
}

asio::awaitable<void> Scheduler::Sleep(Duration duration) {
  asio::steady_timer timer(daemon_.executor());
  timer.expires_after(duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> Scheduler::TickLoop() {
  while (running_) {
    core_.OnTick(MonotonicClock::now());
    served_cells_state_.Set(std::to_string(core_.serving_cells()));
    co_await Sleep(kTickInterval);
  }
}

asio::awaitable<void> Scheduler::LogLoop() {
  while (running_) {
    const MonotonicTime started = MonotonicClock::now();
    bool failed = false;
    try {
      const contracts::ReadAnswer answer =
          co_await services_.log.read({.stream = contracts::kWorkStream,
                                       .from = core_.next_offset(),
                                       .wait = kLogReadWait,
                                       .timeout = kLogReadTimeout});
      if (!running_) co_return;
      core_.OnLog(MonotonicClock::now(), started, answer);
      work_state_ready_ = core_.fold().ready();
      log_service_state_.Set("answers");
    } catch (const Error& error) {
      failed = true;
      log_service_state_.Set("out", {{"error", error.what()}},
                             telemetry::LogLevel::kWarn);
    }
    co_await Sleep(failed ? kLogRetryDelay : kLogReadPause);
  }
}

asio::awaitable<void> Scheduler::VmListLoop() {
  while (running_) {
    try {
      contracts::VmListAnswer list =
          co_await services_.vm_list.list(kVmListTimeout);
      for (contracts::Vm& vm : list.vms) {
        if (!drained_vms_.contains(vm.name)) continue;
        vm.state = contracts::VmState::kLeaving;
      }
      core_.OnVmList(MonotonicClock::now(), list);
      vm_list_state_.Set("answers");
    } catch (const Error& error) {
      // The core keeps using the last list.
      vm_list_state_.Set("out", {{"error", error.what()}},
                         telemetry::LogLevel::kWarn);
    }
    co_await Sleep(kVmListPause);
  }
}

asio::awaitable<void> Scheduler::AppendRecords(
    std::uint64_t id, std::vector<contracts::NewRecord> records) {
  const contracts::AppendAnswer answer =
      co_await services_.log.append({.stream = contracts::kWorkStream,
                                     .records = std::move(records),
                                     .timeout = kAppendTimeout});
  core_.OnAppendAnswer(MonotonicClock::now(), id, answer.outcome);
}

asio::awaitable<void> Scheduler::SendCommand(std::uint64_t id,
                                             contracts::WorkerCommand command) {
  const contracts::CommandAnswer answer =
      co_await services_.workers.command(std::move(command));
  core_.OnCommandAnswer(MonotonicClock::now(), id, answer);
}

asio::awaitable<void> Scheduler::Stop(Duration grace) {
  const MonotonicTime deadline = MonotonicClock::now() + grace;
  core_.OnStop(MonotonicClock::now());
  while (!core_.stopped() && MonotonicClock::now() < deadline) {
    co_await Sleep(kTickInterval);
  }
  running_ = false;
}

net::ServerAnswer Scheduler::HandleStatusRequest(
    const net::ServerRequest& request) const {
  StatusFilter filter{.name = request.QueryOr("name", "")};
  const std::string max = request.QueryOr("max", std::to_string(filter.max));
  std::from_chars(max.data(), max.data() + max.size(), filter.max);
  filter.max = std::min(filter.max, kMaxStatusItems);
  json::object status =
      StatusToJson(core_.Status(MonotonicClock::now()), filter);
  status["counters"] = CountersToJson(core_.counters());
  if (config_status_) status["config"] = config_status_();
  return {.body = json::serialize(status)};
}

void Scheduler::UpdateMetrics() {
  for (const json::key_value_pair& counter : CountersToJson(core_.counters())) {
    const std::string name(counter.key());
    daemon_.metrics().SetCounter("carobmast_scheduler_" + name + "_total",
                                 "Scheduler counter " + name,
                                 counter.value().to_number<std::uint64_t>());
  }
  daemon_.metrics()
      .AddGauge("carobmast_scheduler_cells", "Cells that are served")
      ->Set(static_cast<double>(core_.serving_cells()));
}

std::string Scheduler::HandleEndpointsCall(const std::string& request) const {
  requests::proto::EndpointsRequest parsed_request;
  if (!parsed_request.ParseFromString(request)) {
    throw Error(kEndpointsCall, "a peer", "the message is malformed");
  }
  requests::proto::EndpointsAnswer answer = ToProto(core_.ListEndpoints());
  if (parsed_request.known_version() == answer.version()) {
    answer.clear_cells();
    answer.clear_endpoints();
    answer.set_unchanged(true);
  }
  return answer.SerializeAsString();
}

}  // namespace carobmast::scheduler
