#include "operators/drive.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <string>
#include <utility>

#include "framework/base/error.h"

namespace carobmast::operators {
namespace {

namespace asio = boost::asio;

constexpr Duration kReadTimeout = std::chrono::seconds(3);
constexpr Duration kReadRetry = std::chrono::milliseconds(300);
constexpr std::size_t kMaxRecordsPerRead = 500;

asio::awaitable<void> SleepUntil(MonotonicTime at) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_at(at);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// The answer of the log, or the error when there is none.
struct ReadOutcome {
  std::optional<contracts::ReadAnswer> answer;
  std::string error;
};

asio::awaitable<ReadOutcome> Read(contracts::LogService log,
                                  contracts::ReadRequest request) {
  ReadOutcome outcome;
  try {
    outcome.answer = co_await log.read(std::move(request));
  } catch (const std::exception& error) {
    outcome.error = error.what();
  }
  co_return outcome;
}

// Carries out the steps of `flow` until it has a result. `flow` must outlive
// the coroutine.
template <typename Flow, typename Step, typename Result>
asio::awaitable<Result> Drive(contracts::LogService log, Flow* flow) {
  for (;;) {
    Step step = flow->Next(MonotonicClock::now());
    if (step.result.has_value()) co_return *step.result;
    if (step.read.has_value()) {
      const contracts::Offset from = step.read->from;
      const ReadOutcome outcome = co_await Read(log, std::move(*step.read));
      if (outcome.answer.has_value()) {
        flow->OnRead(MonotonicClock::now(), from, *outcome.answer);
      } else {
        flow->OnReadError(MonotonicClock::now(), outcome.error);
      }
    } else if (step.append.has_value()) {
      const contracts::AppendAnswer answer =
          co_await log.append(std::move(*step.append));
      flow->OnAppend(MonotonicClock::now(), answer);
    } else {
      co_await SleepUntil(step.at);
    }
  }
}

}  // namespace

asio::awaitable<PublishResult> DrivePublish(contracts::LogService log,
                                            PublishFlowOptions options) {
  PublishFlow flow(std::move(options), MonotonicClock::now());
  co_return co_await Drive<PublishFlow, PublishStep, PublishResult>(log, &flow);
}

asio::awaitable<AppendResult> DriveAppend(contracts::LogService log,
                                          AppendFlowOptions options) {
  AppendFlow flow(std::move(options), MonotonicClock::now());
  co_return co_await Drive<AppendFlow, AppendStep, AppendResult>(log, &flow);
}

asio::awaitable<void> ReadConfig(
    contracts::LogService log, Duration timeout, config::LogReplay& replay,
    std::function<void(const config::Verdict&, const contracts::LogRecord&)>
        on_verdict) {
  const MonotonicTime deadline = MonotonicClock::now() + timeout;
  std::string reason = "the set in force has expired from the log";
  while (!replay.caught_up() && !replay.fold().stopped().has_value()) {
    if (MonotonicClock::now() >= deadline) {
      throw Error("read configuration", "log", reason);
    }
    contracts::ReadRequest request{.stream = contracts::kConfigStream,
                                   .from = replay.NextRead(),
                                   .max_records = kMaxRecordsPerRead,
                                   .timeout = kReadTimeout};
    const contracts::Offset from = request.from;
    const ReadOutcome outcome = co_await Read(log, std::move(request));
    if (!outcome.answer.has_value()) {
      reason = outcome.error;
      co_await SleepUntil(MonotonicClock::now() + kReadRetry);
      continue;
    }
    const std::vector<config::Verdict> verdicts =
        replay.OnRead(from, *outcome.answer);
    for (const config::Verdict& verdict : verdicts) {
      if (!on_verdict) break;
      for (const contracts::LogRecord& record : outcome.answer->records) {
        if (record.offset == verdict.offset) on_verdict(verdict, record);
      }
    }
    if (replay.NextRead() == from) {
      co_await SleepUntil(MonotonicClock::now() + kReadRetry);
    }
  }
}

}  // namespace carobmast::operators
