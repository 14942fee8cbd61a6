#include "standin/stand_in.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

#include "contracts/service_codec.h"
#include "framework/base/error.h"
#include "framework/base/units.h"

namespace carobmast::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using contracts::AppendAnswer;
using contracts::AppendOutcome;
using contracts::ReadAnswer;
using contracts::ReadRequest;
using contracts::VmState;
using net::ServerAnswer;
using net::ServerRequest;

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
// How often a waiting read checks whether the log has become unavailable.
constexpr Duration kOutagePollInterval = std::chrono::milliseconds(200);
// Longer waits of a read are shortened to this.
constexpr Duration kMaxReadWait = std::chrono::seconds(30);
constexpr char kCaller[] = "caller";
constexpr char kLogPrefix[] = "/log/";
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Wall time at MonotonicTime zero.
WallTime WallAtZero() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now() -
      std::chrono::duration_cast<std::chrono::system_clock::duration>(
          MonotonicClock::now().time_since_epoch()));
}

std::int64_t ToMilliseconds(MonotonicTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

ServerAnswer Refuse(const std::string& reason) {
  return {.status = kUnavailable, .body = contracts::EncodeRefusal(reason)};
}

std::string StreamOf(const ServerRequest& request) {
  std::string stream = request.path.substr(sizeof(kLogPrefix) - 1);
  if (!contracts::IsPathName(stream)) {
    throw Error("log request", kCaller, "malformed stream name");
  }
  return stream;
}

std::uint64_t NumberFromQuery(const ServerRequest& request,
                              const std::string& key, std::uint64_t fallback) {
  const std::string text = request.QueryOr(key, std::to_string(fallback));
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), last, number);
  if (parsed.ec != std::errc() || parsed.ptr != last) {
    throw Error("log request", kCaller, key + ": expected a number");
  }
  return number;
}

Duration DurationField(const JsonReader& fault, const char* field) {
  const std::optional<Duration> parsed = ParseDuration(fault.String(field));
  if (!parsed.has_value()) {
    throw Error("control", kCaller, std::string(field) + ": expected a time");
  }
  return *parsed;
}

std::uint32_t CountField(const JsonReader& fault) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(fault.UnsignedOr("count", 1), 1'000'000));
}

json::object ToJson(const std::string& worker, const Execution& execution) {
  json::object fields{
      {"worker", worker},
      {"task", execution.id.task},
      {"attempt", execution.id.attempt},
      {"kind", execution.kind == contracts::TaskKind::kService ? "service"
               : execution.kind == contracts::TaskKind::kBatch ? "batch"
                                                               : "standing"},
      {"milli_cpus", execution.reserved.milli_cpus},
      {"memory_bytes", execution.reserved.memory.bytes},
      {"accelerators", execution.reserved.accelerators},
      {"from_ms", ToMilliseconds(execution.from)},
      {"to_ms", nullptr},
      {"state", contracts::TaskStateName(execution.state)}};
  if (execution.to.has_value()) {
    fields["to_ms"] = ToMilliseconds(*execution.to);
  }
  return fields;
}

}  // namespace

StandIn::StandIn(asio::any_io_executor executor, StandInSettings settings)
    : executor_(std::move(executor)),
      settings_(std::move(settings)),
      request_counter_(MakeRef<RequestCounter>()),
      log_(
          {.wall_at_zero = WallAtZero(), .retention = settings_.log_retention}),
      vm_list_({}) {
  std::vector<contracts::Vm> listed = settings_.entries;
  // Each target of a worker takes the next seed; the ranges don't overlap.
  constexpr std::uint64_t kSeedsPerWorker = 1'000'000;
  std::uint64_t seed = settings_.seed;
  for (const contracts::Vm& vm : MakeWorkerVms(settings_)) {
    const Ref<WorkerHost> host =
        MakeRef<WorkerHost>(executor_, settings_, vm, request_counter_, seed);
    seed += kSeedsPerWorker;
    hosts_[vm.name] = host;
    listed.push_back(host->vm());
  }
  vm_list_ = FakeVmList({.wall_at_zero = WallAtZero(),
                         .lag = settings_.vm_list_lag,
                         .vms = std::move(listed)});
  RegisterLogFaults();
  RegisterWorkerFaults();
  RegisterVmFaults();
  RegisterTargetFaults();
  server_ = MakeRef<net::HttpServer>(
      executor_, net::HttpServerOptions{.listen = settings_.listen,
                                        .handler = [this](ServerRequest r) {
                                          return Serve(std::move(r));
                                        }});
}

StandIn::~StandIn() = default;

asio::awaitable<void> StandIn::RunClock() {
  asio::steady_timer timer(executor_);
  while (true) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const MonotonicTime now = MonotonicClock::now();
    for (const std::pair<const std::string, Ref<WorkerHost>>& entry : hosts_) {
      entry.second->Tick(now);
    }
  }
}

