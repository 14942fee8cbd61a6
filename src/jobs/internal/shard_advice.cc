// Tickets for queues whose policy admits only some workers: asks the advice
// service which, one call at a time, and keeps the tickets while they are
// valid.
#include <algorithm>

#include "jobs/internal/shard_impl.h"

namespace carobmast::jobs {

namespace {

using std::chrono::milliseconds;

// Maximum number of workers in one call: the service takes time for each.
constexpr std::size_t kWorkersPerCall = 30;
// A ticket is not used within this time before it expires.
constexpr milliseconds kTicketExpiryMargin{250};
// Pause after a failed call.
constexpr milliseconds kAdviceRetryPause{200};

}  // namespace

bool ShardCore::Impl::NeedsTicket(const Step& step) {
  return step.occurrence->job->policy.advice.has_value();
}

const std::string* ShardCore::Impl::FindTicket(
    const Step& step, const WorkerState& worker) const {
  const auto ticket = step.tickets.find(worker.id);
  if (ticket == step.tickets.end()) return nullptr;
  const Ticket& found = ticket->second;
  // A ticket is valid for one incarnation of the worker only.
  if (found.text.empty() || found.born_ms != worker.born_ms ||
      found.valid_until - kTicketExpiryMargin < now.steady) {
    return nullptr;
  }
  return &found.text;
}

void ShardCore::Impl::AskAdvice() {
  if (advice_in_flight || now.steady < advice_retry_at || !hooks.advise) return;
  for (Step* step : StepsInOrder()) {
    if (!NeedsTicket(*step)) continue;
    std::vector<std::pair<double, std::string>> candidates;
    for (const auto& [id, worker] : workers) {
      const auto asked = step->tickets.find(id);
      const bool known =
          asked != step->tickets.end() &&
          asked->second.born_ms == worker->born_ms &&
          asked->second.valid_until - kTicketExpiryMargin > now.steady;
      if (known || !IsUsable(*worker, *step) || !Fits(*worker, *step)) continue;
      candidates.emplace_back(-Score(*worker, *step), id);
    }
    if (candidates.empty()) continue;
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(std::min(candidates.size(), kWorkersPerCall));
    const contracts::TaskKey key = KeyOfTask(step->tasks.front());
    contracts::AdviceCall call{
        .job = key.job, .occurrence = key.occurrence, .step = key.step};
    for (const auto& [score, id] : candidates) call.workers.push_back(id);
    advice_in_flight = true;
    hooks.advise(call);
    return;
  }
}

void ShardCore::Impl::OnAdvice(const contracts::AdviceCall& call,
                               const contracts::AdviceAnswer& answer) {
  advice_in_flight = false;
  if (!answer.ok) {
    advice_retry_at = now.steady + kAdviceRetryPause;
    hooks.decided(
        "advice failed",
        {{"job", call.job}, {"step", call.step}, {"reason", answer.error}});
    return;
  }
  Task* task = FindTask(
      {.job = call.job, .occurrence = call.occurrence, .step = call.step});
  if (task == nullptr) return;
  Step& step = *task->step;
  // Workers that were asked about and got no ticket may not run the step.
  for (const std::string& id : call.workers) {
    step.tickets[id] = {.born_ms = GetWorker(id).born_ms,
                        .valid_until = now.steady + answer.valid};
  }
  for (const auto& [id, text] : answer.tickets) {
    step.tickets[id].text = text;
  }
  RequestSchedule();
}

}  // namespace carobmast::jobs
