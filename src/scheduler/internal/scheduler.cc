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
constexpr std::chrono::milliseconds kTick{100};
constexpr std::chrono::milliseconds kLogWait{500};
constexpr std::chrono::seconds kLogTimeout{3};
constexpr std::chrono::milliseconds kLogRetry{200};
constexpr std::chrono::seconds kAppendTimeout{3};
constexpr std::chrono::seconds kVmListInterval{1};
constexpr std::chrono::seconds kVmListTimeout{2};
// A read that ends sooner is not repeated before this.
constexpr std::chrono::milliseconds kLogInterval{20};
constexpr std::size_t kMostInStatus = 10000;
// Lengths of random suffixes and digests, in hexadecimal digits.
constexpr std::size_t kIncarnationDigits = 12;
constexpr std::size_t kVersionDigits = 15;
constexpr int kHexadecimal = 16;

// Ends the process: what a loop doesn't handle is a fault of the program.
void Rethrow(std::exception_ptr error) {
  if (error) std::rethrow_exception(std::move(error));
}

// Never 0.
std::uint64_t VersionOf(const std::string& content) {
  const std::string digest = Sha256Hex(content).substr(0, kVersionDigits);
  std::uint64_t version = 0;
  std::from_chars(digest.data(), digest.data() + digest.size(), version,
                  kHexadecimal);
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
    requests::proto::Endpoint& added = *answer.add_endpoints();
    added.set_service(instance.service);
    added.set_instance(instance.task + "/" + std::to_string(instance.attempt));
    added.set_address(instance.endpoint);
    added.set_zone(instance.zone);
    added.set_slots(instance.slots);
    added.set_connections(instance.connections);
    added.set_leaving(instance.leaving);
    added.set_cell(instance.cell);
    added.set_token(instance.token);
  }
  answer.set_version(VersionOf(answer.SerializeAsString()));
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
      log_state_(telemetry::Log("scheduler"), "log service"),
      vm_list_state_(telemetry::Log("scheduler"), "vm list"),
      cells_state_(telemetry::Log("scheduler"), "cells served") {
  daemon.AddRoute(
      "GET /status",
      [this](net::ServerRequest request) -> asio::awaitable<net::ServerAnswer> {
        co_return AnswerStatus(request);
      });
  daemon.AddCall(kEndpointsCall,
                 [this](std::string request) -> asio::awaitable<std::string> {
                   co_return AnswerEndpoints(request);
                 });
  daemon.AddReadiness("configuration", [this] { return configured_; });
  daemon.AddReadiness("work log", [this] { return log_known_; });
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
            asio::co_spawn(daemon_.executor(), Append(id, std::move(records)),
                           Rethrow);
          },
      .command =
          [this](std::uint64_t id, contracts::WorkerCommand command) {
            asio::co_spawn(daemon_.executor(), Command(id, std::move(command)),
                           Rethrow);
          },
      .cell_chart = daemon::ReadChart(daemon_.settings(), "cell"),
      .task_chart = daemon::ReadChart(daemon_.settings(), "task")};
}

void Scheduler::SetObjects(const config::Objects& objects) {
  configured_ = true;
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
  asio::co_spawn(daemon_.executor(), TickLoop(), Rethrow);
  asio::co_spawn(daemon_.executor(), LogLoop(), Rethrow);
  asio::co_spawn(daemon_.executor(), VmListLoop(), Rethrow);
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
    cells_state_.Set(std::to_string(core_.serving_cells()));
    co_await Sleep(kTick);
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
                                       .wait = kLogWait,
                                       .timeout = kLogTimeout});
      if (!running_) co_return;
      core_.OnLog(MonotonicClock::now(), started, answer);
      log_known_ = core_.fold().ready();
      log_state_.Set("answers");
    } catch (const Error& error) {
      failed = true;
      log_state_.Set("out", {{"error", error.what()}},
                     telemetry::LogLevel::kWarn);
    }
    co_await Sleep(failed ? kLogRetry : kLogInterval);
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
      // The list of before stands.
      vm_list_state_.Set("out", {{"error", error.what()}},
                         telemetry::LogLevel::kWarn);
    }
    co_await Sleep(kVmListInterval);
  }
}

asio::awaitable<void> Scheduler::Append(
    std::uint64_t id, std::vector<contracts::NewRecord> records) {
  const contracts::AppendAnswer answer =
      co_await services_.log.append({.stream = contracts::kWorkStream,
                                     .records = std::move(records),
                                     .timeout = kAppendTimeout});
  core_.OnAppendAnswer(MonotonicClock::now(), id, answer.outcome);
}

asio::awaitable<void> Scheduler::Command(std::uint64_t id,
                                         contracts::WorkerCommand command) {
  const contracts::CommandAnswer answer =
      co_await services_.workers.command(std::move(command));
  core_.OnCommandAnswer(MonotonicClock::now(), id, answer);
}

asio::awaitable<void> Scheduler::Stop(Duration grace) {
  const MonotonicTime end = MonotonicClock::now() + grace;
  core_.OnStop(MonotonicClock::now());
  while (!core_.stopped() && MonotonicClock::now() < end) {
    co_await Sleep(kTick);
  }
  running_ = false;
}

net::ServerAnswer Scheduler::AnswerStatus(
    const net::ServerRequest& request) const {
  StatusFilter filter{.name = request.QueryOr("name", "")};
  const std::string max = request.QueryOr("max", std::to_string(filter.max));
  std::from_chars(max.data(), max.data() + max.size(), filter.max);
  filter.max = std::min(filter.max, kMostInStatus);
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

std::string Scheduler::AnswerEndpoints(const std::string& request) const {
  requests::proto::EndpointsRequest asked;
  if (!asked.ParseFromString(request)) {
    throw Error(kEndpointsCall, "a peer", "the message is malformed");
  }
  requests::proto::EndpointsAnswer answer = ToProto(core_.ListEndpoints());
  if (asked.known_version() == answer.version()) {
    answer.clear_cells();
    answer.clear_endpoints();
    answer.set_unchanged(true);
  }
  return answer.SerializeAsString();
}

}  // namespace carobmast::scheduler
