#include "node/internal/node_process.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <random>

#include "framework/base/error.h"
#include "framework/net/datagrams.h"
#include "node/internal/message_codec.h"
#include "node/lease_clock.h"

namespace carobmast::node {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr char kClaimStream[] = "keyed.claims";
constexpr char kShardStream[] = "keyed.shard";
constexpr char kShardKey[] = "s/0";
// The key of records that only take up offsets, and so tokens.
constexpr char kReservedKey[] = "reserved";
// Fencing tokens of one claim. The owner uses a higher one for a worker each
// time that the worker restarts.
constexpr std::uint32_t kTokensPerClaim = 256;
constexpr milliseconds kTickInterval{50};
// With longer leases, standing tasks could be missing after a change of owner
// for longer than operators allow, which is 6 s plus 3 s without disturbance.
constexpr milliseconds kMaxLease{5000};
constexpr milliseconds kClaimTimeout{700};
// After SIGTERM the balancer keeps sending connections until two readiness
// checks, one second apart, have failed.
constexpr milliseconds kBalancerDrainTime{2600};
// Part of the stop grace reserved for the exit of the process.
constexpr milliseconds kExitMargin{400};
constexpr char kRegistryAgeMetric[] = "carobmast_registry_age_seconds";
// Orders that a worker has not answered by then are given up.
constexpr milliseconds kOrderTimeout{250};
// From the decision to start a task until the order is sent, which can take
// several turns of a busy event loop.
constexpr milliseconds kOrderSendMargin{150};
// Workers that leave sooner than this after announcing it may still be sent
// starts, because the registry is read only every 250 ms.
constexpr milliseconds kMinRegistryAgeLimit{400};
// Well below 2 s, the shortest bound for applying changes of the operators'
// configuration.
constexpr milliseconds kSettingsCheckInterval{1000};

// How old the known registry may be when a start is decided, so that the order
// still arrives within the operators' drain bound.
milliseconds MaxRegistryAge(const NodeSettings& settings) {
  return std::max(kMinRegistryAgeLimit,
                  settings.drain_bound - kOrderTimeout - kOrderSendMargin);
}

// Differs from that of every earlier process of the same node.
std::int64_t MakeIncarnation() {
  std::random_device random;
  const std::uint64_t high = random();
  return static_cast<std::int64_t>(((high << 32U) | random()) >> 1U);
}

jobs::ShardOptions MakeShardOptions(const NodeSettings& settings,
                                    contracts::FencingToken token,
                                    std::int64_t incarnation,
                                    const FormerOwners& former) {
  return {.token = token,
          .token_count = kTokensPerClaim,
          .confirmed_at = LeaseNow(),
          .node = {.id = settings.name, .incarnation = incarnation},
          .has_former_owners = former.any,
          .former_owners_need_nodes = former.need_nodes,
          .max_lease = std::min(settings.max_lease, kMaxLease),
          .longest_lease = settings.max_lease,
          .keep_ended = settings.keep_ended,
          .stop_time = settings.stop_time,
          .max_registry_age = MaxRegistryAge(settings),
          .far_factor = settings.far_factor};
}

}  // namespace

NodeProcess::NodeProcess(NodeSettings settings, NodeServices services)
    : settings_(std::move(settings)),
      services_(std::move(services)),
      signals_(context_, SIGTERM, SIGINT),
      reload_signal_(context_, SIGHUP),
      incarnation_(MakeIncarnation()),
      log_({.common = {{"node", settings_.name}}}),
      submit_latency_(metrics_.AddHistogram("carobmast_submit_seconds",
                                            "Time until a job is accepted")),
      state_latency_(metrics_.AddHistogram("carobmast_state_seconds",
                                           "Time until a state is told")),
      store_(services_.log(context_.get_executor())),
      workers_(services_.workers(context_.get_executor())),
      advice_(services_.advice(context_.get_executor())),
      vms_(services_.vms(context_.get_executor())),
      election_({.self = {.name = settings_.name,
                          .address = settings_.peers,
                          .rank = settings_.rank},
                 .incarnation = incarnation_,
                 .zone = settings_.zone},
                MakeElectionHooks()),
      datagrams_(context_) {}