asio::awaitable<ServerAnswer> StandIn::Serve(ServerRequest request) {
  if (request.path.rfind(kLogPrefix, 0) == 0) {
    if (request.method == "POST") co_return co_await Append(request);
    co_return co_await Read(request);
  }
  if (request.path == "/vms") co_return ListVms();
  co_return Control(request);
}

asio::awaitable<ServerAnswer> StandIn::Append(ServerRequest request) {
  const contracts::AppendRequest append{
      .stream = StreamOf(request),
      .records = contracts::DecodeNewRecords(request.body, kCaller)};
  const AppendAnswer answer = log_.Append(append, MonotonicClock::now());
  for (asio::steady_timer* reader : waiting_reads_) reader->cancel();
  co_await WaitForDelay();
  switch (answer.outcome) {
    case AppendOutcome::kAppended:
      co_return ServerAnswer{.body = contracts::EncodeOffsets(answer.offsets)};
    case AppendOutcome::kNotSent:
      co_return Refuse(answer.error);
    case AppendOutcome::kUnknown:
      break;
  }
  co_return ServerAnswer{.cut_after_bytes = 0};
}

asio::awaitable<ServerAnswer> StandIn::Read(ServerRequest request) {
  const ReadRequest read{
      .stream = StreamOf(request),
      .from = NumberFromQuery(request, "from", 1),
      .max_records = std::min<std::uint64_t>(
          NumberFromQuery(request, "max", 1000), contracts::kMaxLogRecords)};
  const Duration wait = std::chrono::milliseconds(
      std::min<std::uint64_t>(NumberFromQuery(request, "wait_ms", 0),
                              kMaxReadWait / std::chrono::milliseconds(1)));
  co_await WaitForDelay();
  if (!log_.faults().unavailable) co_await WaitForRecord(read, wait);
  if (log_.faults().unavailable) co_return Refuse("the log is out");
  co_return ServerAnswer{.body = contracts::EncodeReadAnswer(
                             log_.Read(read, MonotonicClock::now()))};
}

