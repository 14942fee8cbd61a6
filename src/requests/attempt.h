// State machine of one attempt: sending a request to an instance and reading
// its answer.
#ifndef CAROBMAST_REQUESTS_ATTEMPT_H_
#define CAROBMAST_REQUESTS_ATTEMPT_H_

#include <functional>

#include "framework/base/intrusive.h"
#include "framework/base/time.h"
#include "framework/statechart/state_chart.h"
#include "requests/instance_state.h"
#include "requests/types/request.h"

namespace carobmast::requests {

enum class AttemptState { kNotSent, kSent, kAnswered, kUnknown, kNotRun };

enum class AttemptEvent {
  kFirstByteSent,
  kAnswerWhole,
  kAnswerCut,
  kTargetRefused,
  kConnectionFailed,
  kTimedOut,
  kCancelled,
};

struct Attempt;

// Callbacks for the actions that the chart names.
struct AttemptActions {
  std::function<void(Attempt&)> close_connection;
  std::function<void(Attempt&)> release_connection;
};

struct Attempt : RefCounted<Attempt> {
  AttemptId id = 0;
  RequestId request = 0;
  ConnectionId connection = 0;
  Ref<InstanceState> instance;
  AttemptState state = AttemptState::kNotSent;
  MonotonicTime started;
  // Whether the head of its answer was forwarded to the caller.
  bool forwarded = false;
  // Whether the target reported that it did not execute the request.
  bool refused = false;
  // Whether its answer is read to the end and discarded.
  bool drained = false;
  // Whether the connection can serve another request after this answer.
  bool reusable = false;
  const AttemptActions* actions = nullptr;
};

using AttemptChart =
    statechart::StateChart<AttemptState, AttemptEvent, Attempt>;

// Builds the state machine from charts/attempt.yaml, which is embedded in the
// program, or from `yaml` if that is not empty. Throws Error if the chart is
// invalid.
AttemptChart MakeAttemptChart(std::string_view yaml = {});

// Whether the target executed the request, as far as it is known once the
// attempt has reached `state`.
Ran RanAfter(AttemptState state);

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_ATTEMPT_H_