ElectionHooks NodeProcess::MakeElectionHooks() {
  return {
      .send = [this](const net::Address& to,
                     const NodeMessage& message) { SendDatagram(to, message); },
      .claim =
          [this](const ClaimBasis& basis) {
            std::vector<telemetry::Field> fields = {
                {"reason", basis.reason},
                {"owner", election_.claim().node},
                {"token", election_.claim().token},
                {"asked_by", basis.asked_by},
                {"answers", basis.answers}};
            if (basis.owner_state_age.has_value()) {
              fields.emplace_back("owner_state_age", *basis.owner_state_age);
            }
            log_.Write("claim", fields);
            asio::co_spawn(context_, StoreClaim(), asio::detached);
          },
      .stop_owning = [this](const std::string& reason) { StopOwning(reason); },
      .node_answered =
          [this](const NodeMessage& answer) {
            if (owner_ == nullptr) return;
            owner_->OnNodeAnswered(
                {.witness = {.id = answer.sender.name,
                             .incarnation = answer.incarnation},
                 .zone = answer.zone},
                *answer.owner_time);
          },
      .log_change =
          [this](const std::string& event, const std::string& detail) {
            log_.Write(event,
                       {{"to", detail}, {"token", election_.claim().token}});
            WakeRetries();
          }};
}

int NodeProcess::Run() {
  log_.Write("started", {{"zone", settings_.zone},
                         {"front", settings_.front.ToString()},
                         {"peers", settings_.peers.ToString()},
                         {"rank", settings_.rank}});
  StartServers();
  WaitForSignals();
  WaitForReload();
  StartFollowers();
  asio::co_spawn(
      context_,
      net::ReceiveDatagrams(datagrams_,
                            [this](const std::string& bytes,
                                   const asio::ip::udp::endpoint& sender) {
                              OnDatagram(bytes, sender);
                            }),
      asio::detached);
  asio::co_spawn(context_, WatchOwner(), asio::detached);
  asio::co_spawn(context_, TickLoop(), asio::detached);
  context_.run();
  log_.Write("stopped", {});
  log_.Flush();
  return 0;
}

void NodeProcess::StartServers() {
  const asio::any_io_executor executor = context_.get_executor();
  link_server_ = MakeRef<link::LinkServer>(
      executor, link::LinkServerOptions{.listen = settings_.peers,
                                        .handlers = MakeCallHandlers(),
                                        .max_calls_per_link = 1000});
  settings_.peers = link_server_->address();
  const asio::ip::udp::endpoint endpoint(
      asio::ip::make_address(settings_.peers.ip), settings_.peers.port);
  datagrams_.open(endpoint.protocol());
  datagrams_.bind(endpoint);
  datagrams_.non_blocking(true);
  front_server_ = MakeRef<net::HttpServer>(
      executor,
      net::HttpServerOptions{.listen = settings_.front,
                             .handler = [this](net::ServerRequest request) {
                               return ServeFront(std::move(request));
                             }});
  ready_server_ = MakeRef<net::HttpServer>(
      executor,
      net::HttpServerOptions{.listen = settings_.ready,
                             .handler = [this](net::ServerRequest request)
                                 -> asio::awaitable<net::ServerAnswer> {
                               co_return ServeOperator(request);
                             }});
}

void NodeProcess::StartFollowers() {
  const auto on_call = [this](bool reached, const std::string& error) {
    OnStoreCall(reached, error);
  };
  config_follower_ = MakeRef<StreamFollower>(
      context_.get_executor(), store_,
      StreamFollowerOptions{.stream = settings_.config_stream},
      StreamFollowerHooks{.on_restart = [] {},
                          .on_record =
                              [this](const contracts::KeyedRecord& record) {
                                OnOperatorRecord(record);
                              },
                          .on_caught_up = [](std::uint64_t) {},
                          .on_call = on_call});
  config_follower_->Start();
  claim_follower_ = MakeRef<StreamFollower>(
      context_.get_executor(), store_,
      StreamFollowerOptions{.stream = {.name = kClaimStream}},
      StreamFollowerHooks{
          .on_restart = [] {},
          .on_record =
              [this](const contracts::KeyedRecord& record) {
                OnClaimRecord(record);
              },
          .on_caught_up =
              [this](std::uint64_t) { election_.OnClaimsRead(LeaseNow()); },
          .on_call = on_call});
  claim_follower_->Start();
}

