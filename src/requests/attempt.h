// The life of one attempt to have a request answered by an instance.
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

// Bound to the chart's actions.
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
  // The head of its answer was passed on to the caller.
  bool forwarded = false;
  // The target said that it refused the request.
  bool refused = false;
  // The answer is read only to be thrown away.
  bool drained = false;
  // Whether the connection can serve another request after this answer.
  bool reusable = false;
  const AttemptActions* actions = nullptr;
};

using AttemptChart =
    statechart::StateChart<AttemptState, AttemptEvent, Attempt>;

// The chart charts/attempt.yaml, which is embedded in the program; `yaml`
// overrides it when not empty. Throws Error when the chart is refused.
AttemptChart MakeAttemptChart(std::string_view yaml = {});

// What is known about the execution after the attempt came to `state`.
Ran RanAfter(AttemptState state);

}  // namespace carobmast::requests

#endif  // CAROBMAST_REQUESTS_ATTEMPT_H_
