#include "node/stream_follower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "node/lease_clock.h"

namespace carobmast::node {

namespace asio = boost::asio;

NextRead PlanNextRead(const StreamFollowerOptions& options,
                      bool last_read_failed) {
  if (last_read_failed) {
    return {.pause = options.retry_delay, .wait = Duration::zero()};
  }
  return {.pause = options.read_interval, .wait = options.read_wait};
}

StreamFollower::StreamFollower(asio::any_io_executor executor,
                               Ref<contracts::KeyedLog> log,
                               StreamFollowerOptions options,
                               StreamFollowerHooks hooks)
    : executor_(executor),
      timer_(executor),
      log_(std::move(log)),
      options_(std::move(options)),
      hooks_(std::move(hooks)) {}

void StreamFollower::Start() {
  asio::co_spawn(executor_, Run(Ref<StreamFollower>(this)), asio::detached);
}

void StreamFollower::Stop() {
  stopped_ = true;
  timer_.cancel();
}

asio::awaitable<void> StreamFollower::Sleep(Duration pause) {
  timer_.expires_after(pause);
  boost::system::error_code error;
  co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<void> StreamFollower::Run(Ref<StreamFollower> self) {
  bool caught_up = false;
  while (!self->stopped_) {
    if (!caught_up) {
      caught_up = co_await self->ReadNewest();
      if (!caught_up) co_await self->Sleep(self->options_.retry_delay);
      continue;
    }
    caught_up = co_await self->ReadNewRecords();
    if (!caught_up) continue;
    co_await self->Sleep(
        PlanNextRead(self->options_, self->last_read_failed_).pause);
  }
}

void StreamFollower::RecordReadTime(MonotonicTime sent_at) {
  ++position_.reads;
  position_.slowest_read =
      std::max(position_.slowest_read, LeaseNow() - sent_at);
}

asio::awaitable<bool> StreamFollower::ReadNewest() {
  const MonotonicTime started_at = LeaseNow();
  std::vector<contracts::KeyedRecord> records;
  std::uint64_t end = 0;
  std::string last_key;
  bool more = true;
  while (more) {
    const MonotonicTime sent_at = LeaseNow();
    contracts::NewestAnswer page =
        co_await log_->Newest(options_.stream, last_key, options_.timeout);
    RecordReadTime(sent_at);
    if (stopped_) co_return false;
    hooks_.on_call(page.ok, page.error);
    if (!page.ok) co_return false;
    // The pages are not a consistent snapshot. Later changes are read again,
    // starting at the end that the first page reports.
    if (last_key.empty()) end = page.end;
    more = page.has_more && !page.records.empty();
    if (more) last_key = page.records.back().key;
    std::move(page.records.begin(), page.records.end(),
              std::back_inserter(records));
  }
  hooks_.on_restart();
  for (const contracts::KeyedRecord& record : records) hooks_.on_record(record);
  position_.next = end;
  position_.end = end;
  position_.current_at = started_at;
  hooks_.on_caught_up(position_.next);
  co_return true;
}

asio::awaitable<bool> StreamFollower::ReadNewRecords() {
  const MonotonicTime sent_at = LeaseNow();
  // The time-out does not depend on the wait, since much may have been stored
  // since the last read that succeeded.
  const contracts::KeyedReadAnswer answer = co_await log_->Read(
      {.stream = options_.stream,
       .from = position_.next,
       .wait = PlanNextRead(options_, last_read_failed_).wait,
       .timeout = options_.read_wait + options_.timeout});
  RecordReadTime(sent_at);
  if (stopped_) co_return false;
  hooks_.on_call(answer.outcome != contracts::ReadOutcome::kFailed,
                 answer.error);
  last_read_failed_ = answer.outcome == contracts::ReadOutcome::kFailed;
  if (answer.outcome == contracts::ReadOutcome::kExpired) co_return false;
  if (last_read_failed_) co_return true;
  for (const contracts::KeyedRecord& record : answer.records) {
    hooks_.on_record(record);
    position_.next = record.offset + 1;
  }
  position_.end = answer.end;
  if (position_.next >= position_.end) position_.current_at = sent_at;
  hooks_.on_caught_up(position_.next);
  co_return true;
}

}  // namespace carobmast::node