void NodeProcess::OnOperatorRecord(const contracts::KeyedRecord& record) {
  if (!record.value.has_value()) return;
  if (record.key == settings_.config_key) {
    OnConfigRecord(record);
  } else {
    OnWaveRecord(record);
  }
}

void NodeProcess::OnWaveRecord(const contracts::KeyedRecord& record) {
  try {
    const std::optional<maintenance::Wave> wave =
        services_.decode_wave(record.key, record.value.value_or(""));
    if (!wave.has_value()) return;
    if (!waves_.emplace(wave->number, *wave).second) return;
    log_.Write("wave requested", {{"wave", wave->number},
                                  {"vms", wave->vms.size()},
                                  {"max_parallel", wave->max_parallel}});
    if (owner_ != nullptr) owner_->SetWave(*wave);
  } catch (const Error& error) {
    log_.Write("wave refused", {{"key", record.key}, {"reason", error.what()}});
  }
}

void NodeProcess::OnConfigRecord(const contracts::KeyedRecord& record) {
  try {
    jobs::ClusterConfig config =
        services_.decode_config(record.value.value_or(""));
    if (config_.has_value() && config.version <= config_->version) return;
    config_ = std::move(config);
  } catch (const Error& error) {
    log_.Write("configuration refused",
               {{"offset", record.offset}, {"reason", error.what()}});
    return;
  }
  queues_ = QueueTable(config_->queues);
  log_.Write("configuration", {{"version", config_->version},
                               {"offset", record.offset},
                               {"queues", config_->queues.size()}});
  if (owner_ != nullptr) owner_->SetConfig(*config_);
}

std::optional<OwnerClaim> NodeProcess::OnClaimRecord(
    const contracts::KeyedRecord& record) {
  if (record.key != kShardKey || !record.value.has_value()) return std::nullopt;
  try {
    OwnerClaim claim = DecodeClaim(*record.value, record.offset);
    election_.OnClaim(claim, LeaseNow());
    return claim;
  } catch (const Error& error) {
    log_.Write("claim refused",
               {{"offset", record.offset}, {"reason", error.what()}});
    return std::nullopt;
  }
}

void NodeProcess::OnStoreCall(bool reached, const std::string& error) {
  election_.OnStoreResult(reached, LeaseNow());
  if (reached == store_reached_) return;
  store_reached_ = reached;
  log_.Write(reached ? "store regained" : "store lost", {{"error", error}});
}

asio::awaitable<void> NodeProcess::StoreClaim() {
  ClaimResult result = co_await TryClaim();
  // The next try finds out whether the unanswered claim was stored.
  if (result == ClaimResult::kUnanswered) result = co_await TryClaim();
  if (result != ClaimResult::kStored) election_.OnClaimFailed(LeaseNow());
}

asio::awaitable<NodeProcess::ClaimResult> NodeProcess::TryClaim() {
  const contracts::StreamId stream{.name = kClaimStream};
  const std::uint64_t known_token = election_.claim().token;
  const WallTime wall = ShardNow().wall;
  std::optional<OwnerClaim> previous;
  bool is_own_claim = false;
  const contracts::NewestAnswer newest =
      co_await store_->Newest(stream, "", kClaimTimeout);
  OnStoreCall(newest.ok, newest.error);
  if (!newest.ok) co_return ClaimResult::kFailed;
  for (const contracts::KeyedRecord& record : newest.records) {
    if (record.key != kShardKey || !record.value.has_value()) continue;
    // Of an owner whose claim can't be read nothing is known.
    previous = OnClaimRecord(record).value_or(OwnerClaim{});
    is_own_claim = record.value == unanswered_claim_;
  }
  if (is_own_claim) {
    OnClaimStored(previous->token,
                  {.names = {previous->former.begin(), previous->former.end()},
                   .need_nodes = previous->former_need_nodes});
    co_return ClaimResult::kStored;
  }
  // Another node has claimed first.
  if (election_.claim().token != known_token) co_return ClaimResult::kFailed;
  FormerOwners former = FindFormerOwners(previous, settings_.name, wall);
  const std::string value =
      EncodeClaim({.node = settings_.name,
                   .address = settings_.peers,
                   .former = {former.names.begin(), former.names.end()},
                   .claimed_at = wall,
                   .highest_rank = election_.HighestRank(),
                   .needs_nodes = true,
                   .former_need_nodes = former.need_nodes},
                  settings_.rank);
  std::vector<contracts::KeyedRecord> records(kTokensPerClaim,
                                              {.key = kReservedKey});
  records.front() = {.key = kShardKey, .value = value};
  const contracts::KeyedAppendAnswer answer =
      co_await store_->Append({.stream = stream,
                               .records = std::move(records),
                               .expected_end = newest.end,
                               .timeout = kClaimTimeout});
  if (answer.outcome == contracts::KeyedAppendOutcome::kStored) {
    OnStoreCall(true, "");
    OnClaimStored(answer.offset + 1, std::move(former));
    co_return ClaimResult::kStored;
  }
  log_.Write("claim not stored", {{"reason", answer.error}});
  if (answer.outcome != contracts::KeyedAppendOutcome::kUnknown) {
    co_return ClaimResult::kFailed;
  }
  // It may still be stored, and counts as long as no other claim follows it.
  unanswered_claim_ = value;
  co_return ClaimResult::kUnanswered;
}

