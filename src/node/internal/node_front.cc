// Handles callers' requests. Requests on jobs are passed to the owner of the
// shard, which may be this node.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "framework/base/error.h"
#include "jobs/job_record.h"
#include "node/call_time.h"
#include "node/internal/node_process.h"
#include "node/lease_clock.h"

namespace carobmast::node {

namespace asio = boost::asio;
using jobs::proto::JobAnswer;
using std::chrono::milliseconds;

namespace {

// For callers that do not say how long they wait.
constexpr milliseconds kDefaultCallerTimeout{2500};
// Reserved for sending the answer to the caller.
constexpr milliseconds kAnswerMargin{250};
constexpr milliseconds kMinCallTime{50};
// Pause before the owner is called again.
constexpr milliseconds kRetryDelay{30};
// Leaves room for the rest of the keys of the job's records, which have at most
// 255 bytes.
constexpr std::size_t kMaxJobIdBytes = 200;
// The record's key, the time of acceptance and the policy of the queue.
constexpr std::size_t kJobRecordMargin = 1024;
constexpr char kSubmitCall[] = "job.submit";
constexpr char kCancelCall[] = "job.cancel";
constexpr char kStateCall[] = "job.state";
constexpr Duration kWatchCallDuration = std::chrono::seconds(5);

const char* CallName(FrontKind kind) {
  if (kind == FrontKind::kSubmit) return kSubmitCall;
  return kind == FrontKind::kCancel ? kCancelCall : kStateCall;
}

JobAnswer MakeAnswer(JobAnswer::Outcome outcome, const std::string& reason) {
  JobAnswer answer;
  answer.set_outcome(outcome);
  answer.set_reason(reason);
  return answer;
}

FrontAnswer ToFrontAnswer(FrontKind kind, const JobAnswer& answer) {
  FrontAnswer result;
  result.reason = answer.reason();
  if (answer.retry_after_ms() > 0) {
    result.retry_after = milliseconds(answer.retry_after_ms());
  }
  switch (answer.outcome()) {
    case JobAnswer::DONE:
      result.outcome = kind == FrontKind::kSubmit   ? FrontOutcome::kAccepted
                       : kind == FrontKind::kCancel ? FrontOutcome::kCancelled
                                                    : FrontOutcome::kState;
      result.state = static_cast<jobs::JobState>(answer.state());
      return result;
    case JobAnswer::UNKNOWN_JOB:
      result.outcome = FrontOutcome::kUnknownJob;
      return result;
    case JobAnswer::UNDECIDED:
      result.outcome = FrontOutcome::kUndecided;
      return result;
    default:
      result.outcome = FrontOutcome::kRetryLater;
      return result;
  }
}

const char* KindName(FrontKind kind) {
  switch (kind) {
    case FrontKind::kSubmit:
      return "submit";
    case FrontKind::kCancel:
      return "cancel";
    case FrontKind::kState:
      return "state";
    case FrontKind::kOther:
      return "other";
  }
  return "other";
}

const char* OutcomeName(FrontOutcome outcome) {
  switch (outcome) {
    case FrontOutcome::kAccepted:
      return "accepted";
    case FrontOutcome::kState:
      return "state";
    case FrontOutcome::kCancelled:
      return "cancelled";
    case FrontOutcome::kPendingCount:
      return "count";
    case FrontOutcome::kNoQueue:
      return "no queue";
    case FrontOutcome::kUnknownJob:
      return "unknown job";
    case FrontOutcome::kInvalid:
      return "invalid";
    case FrontOutcome::kTooLarge:
      return "too large";
    case FrontOutcome::kRetryLater:
      return "not now";
    case FrontOutcome::kUndecided:
      return "undecided";
  }
  return "undecided";
}

}  // namespace

void NodeProcess::WakeRetries() {
  for (asio::steady_timer* retry_timer : retry_timers_) retry_timer->cancel();
}

asio::awaitable<net::ServerAnswer> NodeProcess::ServeFront(
    net::ServerRequest request) {
  const MonotonicTime started_at = LeaseNow();
  FrontRequest decoded = services_.decode_request(std::move(request));
  const FrontKind kind = decoded.kind;
  const std::string path = decoded.path;
  FrontAnswer answer = co_await HandleRequest(std::move(decoded));
  if (!answer.retry_after.has_value()) {
    answer.retry_after = election_.RetryAfter(LeaseNow());
  }
  const Duration duration = LeaseNow() - started_at;
  (kind == FrontKind::kSubmit ? submit_latency_ : state_latency_)
      ->Record(duration);
  const bool is_query = answer.outcome == FrontOutcome::kState ||
                        answer.outcome == FrontOutcome::kPendingCount;
  if (!is_query) {
    log_.Write("answered",
               {{"call", KindName(kind)},
                {"path", path},
                {"outcome", OutcomeName(answer.outcome)},
                {"reason", answer.reason},
                {"owner", election_.claim().node},
                {"token", election_.claim().token},
                {"config", config_ ? config_->version : 0},
                {"config_age", config_follower_->position().Age(LeaseNow())},
                {"took", duration}});
  }
  co_return services_.encode_answer(answer);
}

asio::awaitable<FrontAnswer> NodeProcess::HandleRequest(FrontRequest request) {
  if (!config_.has_value()) {
    co_return FrontAnswer{.outcome = FrontOutcome::kRetryLater,
                          .reason = "no configuration yet"};
  }
  if (request.body.size() > config_->max_body_bytes) {
    co_return FrontAnswer{.outcome = FrontOutcome::kTooLarge};
  }
  std::optional<QueueMatch> match = queues_.Find(request.host, request.path);
  if (!match.has_value()) co_return HandleUnknownQueue();
  if (match->remaining_path.empty() && request.kind == FrontKind::kState) {
    co_return HandleCountRequest(match->queue);
  }
  if (match->remaining_path.empty() || request.kind == FrontKind::kOther ||
      match->remaining_path.find('/') != std::string::npos) {
    co_return FrontAnswer{.outcome = FrontOutcome::kNoQueue};
  }
  co_return co_await HandleJobRequest(std::move(request), std::move(*match));
}

// A configuration that is not current may lack a queue that exists.
FrontAnswer NodeProcess::HandleUnknownQueue() const {
  if (config_follower_->position().Age(LeaseNow()) > settings_.config_bound) {
    return {.outcome = FrontOutcome::kRetryLater,
            .reason = "the configuration is not current"};
  }
  return {.outcome = FrontOutcome::kNoQueue};
}

FrontAnswer NodeProcess::HandleCountRequest(const std::string& queue) const {
  const std::map<std::string, std::uint32_t>& counts =
      election_.pending_counts();
  if (!election_.HearsOwner(LeaseNow()) || counts.empty()) {
    return {.outcome = FrontOutcome::kRetryLater, .reason = "no owner heard"};
  }
  const auto count = counts.find(queue);
  return {.outcome = FrontOutcome::kPendingCount,
          .pending = count == counts.end() ? 0 : count->second};
}

asio::awaitable<FrontAnswer> NodeProcess::HandleJobRequest(FrontRequest request,
                                                           QueueMatch match) {
  JobCall call;
  call.set_id(match.remaining_path);
  call.set_queue(match.queue);
  if (call.id().size() > kMaxJobIdBytes) {
    if (request.kind != FrontKind::kSubmit) {
      co_return FrontAnswer{.outcome = FrontOutcome::kUnknownJob};
    }
    co_return FrontAnswer{.outcome = FrontOutcome::kInvalid,
                          .reason = "the job ID is too long"};
  }
  if (request.kind == FrontKind::kSubmit) {
    try {
      const jobs::JobSpec spec = services_.decode_job(request.body);
      const std::string spec_error = jobs::CheckSpec(spec);
      if (!spec_error.empty()) {
        co_return FrontAnswer{.outcome = FrontOutcome::kInvalid,
                              .reason = spec_error};
      }
      *call.mutable_job() = jobs::EncodeSpec(spec);
      if (call.ByteSizeLong() + kJobRecordMargin > settings_.max_record_bytes) {
        co_return FrontAnswer{.outcome = FrontOutcome::kTooLarge,
                              .reason = "the job exceeds a record"};
      }
    } catch (const Error& error) {
      co_return FrontAnswer{.outcome = FrontOutcome::kInvalid,
                            .reason = error.what()};
    }
  }
  const Duration time_limit =
      request.caller_timeout.value_or(kDefaultCallerTimeout + kAnswerMargin) -
      kAnswerMargin;
  const JobAnswer answer =
      co_await CallOwnerWithRetries(request.kind, std::move(call), time_limit);
  co_return ToFrontAnswer(request.kind, answer);
}

// Calls the current owner until one has answered or `time_limit` has passed.
// Repeated calls are safe because they carry the job's ID.
asio::awaitable<JobAnswer> NodeProcess::CallOwnerWithRetries(
    FrontKind kind, JobCall call, Duration time_limit) {
  const MonotonicTime deadline = LeaseNow() + time_limit;
  JobAnswer last_answer = MakeAnswer(JobAnswer::NOT_DONE, "no owner heard");
  bool undecided = false;
  while (true) {
    const Duration remaining = deadline - LeaseNow();
    if (remaining < kMinCallTime) break;
    // Without the owner and the store, waiting longer is of no use.
    if (!election_.HearsOwner(LeaseNow()) && !undecided &&
        !election_.StoreReached(LeaseNow())) {
      break;
    }
    if (election_.HearsOwner(LeaseNow()) && election_.HasHeardClaim()) {
      SetTimeLeft(call, remaining, election_.OwnerClock(LeaseNow()));
      last_answer = co_await CallOwner(kind, call, remaining);
      if (last_answer.outcome() == JobAnswer::DONE ||
          last_answer.outcome() == JobAnswer::UNKNOWN_JOB) {
        co_return last_answer;
      }
      if (last_answer.retry_after_ms() > 0 && !undecided) co_return last_answer;
      undecided = undecided || last_answer.outcome() == JobAnswer::UNDECIDED;
    }
    asio::steady_timer timer(context_, kRetryDelay);
    const std::list<asio::steady_timer*>::iterator timer_entry =
        retry_timers_.insert(retry_timers_.end(), &timer);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    retry_timers_.erase(timer_entry);
  }
  if (undecided) last_answer.set_outcome(JobAnswer::UNDECIDED);
  co_return last_answer;
}

Ref<link::LinkClient> NodeProcess::OwnerLink() {
  const net::Address& peer = election_.claim().address;
  if (owner_link_ == nullptr || owner_link_peer_ != peer) {
    owner_link_peer_ = peer;
    owner_link_ = MakeRef<link::LinkClient>(
        context_.get_executor(),
        link::LinkClientOptions{.peer = peer,
                                .connect_timeout = milliseconds(400)});
  }
  return owner_link_;
}

asio::awaitable<JobAnswer> NodeProcess::CallOwner(FrontKind kind,
                                                  const JobCall& call,
                                                  Duration timeout) {
  if (election_.owns()) co_return co_await ServeJobCall(kind, call, timeout);
  const Ref<link::LinkClient> link = OwnerLink();
  try {
    const std::string bytes =
        co_await link->Call(CallName(kind), call.SerializeAsString(), timeout);
    JobAnswer answer;
    if (answer.ParseFromString(bytes)) co_return answer;
    co_return MakeAnswer(JobAnswer::UNDECIDED, "malformed answer of the owner");
  } catch (const link::CallError& error) {
    co_return MakeAnswer(
        error.not_sent() ? JobAnswer::NOT_DONE : JobAnswer::UNDECIDED,
        error.what());
  }
}

asio::awaitable<JobAnswer> NodeProcess::ServeJobCall(FrontKind kind,
                                                     JobCall call,
                                                     Duration timeout) {
  const Ref<Owner> owner = owner_;
  if (owner == nullptr) {
    co_return MakeAnswer(JobAnswer::NOT_OWNER, "not the owner");
  }
  switch (kind) {
    case FrontKind::kSubmit:
      co_return co_await owner->Submit(call.id(), call.queue(),
                                       jobs::DecodeSpec(call.job()), timeout);
    case FrontKind::kCancel:
      co_return co_await owner->Cancel(call.id(), timeout);
    case FrontKind::kState:
    case FrontKind::kOther:
      co_return owner->State(call.id());
  }
  co_return owner->State(call.id());
}

std::map<std::string, link::CallHandler> NodeProcess::MakeCallHandlers() {
  std::map<std::string, link::CallHandler> calls;
  for (const FrontKind kind :
       {FrontKind::kSubmit, FrontKind::kCancel, FrontKind::kState}) {
    calls[CallName(kind)] =
        [this, kind](std::string request) -> asio::awaitable<std::string> {
      JobCall call;
      if (!call.ParseFromString(request)) {
        throw Error("job call", "peer", "malformed call");
      }
      const Duration time_left =
          TimeLeft(call, LeaseNow(), kDefaultCallerTimeout);
      if (time_left <= Duration::zero()) {
        log_.Write("call expired", {{"call", KindName(kind)},
                                    {"job", call.id()},
                                    {"late", -time_left}});
        co_return MakeAnswer(JobAnswer::NOT_DONE, "the call arrived too late")
            .SerializeAsString();
      }
      const JobAnswer answer =
          co_await ServeJobCall(kind, std::move(call), time_left);
      co_return answer.SerializeAsString();
    };
  }
  calls["node.watch"] = [this](std::string) -> asio::awaitable<std::string> {
    co_await Sleep(kWatchCallDuration);
    co_return "";
  };
  return calls;
}

}  // namespace carobmast::node