asio::awaitable<void> StandIn::WaitForDelay() {
  if (log_.faults().delay == Duration::zero()) co_return;
  asio::steady_timer timer(executor_, log_.faults().delay);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> StandIn::WaitForRecord(ReadRequest request,
                                             Duration wait) {
  const MonotonicTime deadline = MonotonicClock::now() + wait;
  asio::steady_timer timer(executor_);
  while (!log_.faults().unavailable) {
    const MonotonicTime now = MonotonicClock::now();
    const ReadAnswer answer = log_.Read(request, now);
    if (!answer.records.empty() || now >= deadline) co_return;
    // An append cancels the timer. An outage doesn't, hence the poll interval.
    timer.expires_at(std::min(deadline, now + kOutagePollInterval));
    waiting_reads_.insert(&timer);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    waiting_reads_.erase(&timer);
  }
}

ServerAnswer StandIn::ListVms() {
  try {
    return {.body =
                contracts::EncodeVmList(vm_list_.List(MonotonicClock::now()))};
  } catch (const Error& error) {
    return Refuse(error.reason());
  }
}

ServerAnswer StandIn::Control(const ServerRequest& request) {
  const std::string route = request.method + " " + request.path;
  if (route == "GET /control/executions") return {.body = EncodeExecutions()};
  if (route == "GET /control/requests") return {.body = EncodeRequests()};
  if (route == "GET /control/workers") return {.body = EncodeWorkers()};
  if (route == "POST /control/clear") {
    ClearFaults();
    return {.body = "{}"};
  }
  if (route != "POST /control/fault") {
    return {.status = kNotFound, .body = contracts::EncodeRefusal("no page")};
  }
  const JsonReader fault = JsonReader::Parse(request.body, "control", kCaller);
  const auto handler = fault_handlers_.find(fault.String("kind"));
  if (handler == fault_handlers_.end()) {
    throw Error("control", kCaller, "unknown kind of fault");
  }
  handler->second(fault);
  return {.body = "{}"};
}

void StandIn::RegisterLogFaults() {
  fault_handlers_["log_out"] = [this](const JsonReader&) {
    log_.faults().unavailable = true;
  };
  fault_handlers_["log_read_only"] = [this](const JsonReader&) {
    log_.faults().read_only = true;
  };
  fault_handlers_["log_slow"] = [this](const JsonReader& fault) {
    log_.faults().delay = DurationField(fault, "delay");
  };
  fault_handlers_["log_lost_answers"] = [this](const JsonReader& fault) {
    log_.faults().lost_answers = CountField(fault);
  };
  fault_handlers_["log_lost_requests"] = [this](const JsonReader& fault) {
    log_.faults().lost_requests = CountField(fault);
  };
  fault_handlers_["log_retention"] = [this](const JsonReader& fault) {
    log_.options().retention = DurationField(fault, "keep");
  };
  fault_handlers_["log_records"] = [this](const JsonReader& fault) {
    log_.options().max_records = fault.Unsigned("keep");
  };
}

void StandIn::RegisterWorkerFaults() {
  const auto add =
      [this](const char* kind,
             std::function<void(WorkerFaults&, std::uint32_t)> change) {
        fault_handlers_[kind] = [this, change](const JsonReader& fault) {
          ForSelectedWorkers(fault, [&](WorkerHost& host) {
            change(host.worker().faults(), CountField(fault));
          });
        };
      };
  add("worker_paused",
      [](WorkerFaults& faults, std::uint32_t) { faults.paused = true; });
  add("worker_refusing",
      [](WorkerFaults& faults, std::uint32_t) { faults.refusing = true; });
  add("worker_failing",
      [](WorkerFaults& faults, std::uint32_t) { faults.failing = true; });
  add("worker_lost_answers", [](WorkerFaults& faults, std::uint32_t count) {
    faults.lost_answers = count;
  });
  add("worker_lost_requests", [](WorkerFaults& faults, std::uint32_t count) {
    faults.lost_requests = count;
  });
}

void StandIn::RegisterVmFaults() {
  fault_handlers_["vm_list_out"] = [this](const JsonReader&) {
    vm_list_.set_unavailable(true);
  };
  fault_handlers_["vm_gone"] = [this](const JsonReader& fault) {
    ForSelectedWorkers(fault, [this](WorkerHost& host) {
      host.PowerOff(MonotonicClock::now());
      vm_list_.Remove(host.vm().name, MonotonicClock::now());
    });
  };
  fault_handlers_["vm_leaving"] = [this](const JsonReader& fault) {
    ForSelectedWorkers(fault, [this](WorkerHost& host) {
      host.SetState(VmState::kLeaving);
      vm_list_.Put(host.vm(), MonotonicClock::now());
    });
  };
  fault_handlers_["vm_back"] = [this](const JsonReader& fault) {
    ForSelectedWorkers(fault, [this](WorkerHost& host) {
      host.PowerOn();
      vm_list_.Put(host.vm(), MonotonicClock::now());
    });
  };
}

void StandIn::RegisterTargetFaults() {
  const auto add =
      [this](const char* kind,
             std::function<void(TargetFaults&, const JsonReader&)> change) {
        fault_handlers_[kind] = [this, change](const JsonReader& fault) {
          ForSelectedWorkers(fault, [&](WorkerHost& host) {
            host.ChangeTargets(
                fault.StringOr("task", ""),
                [&](TargetFaults& faults) { change(faults, fault); });
          });
        };
      };
  add("target_late", [](TargetFaults& faults, const JsonReader& fault) {
    faults.added_latency = DurationField(fault, "delay");
  });
  add("target_cut", [](TargetFaults& faults, const JsonReader& fault) {
    faults.cut_after_bytes = fault.Int("bytes");
  });
  add("target_refusing",
      [](TargetFaults& faults, const JsonReader&) { faults.refusing = true; });
}

void StandIn::ClearFaults() {
  log_.faults() = {};
  vm_list_.set_unavailable(false);
  for (const std::pair<const std::string, Ref<WorkerHost>>& entry : hosts_) {
    entry.second->worker().faults() = {};
    entry.second->ChangeTargets("", [](TargetFaults& faults) { faults = {}; });
  }
}

void StandIn::ForSelectedWorkers(
    const JsonReader& fault, const std::function<void(WorkerHost&)>& change) {
  const std::string name = fault.StringOr("worker", "");
  if (!name.empty() && hosts_.count(name) == 0) {
    throw Error("control", kCaller, "no worker named " + name);
  }
  for (const std::pair<const std::string, Ref<WorkerHost>>& entry : hosts_) {
    if (name.empty() || name == entry.first) change(*entry.second);
  }
}

std::string StandIn::EncodeExecutions() const {
  json::array list;
  for (const std::pair<const std::string, Ref<WorkerHost>>& entry : hosts_) {
    for (const Execution& execution : entry.second->worker().executions()) {
      list.push_back(ToJson(entry.first, execution));
    }
  }
  return json::serialize(
      json::object{{"now_ms", ToMilliseconds(MonotonicClock::now())},
                   {"executions", std::move(list)}});
}

std::string StandIn::EncodeRequests() const {
  json::object runs;
  for (const std::pair<const std::string, std::uint64_t>& entry :
       request_counter_->runs()) {
    runs[entry.first] = entry.second;
  }
  return json::serialize(json::object{{"total", request_counter_->total()},
                                      {"runs", std::move(runs)}});
}

std::string StandIn::EncodeWorkers() const {
  json::array list;
  const MonotonicTime now = MonotonicClock::now();
  for (const std::pair<const std::string, Ref<WorkerHost>>& entry : hosts_) {
    FakeWorker& worker = entry.second->worker();
    worker.Advance(now);
    list.push_back(
        json::parse(contracts::EncodeReport(worker.Report(now), "")));
  }
  return json::serialize(json::object{{"workers", std::move(list)}});
}

}  // namespace carobmast::standin