void NodeProcess::OnClaimStored(std::uint64_t token, FormerOwners former) {
  unanswered_claim_.reset();
  const bool owns = election_.OnClaimed(
      {.token = token, .node = settings_.name, .address = settings_.peers},
      LeaseNow());
  if (!owns) return;
  former_owners_ = std::move(former);
  StartOwning();
}

void NodeProcess::StartOwning() {
  owner_ = MakeRef<Owner>(
      context_.get_executor(), store_, workers_, advice_, vms_,
      OwnerOptions{.shard = MakeShardOptions(settings_, election_.claim().token,
                                             incarnation_, former_owners_),
                   .stream = {.name = kShardStream},
                   .registry = settings_.registry_stream,
                   .status = settings_.status_stream,
                   .holder = settings_.name,
                   .vm_order_lease = settings_.vm_order_lease,
                   .order_timeout = kOrderTimeout},
      OwnerHooks{.encode_wave = services_.encode_wave,
                 .decode_worker =
                     [this](const contracts::KeyedRecord& record) {
                       return DecodeWorker(record);
                     },
                 .on_store_call =
                     [this](bool reached, const std::string& error) {
                       OnStoreCall(reached, error);
                     },
                 .on_superseded =
                     [this](const std::string& reason) { StopOwning(reason); },
                 .log_event =
                     [this](const std::string& event,
                            const std::vector<telemetry::Field>& fields) {
                       log_.Write(event, fields);
                     }});
  owner_->Start(config_.value_or(jobs::ClusterConfig{}));
  for (const auto& [number, wave] : waves_) owner_->SetWave(wave);
  if (former_owners_.names.empty()) owner_->OnFormerOwnersStopped();
}

// A former owner that knows this node's claim sends no orders any more.
void NodeProcess::OnFormerOwnerMessage(const NodeMessage& message) {
  if (owner_ == nullptr || message.claim.token < election_.claim().token) {
    return;
  }
  if (former_owners_.names.erase(message.sender.name) == 0) return;
  log_.Write("former owner stopped", {{"owner", message.sender.name},
                                      {"others", former_owners_.names.size()}});
  if (former_owners_.names.empty()) owner_->OnFormerOwnersStopped();
}

void NodeProcess::StopOwning(const std::string& reason) {
  if (owner_ == nullptr) return;
  log_.Write("ownership over",
             {{"token", election_.claim().token}, {"reason", reason}});
  // The owner may be the caller, so it is stopped after this call has returned.
  asio::post(context_, [owner = owner_] { owner->Stop(); });
  owner_ = nullptr;
  election_.OnOwnershipLost(LeaseNow());
}

std::optional<jobs::WorkerEntry> NodeProcess::DecodeWorker(
    const contracts::KeyedRecord& record) {
  if (!record.value.has_value()) return std::nullopt;
  try {
    std::optional<jobs::WorkerEntry> entry =
        services_.decode_worker(record.key, *record.value);
    rejected_workers_.erase(record.key);
    return entry;
  } catch (const Error& error) {
    if (rejected_workers_.insert(record.key).second) {
      log_.Write("registry entry refused",
                 {{"key", record.key}, {"reason", error.what()}});
    }
    return std::nullopt;
  }
}

