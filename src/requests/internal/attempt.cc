#include "requests/attempt.h"

#include "embedded/AttemptYaml.h"

namespace carobmast::requests {

AttemptChart MakeAttemptChart(std::string_view yaml) {
  return AttemptChart(
      yaml.empty() ? internal::AttemptYaml() : yaml, "charts/attempt.yaml",
      {.states = {"not_sent", "sent", "answered", "unknown", "not_run"},
       .events = {"first_byte_sent", "answer_whole", "answer_cut",
                  "target_refused", "connection_failed", "timed_out",
                  "cancelled"},
       .actions = {{"close_connection",
                    [](Attempt& attempt) {
                      attempt.actions->close_connection(attempt);
                    }},
                   {"release_connection", [](Attempt& attempt) {
                      attempt.actions->release_connection(attempt);
                    }}}});
}

Ran RanAfter(AttemptState state) {
  switch (state) {
    case AttemptState::kNotSent:
    case AttemptState::kNotRun:
      return Ran::kNo;
    case AttemptState::kAnswered:
      return Ran::kYes;
    case AttemptState::kSent:
    case AttemptState::kUnknown:
      return Ran::kUnknown;
  }
  return Ran::kUnknown;
}

}  // namespace carobmast::requests