void NodeProcess::SendDatagram(const net::Address& to,
                               const NodeMessage& message) {
  const std::string bytes = EncodeMessage(message);
  error_code error;
  // A failed send is treated like a lost datagram.
  datagrams_.send_to(asio::buffer(bytes),
                     {asio::ip::make_address(to.ip), to.port}, 0, error);
}

void NodeProcess::OnDatagram(const std::string& bytes,
                             const asio::ip::udp::endpoint& sender) {
  try {
    const NodeMessage message = DecodeMessage(bytes);
    election_.OnMessage(message, LeaseNow());
    OnFormerOwnerMessage(message);
  } catch (const Error& error) {
    log_.Write("datagram refused", {{"from", sender.address().to_string()},
                                    {"reason", error.what()}});
  }
}

asio::awaitable<void> NodeProcess::Sleep(Duration pause) {
  asio::steady_timer timer(context_, pause);
  error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

// Keeps a call open that the owner answers only after some seconds. Its failure
// shows at once that the owner's process has ended.
asio::awaitable<void> NodeProcess::WatchOwner() {
  while (!stopping_) {
    const std::uint64_t token = election_.claim().token;
    if (election_.owns() || !election_.HearsOwner(LeaseNow())) {
      co_await Sleep(kTickInterval);
      continue;
    }
    bool lost = false;
    try {
      co_await OwnerLink()->Call("node.watch", "", std::chrono::seconds(8));
    } catch (const link::CallError& error) {
      lost = !error.not_sent() && token == election_.claim().token;
    }
    if (lost && !election_.owns()) election_.OnOwnerLinkLost(LeaseNow());
    co_await Sleep(kTickInterval);
  }
}

asio::awaitable<void> NodeProcess::TickLoop() {
  while (true) {
    const MonotonicTime now = LeaseNow();
    if (owner_ != nullptr && owner_->ready()) {
      election_.SetPendingCounts(owner_->core().PendingCounts());
    }
    election_.Tick(now);
    CheckSettings();
    log_.Flush();
    co_await Sleep(kTickInterval);
  }
}

void NodeProcess::WaitForSignals() {
  signals_.async_wait([this](error_code error, int signal) {
    if (error) return;
    log_.Write("stopping", {{"signal", signal}});
    asio::co_spawn(context_, ShutDown(), asio::detached);
  });
}

void NodeProcess::WaitForReload() {
  reload_signal_.async_wait([this](error_code error, int) {
    if (error) return;
    Reload();
    WaitForReload();
  });
}

void NodeProcess::CheckSettings() {
  const MonotonicTime now = LeaseNow();
  if (now - settings_checked_at_ < kSettingsCheckInterval) return;
  settings_checked_at_ = now;
  if (services_.settings_changed()) Reload();
}

void NodeProcess::Reload() {
  try {
    const NodeSettings new_settings = services_.reload();
    settings_.stop_grace = new_settings.stop_grace;
    settings_.drain_bound = new_settings.drain_bound;
    settings_.config_bound = new_settings.config_bound;
    // These take effect when this node next becomes the owner: granted leases
    // and known jobs are based on the former values.
    settings_.max_lease = new_settings.max_lease;
    settings_.vm_order_lease = new_settings.vm_order_lease;
    settings_.keep_ended = new_settings.keep_ended;
    settings_.stop_time = new_settings.stop_time;
    settings_.far_factor = new_settings.far_factor;
    if (owner_ != nullptr) owner_->SetMaxRegistryAge(MaxRegistryAge(settings_));
    log_.Write("reloaded", {{"stop_grace", settings_.stop_grace},
                            {"drain_bound", settings_.drain_bound},
                            {"config_bound", settings_.config_bound}});
  } catch (const Error& error) {
    log_.Write("settings refused", {{"reason", error.what()}});
  }
}

asio::awaitable<void> NodeProcess::ShutDown() {
  const MonotonicTime started_at = LeaseNow();
  stopping_ = true;
  front_server_->Drain();
  while (LeaseNow() - started_at < kBalancerDrainTime) {
    election_.Leave(LeaseNow());
    co_await Sleep(kTickInterval);
  }
  const Duration used = LeaseNow() - started_at;
  co_await front_server_->Stop(settings_.stop_grace - used - kExitMargin);
  log_.Flush();
  context_.stop();
}

bool NodeProcess::IsReady() const {
  return !stopping_ && config_.has_value() && election_.HearsOwner(LeaseNow());
}

net::ServerAnswer NodeProcess::ServeOperator(
    const net::ServerRequest& request) {
  if (request.path == "/metrics") {
    UpdateMetrics();
    return {.body = metrics_.Expose(),
            .content_type = telemetry::MetricsRegistry::kContentType};
  }
  const bool ready = IsReady();
  return {.status = ready ? 200 : 503,
          .body = ready ? "ready\n" : "not ready\n",
          .content_type = "text/plain"};
}

void NodeProcess::UpdateMetrics() {
  metrics_.SetCounter("carobmast_log_lines_total", "Lines written",
                      log_.lines());
  metrics_.SetCounter("carobmast_log_lines_dropped_total",
                      "Lines dropped to keep the volume bounded",
                      log_.dropped());
  const auto set_age_gauge = [this](const std::string& name,
                                    const std::string& help, Duration age) {
    metrics_.AddGauge(name, help)
        ->Set(std::chrono::duration<double>(age).count());
  };
  set_age_gauge("carobmast_configuration_age_seconds",
                "Since the configuration was known to be current",
                config_follower_->position().Age(LeaseNow()));
  if (owner_ == nullptr) {
    metrics_.Remove(kRegistryAgeMetric, {});
    return;
  }
  set_age_gauge(kRegistryAgeMetric,
                "Since the registry of workers was known to be current",
                owner_->RegistryAge());
  const jobs::ShardCounters& counters = owner_->core().counters();
  const auto set_gauge = [this](const std::string& name,
                                const std::string& help, std::uint64_t value) {
    // Gauges, because a new owner counts from 0 and counters must not decrease.
    metrics_.AddGauge(name, help)->Set(static_cast<double>(value));
  };
  set_gauge("carobmast_jobs_accepted", "Jobs taken by this owner",
            counters.accepted);
  set_gauge("carobmast_jobs_rejected", "Jobs turned away for want of room",
            counters.rejected);
  set_gauge("carobmast_starts", "Starts ordered", counters.starts);
  set_gauge("carobmast_starts_repeated",
            "Starts ordered again for want of an answer",
            counters.starts_repeated);
  set_gauge("carobmast_starts_refused", "Starts that workers refused",
            counters.starts_refused);
  set_gauge("carobmast_stops", "Stops ordered", counters.stops);
  set_gauge("carobmast_paces", "Changes of a task's pace", counters.paces);
  set_gauge("carobmast_ends_finished", "Tasks that finished",
            counters.ends_finished);
  set_gauge("carobmast_ends_failed", "Tasks that failed", counters.ends_failed);
  set_gauge("carobmast_ends_stopped", "Tasks that were stopped",
            counters.ends_stopped);
  set_gauge("carobmast_runs_lost", "Tasks lost with their worker or lease",
            counters.runs_lost);
  set_gauge("carobmast_ends_unknown", "Ends of tasks that were given up before",
            counters.ends_unknown);
  set_gauge("carobmast_end_gaps",
            "Lists of workers that lack ends which nobody has seen",
            counters.end_gaps);
  set_gauge("carobmast_clock_mismatches",
            "Answers of another incarnation of a worker than was meant",
            counters.clock_mismatches);
  set_gauge("carobmast_copies", "Copies of slow tasks", counters.copies);
  set_gauge("carobmast_latency_updates",
            "Reports of workers whose latencies were evaluated",
            counters.latency_updates);
  set_gauge("carobmast_quarantines", "Workers set aside", counters.quarantines);
  set_gauge("carobmast_moves", "Standing tasks moved to others like them",
            counters.moves);
  set_gauge("carobmast_open_jobs", "Jobs that are not over",
            owner_->core().open_jobs());
  set_gauge("carobmast_leftover_runs",
            "Runs that workers list although they should have ended",
            owner_->core().leftover_runs());
  const jobs::StandingWaits& waits = owner_->core().standing_waits();
  set_gauge("carobmast_standing_tasks_waiting",
            "Standing tasks that no worker in contact runs", waits.count);
  set_age_gauge("carobmast_standing_wait_seconds",
                "The longest time that such a task has waited", waits.longest);
}

int RunNode(NodeSettings settings, NodeServices services) {
  return NodeProcess(std::move(settings), std::move(services)).Run();
}

}  // namespace carobmast::node
